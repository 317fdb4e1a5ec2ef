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

/** One time for all processes of a boot, whatever becomes of the wall clock. */
class ClockTest {
    private static final long SECOND = 1_000_000, WALL_MS = 1_800_000_000_000L, HOUR_MS = 3_600_000;
    /** The one place that may read the wall clock; what stays are times shown to people. */
    private static final List<String> MAY_READ_THE_WALL = List.of("MachineClocks.java", "ListsCommand.java", "WatchedLists.java");
    @TempDir Path folder;

    /** A process that starts when the machine shows these times; it owes a message with 5 s left. */
    private Clock process(Journal journal, long monotonicSeconds, long wallMs, String boot) {
        return Clock.start(Ticker.systemTicker(), new MachineClocks(() -> wallMs, () -> 1000 * SECOND * monotonicSeconds, boot), journal,
                60 * SECOND);
    }

    private long left(long secondsLater, long wallMs, String boot) throws IOException {
        try (Journal journal = Journal.open(folder, 2_000_000)) {
            Clock clock = process(journal, 100, WALL_MS, "first");
            journal.taken(new HeldMail(new Submission("m1", "", "order", "shop", "", 1, new byte[1]), clock.now() + 5 * SECOND));
            journal.write();
        }
        try (Journal journal = Journal.open(folder, 2_000_000)) {
            Clock clock = process(journal, 100 + secondsLater, wallMs, boot);
            return Math.round((journal.owed().get(0).endsBy - clock.now()) / (double) SECOND);
        }
    }

    @Test void aSteppedWallClockMovesNoDeadlineInTheSameBoot() throws IOException {
        assertThat(left(2, WALL_MS + 2000 + HOUR_MS, "first")).isEqualTo(3);
    }

    @Test void norDoesOneThatIsSetBack() throws IOException {
        assertThat(left(2, WALL_MS + 2000 - HOUR_MS, "first")).isEqualTo(3);
    }

    @Test void afterAnotherBootTheWallIsBelieved() throws IOException {
        assertThat(left(-90, WALL_MS + 4000, "second")).isEqualTo(1);
    }

    @Test void aMonotonicClockThatWentBackIsNotBelieved() throws IOException {
        assertThat(left(-99, WALL_MS + 4000, "first")).isEqualTo(1);
    }

    @Test void theWallIsReadInOnePlaceOnly() throws IOException {
        for (String module : List.of("decisions", "node", "ledger", "store", "lists", "app")) {
            try (Stream<Path> files = Files.walk(Path.of(module, "src/main"))) {
                for (Path file : files.filter(one -> one.toString().endsWith(".java")).toList()) {
                    if (!MAY_READ_THE_WALL.contains(file.getFileName().toString())) {
                        assertThat(Files.readString(file)).as(file.toString()).doesNotContainPattern(
                                "currentTimeMillis|Instant\\.now|LocalDateTime|new Date\\(|Clock\\.system");
                    }
                }
            }
        }
    }
}
