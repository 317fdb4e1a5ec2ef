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

/** The whole node with lists from files, on sockets. */
class ListsOnLoopbackTest {
    @TempDir Path folder;

    private static void awaitLabel(Loopback all, String label) throws Exception {
        for (int i = 0; i < 2000 && !all.status().label().equals(label); i++) {
            Thread.sleep(5);
        }
        assertThat(all.status().label()).isEqualTo(label);
    }

    /**
     * Guards the rule on drains: with mails under way a list without one endpoint comes. Half a second after the node
     * read it no byte goes there any more, calls that are out end, and no mail is lost or sent twice.
     */
    @Test void anEndpointMissingFromANewListIsDrainedWithoutLoss() throws Exception {
        List<String> taken = new ArrayList<>();
        try (Loopback all = new Loopback(folder, 3, 5, Loopback.section(folder, 0.5, 300_000))) {
            for (int i = 0; i < 400; i++) {
                if (i == 100) {
                    all.publish("without r1", List.of(0, 2));
                }
                if (all.submit("m" + i).startsWith("+OK")) {
                    taken.add("m" + i);
                }
            }
            awaitLabel(all, "without r1");
            TimeUnit.MILLISECONDS.sleep(500);
            long before = all.calls.stream().filter(call -> call.receiver() == 1).count();
            for (int i = 400; i < 600; i++) {
                if (all.submit("m" + i).startsWith("+OK")) {
                    taken.add("m" + i);
                }
            }
            all.node.stop();
            assertThat(all.node.stopped().get(20, TimeUnit.SECONDS)).isZero();
            assertThat(all.calls.stream().filter(call -> call.receiver() == 1).count()).isEqualTo(before).isPositive();
            List<String> got = all.calls.stream().map(Loopback.ReceivedCall::mail).toList();
            assertThat(got).doesNotHaveDuplicates().containsExactlyInAnyOrderElementsOf(taken);
            assertThat(all.notices).isEmpty();
        }
        // How many the module turns away depends on the machine's speed; most of them show that the test is not empty.
        assertThat(taken).hasSizeGreaterThan(300);
        assertThat(Journal.read(folder.resolve("state"))).isEmpty();
    }

    /** Guards mails under a stream of new lists: each turn takes one whole list, and none of them costs a mail. */
    @Test void frequentNewListsLoseNoMail() throws Exception {
        Set<String> taken = new HashSet<>();
        try (Loopback all = new Loopback(folder, 4, 1, Loopback.section(folder, 1, 20_000))) {
            for (int i = 0; i < 600; i++) {
                if (i % 10 == 0) {
                    all.publish("list " + i, List.of(i / 10 % 4, (i / 10 + 1) % 4));
                }
                if (all.submit("m" + i).startsWith("+OK")) {
                    taken.add("m" + i);
                }
            }
            awaitLabel(all, "list 590");
            assertThat(all.submit("last")).startsWith("+OK");
            taken.add("last");
            all.node.stop();
            assertThat(all.node.stopped().get(20, TimeUnit.SECONDS)).isZero();
            Set<String> got = new HashSet<>();
            all.calls.forEach(call -> got.add(call.mail()));
            assertThat(got).isEqualTo(taken);
            assertThat(all.notices).isEmpty();
            assertThat(all.status().acceptedCount()).isGreaterThan(10);
        }
        assertThat(taken).hasSizeGreaterThan(500);
    }
}
