package wrenreach.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * The soak test: plays days that are generated from seeds on fleets of processes, checks each against the rules, and shrinks one that
 * violates a rule to as few faults as possible. Each day's logs and the text of a failed day are kept in the folder; the text can be
 * played again.
 */
final class Soak {
    /** Replays that the shrinking of one day may take; each takes as long as the day, since processes run in real time. */
    private static final int MAX_REPLAYS = 8;

    private final Path folder;
    private final PrintStream out;

    Soak(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    /** Plays the days of these seeds, jobs at a time; returns how many violated a rule or could not be played. */
    int play(long from, long to, int jobs) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        int failed = 0;
        try {
            List<Future<Boolean>> days = new ArrayList<>();
            for (long seed = from; seed <= to; seed++) {
                Scenario day = SoakDay.generate(seed);
                days.add(pool.submit(() -> playAndReport(day)));
            }
            for (Future<Boolean> day : days) {
                failed += day.get() ? 0 : 1;
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
        out.printf(Locale.ROOT, "%d days played, %d failed%n", to - from + 1, failed);
        return failed;
    }

    /** Plays a day again from its file; whether no rule was violated. */
    boolean replay(Path file) throws IOException, Scenario.InvalidScenarioException {
        Scenario day = Scenario.parse(Files.readAllLines(file));
        List<String> violations = violations(day, folder.resolve("again"));
        violations.forEach(what -> out.println("BROKEN " + what));
        out.println(violations.isEmpty() ? "all rules kept" : violations.size() + " breaks");
        return violations.isEmpty();
    }

    /** Plays a day and prints its result; if it fails, writes its text and shrinks it. Whether no rule was violated. */
    private boolean playAndReport(Scenario day) throws IOException {
        long begin = System.nanoTime();
        List<String> violations = violations(day, folder.resolve("seed-" + day.seed()));
        printLine(String.format(Locale.ROOT, "seed %d: %s; %d nodes, %d faults, %.0f s", day.seed(),
                violations.isEmpty() ? "kept" : "BROKEN " + violations.get(0), day.nodes(), day.faults().size(), (System.nanoTime() - begin) / 1e9));
        if (violations.isEmpty()) {
            return true;
        }
        Path file = folder.resolve("seed-" + day.seed() + ".day");
        Files.writeString(file, "# " + violations.get(0) + System.lineSeparator() + day.text());
        printLine("seed " + day.seed() + ": play it again with: bin/wrenreach lab soak --day " + file);
        shrink(day, violations.get(0));
        return false;
    }

    /** Leaves out one fault after the other as long as the same rule is still violated. */
    private void shrink(Scenario day, String violation) throws IOException {
        String rule = violation.replaceFirst(":.*", "");
        Scenario smallest = day;
        int plays = 0;
        for (int i = 0; i < smallest.faults().size() && plays < MAX_REPLAYS;) {
            List<Scenario.Fault> fewer = new ArrayList<>(smallest.faults());
            fewer.remove(i);
            plays++;
            Scenario next = smallest.with(fewer);
            if (violations(next, folder.resolve("seed-" + day.seed() + "-shrunk")).stream().anyMatch(one -> one.startsWith(rule))) {
                smallest = next;
            } else {
                i++;
            }
        }
        Path file = folder.resolve("seed-" + day.seed() + "-least.day");
        Files.writeString(file, "# " + violation + System.lineSeparator() + smallest.text());
        printLine(String.format(Locale.ROOT, "seed %d: %d of %d faults are left after %d plays, see %s", day.seed(), smallest.faults().size(),
                day.faults().size(), plays, file));
    }

    /** Plays a day; its violations, each as "RULE: what". A day that can't be played gives one entry that says so. */
    private List<String> violations(Scenario day, Path logs) throws IOException {
        Files.createDirectories(logs);
        try {
            ExperimentRunner.DayResult result = ProcessTrials.playDay(day, Experiment.Setup.NONE, 1, logs);
            result.verdict().inconclusive().forEach(one -> printLine("seed " + day.seed() + ": can't tell of " + one.rule() + ": " + one.what()));
            return result.violations().stream().map(one -> one.rule() + ": " + one.what()).toList();
        } catch (IOException e) {
            return List.of("NOT PLAYED: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("NOT PLAYED: interrupted");
        }
    }

    /** Days are played in parallel, so each line is printed as a whole. */
    private void printLine(String line) {
        synchronized (out) {
            out.println(line);
            out.flush();
        }
    }
}
