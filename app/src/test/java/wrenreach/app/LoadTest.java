package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import wrenreach.lab.LabCommand;

/** Fleets of node processes with injected faults, checked by what receivers, platform and clients observe. */
@Execution(ExecutionMode.CONCURRENT)
class LoadTest {
    @TempDir Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private Path experiment(int nodes, int seeds, String fleet, String... faults) throws Exception {
        return Files.writeString(folder.resolve("load.toml"), """
                [experiment]
                about = "Real nodes"
                seeds = %d
                [fleet]
                nodes = %d
                destinations = 2
                endpoints = 2
                %s
                [traffic]
                rate = 30
                length = "5s"
                classes = [
                    "order tagged importance 1 target 1000 lifetime 2500 share 2",
                    "payment once_only importance 1 target 1000 lifetime 2500 share 1",
                ]
                [faults]
                schedule = [%s]
                """.formatted(seeds, nodes, fleet, Stream.of(faults).map(one -> '"' + one + '"').collect(Collectors.joining(", "))));
    }

    private int runLoad(Path file) {
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        return new LabCommand().run(List.of("load", file.toString(), "--out", folder.resolve("out").toString()), print, print);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Runs each schedule of faults on three processes: the faults occur and the rules hold. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "journal; kill 0 at 800 for 300, stop 1 at 1600 for 300; Died",
        "store; kill third at 800 for 300, stop 1 at 1600 for 300; Died",
        "journal; freeze 1 at 1500 for 3500; freeze",
        "journal; freeze 0 at 1000 for 1500, freeze 2 at 1400 for 1200; freeze",
        "journal; ignores_term 2 at 1000 for 300; Died",
        "journal; broken_start 0 at 800 for 1200, slow_start 1 at 1200 for 900; Died",
        "journal; old_state 1 at 1200 for 1300, readonly_state 2 at 800 for 1500; StateLost",
        "journal; lose_state 1 at 1500 for 300, vanish_node 2 at 1200 for 1000; StateLost",
        "journal; partition n0,platform|n1,clients|n2,r0 at 1000 for 1500; partition",
        "journal; cut n0>r1 at 1000 for 1200, cut r2>n1 at 1200 for 1200, deaf 2 at 1500 for 800; deaf",
        "journal; reset nodes-receivers 0.5 at 1500 for 1, delay n0-r0 80 40 at 900 for 2000, cut n0-r0 at 1500 for 600; reset",
        "journal; half clients>n0 at 1000 for 900, rate n1-platform 400 at 900 for 1500, relay_dies n2-r1 at 1200 for 800; relay_dies",
        "journal; vanish 1 at 1000 for 1500, drain 0 at 1800 for 1000, refuse n1-r2 at 800 for 1500; ToldDrain",
        "journal; reload 0 at 1200 for 1500, down 3 at 1000 for 1500, kill 2 once taken n2 20 for 300; Died"})
    void fleetsOfProcessesSatisfyTheRules(String ledger, String faults, String mark) throws Exception {
        assertThat(runLoad(experiment(3, 1, "ledger = \"" + ledger + "\"", faults.split(", ")))).as(output()).isZero();
        String[] line = Files.readAllLines(folder.resolve("out/results.csv")).get(1).split(",");
        assertThat(line[1]).isEqualTo("real nodes on loopback");
        assertThat(Integer.parseInt(line[6])).as("mails").isGreaterThan(60);
        assertThat(Integer.parseInt(line[7])).as("delivered").isGreaterThan(Integer.parseInt(line[6]) / 2);
        Path day = folder.resolve("out/days/1-1");
        assertThat(day.resolve("timeline.txt")).content().contains(mark, "n0 | ", "link | ");
        assertThat(day.resolve("n1.log")).content().contains("SERVING");
    }

    /** Tests the checks themselves: nodes that are faulty on purpose are detected, each by the rule that it breaks. */
    @ParameterizedTest
    @EnumSource(WrongNode.Wrong.class)
    void faultyNodesAreDetected(WrongNode.Wrong wrong) throws Exception {
        assertThat(runLoad(experiment(3, 2, "builds = [\"n0 = class " + WrongNode.class.getName() + " " + wrong + "\"]",
                wrong.faults.split(", ")))).as(output()).isEqualTo(1);
        assertThat(output()).contains("breaks " + wrong.rule);
    }

    @Test void unsupportedExperimentsAreRejectedBeforeAnythingStarts() throws Exception {
        assertThat(runLoad(experiment(3, 1, "builds = [\"n1 = /no/such.jar\"]", "disk_full 0 at 800 for 300", "cut n0-r9 at 1 for 1"))).isEqualTo(2);
        assertThat(output()).contains("disk_full is played in virtual time only", "there is no /no/such.jar", "fault cut: there is no r9");
        assertThat(folder.resolve("out")).doesNotExist();
    }

    /** A fault whose condition is never met is reported, and the run ends all the same. */
    @Test void aConditionThatIsNeverMetIsReported() throws Exception {
        assertThat(runLoad(experiment(1, 1, "", "kill 0 once delivered r3 100000 for 300"))).as(output()).isEqualTo(1);
        assertThat(output()).contains("NeverCame", "once delivered r3 100000");
    }

    /** Runs at the same time don't interfere with each other; a run that is killed leaves no process behind. */
    @Test void aKilledRunLeavesNoOrphanProcess() throws Exception {
        Path file = experiment(2, 9, "", "freeze 1 at 500 for 3000");
        Process run = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-cp",
                System.getProperty("java.class.path"), "wrenreach.app.Launch", "lab", "load", file.toString(), "--out",
                folder.resolve("killed").toString()).redirectErrorStream(true).redirectOutput(folder.resolve("run.log").toFile()).start();
        try {
            Set<ProcessHandle> nodes = Set.of();
            while (nodes.size() < 3) { // Two nodes and the keeper.
                assertThat(run.isAlive()).as(Files.readString(folder.resolve("run.log"))).isTrue();
                nodes = run.toHandle().children().filter(one -> one.info().command().orElse("").endsWith("java")).collect(Collectors.toSet());
                Thread.sleep(50);
            }
            Thread.sleep(1500); // By then one of them is frozen.
            run.destroyForcibly().waitFor();
            for (ProcessHandle node : nodes) {
                node.onExit().get(30, TimeUnit.SECONDS);
            }
        } finally {
            run.destroyForcibly();
        }
    }
}
