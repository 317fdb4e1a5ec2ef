package wrenreach.lists;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.held.Journal;

/** Tests a complete node with lists from files, over loopback sockets. */
class ListsOnLoopbackTest {
    @TempDir Path folder;

    private static void awaitLabel(Loopback setup, String label) throws Exception {
        for (int i = 0; i < 2000 && !setup.status().label().equals(label); i++) {
            Thread.sleep(5);
        }
        assertThat(setup.status().label()).isEqualTo(label);
    }

    /**
     * Tests draining: a list that omits one endpoint arrives while mails are in flight. Half a second after the node read
     * it, no call goes to that endpoint any more, calls in flight end, and no mail is lost or sent twice.
     */
    @Test void anEndpointMissingFromANewListIsDrainedWithoutLoss() throws Exception {
        List<String> accepted = new ArrayList<>();
        try (Loopback setup = new Loopback(folder, 3, 5, Loopback.section(folder, 0.5, 300_000))) {
            for (int i = 0; i < 400; i++) {
                if (i == 100) {
                    setup.publish("without r1", List.of(0, 2));
                }
                if (setup.submit("m" + i).startsWith("+OK")) {
                    accepted.add("m" + i);
                }
            }
            awaitLabel(setup, "without r1");
            TimeUnit.MILLISECONDS.sleep(500);
            long callsBefore = setup.calls.stream().filter(call -> call.receiver() == 1).count();
            for (int i = 400; i < 600; i++) {
                if (setup.submit("m" + i).startsWith("+OK")) {
                    accepted.add("m" + i);
                }
            }
            setup.node.stop();
            assertThat(setup.node.stopped().get(20, TimeUnit.SECONDS)).isZero();
            assertThat(setup.calls.stream().filter(call -> call.receiver() == 1).count()).isEqualTo(callsBefore).isPositive();
            List<String> delivered = setup.calls.stream().map(Loopback.ReceivedCall::mail).toList();
            assertThat(delivered).doesNotHaveDuplicates().containsExactlyInAnyOrderElementsOf(accepted);
            assertThat(setup.notices).isEmpty();
        }
        // How many mails the decisions refuse depends on the machine's speed; with too few accepted ones the test would show nothing.
        assertThat(accepted).hasSizeGreaterThan(300);
        assertThat(Journal.read(folder.resolve("state"))).isEmpty();
    }

    /** Submits a mail as a client does that is told to come again: while as many mails as may be pending are, it is refused. */
    private static void submitUntilAccepted(Loopback setup, String id) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String reply = setup.submit(id);
        while (reply.startsWith("-BUSY") && System.nanoTime() < deadline) {
            Thread.sleep(5);
            reply = setup.submit(id);
        }
        assertThat(reply).startsWith("+OK");
    }

    /** With new lists in quick succession, each iteration of the event loop applies one complete list, and no mail is lost. */
    @Test void frequentNewListsLoseNoMail() throws Exception {
        Set<String> accepted = new HashSet<>();
        try (Loopback setup = new Loopback(folder, 4, 1, Loopback.section(folder, 1, 20_000))) {
            for (int i = 0; i < 600; i++) {
                if (i % 10 == 0) {
                    setup.publish("list " + i, List.of(i / 10 % 4, (i / 10 + 1) % 4));
                }
                if (setup.submit("m" + i).startsWith("+OK")) {
                    accepted.add("m" + i);
                }
            }
            awaitLabel(setup, "list 590");
            submitUntilAccepted(setup, "last");
            accepted.add("last");
            setup.node.stop();
            assertThat(setup.node.stopped().get(20, TimeUnit.SECONDS)).isZero();
            Set<String> delivered = new HashSet<>();
            setup.calls.forEach(call -> delivered.add(call.mail()));
            assertThat(delivered).isEqualTo(accepted);
            assertThat(setup.notices).isEmpty();
            assertThat(setup.status().acceptedCount()).isGreaterThan(10);
        }
        assertThat(accepted).hasSizeGreaterThan(500);
    }
}
