package wrenreach.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import wrenreach.api.Settings;

/**
 * Checks the delivery rules against the facts of one run only: what clients, receivers and the platform observed. The slack
 * constants are the tolerances that the protocol grants a real node. Times are in nanoseconds since the world's begin.
 */
final class Rules {
    /**
     * The rules, named by their violation, each with its check; a new rule is added only here. The first six are guarantees of
     * the product. UNTRUE: a final status that the mail's own receiver contradicts. UNTRIED: mails that a process had accepted
     * and that its successor gave up without a call. DIED: a process that ended although nobody had ended it.
     */
    enum Rule {
        LOST(Rules::checkEndings), TWICE(Rules::checkDuplicates), DRAIN(Rules::checkDrains), PUSHED_OVER(Rules::checkOverload), ORDER(Rules::checkOrder),
        WAIT(Rules::checkRetryAfter), UNTRUE(Rules::checkFinalStatus), UNTRIED(Rules::checkUntried), DIED(Rules::checkDeaths);

        private final Consumer<Rules> check;

        Rule(Consumer<Rules> check) {
            this.check = check;
        }
    }

    /** One violation of a rule: when it was observed, and a description. */
    record Violation(Rule rule, long at, String what) { }

    /** violations: proven; inconclusive: found while the observers were late themselves, so that their clocks prove nothing. */
    record Verdict(List<Violation> violations, List<Violation> inconclusive) { }

    /** A millisecond in nanoseconds. */
    private static final long MS = 1_000_000;
    /** A second in nanoseconds. */
    private static final long SECOND = 1000 * MS;
    /** After the end of a mail's lifetime, for its ending to reach the platform. */
    private static final long NOTICE_SLACK = 300 * MS;
    /** After a node serves again, or a freeze or a fault of its state folder is over, before anything is overdue. */
    private static final long RECOVERY_SLACK = 1500 * MS;
    /** After a fault of a link, during which the node is still excused, or counts as affected by it. */
    private static final long RECONNECT_SLACK = 7 * SECOND;
    /** After a retry-after was written, during which calls may still arrive. */
    private static final long RETRY_AFTER_SLACK = 100 * MS;
    /** After the drain grace, before a call that begins is a violation. */
    private static final long DRAIN_SLACK = 50 * MS;
    /** After a node serves, until it has to know its first endpoint list. */
    private static final long FIRST_LIST_SLACK = 1000 * MS;
    /** After a fault of a link to a receiver, during which data that the fault held up may still arrive. */
    private static final long LATE_ARRIVAL_SLACK = 300 * MS;
    /** After a receiver has answered, before the node counts as having seen the response. */
    private static final long RESPONSE_SLACK = 50 * MS;
    /** Before and after a time at which the observers were late; in it, rules that depend on clocks are inconclusive. */
    private static final long LATE_OBSERVER_MARGIN = SECOND;
    /** The rule UNTRIED judges only days on which restarts found at least so many untried mails; fewer prove nothing. */
    private static final int MIN_UNTRIED_MAILS = 10;
    /** The rule UNTRIED counts only mails with more than this left of their lifetime, in nanoseconds. */
    private static final long MIN_TIME_LEFT = SECOND;

    /** A time from (inclusive) to (exclusive), in which a node is excused from a rule or was affected by a fault. */
    private record Span(long from, long to) { }

    private final List<Violation> violations = new ArrayList<>();
    /** By node: when nothing can be demanded of it; what falls due then is due at the end of the span. */
    private final Map<String, List<Span>> excusedSpans = new HashMap<>();
    private final Map<String, List<Long>> readyTimes = new HashMap<>();
    private final Map<String, List<Long>> deathTimes = new HashMap<>();
    /** By mail id, in the order of submission. */
    private final Map<String, Fact.HandedIn> mails;
    /** When links between nodes and receivers were disturbed, with the time in which held-up data may still arrive. */
    private final List<Span> receiverLinkFaults = new ArrayList<>();
    /** By node: when a fault affected the process or one of its links. */
    private final Map<String, List<Span>> nodeFaults = new HashMap<>();
    /** By node: when its state folder was last lost or replaced by an earlier one. */
    private final Map<String, Long> stateLostAt = new HashMap<>();
    /** Mails submitted before their node lost its state: they may be lost or repeated. */
    private final Set<String> forgottenMails = new HashSet<>();
    private final Settings settings;
    private final List<Fact> facts;
    private final long end;

    private Rules(List<Fact> facts, Settings settings, long end) {
        this.facts = facts;
        this.settings = settings;
        this.end = end;
        mails = submissions();
    }

    /** All violations in the order of time, inconclusive ones left out; end: the instant up to which the world was played. */
    static List<Violation> judge(Scenario scenario, List<Fact> facts, Settings settings, long end) {
        return verdict(scenario, facts, settings, end).violations;
    }

    /**
     * As {@link #judge}, with the inconclusive violations: those of rules that depend on clocks, around the instants at which the
     * observers were late. ORDER, TWICE and DIED do not depend on clocks and are always judged.
     */
    static Verdict verdict(Scenario scenario, List<Fact> facts, Settings settings, long end) {
        Rules rules = new Rules(facts, settings, end);
        rules.collectExcuses(scenario);
        for (Rule rule : Rule.values()) {
            rule.check.accept(rules);
        }
        rules.violations.sort((a, b) -> Long.compare(a.at, b.at));
        List<Span> lateSpans = facts.stream().filter(fact -> fact instanceof Fact.Late).map(fact -> new Span(
                fact.at() - ((Fact.Late) fact).length() - LATE_OBSERVER_MARGIN, fact.at() + LATE_OBSERVER_MARGIN)).toList();
        Map<Boolean, List<Violation>> byDoubt = rules.violations.stream().collect(Collectors.partitioningBy(one -> one.rule != Rule.ORDER
                && one.rule != Rule.TWICE && one.rule != Rule.DIED && lateSpans.stream().anyMatch(span -> one.at >= span.from && one.at < span.to)));
        return new Verdict(byDoubt.get(false), byDoubt.get(true));
    }

    private void checkOverload() {
        for (Fact fact : facts) {
            if (fact instanceof Fact.PushedOver over) {
                addViolation(Rule.PUSHED_OVER, over.at(), over.receiver() + " was returning and got more than it bears");
            }
        }
    }

    private void addViolation(Rule rule, long at, String what) {
        violations.add(new Violation(rule, at, what));
    }

    private void collectExcuses(Scenario scenario) {
        // A process that dies before it serves (its disk is full) was never back, so the span begins at the first death.
        Map<String, Long> downSince = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Died died) {
                deathTimes.computeIfAbsent(died.node(), n -> new ArrayList<>()).add(died.at());
                downSince.putIfAbsent(died.node(), died.at());
            } else if (fact instanceof Fact.Fault fault && (fault.of().kind() == FaultKind.STOP
                    || fault.of().kind() == FaultKind.IGNORES_TERM)) {
                // From the signal on the node is stopping, and nothing is overdue until it serves again.
                fault.of().targetIndexes(scenario.nodes()).forEach(i -> downSince.putIfAbsent("n" + i, fault.at()));
            } else if (fact instanceof Fact.Serves ready) {
                readyTimes.computeIfAbsent(ready.node(), n -> new ArrayList<>()).add(ready.at());
                Long since = downSince.remove(ready.node());
                excusedSpans.computeIfAbsent(ready.node(), n -> new ArrayList<>())
                        .add(new Span(since == null ? ready.at() : since, ready.at() + RECOVERY_SLACK));
            }
        }
        for (Fact fact : facts) {
            if (fact instanceof Fact.Fault fault) {
                excuseFault(fault, scenario);
            } else if (fact instanceof Fact.StateLost lost) {
                stateLostAt.put(lost.node(), lost.at());
            }
        }
        // A state folder that is lost, or an earlier one, no longer holds these mails or holds them although they have ended:
        // no ending can be demanded for them, and they may be delivered again.
        for (Fact fact : facts) {
            if (fact instanceof Fact.HandedIn in && in.at() <= stateLostAt.getOrDefault(in.node(), -1L)) {
                forgottenMails.add(in.id());
            }
        }
    }

    private void excuseFault(Fact.Fault fault, Scenario scenario) {
        Scenario.Fault of = fault.of();
        Span during = new Span(fault.at(), fault.until() + RECONNECT_SLACK);
        switch (of.kind()) {
            case FREEZE -> of.targetIndexes(scenario.nodes()).forEach(i ->
                    addSpan(excusedSpans, "n" + i, new Span(fault.at(), fault.until() + RECOVERY_SLACK)));
            case CUT_PLATFORM, NOTICES_REFUSED -> of.targetIndexes(scenario.nodes()).forEach(i -> addSpan(excusedSpans, "n" + i, during));
            case FOLDER_FAILS -> of.targetIndexes(scenario.nodes()).forEach(i ->
                    addSpan(excusedSpans, "n" + i, new Span(fault.at(), fault.until() + RECOVERY_SLACK)));
            case TRANSFER_FAILS -> of.targetIndexes(scenario.nodes()).forEach(i -> addSpan(nodeFaults, "n" + i, during));
            case CUT_RECEIVER -> {
                receiverLinkFaults.add(new Span(fault.at(), fault.until() + LATE_ARRIVAL_SLACK));
                of.targetIndexes(scenario.nodes()).forEach(i -> addSpan(nodeFaults, "n" + i, during));
            }
            default -> {
                if (of.kind().targetType == FaultKind.TargetType.LINK || of.kind().targetType == FaultKind.TargetType.SETS || of.kind() == FaultKind.MUTE
                        || of.kind() == FaultKind.DEAF) {
                    FaultText.directedLinks(of, scenario.nodes(), scenario.destinations() * scenario.endpoints())
                            .forEach(link -> addLinkFault(link, fault, during));
                }
            }
        }
    }

    private void addLinkFault(FaultText.DirectedLink link, Fact.Fault fault, Span during) {
        boolean fromNode = link.from().matches("n\\d+");
        String node = fromNode ? link.from() : link.to();
        String other = fromNode ? link.to() : link.from();
        addSpan(nodeFaults, node, during);
        if (other.startsWith("platform-")) {
            addSpan(excusedSpans, node, during);
        } else if (other.matches("r\\d+")) {
            long heldUpLonger = fault.of().kind() == FaultKind.DELAY ? (long) (MS * (fault.of().figure() + fault.of().more()))
                    : fault.of().kind() == FaultKind.RATE ? 2 * SECOND : 0;
            receiverLinkFaults.add(new Span(fault.at(), fault.until() + LATE_ARRIVAL_SLACK + heldUpLonger));
        }
    }

    private static void addSpan(Map<String, List<Span>> spans, String of, Span span) {
        spans.computeIfAbsent(of, n -> new ArrayList<>()).add(span);
    }

    /** The instant by which a node has to do what is due: moved to the end of the node's excused spans that it falls into. */
    private long dueBy(String node, long due) {
        long dueBy = due;
        for (boolean moved = true; moved;) {
            moved = false;
            for (Span span : excusedSpans.getOrDefault(node, List.of())) {
                if (dueBy >= span.from && dueBy < span.to) {
                    dueBy = span.to;
                    moved = true;
                }
            }
        }
        return dueBy;
    }

    private Settings.QueueClass queueClass(String id) {
        Fact.HandedIn mail = mails.get(id);
        return settings.classes().get(mail == null ? 0 : mail.queueClass());
    }

    private Map<String, Fact.HandedIn> submissions() {
        Map<String, Fact.HandedIn> all = new LinkedHashMap<>();
        facts.forEach(fact -> {
            if (fact instanceof Fact.HandedIn in) {
                all.put(in.id(), in);
            }
        });
        return all;
    }

    /**
     * Each accepted mail gets exactly one ending in time. Being refused or deferred tells a client that it may safely submit a mail
     * again, so a refused mail never runs, and a mail that ran is not refused unless redeliverable, nor deferred if once only.
     */
    private void checkEndings() {
        Map<String, Long> endedAt = new HashMap<>();
        Map<String, String> statuses = new HashMap<>();
        Set<String> ran = new HashSet<>();
        Set<String> refused = new HashSet<>();
        Map<String, Fact.Answered> accepted = new LinkedHashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                accepted.put(answered.id(), answered);
            } else if (fact instanceof Fact.Answered answered && answered.answer().equals("BUSY") && ran.contains(answered.id())
                    && queueClass(answered.id()).effect() != Settings.Effect.REDELIVERABLE && !forgottenMails.contains(answered.id())) {
                addViolation(Rule.TWICE, fact.at(), answered.id() + " ran and was refused as harmless to hand in again");
            } else if (fact instanceof Fact.Answered answered && answered.answer().equals("BUSY")) {
                refused.add(answered.id());
            } else if (fact instanceof Fact.Ran run) {
                ran.add(run.id());
                if (refused.contains(run.id()) && !forgottenMails.contains(run.id())) {
                    addViolation(Rule.TWICE, run.at(), run.id() + " was refused as harmless to hand in again and ran all the same");
                }
            } else if (fact instanceof Fact.Delivered delivered) {
                endedAt.putIfAbsent(delivered.id(), delivered.at());
            } else if (fact instanceof Fact.Noticed noticed) {
                endedAt.putIfAbsent(noticed.id(), noticed.at());
                String before = statuses.put(noticed.id(), noticed.status());
                if (before != null && !before.equals(noticed.status()) && !forgottenMails.contains(noticed.id())) {
                    addViolation(Rule.LOST, noticed.at(), noticed.id() + " has two ends: " + before + ", " + noticed.status());
                }
                if (noticed.status().equals("deferred") && ran.contains(noticed.id())
                        && queueClass(noticed.id()).effect() == Settings.Effect.ONCE_ONLY && !forgottenMails.contains(noticed.id())) {
                    addViolation(Rule.TWICE, noticed.at(), noticed.id() + " ran once only and was ended as harmless to hand in again");
                }
            }
        }
        accepted.forEach((id, answered) -> {
            Fact.HandedIn mail = mails.get(id);
            long due = dueBy(answered.node(), mail.until() + NOTICE_SLACK);
            long at = endedAt.getOrDefault(id, Long.MAX_VALUE);
            if (at > due && due < end && !forgottenMails.contains(id)) {
                addViolation(Rule.LOST, due, id + " was taken on by " + answered.node() + " and "
                        + (at == Long.MAX_VALUE ? "never ended" : "ended " + (at - due) / MS + " ms too late"));
            }
        });
    }

    /** No effect happens twice where it must not, and no second copy of a mail is sent while an earlier one is open. */
    private void checkDuplicates() {
        Map<String, Long> firstRunAt = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Called call && call.second()) {
                addViolation(Rule.TWICE, call.at(), call.id() + " came to " + call.receiver() + " while an earlier copy is open there");
            } else if (fact instanceof Fact.Ran run) {
                Settings.QueueClass queueClass = queueClass(run.id());
                Long before = firstRunAt.putIfAbsent(run.id(), run.at());
                if (before == null || queueClass.effect() == Settings.Effect.REDELIVERABLE || forgottenMails.contains(run.id())) {
                    continue;
                }
                if (queueClass.effect() == Settings.Effect.ONCE_ONLY) {
                    addViolation(Rule.TWICE, run.at(), run.id() + " may run once only and ran again");
                } else if (!run.givenUp() && !mayBeHeldUp(run.at()) && run.at() - before > 1000 * queueClass.deduplicationWindow()) {
                    addViolation(Rule.TWICE, run.at(), run.id() + " ran again " + (run.at() - before) / MS + " ms later, outside its window");
                }
            }
        }
    }

    /** Whether a fault of a link to a receiver may have held up what arrived at this instant. */
    private boolean mayBeHeldUp(long at) {
        return receiverLinkFaults.stream().anyMatch(cut -> at >= cut.from && at < cut.to);
    }

    /** The last of these times that is not after the given one; a very early instant if there is none. */
    private static long latestUpTo(List<Long> times, long before) {
        return times.stream().filter(t -> t <= before).reduce(Long.MIN_VALUE / 2, Math::max);
    }

    /** A draining endpoint gets no call that begins after the drain grace, counted from when the node could know of the drain. */
    private void checkDrains() {
        Map<String, Long> drainingSince = new HashMap<>();
        Map<String, Long> nodeToldAt = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.ToldDrain drain) {
                drainingSince.putIfAbsent(drain.receiver(), drain.at());
                nodeToldAt.putIfAbsent(drain.node() + drain.receiver(), drain.at());
            } else if (fact instanceof Fact.Begun call && drainingSince.containsKey(call.receiver())) {
                long since = nodeToldAt.getOrDefault(call.node() + call.receiver(), drainingSince.get(call.receiver()));
                since = Math.max(since, latestUpTo(readyTimes.getOrDefault(call.node(), List.of()), call.at()) + FIRST_LIST_SLACK);
                long until = dueBy(call.node(), since) + 1000 * settings.rules().drainGrace() + DRAIN_SLACK;
                if (call.at() > until && !mayBeHeldUp(call.at())) {
                    addViolation(Rule.DRAIN, call.at(), call.node() + " began a call at " + call.receiver() + " "
                            + (call.at() - until) / MS + " ms after the grace");
                }
            }
        }
    }

    /** A message is not sent while an earlier one of its key, accepted by the same node before it was submitted, has not ended. */
    private void checkSendOrder() {
        Map<String, List<String>> unended = new HashMap<>();
        Map<String, List<String>> before = new HashMap<>();
        Set<String> ended = new HashSet<>();
        Set<String> reported = new HashSet<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.HandedIn in) {
                before.put(in.id(), List.copyOf(unended.getOrDefault(in.node() + "/" + in.key(), List.of())));
            } else if (fact instanceof Fact.Answered answered && answered.answer().equals("OK") && !ended.contains(answered.id())) {
                // One that was delivered before its client heard that it was accepted is not open any more.
                unended.computeIfAbsent(orderScope(answered.id()), key -> new ArrayList<>()).add(answered.id());
            } else if (fact instanceof Fact.Delivered delivered && mails.containsKey(delivered.id()) && ended.add(delivered.id())) {
                unended.getOrDefault(orderScope(delivered.id()), new ArrayList<>()).remove(delivered.id());
            } else if (fact instanceof Fact.Noticed noticed && mails.containsKey(noticed.id()) && ended.add(noticed.id())) {
                unended.getOrDefault(orderScope(noticed.id()), new ArrayList<>()).remove(noticed.id());
            } else if (fact instanceof Fact.Called called && mails.containsKey(called.id())) {
                List<String> open = unended.getOrDefault(orderScope(called.id()), List.of());
                before.getOrDefault(called.id(), List.of()).stream().filter(id -> open.contains(id) && !forgottenMails.contains(id)
                        && reported.add(called.id() + " " + id)).forEach(id -> addViolation(Rule.ORDER, called.at(),
                        called.id() + " was sent before " + id + " of its key " + mails.get(id).key() + " had ended"));
            }
        }
    }

    /** The node and order key within which this mail keeps its order. */
    private String orderScope(String id) {
        Fact.HandedIn mail = mails.get(id);
        return mail.node() + "/" + mail.key();
    }

    /** No process ends by itself, whatever system calls of its machine fail and whatever its peers do. */
    private void checkDeaths() {
        for (Fact fact : facts) {
            if (fact instanceof Fact.Died died && died.byItself()) {
                addViolation(Rule.DIED, died.at(), died.node() + " ended by itself");
            }
        }
    }

    /** The mails of one key that a node accepted are sent one after the other and run in the order of acceptance. */
    private void checkOrder() {
        checkSendOrder();
        Map<String, Integer> positions = new HashMap<>();
        Map<String, Integer> latest = new TreeMap<>();
        int count = 0;
        for (Fact fact : facts) {
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                positions.put(answered.id(), count++);
            }
        }
        for (Fact fact : facts) {
            // A copy that the node gave up or that the network held up may run at any time; no node can prevent that.
            if (fact instanceof Fact.Ran run && positions.containsKey(run.id()) && !run.givenUp() && !mayBeHeldUp(run.at()) && !forgottenMails.contains(run.id())) {
                Fact.HandedIn mail = mails.get(run.id());
                int position = positions.get(run.id());
                int before = latest.merge(mail.node() + "/" + mail.key(), position, Math::max);
                if (before > position) {
                    addViolation(Rule.ORDER, run.at(), run.id() + " ran after a later mail of its key " + mail.key());
                }
            }
        }
    }

    /** A node sends no call to a destination before its retry-after is over, unless the node has restarted since. */
    private void checkRetryAfter() {
        Map<String, Fact.ToldWait> waits = new HashMap<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.ToldWait wait) {
                boolean arrived = !mayBeHeldUp(wait.at());
                Fact.ToldWait before = waits.get(wait.node() + "/" + wait.destination());
                if (arrived && (before == null || before.at() + before.length() < wait.at() + wait.length())) {
                    waits.put(wait.node() + "/" + wait.destination(), wait);
                }
            } else if (fact instanceof Fact.Called call) {
                Fact.ToldWait wait = waits.get(call.node() + "/" + call.destination());
                if (wait != null && call.at() > wait.at() + RETRY_AFTER_SLACK && call.at() < wait.at() + wait.length()
                        && latestUpTo(deathTimes.getOrDefault(call.node(), List.of()), call.at()) < wait.at()) {
                    addViolation(Rule.WAIT, call.at(), call.node() + " called destination " + call.destination() + " "
                            + (wait.at() + wait.length() - call.at()) / MS + " ms before its wait was over");
                }
            }
        }
    }

    /**
     * A mail that a receiver answered with 200, on a connection that its node keeps open, is neither reported undelivered nor sent
     * again. Not judged where the node died, a link of it had a fault, or the node had closed the connection by the time the
     * response arrived.
     */
    private void checkFinalStatus() {
        Map<String, Fact.Delivered> delivered = new HashMap<>();
        Set<String> closed = new HashSet<>();
        for (Fact fact : facts) {
            if (fact instanceof Fact.Delivered one) {
                delivered.putIfAbsent(one.id(), one);
            } else if (fact instanceof Fact.Closed one && delivered.containsKey(one.id())
                    && one.at() - delivered.get(one.id()).at() < RESPONSE_SLACK) {
                closed.add(one.id());
            } else if (fact instanceof Fact.Noticed noticed) {
                checkContradiction(delivered.get(noticed.id()), closed, noticed.node(), noticed.at(), "was told as " + noticed.status());
            } else if (fact instanceof Fact.Called called) {
                checkContradiction(delivered.get(called.id()), closed, called.node(), called.at(), "was sent again");
            }
        }
    }

    /**
     * Mails that a process accepted and never called are called by the next process: at most half of such mails of a day may end
     * without a call. Not judged: mails with little time left, and mails during whose remaining lifetime a receiver or a link had a
     * fault after the node was back.
     */
    private void checkUntried() {
        List<Span> disturbances = facts.stream().filter(fact -> fact instanceof Fact.Fault fault && (fault.of().kind().targetType == FaultKind.TargetType.RECEIVER
                || fault.of().kind().targetType == FaultKind.TargetType.LINK || fault.of().kind().targetType == FaultKind.TargetType.SETS
                || fault.of().kind() == FaultKind.CUT_RECEIVER || fault.of().kind() == FaultKind.MUTE
                || fault.of().kind() == FaultKind.DEAF)).map(fact -> new Span(fact.at(), ((Fact.Fault) fact).until())).toList();
        Map<String, String> open = new LinkedHashMap<>();
        Set<String> foundUntried = new HashSet<>();
        int givenUp = 0;
        for (Fact fact : facts) {
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                open.put(answered.id(), answered.node());
            } else if (fact instanceof Fact.Called called) {
                open.remove(called.id());
            } else if (fact instanceof Fact.Noticed noticed && open.remove(noticed.id()) != null) {
                givenUp += foundUntried.contains(noticed.id()) ? 1 : 0;
            } else if (fact instanceof Fact.Serves back) {
                open.forEach((id, node) -> {
                    long until = mails.get(id).until();
                    if (node.equals(back.node()) && until - back.at() > MIN_TIME_LEFT && !forgottenMails.contains(id)
                            && disturbances.stream().noneMatch(span -> span.from < until && span.to > back.at())) {
                        foundUntried.add(id);
                    }
                });
            }
        }
        if (foundUntried.size() >= MIN_UNTRIED_MAILS && 2 * givenUp > foundUntried.size()) {
            addViolation(Rule.UNTRIED, end, givenUp + " of " + foundUntried.size() + " mails that restarts found untried ended with no call");
        }
    }

    /** Reports what contradicts a receiver's answer, unless the node could not have known the answer. */
    private void checkContradiction(Fact.Delivered answer, Set<String> closed, String node, long at, String what) {
        if (answer == null || closed.contains(answer.id()) || forgottenMails.contains(answer.id()) || at - answer.at() < RESPONSE_SLACK) {
            return;
        }
        long startedAt = latestUpTo(readyTimes.getOrDefault(node, List.of()), answer.at());
        boolean died = deathTimes.getOrDefault(node, List.of()).stream().anyMatch(death -> death >= startedAt && death <= at);
        boolean disturbed = nodeFaults.getOrDefault(node, List.of()).stream()
                .anyMatch(span -> span.from < span.to && span.from <= at && span.to > answer.at());
        if (!died && !disturbed) {
            addViolation(Rule.UNTRUE, at, answer.id() + " " + what + " " + (at - answer.at()) / MS + " ms after " + answer.receiver()
                    + " had answered 200");
        }
    }
}
