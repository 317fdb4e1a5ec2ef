package wrenreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.Ledger;
import wrenreach.held.RecordedAttempt;
import wrenreach.held.Submission;
import wrenreach.ledger.StoreLedger;

/**
 * The journal and the store under the same turns, in rounds that take turns: a mail is taken, goes out, and the oldest is over.
 * Arguments: rounds, turns a round, folder limit in bytes, mails held.
 */
public final class LedgerRun {
    private static final int BODY_BYTES = 200;

    private record RoundResult(double iterationsPerSecond, double p999Micros, double maxMicros, double writtenPerRecordedByte) { }

    private interface LedgerFactory {
        Ledger open(Path folder, long limit) throws IOException;
    }

    private LedgerRun() { }

    /** Prints a table; the median of the rounds. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        int rounds = Integer.parseInt(args[0]);
        int turns = Integer.parseInt(args[1]);
        long limit = Long.parseLong(args[2]);
        int held = Integer.parseInt(args[3]);
        Map<String, LedgerFactory> all = new LinkedHashMap<>();
        all.put("journal", Journal::open);
        all.put("store os", (folder, most) -> StoreLedger.open(folder, most, false, 0, 0));
        all.put("store os, ids known", (folder, most) -> StoreLedger.open(folder, most, false, 600_000_000, most / 10));
        all.put("store sync", (folder, most) -> StoreLedger.open(folder, most, true, 0, 0));
        System.out.printf(Locale.ROOT, "%d mails of %d bytes held, folder of %d bytes, %d rounds of %d turns%n", held, BODY_BYTES, limit, rounds,
                turns);
        System.out.printf("%-22s %6s %12s %12s %12s %14s%n", "ledger", "mails", "turns/s", "p99.9 us", "longest us", "bytes a byte");
        for (int mails : new int[] {1, 10, 100}) {
            Map<String, List<RoundResult>> measured = new LinkedHashMap<>();
            for (int round = 0; round < rounds; round++) {
                for (Map.Entry<String, LedgerFactory> one : all.entrySet()) {
                    measured.computeIfAbsent(one.getKey(), name -> new ArrayList<>())
                            .add(round(one.getValue(), one.getKey().endsWith("sync") ? turns / 10 : turns, limit, held, mails));
                }
            }
            measured.forEach((name, list) -> System.out.printf(Locale.ROOT, "%-22s %6d %12.0f %12.0f %12.0f %14.2f%n", name, mails,
                    median(list.stream().map(RoundResult::iterationsPerSecond).toList()), median(list.stream().map(RoundResult::p999Micros).toList()),
                    median(list.stream().map(RoundResult::maxMicros).toList()), median(list.stream().map(RoundResult::writtenPerRecordedByte).toList())));
        }
    }

    private static double median(List<Double> all) {
        return all.stream().sorted().toList().get(all.size() / 2);
    }

    private static RoundResult round(LedgerFactory opens, int turns, long limit, int held, int mails) throws Exception {
        Path folder = Files.createTempDirectory("wrenreach-bench-");
        Deque<HeldMail> under = new ArrayDeque<>();
        Histogram times = new Histogram(3);
        long noted = 0;
        long begin;
        long wroteBefore;
        try (Ledger ledger = opens.open(folder, limit)) {
            Semaphore lasts = new Semaphore(0);
            ledger.attach(Runnable::run, () -> System.err.println("failed"));
            int made = 0;
            while (under.size() < held) {
                under.add(accept(ledger, made++));
                write(ledger, lasts);
            }
            // The first turns warm up.
            for (int i = 0; i < turns / 4; i++) {
                made = runIteration(ledger, under, made, mails);
                write(ledger, lasts);
            }
            wroteBefore = bytesWritten();
            begin = System.nanoTime();
            for (int i = 0; i < turns; i++) {
                long from = System.nanoTime();
                made = runIteration(ledger, under, made, mails);
                write(ledger, lasts);
                times.recordValue(System.nanoTime() - from);
                noted += mails * 360L;
            }
        }
        double seconds = (System.nanoTime() - begin) / 1e9;
        double written = (bytesWritten() - wroteBefore) / (double) noted;
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(one);
            }
        }
        return new RoundResult(turns / seconds, times.getValueAtPercentile(99.9) / 1000.0, times.getMaxValue() / 1000.0, written);
    }

    private static HeldMail accept(Ledger ledger, int number) {
        HeldMail mail = new HeldMail(new Submission("mail-" + number, "key-" + number % 50, "order", "shop", "tag-" + number,
                number % 9, new byte[BODY_BYTES]), number);
        ledger.accepted(mail);
        return mail;
    }

    private static int runIteration(Ledger ledger, Deque<HeldMail> under, int made, int mails) {
        for (int i = 0; i < mails; i++) {
            HeldMail mail = accept(ledger, made + i);
            under.add(mail);
            ledger.attemptStarted(mail, new RecordedAttempt(0, "endpoint-" + i % 20, 0, made, false));
            ledger.completed(under.poll());
        }
        return made + mails;
    }

    private static void write(Ledger ledger, Semaphore lasts) throws Exception {
        if (!ledger.write(lasts::release)) {
            lasts.acquire();
        }
    }

    /** Bytes that this process has handed to the system to write, as Linux counts them. */
    private static long bytesWritten() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/io")).stream().filter(line -> line.startsWith("wchar"))
                .mapToLong(line -> Long.parseLong(line.substring(7).strip())).findFirst().orElse(0);
    }
}
