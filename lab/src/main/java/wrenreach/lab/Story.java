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
 * A test scenario of an in-memory fleet, built in steps: the fleet and its traffic, the faults, then the results over several seeds.
 * It uses the same faults, simulated peers and rules as the rest of the lab. Times are in milliseconds unless noted otherwise.
 */
public final class Story {
    /** Lines of the timeline that are shown up to a violation. */
    private static final int LINES_BEFORE = 25;
    /** Lines of the timeline that are shown after a violation. */
    private static final int LINES_AFTER = 5;
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

    /** rate: mails a second over all nodes. */
    public Story traffic(int rate, int lengthMs) {
        figures.put(Scenario.Figure.RATE, rate);
        figures.put(Scenario.Figure.LENGTH, lengthMs);
        return this;
    }

    /** Adds a class of the form NAME EFFECT importance X target MS lifetime MS share N. */
    public Story queueClass(String text) {
        classes.add(Scenario.parseQueueClass(text));
        return this;
    }

    /** Nodes keep accepted mails in the store instead of the journal. */
    public Story store() {
        figures.put(Scenario.Figure.LEDGER, 2);
        return this;
    }

    /** Adds a fault, written as in experiments; throws IllegalArgumentException if the text is invalid. */
    public Story fault(String text) {
        faults.addAll(FaultText.parse(text, figures.getOrDefault(Scenario.Figure.LENGTH, Scenario.Figure.LENGTH.defaultValue)));
        return this;
    }

    /** Plays the scenario once with each seed from 1 to seeds. */
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

    /** Up to five violations of the first day that has any, with the timeline around the first of them; empty if there is none. */
    public String breaches() {
        StringBuilder text = new StringBuilder();
        for (ScenarioRun play : plays) {
            List<Rules.Violation> breaks = Rules.judge(play.scenario, play.world.facts, play.settings, play.world.now());
            if (!breaks.isEmpty()) {
                breaks.stream().limit(5).forEach(one -> text.append(String.format(Locale.ROOT, "seed %d, %.3f s: %s: %s%n",
                        play.scenario.seed(), (one.at() - World.START_NS) / 1e9, one.rule(), one.what())));
                return text.append(timelineAround(play, breaks.get(0))).toString();
            }
        }
        return "";
    }

    /** The timeline of a violation: the facts of its mail, faults and restarts, up to a second after it. */
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

    /** The percentage of the submitted mails that was delivered, over all seeds. */
    public double deliveredPercent() {
        int mails = 0;
        int delivered = 0;
        for (ScenarioRun play : plays) {
            DeliveryMetrics metrics = DeliveryMetrics.of(play.world.facts, play.settings, 0);
            mails += metrics.mails();
            delivered += metrics.delivered();
        }
        return 100.0 * delivered / Math.max(1, mails);
    }

    /** The maximum number of calls that arrived at a receiver within withinMs, on any day; from (inclusive), to (exclusive): since the day's begin. */
    public int mostCalls(String receiver, int withinMs, int from, int to) {
        int max = 0;
        for (ScenarioRun play : plays) {
            List<Long> calls = play.world.facts.stream().filter(fact -> fact instanceof Fact.Called called
                    && called.receiver().equals(receiver)).map(fact -> (fact.at() - World.START_NS) / ScenarioRun.NS_PER_MS)
                    .filter(at -> at >= from && at < to).toList();
            for (int first = 0, last = 0; last < calls.size(); last++) {
                while (calls.get(last) - calls.get(first) >= withinMs) {
                    first++;
                }
                max = Math.max(max, last - first + 1);
            }
        }
        return max;
    }

    /** The minimum over all days of how often a kind of fact (Died, Serves, ToldWait, ...) was recorded of a party or mail; empty: of any. */
    public long seen(String kind, String of) {
        return plays.stream().mapToLong(play -> play.world.facts.stream().filter(fact -> fact.getClass().getSimpleName().equals(kind)
                && (of.isEmpty() || fact.toString().contains("=" + of))).count()).min().orElse(0);
    }

    /** How many mails ran more than once under the same id; a client that got no reply submits its mail again with a new id. */
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
     * The percentage of refused submissions among those behind an open mail of their key, minus that among the others, over all
     * seeds. A mail is open while its node has accepted it and it was neither delivered nor its ending notified.
     */
    public double refusedMoreBehindPercent() {
        int[] submitted = new int[2];
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
                    int group = behind.contains(answered.id()) ? 1 : 0;
                    submitted[group]++;
                    refused[group] += answered.answer().equals("BUSY") ? 1 : 0;
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
        return 100.0 * refused[1] / Math.max(1, submitted[1]) - 100.0 * refused[0] / Math.max(1, submitted[0]);
    }

    /** The minimum over all days of the number of refused submissions. */
    public long refused() {
        return plays.stream().mapToLong(play -> play.world.facts.stream().filter(fact -> fact instanceof Fact.Answered answered
                && answered.answer().equals("BUSY")).count()).min().orElse(0);
    }

    /** How many faults did not begin because their trigger was not met. */
    public long neverCame() {
        return allFacts().filter(fact -> fact instanceof Fact.NeverCame).count();
    }
}
