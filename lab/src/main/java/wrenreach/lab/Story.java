package wrenreach.lab;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import wrenreach.DeliveryDispatcher;

/**
 * A day of an in-memory fleet, told in steps: what is given, what goes wrong, and what came of it over several seeds. The same
 * faults, stand-ins and oracles as everywhere in the lab. Times in milliseconds unless they say so.
 */
public final class Story {
    /** Lines of a timeline that are shown before and after a breach. */
    private static final int LINES_BEFORE = 25, LINES_AFTER = 5;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final Map<Scenario.Figure, Integer> figures = new EnumMap<>(Scenario.Figure.class);
    private final List<Scenario.QueueClass> classes = new ArrayList<>();
    private final List<Scenario.Fault> faults = new ArrayList<>();
    private final List<ScenarioRun> plays = new ArrayList<>();

    public Story nodes(int nodes, int zones) {
        figures.put(Scenario.Figure.NODES, nodes);
        figures.put(Scenario.Figure.ZONES, zones);
        return this;
    }

    public Story receivers(int destinations, int endpoints) {
        figures.put(Scenario.Figure.DESTINATIONS, destinations);
        figures.put(Scenario.Figure.ENDPOINTS, endpoints);
        return this;
    }

    /** Mails a second over all nodes, for so long. */
    public Story traffic(int rate, int lengthMs) {
        figures.put(Scenario.Figure.RATE, rate);
        figures.put(Scenario.Figure.LENGTH, lengthMs);
        return this;
    }

    /** NAME EFFECT importance X target MS lifetime MS share N. */
    public Story queueClass(String text) {
        classes.add(Scenario.parseQueueClass(text));
        return this;
    }

    /** What nodes owe is kept in the store in place of the journal. */
    public Story store() {
        figures.put(Scenario.Figure.LEDGER, 2);
        return this;
    }

    /** A fault as experiments have it; throws IllegalArgumentException where it is none. */
    public Story fault(String text) {
        faults.addAll(FaultText.parse(text, figures.getOrDefault(Scenario.Figure.LENGTH, Scenario.Figure.LENGTH.defaultValue)));
        return this;
    }

    /** Plays the day with each seed from 1 on. */
    public void play(int seeds) {
        plays.clear();
        for (int seed = 1; seed <= seeds; seed++) {
            Scenario day = new Scenario(seed, figures, classes, faults);
            if (!day.objections(false).isEmpty()) {
                throw new IllegalArgumentException(String.join("; ", day.objections(false)));
            }
            plays.add(ScenarioRun.of(day, DeliveryDispatcher::new));
        }
    }

    /** The rules that broke, with the timeline of the first breach; empty: none did. */
    public String breaches() {
        StringBuilder told = new StringBuilder();
        for (ScenarioRun play : plays) {
            List<Rules.Violation> breaks = Rules.judge(play.scenario, play.world.facts, play.settings, play.world.now());
            if (!breaks.isEmpty()) {
                breaks.stream().limit(5).forEach(one -> told.append(String.format(Locale.ROOT, "seed %d, %.3f s: %s: %s%n",
                        play.scenario.seed(), (one.at() - World.START_NS) / 1e9, one.rule(), one.what())));
                return told.append(timelineAround(play, breaks.get(0))).toString();
            }
        }
        return "";
    }

    /** What led to a breach: what is known of the mail, and of faults, up to a moment after it. */
    private static String timelineAround(ScenarioRun play, Rules.Violation breach) {
        String mail = breach.what().split("[ .]")[0];
        List<Fact> facts = play.world.facts.stream().filter(fact -> fact.at() <= breach.at() + NANOS_PER_SECOND && (fact instanceof Fact.Fault
                || fact instanceof Fact.Died || fact instanceof Fact.Serves || fact.toString().contains("=" + mail + "."))).toList();
        int at = (int) facts.stream().filter(fact -> fact.at() <= breach.at()).count();
        return String.join(System.lineSeparator(), facts.subList(Math.max(0, at - LINES_BEFORE), Math.min(facts.size(), at + LINES_AFTER)).stream()
                .map(Fact::timelineLine).toList());
    }

    private Stream<Fact> allFacts() {
        return plays.stream().flatMap(play -> play.world.facts.stream());
    }

    /** Of the mails handed in, those that were delivered, in percent, over all seeds. */
    public double deliveredPercent() {
        int mails = 0;
        int delivered = 0;
        for (ScenarioRun play : plays) {
            DeliveryMetrics figures = DeliveryMetrics.of(play.world.facts, play.settings, 0);
            mails += figures.mails();
            delivered += figures.delivered();
        }
        return 100.0 * delivered / Math.max(1, mails);
    }

    /** The most calls that came to a receiver in any time so long, on any day; from, to: since the day's begin. */
    public int mostCalls(String receiver, int withinMs, int from, int to) {
        int most = 0;
        for (ScenarioRun play : plays) {
            List<Long> calls = play.world.facts.stream().filter(fact -> fact instanceof Fact.Called called
                    && called.receiver().equals(receiver)).map(fact -> (fact.at() - World.START_NS) / ScenarioRun.NS_PER_MS)
                    .filter(at -> at >= from && at < to).toList();
            for (int first = 0, last = 0; last < calls.size(); last++) {
                while (calls.get(last) - calls.get(first) >= withinMs) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }

    /** How often it was seen on every day, at least: a kind of fact (Died, Serves, ToldWait, ...) about a party or mail; empty: any. */
    public long seen(String kind, String of) {
        return plays.stream().mapToLong(play -> play.world.facts.stream().filter(fact -> fact.getClass().getSimpleName().equals(kind)
                && (of.isEmpty() || fact.toString().contains("=" + of))).count()).min().orElse(0);
    }

    /** Mails that ran more often than once under the id that a node took; a client that heard nothing gives a new one. */
    public long ranTwice() {
        Set<String> ran = new HashSet<>();
        Set<String> twice = new HashSet<>();
        for (int i = 0; i < plays.size(); i++) {
            int day = i;
            plays.get(i).world.facts.forEach(fact -> {
                if (fact instanceof Fact.Ran run && !ran.add(day + "/" + run.id())) {
                    twice.add(day + "/" + run.id());
                }
            });
        }
        return twice.size();
    }

    /**
     * By how many percent of all hand-ins those behind an open mail of their key were refused more often than the others, over
     * all seeds: open is what the same node has accepted and neither delivered nor told the end of.
     */
    public double refusedMoreBehindPercent() {
        int[] came = new int[2];
        int[] refused = new int[2];
        for (ScenarioRun play : plays) {
            Map<String, String> keyOf = new HashMap<>();
            Map<String, Set<String>> open = new HashMap<>();
            Set<String> behind = new HashSet<>();
            for (Fact fact : play.world.facts) {
                if (fact instanceof Fact.HandedIn in) {
                    keyOf.put(in.id(), in.node() + " " + in.key());
                    if (!open.getOrDefault(keyOf.get(in.id()), Set.of()).isEmpty()) {
                        behind.add(in.id());
                    }
                } else if (fact instanceof Fact.Answered answered) {
                    int kind = behind.contains(answered.id()) ? 1 : 0;
                    came[kind]++;
                    refused[kind] += answered.answer().equals("BUSY") ? 1 : 0;
                    if (answered.answer().equals("OK")) {
                        open.computeIfAbsent(keyOf.get(answered.id()), key -> new HashSet<>()).add(answered.id());
                    }
                } else if (fact instanceof Fact.Delivered delivered) {
                    open.getOrDefault(keyOf.get(delivered.id()), new HashSet<>()).remove(delivered.id());
                } else if (fact instanceof Fact.Noticed noticed) {
                    open.getOrDefault(keyOf.get(noticed.id()), new HashSet<>()).remove(noticed.id());
                }
            }
        }
        return 100.0 * refused[1] / Math.max(1, came[1]) - 100.0 * refused[0] / Math.max(1, came[0]);
    }

    /** The least, over all days, of the hand-ins that were refused. */
    public long refused() {
        return plays.stream().mapToLong(play -> play.world.facts.stream().filter(fact -> fact instanceof Fact.Answered answered
                && answered.answer().equals("BUSY")).count()).min().orElse(0);
    }

    /** How often a fault's condition did not come. */
    public long neverCame() {
        return allFacts().filter(fact -> fact instanceof Fact.NeverCame).count();
    }
}
