import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send hundreds of commands at once while usual clients hand in messages: the delivery node must not crash. */
final class BadClients {
    /** Under a third of the descriptors. */
    private static final int BAD_CLIENTS = 200;
    /** Commands that a bad client sends at once. */
    private static final int COMMANDS = 200;
    /** A quarter of the 64 KiB that a body may hold. */
    private static final int BODY_BYTES = 16_000;
    private static final int USUAL_MESSAGES = 400;
    private static final double USUAL_INTERVAL_MS = 100;

    private BadClients() { }

    public static void main(String[] args) {
        Stand.main(BadClients::play);
    }

    private static boolean play(Path folder, List<Stand.Node> nodes) throws Exception {
        Stand.Platform platform = new Stand.Platform();
        Stand.Receiver receiver = new Stand.Receiver("s-1");
        platform.put(new Stand.Entry("s-1", receiver.address(), "chain-supplier", 1, "SERVING", 40));
        Stand.Node node = new Stand.Node("n1", folder);
        nodes.add(node);
        node.configure(platform, Stand.settings(Map.of(), 256, 10), Stand.LIMITS);
        node.start();
        node.awaitReady(30_000);
        AtomicInteger errors = new AtomicInteger();
        AtomicInteger connections = new AtomicInteger();
        Stand.thread("trouble", () -> {
            Stand.sleep(3000);
            if (Stand.TROUBLE) {
                startBadClients(node, errors, connections);
            }
        });
        int taken = 0;
        int unanswered = 0;
        Stand.Client client = null;
        for (int i = 0; i < USUAL_MESSAGES && node.process.isAlive(); i++) {
            String id = Stand.hex(1000 + i);
            try {
                client = client == null ? new Stand.Client(node.listen) : client;
                String reply = client.ask(Stand.Client.enqueue(Stand.hex(i), id, "c=order-send,t=taichung-branch,d=28000,k=" + Stand.hex(5000 + i)
                        + ",dest=1", Stand.bytes("order " + i)));
                Stand.note("client: %s answered %s", id, reply);
                taken += reply != null && reply.startsWith("+") ? 1 : 0;
                unanswered += reply == null ? 1 : 0;
            } catch (IOException e) {
                Stand.note("client: %s got no answer: %s", id, e.getMessage());
                unanswered++;
                closeQuietly(client);
                client = null;
            }
            Stand.sleep(USUAL_INTERVAL_MS);
        }
        boolean alive = node.process.isAlive();
        Stand.say("bad clients: %d connections, %d answers; usual clients: %d taken on, %d without an answer; %d calls at the endpoint", connections.get(),
                errors.get(), taken, unanswered, receiver.calls.size());
        if (!alive) {
            Stand.say("crash: the delivery node ended by itself at %.0f ms with exit code %d", Stand.now(), node.process.waitFor());
        }
        return alive;
    }

    /** Each sends its commands at full speed, reads what it is sent, and repeats the same. The class does not exist. */
    private static void startBadClients(Stand.Node node, AtomicInteger errors, AtomicInteger connections) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        byte[] command = Stand.Client.enqueue("00", "badbadbadbadbad0", "c=no-such-class,t=taichung-branch,d=8000,k=0,dest=1", body);
        byte[] commands = new byte[COMMANDS * command.length];
        for (int i = 0; i < COMMANDS; i++) {
            System.arraycopy(command, 0, commands, i * command.length, command.length);
        }
        Stand.note("%d bad clients connect and send %d commands at once, each with a body of %d bytes", BAD_CLIENTS, COMMANDS, BODY_BYTES);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Stand.thread("bad-client", () -> {
                while (node.process.isAlive()) {
                    try (Stand.Client client = new Stand.Client(node.listen)) {
                        connections.incrementAndGet();
                        client.socket.setSoTimeout(0);
                        Stand.thread("bad-client-reads", () -> countReplies(client, errors));
                        while (true) {
                            client.send(commands);
                        }
                    } catch (IOException e) {
                        Stand.sleep(50);
                    }
                }
            });
        }
    }

    private static void countReplies(Stand.Client client, AtomicInteger errors) {
        try {
            while (client.readReply() != null) {
                errors.incrementAndGet();
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private static void closeQuietly(Stand.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            Stand.note("close: %s", e.getMessage());
        }
    }
}
