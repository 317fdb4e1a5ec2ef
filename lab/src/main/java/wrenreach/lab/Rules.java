package wrenreach.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wrenreach.api.Settings;

/**
 * The six rules, judged from a world's facts alone: what clients, receivers and the platform saw. Slack: what the
 * protocol allows a real node.
 */
final class Rules {
    /** The rules, by what breaks them. */
    enum Rule { LOST, TWICE, DRAIN, PUSHED_OVER, ORDER, WAIT }

    /** One break: where it shows, and in words. */
    record Break(Rule rule, long at, String what) { }

    private static final long MS = 1_000_000, SECOND = 1000 * MS;
    private static final long NOTICE_SLACK = 300 * MS, AFTER_READY = 1500 * MS, AFTER_CUT = 7 * SECOND, WAIT_SLACK = 100 * MS,
            DRAIN_SLACK = 50 * MS, LIST_AFTER_READY = 1000 * MS, HELD_UP = 300 * MS;

    /** A time during which a node can't be held to something. */
    private record Span(long from, long to) { }

    private final List<Break> breaks = new ArrayList<>();
    private final Map<String, List<Span>> excused = new HashMap<>();
    private final Map<String, List<Long>> serves = new HashMap<>();
    private final Map<String, List<Long>> deaths = new HashMap<>();
    private final Map<String, Fact.HandedIn> mails;
    private final List<Span> receiverCuts = new ArrayList<>();
    private final Settings settings;
    private final List<Fact> facts;
    private final long end;

    private Rules(List<Fact> facts, Settings settings, long end) {
        this.facts = facts;
        this.settings = settings;
        this.end = end;
        mails = handedIn();
    }

    /** All that broke, in the order of time; end: the instant up to which the world was played. */
    static List<Break> judge(Scenario scenario, List<Fact> facts, Settings settings, long end) {
        Rules rules = new Rules(facts, settings, end);
        rules.excuses(scenario);
        rules.lost();
        rules.twice();
        rules.drains();
        rules.order();
        rules.waits();
        for (Fact fact : facts) {
            if (fact instanceof Fact.PushedOver over) {
                rules.broke(Rule.PUSHED_OVER, over.at(), over.receiver() + " was returning and got more than it bears");
            }
        }
        rules.breaks.sort((a, b) -> Long.compare(a.at, b.at));
        return rules.breaks;
    }

    private void broke(Rule rule, long at, String what) {
        breaks.add(new Break(rule, at, what));
    }

    private void excuses(Scenario scenario) {
        // A process that dies before it serves (its disk is full) has not been back: what counts is the first death.
        Map<String, Long> gone = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Died died) {
                deaths.computeIfAbsent(died.node(), n -> new ArrayList<>()).add(died.at());
                gone.putIfAbsent(died.node(), died.at());
            } else if (fact instanceof Fact.Serves ready) {
                serves.computeIfAbsent(ready.node(), n -> new ArrayList<>()).add(ready.at());
                Long since = gone.remove(ready.node());
                excused.computeIfAbsent(ready.node(), n -> new ArrayList<>())
                        .add(new Span(since == null ? ready.at() : since, ready.at() + AFTER_READY));
            }
        }
        for (Scenario.Fault fault : scenario.faults()) {
            long from = SECOND + fault.atMs() * MS;
            Span span = new Span(from, from + fault.forMs() * MS + AFTER_CUT);
            if (fault.kind() == Scenario.Kind.CUT_PLATFORM) {
                excused.computeIfAbsent("n" + Math.floorMod(fault.which(), scenario.nodes()), n -> new ArrayList<>()).add(span);
            } else if (fault.kind() == Scenario.Kind.CUT_RECEIVER) {
                receiverCuts.add(new Span(from, from + fault.forMs() * MS + HELD_UP));
            }
        }
    }

    /** The instant by which something due is really owed. */
    private long owed(String node, long due) {
        long by = due;
        for (boolean moved = true; moved;) {
            moved = false;
            for (Span span : excused.getOrDefault(node, List.of())) {
                if (by >= span.from && by < span.to) {
                    by = span.to;
                    moved = true;
                }
            }
        }
        return by;
    }

    private Settings.QueueClass queueClass(String id) {
        Fact.HandedIn mail = mails.get(id);
        return settings.classes().get(mail == null ? 0 : mail.queueClass());
    }

    private Map<String, Fact.HandedIn> handedIn() {
        Map<String, Fact.HandedIn> all = new LinkedHashMap<>();
        facts.forEach(fact -> {
            if (fact instanceof Fact.HandedIn in) {
                all.put(in.id(), in);
            }
        });
        return all;
    }

    /** One final answer in time, none lost; what ran is not called harmless to hand in again. */
    private void lost() {
        Map<String, Long> over = new HashMap<>();
        Map<String, String> status = new HashMap<>();
        Set<String> ran = new HashSet<>();
        Map<String, Fact.Answered> taken = new LinkedHashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                taken.put(answered.id(), answered);
            } else if (fact instanceof Fact.Answered answered && answered.answer().equals("BUSY") && ran.contains(answered.id())
                    && queueClass(answered.id()).effect() != Settings.Effect.REDELIVERABLE) {
                broke(Rule.TWICE, fact.at(), answered.id() + " ran and was refused as harmless to hand in again");
            } else if (fact instanceof Fact.Ran run) {
                ran.add(run.id());
            } else if (fact instanceof Fact.Delivered delivered) {
                over.putIfAbsent(delivered.id(), delivered.at());
            } else if (fact instanceof Fact.Noticed noticed) {
                over.putIfAbsent(noticed.id(), noticed.at());
                String before = status.put(noticed.id(), noticed.status());
                if (before != null && !before.equals(noticed.status())) {
                    broke(Rule.LOST, noticed.at(), noticed.id() + " has two ends: " + before + ", " + noticed.status());
                }
                if (noticed.status().equals("deferred") && ran.contains(noticed.id())
                        && queueClass(noticed.id()).effect() == Settings.Effect.ONCE_ONLY) {
                    broke(Rule.TWICE, noticed.at(), noticed.id() + " ran once only and was ended as harmless to hand in again");
                }
            }
        }
        taken.forEach((id, answered) -> {
            Fact.HandedIn mail = mails.get(id);
            long due = owed(answered.node(), mail.until() + NOTICE_SLACK);
            long at = over.getOrDefault(id, Long.MAX_VALUE);
            if (at > due && due < end) {
                broke(Rule.LOST, due, id + " was taken on by " + answered.node() + " and "
                        + (at == Long.MAX_VALUE ? "never ended" : "ended " + (at - due) / MS + " ms too late"));
            }
        });
    }

    /** No effect twice, and no second copy beside an open one. */
    private void twice() {
        Map<String, Long> first = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Called call && call.second()) {
                broke(Rule.TWICE, call.at(), call.id() + " came to " + call.receiver() + " while an earlier copy is open there");
            } else if (fact instanceof Fact.Ran run) {
                Settings.QueueClass kind = queueClass(run.id());
                Long before = first.putIfAbsent(run.id(), run.at());
                if (before == null || kind.effect() == Settings.Effect.REDELIVERABLE) {
                    continue;
                }
                if (kind.effect() == Settings.Effect.ONCE_ONLY) {
                    broke(Rule.TWICE, run.at(), run.id() + " may run once only and ran again");
                } else if (!run.givenUp() && run.at() - before > 1000 * kind.repeatWindow()) {
                    broke(Rule.TWICE, run.at(), run.id() + " ran again " + (run.at() - before) / MS + " ms later, outside its window");
                }
            }
        }
    }

    /** Whether a cut between nodes and receivers may have held up what came then. */
    private boolean heldUp(long at) {
        return receiverCuts.stream().anyMatch(cut -> at >= cut.from && at < cut.to);
    }

    private static long latest(List<Long> times, long before) {
        return times.stream().filter(t -> t <= before).reduce(Long.MIN_VALUE / 2, Math::max);
    }

    /** A drained endpoint gets no call that begins after the grace. */
    private void drains() {
        Map<String, Long> drained = new HashMap<>();
        Map<String, Long> told = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.ToldDrain drain) {
                drained.putIfAbsent(drain.receiver(), drain.at());
                told.putIfAbsent(drain.node() + drain.receiver(), drain.at());
            } else if (fact instanceof Fact.Begun call && drained.containsKey(call.receiver())) {
                long since = told.getOrDefault(call.node() + call.receiver(), drained.get(call.receiver()));
                since = Math.max(since, latest(serves.getOrDefault(call.node(), List.of()), call.at()) + LIST_AFTER_READY);
                long until = owed(call.node(), since) + 1000 * settings.rules().drainGrace() + DRAIN_SLACK;
                if (call.at() > until && !heldUp(call.at())) {
                    broke(Rule.DRAIN, call.at(), call.node() + " began a call at " + call.receiver() + " "
                            + (call.at() - until) / MS + " ms after the grace");
                }
            }
        }
    }

    /** What a node took of one key runs in the order taken. */
    private void order() {
        Map<String, Integer> place = new HashMap<>();
        Map<String, Integer> latest = new TreeMap<>();
        int count = 0;
        for (Fact fact : facts) {
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                place.put(answered.id(), count++);
            }
        }
        for (Fact fact : facts) {
            // A copy that the network held up and the node gave up may run at any time; no node can prevent that.
            if (fact instanceof Fact.Ran run && place.containsKey(run.id()) && !run.givenUp()) {
                Fact.HandedIn mail = mails.get(run.id());
                int own = place.get(run.id());
                int before = latest.merge(mail.node() + "/" + mail.key(), own, Math::max);
                if (before > own) {
                    broke(Rule.ORDER, run.at(), run.id() + " ran after a later mail of its key " + mail.key());
                }
            }
        }
    }

    /** A told wait holds its destination until it is over or the node has restarted. */
    private void waits() {
        Map<String, Fact.ToldWait> waits = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.ToldWait wait) {
                boolean heard = !heldUp(wait.at());
                Fact.ToldWait before = waits.get(wait.node() + "/" + wait.destination());
                if (heard && (before == null || before.at() + before.length() < wait.at() + wait.length())) {
                    waits.put(wait.node() + "/" + wait.destination(), wait);
                }
            } else if (fact instanceof Fact.Called call) {
                Fact.ToldWait wait = waits.get(call.node() + "/" + call.destination());
                if (wait != null && call.at() > wait.at() + WAIT_SLACK && call.at() < wait.at() + wait.length()
                        && latest(deaths.getOrDefault(call.node(), List.of()), call.at()) < wait.at()) {
                    broke(Rule.WAIT, call.at(), call.node() + " called destination " + call.destination() + " "
                            + (wait.at() + wait.length() - call.at()) / MS + " ms before its wait was over");
                }
            }
        }
    }
}
