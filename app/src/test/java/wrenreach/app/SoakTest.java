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
import wrenreach.lab.LabCommand;

/** A few random days of the soak test on fleets of processes; longer series are run by hand. */
class SoakTest {
    @TempDir Path folder;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private int soak(String... words) {
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        return new LabCommand().run(List.of(words), print, print);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test void randomDaysSatisfyTheRules() {
        assertThat(soak("soak", "--seeds", "1..6", "--out", folder.toString())).as(output()).isZero();
        assertThat(output()).contains("6 days played, 0 failed");
    }

    /** A day that breaks a rule fails, names the rule and can be replayed: here nobody can reach the platform. */
    @Test void aDayThatBreaksARuleFails() throws Exception {
        Path day = Files.writeString(folder.resolve("bad.day"), """
                seed 5
                nodes 1
                destinations 1
                endpoints 1
                rate 30
                length 3000
                class once once_only importance 1 target 1000 lifetime 1500 share 1
                fault silent all at 200 for 9000
                fault socket_fails 0 1 at 400 for 9000
                """);
        assertThat(soak("soak", "--day", day.toString(), "--out", folder.toString())).as(output()).isEqualTo(1);
        assertThat(output()).contains("BROKEN LOST");
    }

    @Test void usageIsPrintedWithExitCode2() {
        assertThat(soak("soak")).isEqualTo(2);
        assertThat(output()).contains("--seeds A..B or --day FILE");
    }
}
