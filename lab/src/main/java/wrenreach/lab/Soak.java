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
 * Plays drawn days on fleets of processes, judges each by the rules, and cuts one that breaks a rule down to its fewest faults. Each
 * day's logs and its text are kept in the folder; the text can be played again.
 */
final class Soak {
    /** Plays that the cutting down of one day may take: each lasts as long as the day. */
    private static final int MAX_REPLAYS = 8;

    private final Path folder;
    private final PrintStream out;

    Soak(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    /** Plays the days of these seeds, so many at a time; how many broke a rule or could not be played. */
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

    /** Plays one day's text again; whether it kept the rules. */
    boolean replay(Path file) throws IOException, Scenario.InvalidScenarioException {
        Scenario day = Scenario.parse(Files.readAllLines(file));
        List<String> broken = violations(day, folder.resolve("again"));
        broken.forEach(what -> out.println("BROKEN " + what));
        out.println(broken.isEmpty() ? "all rules kept" : broken.size() + " breaks");
        return broken.isEmpty();
    }

    private boolean playAndReport(Scenario day) throws IOException {
        long begin = System.nanoTime();
        List<String> broken = violations(day, folder.resolve("seed-" + day.seed()));
        printLine(String.format(Locale.ROOT, "seed %d: %s; %d nodes, %d faults, %.0f s", day.seed(),
                broken.isEmpty() ? "kept" : "BROKEN " + broken.get(0), day.nodes(), day.faults().size(), (System.nanoTime() - begin) / 1e9));
        if (broken.isEmpty()) {
            return true;
        }
        Path file = folder.resolve("seed-" + day.seed() + ".day");
        Files.writeString(file, "# " + broken.get(0) + System.lineSeparator() + day.text());
        printLine("seed " + day.seed() + ": play it again with: bin/wrenreach lab soak --day " + file);
        shrink(day, broken.get(0));
        return false;
    }

    /** Leaves faults out one after the other while the same rule still breaks. */
    private void shrink(Scenario broken, String what) throws IOException {
        String rule = what.replaceFirst(":.*", "");
        Scenario least = broken;
        int plays = 0;
        for (int i = 0; i < least.faults().size() && plays < MAX_REPLAYS;) {
            List<Scenario.Fault> fewer = new ArrayList<>(least.faults());
            fewer.remove(i);
            plays++;
            Scenario next = least.with(fewer);
            if (violations(next, folder.resolve("seed-" + broken.seed() + "-shrunk")).stream().anyMatch(one -> one.startsWith(rule))) {
                least = next;
            } else {
                i++;
            }
        }
        Path file = folder.resolve("seed-" + broken.seed() + "-least.day");
        Files.writeString(file, "# " + what + System.lineSeparator() + least.text());
        printLine(String.format(Locale.ROOT, "seed %d: %d of %d faults are left after %d plays, see %s", broken.seed(), least.faults().size(),
                broken.faults().size(), plays, file));
    }

    /** What the day breaks, each as "RULE: what"; a day that can't be played is told as such. */
    private List<String> violations(Scenario day, Path logs) throws IOException {
        Files.createDirectories(logs);
        try {
            ExperimentRunner.DayResult trial = ProcessTrials.playDay(day, Experiment.Setup.NONE, 1, logs);
            trial.verdict().inconclusive().forEach(one -> printLine("seed " + day.seed() + ": can't tell of " + one.rule() + ": " + one.what()));
            return trial.violations().stream().map(one -> one.rule() + ": " + one.what()).toList();
        } catch (IOException e) {
            return List.of("NOT PLAYED: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("NOT PLAYED: interrupted");
        }
    }

    private void printLine(String line) {
        synchronized (out) {
            out.println(line);
            out.flush();
        }
    }
}
