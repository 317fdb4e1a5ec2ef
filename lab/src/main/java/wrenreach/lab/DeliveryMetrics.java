package wrenreach.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import wrenreach.api.Settings;
import wrenreach.state.CircuitBreakerState;

/**
 * The results of played days, counted by mails as their writers know them: a mail that is submitted again counts once.
 * importance: the sum over the submitted mails; deliveredImportance: what of it they were worth at their delivery. A delay runs
 * from the first submission of a mail, whatever became of that, to its delivery, in microseconds.
 */
record DeliveryMetrics(int mails, int delivered, int inTime, double importance, double deliveredImportance, int calls, int violations,
               Histogram delays, List<BreakerCounts> breakerHistory) {
    /** How many circuit breakers were open and half-open from this instant on, in nanoseconds since the world's begin. */
    record BreakerCounts(long at, int open, int halfOpen) { }

    /** An empty histogram of delays in microseconds, up to an hour, with a precision of a thousandth. */
    static Histogram newDelayHistogram() {
        return new Histogram(3_600_000_000L, 3);
    }

    /** The metrics of one day; violations: how many rule violations it had. */
    static DeliveryMetrics of(List<Fact> facts, Settings settings, int violations) {
        Map<String, Fact.HandedIn> firstByTag = new HashMap<>();
        Map<String, Fact.HandedIn> firstById = new HashMap<>();
        Map<String, CircuitBreakerState.Phase> phases = new HashMap<>();
        Set<String> deliveredTags = new HashSet<>();
        List<BreakerCounts> breakers = new ArrayList<>();
        Histogram delays = newDelayHistogram();
        int calls = 0;
        int inTime = 0;
        int open = 0;
        int halfOpen = 0;
        double importance = 0;
        double worth = 0;
        for (Fact fact : facts) {
            if (fact instanceof Fact.HandedIn in) {
                if (firstByTag.putIfAbsent(in.tag(), in) == null) {
                    importance += settings.classes().get(in.queueClass()).importance();
                }
                firstById.put(in.id(), firstByTag.get(in.tag()));
            } else if (fact instanceof Fact.Called) {
                calls++;
            } else if (fact instanceof Fact.Delivered delivered && firstById.containsKey(delivered.id())
                    && deliveredTags.add(firstById.get(delivered.id()).tag())) {
                Fact.HandedIn mail = firstById.get(delivered.id());
                long delay = Math.max(0, (delivered.at() - mail.at()) / 1000);
                delays.recordValue(Math.min(delay, delays.getHighestTrackableValue()));
                Settings.QueueClass queueClass = settings.classes().get(mail.queueClass());
                inTime += delay <= queueClass.targetDelay() ? 1 : 0;
                worth += valueAtDelivery(queueClass, delay);
            } else if (fact instanceof Fact.Turned turned) {
                CircuitBreakerState.Phase previous = phases.put(turned.node() + "/" + turned.route(), turned.phase());
                open += oneIfEqual(turned.phase(), CircuitBreakerState.Phase.OPEN) - oneIfEqual(previous, CircuitBreakerState.Phase.OPEN);
                halfOpen += oneIfEqual(turned.phase(), CircuitBreakerState.Phase.HALF_OPEN) - oneIfEqual(previous, CircuitBreakerState.Phase.HALF_OPEN);
                breakers.add(new BreakerCounts(turned.at(), open, halfOpen));
            }
        }
        return new DeliveryMetrics(firstByTag.size(), deliveredTags.size(), inTime, importance, worth, calls, violations, delays, breakers);
    }

    private static int oneIfEqual(CircuitBreakerState.Phase phase, CircuitBreakerState.Phase expected) {
        return phase == expected ? 1 : 0;
    }

    /** A mail's worth when delivered after this delay: its importance up to the target delay, then falling linearly up to its lifetime. */
    static double valueAtDelivery(Settings.QueueClass queueClass, long delay) {
        double late = queueClass.lifetime() == queueClass.targetDelay() ? 1 : Math.max(0, delay - queueClass.targetDelay())
                / (double) (queueClass.lifetime() - queueClass.targetDelay());
        return queueClass.importance() * (1 - (1 - queueClass.lateImportanceShare()) * Math.min(1, late));
    }

    /** The metrics of several days as one; the breaker history is that of the first day. */
    static DeliveryMetrics merge(List<DeliveryMetrics> days) {
        Histogram delays = newDelayHistogram();
        days.forEach(day -> delays.add(day.delays));
        return new DeliveryMetrics(days.stream().mapToInt(DeliveryMetrics::mails).sum(), days.stream().mapToInt(DeliveryMetrics::delivered).sum(),
                days.stream().mapToInt(DeliveryMetrics::inTime).sum(), days.stream().mapToDouble(DeliveryMetrics::importance).sum(),
                days.stream().mapToDouble(DeliveryMetrics::deliveredImportance).sum(), days.stream().mapToInt(DeliveryMetrics::calls).sum(),
                days.stream().mapToInt(DeliveryMetrics::violations).sum(), delays, days.get(0).breakerHistory);
    }

    double deliveredShare() {
        return delivered / (double) Math.max(1, mails);
    }

    double inTimeShare() {
        return inTime / (double) Math.max(1, mails);
    }

    /** The delivered part of the importance submitted, from 0 to 1. */
    double importanceShare() {
        return importance == 0 ? 0 : deliveredImportance / importance;
    }

    double callsPerMail() {
        return calls / (double) Math.max(1, mails);
    }

    /** A percentile (0 to 100) of the delays, in milliseconds. */
    double delayPercentileMs(double percentile) {
        return delays.getValueAtPercentile(percentile) / 1000.0;
    }

    /** One row of the table that is printed after a run. */
    String tableRow(String name) {
        return String.format(Locale.ROOT, "%-26s %7d %9.1f%% %9.1f%% %9.1f%% %9.1f %9.1f %9.2f %7d", name, mails,
                100 * deliveredShare(), 100 * inTimeShare(), 100 * importanceShare(), delayPercentileMs(50), delayPercentileMs(99), callsPerMail(), violations);
    }

    /** The header of that table. */
    static String tableHeader(String kind) {
        return String.format(Locale.ROOT, "%-26s %7s %10s %10s %10s %9s %9s %9s %7s", kind, "mails", "delivered", "in time",
                "importance", "p50 ms", "p99 ms", "calls", "breaks");
    }
}
