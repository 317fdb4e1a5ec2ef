package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.Submission;
import wrenreach.net.MachineClocks;

/** The node's time is the same for all processes of a boot, whatever happens to the wall clock. */
class ClockTest {
    private static final long SECOND_MICROS = 1_000_000;
    /** Milliseconds that the wall clock shows when the first process starts. */
    private static final long WALL_MS = 1_800_000_000_000L;
    private static final long HOUR_MS = 3_600_000;
    /** The one place that may read the wall clock, and those that show times to people. */
    private static final List<String> WALL_CLOCK_READERS = List.of("MachineClocks.java", "ListsCommand.java", "WatchedLists.java");
    @TempDir Path folder;

    /** Starts the clock of a process while the machine's clocks show these times. */
    private Clock startClock(Journal journal, long monotonicSeconds, long wallMs, String boot) {
        return Clock.start(Ticker.systemTicker(), new MachineClocks(() -> wallMs, () -> 1000 * SECOND_MICROS * monotonicSeconds, boot), journal,
                60 * SECOND_MICROS);
    }

    /** Seconds left to a mail that a first process has recorded with 5 s left, as a second process sees it that starts later. */
    private long secondsLeft(long secondsLater, long wallMs, String boot) throws IOException {
        try (Journal journal = Journal.open(folder, 2_000_000)) {
            Clock clock = startClock(journal, 100, WALL_MS, "first");
            journal.accepted(new HeldMail(new Submission("m1", "", "order", "shop", "", 1, new byte[1]), clock.now() + 5 * SECOND_MICROS));
            journal.write();
        }
        try (Journal journal = Journal.open(folder, 2_000_000)) {
            Clock clock = startClock(journal, 100 + secondsLater, wallMs, boot);
            return Math.round((journal.outstanding().get(0).deadline - clock.now()) / (double) SECOND_MICROS);
        }
    }

    @Test void wallClockSteppedForwardMovesNoDeadlineInTheSameBoot() throws IOException {
        assertThat(secondsLeft(2, WALL_MS + 2000 + HOUR_MS, "first")).isEqualTo(3);
    }

    @Test void wallClockSteppedBackMovesNoDeadlineInTheSameBoot() throws IOException {
        assertThat(secondsLeft(2, WALL_MS + 2000 - HOUR_MS, "first")).isEqualTo(3);
    }

    @Test void wallClockCountsAfterAnotherBoot() throws IOException {
        assertThat(secondsLeft(-90, WALL_MS + 4000, "second")).isEqualTo(1);
    }

    @Test void monotonicClockThatWentBackIsNotTrusted() throws IOException {
        assertThat(secondsLeft(-99, WALL_MS + 4000, "first")).isEqualTo(1);
    }

    @Test void wallClockIsReadInOnePlaceOnly() throws IOException {
        for (String module : List.of("decisions", "node", "ledger", "store", "lists", "app")) {
            try (Stream<Path> files = Files.walk(Path.of(module, "src/main"))) {
                for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    if (!WALL_CLOCK_READERS.contains(file.getFileName().toString())) {
                        assertThat(Files.readString(file)).as(file.toString()).doesNotContainPattern(
                                "currentTimeMillis|Instant\\.now|LocalDateTime|new Date\\(|Clock\\.system");
                    }
                }
            }
        }
    }
}
