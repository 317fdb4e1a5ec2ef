package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against mails of an order key that are lost or sent out of order: a mail had a few attempts that ended without a 200,
 * and was ended by the decisions after the last one, but neither the journal nor the platform was told. The next mail of the key was
 * sent as if it had ended. After a restart such a mail was still outstanding.
 *
 * <p>Cause: a connection whose socket can't be created reported its failure on a thread of the networking library, not on the event
 * loop. Decisions and the list of pending actions were then used by two threads at once, and an action that was added while the list
 * was processed was cleared with it. The same fleet, traffic and resets without failing sockets satisfy all rules; with failing
 * sockets, mails were sent out of order or lost, or the process ended with a ConcurrentModificationException.
 */
class OutOfOrderTest {
    @TempDir Path folder;

    /** Some sockets can't be created for eight seconds, while receivers break many connections. */
    @Test void messagesOfAKeyStayInOrderWhileSocketsCantBeMade() throws Exception {
        LabRun run = LabRun.play(folder, Files.writeString(folder.resolve("sockets.toml"), """
                [experiment]
                about = "Sockets can't be made"
                seeds = 2
                [fleet]
                nodes = 1
                destinations = 4
                endpoints = 2
                [traffic]
                rate = 60
                length = "9s"
                classes = ["order tagged importance 1 target 1000 lifetime 4000 share 1"]
                [faults]
                schedule = ["socket_fails 0 0.2 at 600 for 8000", "reset nodes-receivers 0.5 at 700 for 1 every 60"]
                """));
        assertThat(run.code()).as(run.output()).isZero();
        assertThat(run.log("1-1/n0.log")).containsPattern("made to fail so far: SOCKET [1-9]");
    }
}
