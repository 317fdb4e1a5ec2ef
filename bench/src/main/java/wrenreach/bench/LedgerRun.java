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
 * Compares the journal and the store under the same load, in alternating rounds. In each iteration a number of mails is accepted and
 * each has an attempt started, and as many of the oldest are completed.
 * Arguments: rounds, iterations per round, folder limit in bytes, mails held.
 */
public final class LedgerRun {
    /** Size of the body of each mail. */
    private static final int BODY_BYTES = 200;

    /** Result of one round; the last figure is bytes written for each byte of records. */
    private record RoundResult(double iterationsPerSecond, double p999Micros, double maxMicros, double writtenPerRecordedByte) { }

    private interface LedgerFactory {
        Ledger open(Path folder, long limit) throws IOException;
    }

    private LedgerRun() { }

    /** Prints a table with the medians of the rounds. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        int rounds = Integer.parseInt(args[0]);
        int iterations = Integer.parseInt(args[1]);
        long limit = Long.parseLong(args[2]);
        int held = Integer.parseInt(args[3]);
        Map<String, LedgerFactory> all = new LinkedHashMap<>();
        all.put("journal", Journal::open);
        all.put("store os", (folder, max) -> StoreLedger.open(folder, max, false, 0, 0));
        all.put("store os, ids known", (folder, max) -> StoreLedger.open(folder, max, false, 600_000_000, max / 10));
        all.put("store sync", (folder, max) -> StoreLedger.open(folder, max, true, 0, 0));
        System.out.printf(Locale.ROOT, "%d mails of %d bytes held, folder of %d bytes, %d rounds of %d turns%n", held, BODY_BYTES, limit, rounds,
                iterations);
        System.out.printf("%-22s %6s %12s %12s %12s %14s%n", "ledger", "mails", "turns/s", "p99.9 us", "longest us", "bytes a byte");
        for (int mails : new int[] {1, 10, 100}) {
            Map<String, List<RoundResult>> measured = new LinkedHashMap<>();
            for (int round = 0; round < rounds; round++) {
                for (Map.Entry<String, LedgerFactory> one : all.entrySet()) {
                    measured.computeIfAbsent(one.getKey(), name -> new ArrayList<>())
                            .add(round(one.getValue(), one.getKey().endsWith("sync") ? iterations / 10 : iterations, limit, held, mails));
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

    private static RoundResult round(LedgerFactory factory, int iterations, long limit, int held, int mails) throws Exception {
        Path folder = Files.createTempDirectory("wrenreach-bench-");
        Deque<HeldMail> heldMails = new ArrayDeque<>();
        Histogram times = new Histogram(3);
        long recordedBytes = 0;
        long begin;
        long writtenBefore;
        try (Ledger ledger = factory.open(folder, limit)) {
            Semaphore durable = new Semaphore(0);
            ledger.attach(Runnable::run, () -> System.err.println("failed"));
            int accepted = 0;
            while (heldMails.size() < held) {
                heldMails.add(accept(ledger, accepted++));
                write(ledger, durable);
            }
            // The first iterations warm up.
            for (int i = 0; i < iterations / 4; i++) {
                accepted = runIteration(ledger, heldMails, accepted, mails);
                write(ledger, durable);
            }
            writtenBefore = bytesWritten();
            begin = System.nanoTime();
            for (int i = 0; i < iterations; i++) {
                long from = System.nanoTime();
                accepted = runIteration(ledger, heldMails, accepted, mails);
                write(ledger, durable);
                times.recordValue(System.nanoTime() - from);
                recordedBytes += mails * 360L;
            }
        }
        double seconds = (System.nanoTime() - begin) / 1e9;
        double written = (bytesWritten() - writtenBefore) / (double) recordedBytes;
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        return new RoundResult(iterations / seconds, times.getValueAtPercentile(99.9) / 1000.0, times.getMaxValue() / 1000.0, written);
    }

    private static HeldMail accept(Ledger ledger, int number) {
        HeldMail mail = new HeldMail(new Submission("mail-" + number, "key-" + number % 50, "order", "shop", "tag-" + number,
                number % 9, new byte[BODY_BYTES]), number);
        ledger.accepted(mail);
        return mail;
    }

    private static int runIteration(Ledger ledger, Deque<HeldMail> heldMails, int accepted, int mails) {
        for (int i = 0; i < mails; i++) {
            HeldMail mail = accept(ledger, accepted + i);
            heldMails.add(mail);
            ledger.attemptStarted(mail, new RecordedAttempt(0, "endpoint-" + i % 20, 0, accepted, false));
            ledger.completed(heldMails.poll());
        }
        return accepted + mails;
    }

    private static void write(Ledger ledger, Semaphore durable) throws Exception {
        if (!ledger.write(durable::release)) {
            durable.acquire();
        }
    }

    /** Bytes that this process has passed to write calls, as Linux counts them. */
    private static long bytesWritten() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/io")).stream().filter(line -> line.startsWith("wchar"))
                .mapToLong(line -> Long.parseLong(line.substring(7).strip())).findFirst().orElse(0);
    }
}
