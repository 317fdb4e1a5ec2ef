package wrenreach.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What came of a played day, by mails as their writers know them: a mail handed in again counts once. Delays run from the
 * first time that it was handed in to its delivery, in milliseconds; callsAMail: calls that came to receivers.
 */
record Figures(int mails, int delivered, int inTime, long median, long p99, double callsAMail) {
    private static final long MS = 1_000_000;

    /** targetDelay: in microseconds, as the settings have it. */
    static Figures of(List<Fact> facts, long targetDelay) {
        Map<String, Long> first = new HashMap<>();
        Map<String, String> mailOf = new HashMap<>();
        Set<String> done = new HashSet<>();
        List<Long> delays = new ArrayList<>();
        int calls = 0;
        int inTime = 0;
        for (Fact fact : facts) {
            if (fact instanceof Fact.HandedIn in) {
                first.putIfAbsent(in.tag(), in.at());
                mailOf.put(in.id(), in.tag());
            } else if (fact instanceof Fact.Called) {
                calls++;
            } else if (fact instanceof Fact.Delivered delivered && done.add(mailOf.get(delivered.id()))) {
                long delay = delivered.at() - first.get(mailOf.get(delivered.id()));
                delays.add(delay / MS);
                inTime += delay <= 1000 * targetDelay ? 1 : 0;
            }
        }
        long[] sorted = delays.stream().mapToLong(d -> d).sorted().toArray();
        return new Figures(first.size(), sorted.length, inTime, at(sorted, 0.5), at(sorted, 0.99),
                first.isEmpty() ? 0 : (double) calls / first.size());
    }

    private static long at(long[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
    }

    /** Several days as one; percentiles are the medians of the days'. */
    static Figures together(List<Figures> days) {
        long[] medians = days.stream().mapToLong(Figures::median).toArray();
        long[] p99s = days.stream().mapToLong(Figures::p99).toArray();
        Arrays.sort(medians);
        Arrays.sort(p99s);
        int mails = days.stream().mapToInt(Figures::mails).sum();
        return new Figures(mails, days.stream().mapToInt(Figures::delivered).sum(), days.stream().mapToInt(Figures::inTime).sum(),
                at(medians, 0.5), at(p99s, 0.5), days.stream().mapToDouble(f -> f.callsAMail * f.mails).sum() / Math.max(1, mails));
    }

    /** One line of a table. */
    String line(String name, int broken) {
        return String.format(Locale.ROOT, "%-14s %6d %9.1f%% %9.1f%% %8d %8d %9.2f %7d", name, mails,
                100.0 * delivered / Math.max(1, mails), 100.0 * inTime / Math.max(1, mails), median, p99, callsAMail, broken);
    }

    /** The head of such a table. */
    static String head() {
        return String.format(Locale.ROOT, "%-14s %6s %10s %10s %8s %8s %9s %7s", "emulated", "mails", "delivered", "in time",
                "p50 ms", "p99 ms", "calls/mail", "breaks");
    }
}
