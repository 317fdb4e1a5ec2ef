package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.lab.LabCommand;

class LoadTest {
    @TempDir Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int load(String ledger, String faults) throws Exception {
        out.reset();
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        Path file = Files.writeString(folder.resolve("load.toml"), """
                [experiment]
                about = "Real nodes"
                seeds = 1
                [fleet]
                nodes = 2
                ledger = "%s"
                destinations = 2
                [traffic]
                rate = 30
                length = "3s"
                classes = ["order tagged importance 1 target 1000 lifetime 2500 share 1"]
                [faults]
                schedule = [%s]
                """.formatted(ledger, faults));
        return new LabCommand().run(List.of("load", file.toString(), "--out", folder.resolve("out").toString()), print, print);
    }

    /** A node of its own process is killed, another is told to stop; each is started again and nothing is lost or doubled. */
    @ParameterizedTest
    @ValueSource(strings = {"journal", "store"})
    void realNodesBearTheSameTrafficAndTheirProcessesEndWithIt(String ledger) throws Exception {
        assertThat(load(ledger, "\"kill 0 at 800 for 300\", \"stop 1 at 1600 for 300\"")).as(out.toString(StandardCharsets.UTF_8)).isZero();
        String[] line = Files.readAllLines(folder.resolve("out/results.csv")).get(1).split(",");
        assertThat(line[1]).isEqualTo("real nodes on loopback");
        assertThat(Integer.parseInt(line[6])).as("mails").isGreaterThan(40);
        assertThat(Integer.parseInt(line[7])).as("delivered").isGreaterThan(Integer.parseInt(line[6]) / 2);
        assertThat(ProcessHandle.current().descendants().filter(ProcessHandle::isAlive)
                .filter(one -> one.info().commandLine().orElse("").contains("wrenreach.app.Launch"))).isEmpty();
    }

    @Test void whatLoopbackCantPlayIsSaidBeforeAnythingStarts() throws Exception {
        assertThat(load("journal", "\"cut_platform 0 at 800 for 300\", \"disk_full 0 at 800 for 300\"")).isEqualTo(2);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("cut_platform is played in virtual time only", "disk_full is");
        assertThat(folder.resolve("out")).doesNotExist();
    }
}
