package wrenreach.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.api.Settings;
import wrenreach.state.CircuitBreakerState;

/** Experiments from their files to the files of a run, and the parsing and the metrics that they rest on. */
class ExperimentTest {
    private static final Logger ROOT_LOGGER = Logger.getLogger("");
    private static final String SMALL_EXPERIMENT = """
            [experiment]
            about = "A small one"
            seeds = 2
            dispatchers = ["wrenreach", "plain breaker"]
            [fleet]
            nodes = 1
            destinations = 1
            [traffic]
            rate = 15
            length = "3s"
            [faults]
            schedule = ["down 0 at 500 for 1500"]
            [sweep]
            figure = "size"
            values = [1, 2]
            """;
    @TempDir Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @BeforeAll static void disableLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ROOT_LOGGER.setLevel(Level.OFF);
    }

    private int runLab(String... words) {
        out.reset();
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        return new LabCommand().run(List.of(words), print, print);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private Path writeExperiment(String text) throws Exception {
        return Files.writeString(folder.resolve("experiment.toml"), text);
    }

    @Test void runWritesFiguresAndReportThatDoNotDependOnJobs() throws Exception {
        String file = writeExperiment(SMALL_EXPERIMENT).toString();
        assertThat(runLab("run", file, "--out", folder.resolve("a").toString(), "--jobs", "1")).as(output()).isZero();
        String print = output().lines().reduce((x, y) -> y).orElseThrow();
        assertThat(print).hasSize(64);
        assertThat(runLab("run", file, "--out", folder.resolve("b").toString(), "--jobs", "4")).isZero();
        assertThat(output().lines().reduce((x, y) -> y)).contains(print);
        for (String name : List.of("results.csv", "delays.hlog", "breakers.csv")) {
            assertThat(folder.resolve("a").resolve(name)).hasSameBinaryContentAs(folder.resolve("b").resolve(name));
        }
        assertThat(Files.readAllLines(folder.resolve("a/results.csv"))).hasSize(1 + 8);
        String page = Files.readString(folder.resolve("a/report.html"));
        assertThat(page).contains("A small one", "Delivered importance", "Calls a mail", "Delays, size 2", "Breakers not closed",
                "data:image/png;base64,").doesNotContain("http:").doesNotContain("https:").doesNotContain("src=\"/");
        RunFiles.Run read = RunFiles.read(folder.resolve("a"));
        assertThat(read.metrics().keySet()).containsExactly(1, 2);
        DeliveryMetrics point = read.metrics().get(2).get("wrenreach");
        assertThat((long) point.delivered()).isPositive().isEqualTo(point.delays().getTotalCount());
        assertThat(point.breakerHistory()).isNotEmpty();
        assertThat(runLab("beside", folder.resolve("a").toString(), folder.resolve("b").toString(), "--out",
                folder.resolve("two.html").toString())).isZero();
        assertThat(folder.resolve("two.html")).content().contains("What differs", "&rarr;");
    }

    @Test void reportsEveryFileErrorWithItsLineAndWritesNothing() throws Exception {
        Path file = writeExperiment("""
                [experiment]
                about = "Wrong"
                seeds = 0
                dispatchers = ["wrenreach", "luck"]
                [fleet]
                node = 3
                [traffic]
                rate = 10
                classes = [
                    "order tagged importance 1 target 2000 lifetime 8000 share 1",
                    "order twice importance 1 target 2000 lifetime 8000 share 1",
                ]
                [faults]
                schedule = ["down 0 at 500", "melt 0 at 1 for 1"]
                """);
        Path result = folder.resolve("result");
        assertThat(runLab("run", file.toString(), "--out", result.toString())).isEqualTo(2);
        assertThat(output()).contains(file + ":3: experiment.seeds:", file + ":4: experiment.dispatchers: luck is not known",
                file + ":6: fleet.node: is not known", file + ":11: traffic.classes: twice is not known",
                file + ":14: faults.schedule: is no fault of the form", "melt is not known");
        assertThat(result).doesNotExist();
        assertThat(runLab("run", writeExperiment("[experiment\n").toString(), "--out", result.toString())).isEqualTo(2);
        assertThat(runLab("run", writeExperiment("[experiment]\nabout = \"x\"\n").toString(), "--out", result.toString())).isEqualTo(2);
        assertThat(output()).contains("fleet: is missing", "traffic: is missing");
        assertThat(runLab("run", folder.resolve("none.toml").toString(), "--out", result.toString())).isEqualTo(2);
        assertThat(runLab("run", file.toString())).isEqualTo(2);
        assertThat(runLab("run", file.toString(), "--out", result.toString(), "--jobs", "0")).isEqualTo(2);
    }

    @Test void rejectsUnwritableFolderBeforePlaying() throws Exception {
        String file = writeExperiment(SMALL_EXPERIMENT).toString();
        Path there = Files.writeString(folder.resolve("there"), "a file");
        assertThat(runLab("run", file, "--out", there.toString())).isEqualTo(1);
        assertThat(runLab("run", file, "--out", there.resolve("under").toString())).isEqualTo(1);
        Path full = Files.createDirectory(folder.resolve("full"));
        Files.writeString(full.resolve("kept"), "");
        assertThat(runLab("run", file, "--out", full.toString())).isEqualTo(1);
        assertThat(there).hasContent("a file");
        try (Stream<Path> all = Files.list(folder)) {
            assertThat(all.map(one -> one.getFileName().toString())).containsExactlyInAnyOrder("experiment.toml", "there", "full");
        }
        assertThat(runLab("beside", full.toString(), full.toString(), "--out", folder.resolve("two.html").toString())).isEqualTo(1);
    }

    @Test void parsesBundledExperiments() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("lab/experiments"))) {
            List<Path> all = files.sorted().toList();
            assertThat(all).hasSizeGreaterThanOrEqualTo(5);
            for (Path one : all) {
                Experiment read = Experiment.read(one);
                assertThat(read.about().dispatchers()).as(one.toString()).contains("wrenreach", "plain breaker");
                assertThat(Scenario.parse(read.scenarioAt(2, 1).text().lines().toList())).isEqualTo(read.scenarioAt(2, 1));
            }
        }
        Experiment down = Experiment.read(Path.of("lab/experiments/one-down.toml"));
        assertThat(down.scenarioAt(100, 0).nodes()).isEqualTo(300);
        assertThat(down.scenarioAt(100, 0).rate()).isEqualTo(500);
        assertThat(Experiment.read(Path.of("lab/experiments/replacement.toml")).scenarioAt(1, 0).faults()).hasSize(59)
                .extracting(Scenario.Fault::target).startsWith("1", "2", "3");
    }

    @Test void computesMetricsFromFacts() {
        Settings.QueueClass urgent = new Settings.QueueClass(1_000_000, 3_000_000, 4, 0.5, false, Settings.Effect.TAGGED,
                Settings.DeduplicationScope.ALL, 0, true);
        assertThat(DeliveryMetrics.valueAtDelivery(urgent, 900_000)).isEqualTo(4);
        assertThat(DeliveryMetrics.valueAtDelivery(urgent, 2_000_000)).isCloseTo(3, within(1e-9));
        assertThat(DeliveryMetrics.valueAtDelivery(urgent, 9_000_000)).isCloseTo(2, within(1e-9));
        Settings base = ScenarioRun.of(Scenario.generate(1).with(List.of()).with(Scenario.Figure.LENGTH, 1000), Baseline::singleAttempt).settings;
        Settings.QueueClass c = base.classes().get(0);
        long second = 1_000_000_000L;
        List<Fact> facts = List.of(new Fact.HandedIn(second, "m0.0", "n0", 0, 0, "k", "m0", 9 * second),
                new Fact.HandedIn(2 * second, "m0.1", "n0", 0, 0, "k", "m0", 9 * second),
                new Fact.HandedIn(2 * second, "m1.0", "n0", 0, 0, "k", "m1", 9 * second),
                new Fact.Called(2 * second, "m0.1", "n0", "r0", 0, false), new Fact.Delivered(3 * second, "m0.1", "r0"),
                new Fact.Delivered(4 * second, "m0.0", "r0"),
                new Fact.Turned(5 * second, "n0", "d", CircuitBreakerState.Phase.OPEN),
                new Fact.Turned(6 * second, "n0", "d", CircuitBreakerState.Phase.HALF_OPEN),
                new Fact.Turned(7 * second, "n0", "d", CircuitBreakerState.Phase.CLOSED));
        DeliveryMetrics figures = DeliveryMetrics.of(facts, base, 0);
        assertThat(figures.mails()).isEqualTo(2);
        assertThat(figures.delivered()).isEqualTo(1);
        assertThat(figures.callsPerMail()).isEqualTo(0.5);
        assertThat(figures.delayPercentileMs(50)).isCloseTo(2000, within(2.0));
        assertThat(figures.importanceShare()).isCloseTo(DeliveryMetrics.valueAtDelivery(c, 2_000_000) / (2 * c.importance()), within(1e-9));
        assertThat(figures.breakerHistory()).extracting(DeliveryMetrics.BreakerCounts::open).containsExactly(1, 0, 0);
        assertThat(figures.breakerHistory()).extracting(DeliveryMetrics.BreakerCounts::halfOpen).containsExactly(0, 1, 0);
    }

    /** The baseline's circuit breaker, as in the original source: nothing is sent while it is open, then one trial at a time. */
    @Test void baselineBreakerOpensAndProbes() throws Exception {
        Scenario day = Scenario.parse(List.of("seed 2", "rate 40", "length 9000", "fault down 0 at 2000 for 3000"));
        ScenarioRun plain = ScenarioRun.of(day, Baseline::withCircuitBreaker);
        assertThat(plain.world.facts.stream().filter(f -> f instanceof Fact.Turned).map(f -> ((Fact.Turned) f).phase()))
                .startsWith(CircuitBreakerState.Phase.OPEN, CircuitBreakerState.Phase.HALF_OPEN).endsWith(CircuitBreakerState.Phase.CLOSED);
    }

    @Test void repeatedFaultHitsTheNextTargetEachTime() {
        assertThat(FaultText.parse("kill 1 at 100 for 50 every 300", 800)).extracting(Scenario.Fault::text)
                .containsExactly("fault kill 1 at 100 for 50", "fault kill 2 at 400 for 50", "fault kill 3 at 700 for 50");
        assertThatThrownBy(() -> FaultText.parse("kill 1 at 100", 800)).hasMessageContaining("KIND WHICH [FIGURE [MORE]] at MS");
        assertThatThrownBy(() -> Scenario.parseQueueClass("a tagged importance 1 target 9 lifetime 8 share 1"))
                .hasMessageContaining("no longer than its lifetime");
    }
}
