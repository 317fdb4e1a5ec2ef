import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A quarter of the messages come in clumps at a node whose store waits for the disk: every request has to get its answer. */
final class Clumps {
    /** Messages that come one by one. */
    private static final int SINGLE = 150;
    private static final double SINGLE_INTERVAL_MS = 400;
    /** As many as a destination of 5 messages a second takes in 1.6 s. */
    private static final int CLUMP = 8;
    private static final int CLUMPS = 6;
    private static final double CLUMP_INTERVAL_MS = 10_000;
    private static final double MESSAGE_MS = 4000;
    /** Up to half a second after its time an answer only earns nothing. */
    private static final double LATE_MS = 500;

    private Clumps() { }

    public static void main(String[] args) {
        Stand.main(Clumps::play);
    }

    private static boolean play(Path folder, List<Stand.Node> nodes) throws Exception {
        Stand.Platform platform = new Stand.Platform();
        Stand.Receiver receiver = new Stand.Receiver("s-1");
        platform.put(new Stand.Entry("s-1", receiver.address(), "chain-supplier", 1, "SERVING", 5));
        Stand.Node node = new Stand.Node("n1", folder);
        nodes.add(node);
        node.configure(platform, Stand.settings(Map.of(), 256, 10), Stand.LIMITS);
        Path operator = folder.resolve("operator.toml");
        Files.writeString(operator, "[store]\non = true\ndurability = \"sync\"\n");
        node.environment.put("WRENREACH_OPERATOR", operator.toString());
        node.start();
        node.awaitReady(30_000);
        AtomicInteger taken = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        double startAt = Stand.now() + 500;
        int messages = 0;
        for (int i = 0; i < SINGLE; i++) {
            clients.add(client(node, messages++, startAt + SINGLE_INTERVAL_MS * i, taken, refused, unanswered));
        }
        for (int i = 0; Stand.TROUBLE && i < CLUMP * CLUMPS; i++) {
            // Between two of the single messages.
            double at = startAt + CLUMP_INTERVAL_MS * (i / CLUMP) + 10.5 * SINGLE_INTERVAL_MS;
            clients.add(client(node, messages++, at, taken, refused, unanswered));
        }
        for (Thread client : clients) {
            client.join();
        }
        Stand.sleep(1000);
        Stand.say("%d messages handed in: %d taken on, %d refused, %d never answered; %d calls at the endpoint, %d notices", messages, taken.get(), refused.get(),
                unanswered.get(), receiver.calls.size(), platform.noticeTimes().size());
        if (!node.log().contains("store: on") || !node.process.isAlive()) {
            throw new Stand.CannotRun("no store, or the node has ended");
        }
        return unanswered.get() == 0;
    }

    private static Thread client(Stand.Node node, int number, double at, AtomicInteger taken, AtomicInteger refused, AtomicInteger unanswered) {
        return Stand.thread("client", () -> {
            Stand.sleepUntil(at);
            handIn(node, number, taken, refused, unanswered);
        });
    }

    private static void handIn(Stand.Node node, int number, AtomicInteger taken, AtomicInteger refused, AtomicInteger unanswered) {
        String id = Stand.hex(1000 + number);
        try (Stand.Client client = new Stand.Client(node.listen)) {
            client.socket.setSoTimeout((int) (MESSAGE_MS + LATE_MS));
            Stand.note("client: hands in %s", id);
            String reply = client.ask(Stand.Client.enqueue(Stand.hex(50_000 + number), id, "c=order-send,t=taichung-branch,d=" + (int) MESSAGE_MS + ",k="
                    + Stand.hex(90_000 + number) + ",dest=1", Stand.bytes("order " + number)));
            Stand.note("client: %s answered %s", id, reply);
            if (reply == null) {
                unanswered.incrementAndGet();
            } else if (reply.startsWith("+")) {
                taken.incrementAndGet();
            } else {
                refused.incrementAndGet();
            }
        } catch (IOException e) {
            Stand.note("client: %s never answered: %s", id, e.getMessage());
            unanswered.incrementAndGet();
        }
    }
}
