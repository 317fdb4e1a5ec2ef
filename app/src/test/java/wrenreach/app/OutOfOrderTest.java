package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The story: messages with an ordering key were accepted, attempted a few times, and each attempt ended without a 200. Then nothing
 * more was heard of them, and the next message of the key went out as if they had ended. After a restart one of them was found owed.
 *
 * <p>The order of events: the last attempt of the earlier message ends; the decisions end the message and let its key go on; the host
 * never carries that decision out, so neither the journal nor the platform hears of it; the later message is sent.
 *
 * <p>The cause: a connection whose socket can't be made reports its failure on a thread of the networking library's own, not on the
 * event loop. Decisions and the list of answers to be carried out were then used by two threads at once, and an answer that was
 * added while the list was being carried out was cleared with it. Proof: the same fleet, traffic and resets without failing
 * sockets keeps all rules; with them, messages go out of turn or are lost, or the process ends with a
 * ConcurrentModificationException.
 */
class OutOfOrderTest {
    @TempDir Path folder;

    /** Some of the machine's sockets can't be made for eight seconds, while receivers break many connections. */
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
