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
import java.util.function.IntConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import wrenreach.DeliveryDispatcher;
import wrenreach.frame.Command;
import wrenreach.operator.Unit;

/** The command wrenreach lab: plays experiments, generated days and soak tests with whole nodes, and checks them against the rules. */
public final class LabCommand implements Command {
    /** Fleets of processes that a soak plays in parallel by default; with more, the observers would be late themselves. */
    private static final int DEFAULT_SOAK_JOBS = 3;

    @Override public String name() {
        return "lab";
    }

    @Override public List<String> usage() {
        return List.of("lab run EXPERIMENT.toml --out DIR [--jobs N]   plays an experiment; DIR gets its figures and report.html",
                "lab load EXPERIMENT.toml --out DIR   plays the same traffic against real nodes on loopback, in real time",
                "lab beside DIR DIR --out FILE.html   lays two runs side by side",
                "lab explore --seeds A..B [--for 60s] [--out found] [--jobs N]   plays the days drawn from these seeds; what breaks a "
                + "rule is cut down and kept in the folder",
                "lab replay FILE      plays a kept day again and prints its timeline",
                "lab soak --seeds A..B [--out soak] [--jobs N]   plays days drawn from these seeds on fleets of processes, N at a time",
                "lab soak --day FILE [--out soak]   plays a kept day of the soak again");
    }

    @Override public int run(List<String> words, PrintStream out, PrintStream err) {
        // Thousands of nodes start and stop here; their log lines for operators would only be noise.
        Logger.getLogger("").setLevel(Level.OFF);
        Options known = new Options();
        for (String option : List.of("out", "jobs", "seeds", "for", "day")) {
            known.addOption(Option.builder().longOpt(option).hasArg().get());
        }
        try {
            CommandLine line = new DefaultParser().parse(known, words.toArray(String[]::new));
            List<String> args = line.getArgList();
            String action = args.isEmpty() ? "" : args.get(0);
            int jobs = parseJobs(line.getOptionValue("jobs", Integer.toString(Runtime.getRuntime().availableProcessors())));
            if ((action.equals("run") || action.equals("load")) && args.size() == 2 && line.hasOption("out")) {
                return runExperiment(Path.of(args.get(1)), Path.of(line.getOptionValue("out")), action.equals("load") ? 0 : jobs, out, err);
            } else if (action.equals("beside") && args.size() == 3 && line.hasOption("out")) {
                return compareRuns(Path.of(args.get(1)), Path.of(args.get(2)), Path.of(line.getOptionValue("out")), out);
            } else if (action.equals("explore") && args.size() == 1 && line.getOptionValue("seeds", "").matches("\\d{1,9}\\.\\.\\d{1,9}")) {
                String[] seeds = line.getOptionValue("seeds").split("\\.\\.");
                return new SeedExplorer(Path.of(line.getOptionValue("out", "found")), out).explore(Long.parseLong(seeds[0]),
                        Long.parseLong(seeds[1]), 1000 * Unit.DURATION.parse(line.getOptionValue("for", "60s")), jobs);
            } else if (action.equals("replay") && args.size() == 2) {
                return replay(Path.of(args.get(1)), out, err);
            }
            if (action.equals("soak") && args.size() == 1) {
                return soak(line, line.hasOption("jobs") ? jobs : DEFAULT_SOAK_JOBS, out, err);
            }
            throw new ParseException(action.isEmpty() ? "lab: what is to be done?" : "lab " + action + ": not so");
        } catch (ParseException | IllegalArgumentException e) {
            err.println("wrenreach: " + e.getMessage());
            usage().forEach(usageLine -> err.println("usage: wrenreach " + usageLine));
            return 2;
        } catch (IOException e) {
            err.println("wrenreach: " + e);
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static int soak(CommandLine line, int jobs, PrintStream out, PrintStream err) throws ParseException, IOException, InterruptedException {
        Soak soak = new Soak(Path.of(line.getOptionValue("out", "soak")), out);
        if (line.hasOption("day")) {
            try {
                return soak.replay(Path.of(line.getOptionValue("day"))) ? 0 : 1;
            } catch (Scenario.InvalidScenarioException e) {
                err.println(line.getOptionValue("day") + ": " + e.getMessage());
                return 2;
            }
        }
        String[] seeds = line.getOptionValue("seeds", "").split("\\.\\.");
        if (seeds.length != 2 || !seeds[0].matches("\\d{1,9}") || !seeds[1].matches("\\d{1,9}")) {
            throw new ParseException("lab soak: --seeds A..B or --day FILE is asked for");
        }
        return soak.play(Long.parseLong(seeds[0]), Long.parseLong(seeds[1]), jobs) == 0 ? 0 : 1;
    }

    private static int parseJobs(String text) {
        if (!text.matches("[1-9]\\d{0,2}")) {
            throw new IllegalArgumentException("--jobs is a number from 1 to 999, not " + text);
        }
        return Integer.parseInt(text);
    }

    /** jobs: days that are played in parallel in virtual time; 0: real nodes, one day after the other. */
    private static int runExperiment(Path file, Path folder, int jobs, PrintStream out, PrintStream err)
            throws IOException, InterruptedException {
        Experiment experiment;
        try {
            experiment = Experiment.read(file);
        } catch (Experiment.InvalidExperimentException e) {
            err.println(e.getMessage());
            return 2;
        } catch (IOException e) {
            err.println("wrenreach: " + file + " can't be read: " + e);
            return 2;
        }
        boolean real = jobs == 0;
        List<String> objections = real ? ProcessTrials.objections(experiment) : experiment.objections(false);
        if (!objections.isEmpty()) {
            objections.forEach(objection -> err.println(file + ": " + objection));
            return 2;
        }
        int count = experiment.sweep().values().size() * (real ? 1 : experiment.about().dispatchers().size())
                * experiment.about().seeds();
        try (RunFiles files = new RunFiles(folder)) {
            boolean interactive = System.console() != null;
            IntConsumer progress = done -> {
                if (interactive) {
                    err.printf("\r%d of %d days played%s", done, count, done == count ? "\n" : "");
                    err.flush();
                }
            };
            List<ExperimentRunner.DayResult> results = real ? ProcessTrials.play(experiment, files.logFolder(), progress)
                    : ExperimentRunner.play(experiment, jobs, progress);
            files.write(experiment, results, real);
            out.println(experiment.about().about());
            out.println(DeliveryMetrics.tableHeader((real ? "real nodes, " : "emulated, ") + experiment.sweep().figure()));
            ExperimentRunner.mergeDays(results).forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, metrics) ->
                    out.println(metrics.tableRow(value + " " + dispatcher))));
            int failures = 0;
            for (ExperimentRunner.DayResult result : results) {
                if (result.dispatcher().equals("wrenreach")) {
                    result.violations().forEach(one -> out.println("seed " + result.seed() + " breaks " + one.rule() + ": " + one.what()));
                    failures += result.violations().size() + result.unmetConditions().size();
                    result.verdict().inconclusive().forEach(one -> out.println("seed " + result.seed() + " can't tell of " + one.rule() + ": "
                            + one.what() + "; those who watched were late themselves"));
                    result.unmetConditions().forEach(what -> out.println("seed " + result.seed() + ":" + what));
                }
            }
            out.println("report: " + folder.resolve("report.html"));
            out.println(ExperimentRunner.fingerprint(results));
            return failures == 0 ? 0 : 1;
        }
    }

    private static int compareRuns(Path left, Path right, Path file, PrintStream out) throws IOException {
        String page = new Report().page(left.toString(), RunFiles.read(left), right.toString(), RunFiles.read(right));
        Files.writeString(file, page);
        out.println("report: " + file);
        return 0;
    }

    /** Plays generated days in parallel, and reports them in the order of their seeds. */
    private record SeedExplorer(Path folder, PrintStream out) {
        private record PlayedDay(Scenario scenario, List<Rules.Violation> violations, long emulatedNanos) { }

        int explore(long from, long to, long nanos, int jobs) throws IOException, InterruptedException {
            Files.createDirectories(folder);
            ExecutorService pool = Executors.newFixedThreadPool(jobs);
            long begin = System.nanoTime();
            long emulated = 0;
            int played = 0;
            int failed = 0;
            try {
                for (long seed = from; seed <= to && System.nanoTime() - begin < nanos; seed += 4L * jobs) {
                    List<Future<PlayedDay>> pending = new ArrayList<>();
                    for (long one = seed; one <= to && one < seed + 4L * jobs; one++) {
                        Scenario scenario = Scenario.generate(one);
                        pending.add(pool.submit(() -> play(scenario)));
                    }
                    for (Future<PlayedDay> one : pending) {
                        PlayedDay day = one.get();
                        played++;
                        emulated += day.emulatedNanos;
                        if (!day.violations.isEmpty()) {
                            failed++;
                            saveShrunk(day);
                        }
                    }
                }
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            } finally {
                pool.shutdownNow();
            }
            double took = (System.nanoTime() - begin) / 1e9;
            out.printf(Locale.ROOT, "%d days played, %d broke a rule; %.0f emulated seconds in %.1f s, %.0f days an hour%n", played,
                    failed, emulated / 1e9, took, played / took * 3600);
            return failed == 0 ? 0 : 1;
        }

        private static PlayedDay play(Scenario scenario) {
            ScenarioRun play = ScenarioRun.of(scenario, DeliveryDispatcher::new);
            return new PlayedDay(scenario, Rules.judge(scenario, play.world.facts, play.settings, play.world.now()), play.world.now());
        }

        /** Shrinks a day that violates a rule and writes its text to the folder. */
        private void saveShrunk(PlayedDay day) throws IOException {
            Rules.Violation first = day.violations.get(0);
            Scenario smallest = new ScenarioShrinker(DeliveryDispatcher::new).shrink(day.scenario, first.rule());
            Path file = folder.resolve(first.rule().name().toLowerCase(Locale.ROOT) + "-" + day.scenario.seed() + ".day");
            Files.writeString(file, "# " + first.what() + System.lineSeparator() + smallest.text());
            out.printf("seed %d breaks %s: %s; kept as %s with %d faults%n", day.scenario.seed(), first.rule(), first.what(), file,
                    smallest.faults().size());
        }
    }

    private static int replay(Path file, PrintStream out, PrintStream err) throws IOException {
        Scenario scenario;
        try {
            scenario = Scenario.parse(Files.readAllLines(file));
        } catch (Scenario.InvalidScenarioException e) {
            err.println(file + ": " + e.getMessage());
            return 2;
        }
        ScenarioRun play = ScenarioRun.of(scenario, DeliveryDispatcher::new);
        play.timeline().forEach(out::println);
        List<Rules.Violation> breaks = Rules.judge(scenario, play.world.facts, play.settings, play.world.now());
        breaks.forEach(one -> out.printf(Locale.ROOT, "%10.4f s  BROKEN %s: %s%n", (one.at() - World.START_NS) / 1e9, one.rule(),
                one.what()));
        out.println(play.world.factsHash());
        return breaks.isEmpty() ? 0 : 1;
    }
}
