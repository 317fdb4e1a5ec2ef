package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.held.Ending;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.RecordedAttempt;
import wrenreach.held.Submission;
import wrenreach.net.ReplyHandle;
import wrenreach.net.Reply;

/** One node against a small receiver and platform on loopback. */
class DeliveryNodeTest {
    @TempDir Path stateFolder;
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private HttpServer outsideServer;
    private volatile int receiverStatus = 200;
    private volatile int platformStatus = 204;
    private volatile String discoveryResponse;
    private String effect = "token";
    private int descriptors = 512;
    private int weight = 10;
    /** Whether discovery takes watches and says nothing. */
    private volatile boolean discoverySilent;
    private Function<Settings, Dispatcher> dispatcherFactory = DeliveryDispatcher::new;
    private DeliveryNode node;

    @BeforeEach void startOutsideServer() throws IOException {
        outsideServer = HttpServer.create(new InetSocketAddress("0.0.0.0", 0), 0);
        outsideServer.createContext("/", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.ISO_8859_1).strip();
            String path = exchange.getRequestURI().getPath();
            String id = exchange.getRequestHeaders().getFirst("X-Call-Id");
            if (!path.equals("/api/targets")) {
                boolean other = exchange.getLocalAddress().getAddress().getAddress()[3] == 2;
                received.add((other ? "other " : "") + path + " " + (id == null ? "" : id + " ") + body);
            }
            if (path.equals("/api/targets") && discoverySilent) {
                return;
            }
            if (path.equals("/api/targets") && discoveryResponse != null) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200)); // A node that does not wait has sent by then.
                exchange.sendResponseHeaders(200, 0);
                exchange.getResponseBody().write(discoveryResponse.getBytes(StandardCharsets.UTF_8));
                exchange.getResponseBody().flush();
                return; // A watch stays open.
            }
            int status = path.equals("/events") ? receiverStatus : path.equals("/v2/finals") ? platformStatus : 503;
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
        });
        outsideServer.start();
    }

    @AfterEach void stop() throws Exception {
        if (node != null) {
            node.stop();
        }
        outsideServer.stop(0);
    }

    private InetSocketAddress startNode() throws Exception {
        String address = "127.0.0.1:" + outsideServer.getAddress().getPort();
        String json = Files.readString(Path.of("deploy/sample.json")).replace("127.0.0.1:9", address)
                .replace("token", effect)
                .replace("512", Integer.toString(descriptors)).replace("\"TryLimit\": 4", "\"TryLimit\": 40")
                .replace("\"weight\": 10", "\"weight\": " + weight);
        Config config = Config.parse(json.getBytes(StandardCharsets.UTF_8), Map.of());
        node = new DeliveryNode(config, Journal.open(stateFolder, config.diskBytes()), dispatcherFactory);
        node.start();
        return node.serving().get(20, TimeUnit.SECONDS);
    }

    private String nextReceived() throws InterruptedException {
        return received.poll(20, TimeUnit.SECONDS);
    }

    private void assertStopsWithNothingOutstanding() throws Exception {
        node.stop();
        assertThat(node.stopped().get(20, TimeUnit.SECONDS)).isZero();
        assertThat(Journal.read(stateFolder)).isEmpty();
    }

    private static String enqueue(String id, String fields) {
        return "*5\r\n$7\r\nENQUEUE\r\n$1\r\n5\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n"
                + fields + "\r\n$4\r\nbody\r\n";
    }

    private static String exchange(InetSocketAddress node, String text, int answers) throws IOException {
        try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder got = new StringBuilder();
            for (int lines = 0; lines < answers;) {
                int c = socket.getInputStream().read();
                got.append((char) c);
                lines += c == '\n' || c < 0 ? 1 : 0;
            }
            return got.toString();
        }
    }

    /** The two receivers, each of a status, and of the destinations of these numbers. */
    private String listOfTwoReceivers(int index, String first, int firstGroup, String second) {
        String entry = "{'name':'receiver-%1$d','address':'127.0.0.%1$d:%2$d','type':'small','zone':'home','group':%3$d,'status':'%4$s'}";
        return ("{'index':" + index + ",'snapshot':true,'endpoints':["
                + String.format(entry, 1, outsideServer.getAddress().getPort(), firstGroup, first) + ","
                + String.format(entry, 2, outsideServer.getAddress().getPort(), 1, second) + "]}\n").replace('\'', '"');
    }

    private HeldMail recordOutstandingMail(String id, boolean outAtTheEnd, Ending ending) throws IOException {
        try (Journal journal = Journal.open(stateFolder, 2_000_000)) {
            long wall = 1000 * System.currentTimeMillis();
            HeldMail held = new HeldMail(new Submission(id, "5", "order", "shop", "tag", 1, new byte[] {'x'}),
                    wall + 15_000_000);
            journal.accepted(held);
            if (outAtTheEnd) {
                journal.attemptStarted(held, new RecordedAttempt(0, "receiver-1", 0, wall - 100_000, false));
            }
            if (ending != null) {
                journal.ended(held, ending);
            }
            journal.write();
            return held;
        }
    }

    @Test void acceptedMailIsRelayedAndNothingStaysOutstanding() throws Exception {
        InetSocketAddress at = startNode();
        String fields = "c=order,t=shop,d=9000,k=tag,dest=1";
        assertThat(exchange(at, enqueue("a1", fields) + "*1\r\n$4\r\nPING\r\n", 2)).isEqualTo("+OK\r\n+PONG\r\n");
        assertThat(nextReceived()).isEqualTo("/events a1 body");
        assertStopsWithNothingOutstanding();
    }

    /** Has the node stand still until the latch is counted down. */
    private CountDownLatch blockLoop() throws InterruptedException {
        CountDownLatch standing = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        node.loop().execute(() -> {
            standing.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        standing.await();
        return goesOn;
    }

    /** Guards requests that wait unread while the node is short of its core: none is answered by a close. */
    @Test void clientWithUnreadRequestIsNotClosedToMakeRoom() throws Exception {
        descriptors = 55;
        InetSocketAddress at = startNode();
        try (Socket first = new Socket(at.getAddress(), at.getPort())) {
            assertThat(ping(first)).isEqualTo(7);
            try (Socket second = new Socket(at.getAddress(), at.getPort())) {
                assertThat(ping(second)).isEqualTo(7);
                CountDownLatch goesOn = blockLoop();
                try (Socket third = new Socket(at.getAddress(), at.getPort())) {
                    first.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                    goesOn.countDown();
                    assertThat(first.getInputStream().readNBytes(7)).hasSize(7);
                    assertThat(third.isConnected()).isTrue();
                }
            }
        }
    }

    /** Guards ends in time: a request's time runs from when it was sent, also while it waits unread. */
    @Test void timeThatARequestWaitedUnreadCountsTowardsItsLifetime() throws Exception {
        receiverStatus = 503;
        InetSocketAddress at = startNode();
        CountDownLatch goesOn = blockLoop();
        long sent = 1000 * System.currentTimeMillis();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
            Thread.sleep(100);
            goesOn.countDown();
            client.setSoTimeout(20_000);
            assertThat(client.getInputStream().read()).isEqualTo('+');
        }
        node.stop();
        node.stopped().get(20, TimeUnit.SECONDS);
        assertThat(Journal.read(stateFolder).get(0).deadline).isLessThanOrEqualTo(sent + 9_001_000);
    }

    /** Guards against delivering for a client that gave up: it hands the mail in again under a new id. */
    @Test void mailOfADisconnectedClientIsNotAccepted() throws Exception {
        InetSocketAddress at = startNode();
        CountDownLatch goesOn = blockLoop();
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
        }
        goesOn.countDown();
        assertThat(exchange(at, enqueue("a2", "c=order,t=shop,d=9000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).isEqualTo("/events a2 body");
    }

    /** A client that ends its sending may still listen: it hears that its mail was not taken on, and other answers. */
    @Test void halfClosedClientStillReceivesItsReplies() throws Exception {
        InetSocketAddress at = startNode();
        CountDownLatch goesOn = blockLoop();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.getOutputStream().write(("*1\r\n$4\r\nPING\r\n" + enqueue("a1", "c=order,t=shop,d=9000,dest=1")).getBytes());
            client.shutdownOutput();
            goesOn.countDown();
            client.setSoTimeout(20_000);
            assertThat(new String(client.getInputStream().readAllBytes())).isEqualTo("+PONG\r\n-BUSY\r\n");
        }
        assertStopsWithNothingOutstanding();
        assertThat(received).isEmpty();
    }

    /** Guards a request that is sent once more on a new connection, in the turn in which the old one is found closed. */
    @Test void sameIdIsAcceptedAgainInTheIterationInWhichItsClientLeft() throws Exception {
        InetSocketAddress at = startNode();
        CountDownLatch goesOn = blockLoop();
        try (Socket left = new Socket(at.getAddress(), at.getPort())) {
            left.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
        }
        try (Socket again = new Socket(at.getAddress(), at.getPort())) {
            again.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
            goesOn.countDown();
            again.setSoTimeout(20_000);
            assertThat(new String(again.getInputStream().readNBytes(5))).isEqualTo("+OK\r\n");
        }
        assertThat(nextReceived()).isEqualTo("/events a1 body");
        assertStopsWithNothingOutstanding();
    }

    /** Guards requests that wait unread, and connections not yet accepted, when a planned stop closes the door. */
    @Test void stopAcceptingPollsTheSocketsOnceMore() throws Exception {
        InetSocketAddress at = startNode();
        try (Socket known = new Socket(at.getAddress(), at.getPort())) {
            assertThat(ping(known)).isEqualTo(7);
            CountDownLatch goesOn = blockLoop();
            try (Socket fresh = new Socket(at.getAddress(), at.getPort())) {
                node.loop().execute(node::stopAccepting);
                for (Socket client : List.of(known, fresh)) {
                    client.setSoTimeout(20_000);
                    client.getOutputStream().write(enqueue("a" + client.getLocalPort(), "c=order,t=shop,d=9000,dest=1").getBytes());
                }
                goesOn.countDown();
                for (Socket client : List.of(known, fresh)) {
                    assertThat(new String(client.getInputStream().readAllBytes())).isEqualTo("-BUSY\r\n");
                }
            }
        }
        assertThat(received).isEmpty();
    }

    /** Guards what a turn has read when the process ends in it: it is answered and in the journal first. */
    @Test void finishWaitsForTheRepliesOfTheIteration() throws Exception {
        receiverStatus = 503;
        startNode();
        CompletableFuture<Reply> answered = new CompletableFuture<>();
        node.loop().execute(() -> {
            node.submit(new Submission("a1", "5", "order", "shop", "tag", 1, new byte[] {'x'}), 9000, new ReplyHandle() {
                @Override public boolean abandoned() {
                    return false;
                }

                @Override public void reply(Reply reply) {
                    answered.complete(reply);
                }
            });
            node.finish();
        });
        assertThat(node.stopped().get(20, TimeUnit.SECONDS)).isZero();
        assertThat(answered).isCompletedWithValue(new Reply.Accepted());
        assertThat(Journal.read(stateFolder)).extracting(held -> held.submission.id()).containsExactly("a1");
    }

    /** Guards answers that a client has not read: bytes that nobody reads any more would reset its connection. */
    @Test void unreadRequestsAtCloseDestroyNoReply() throws Exception {
        InetSocketAddress at = startNode();
        CountDownLatch goesOn = blockLoop();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.getOutputStream().write("PING\r\n".repeat(65).getBytes(StandardCharsets.US_ASCII));
            goesOn.countDown();
            client.setSoTimeout(20_000);
            assertThat(new String(client.getInputStream().readNBytes(7))).isEqualTo("+PONG\r\n");
            for (int i = 0; i < 200; i++) { // The node has written its last answer; a reset would show at the second write.
                client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                node.loop().submit(() -> { }).get();
            }
            assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .isEqualTo("+PONG\r\n".repeat(63) + "-ERR too many requests at once\r\n");
        }
    }

    @Test void unknownNamesAndMalformedRequestsAreErrors() throws Exception {
        InetSocketAddress at = startNode();
        assertThat(exchange(at, enqueue("a", "c=other,t=shop,d=9000,dest=1"), 1)).startsWith("-ERR");
        assertThat(exchange(at, enqueue("a", "c=order,t=other,d=9000,dest=1"), 1)).startsWith("-ERR");
        assertThat(exchange(at, enqueue("a", "c=order,t=shop,d=9000,dest=2"), 1)).startsWith("-ERR");
        assertThat(exchange(at, "*1\r\n:5\r\n", 1)).startsWith("-ERR");
        assertThat(exchange(at, enqueue("a", "c=order,t=shop,d=0,dest=1"), 1)).startsWith("-BUSY");
        assertThat(exchange(at, enqueue("a1", "c=order,t=shop,d=9000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/events a1");
    }

    private static int ping(Socket client) throws IOException {
        client.setSoTimeout(20_000);
        client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        return client.getInputStream().readNBytes(7).length;
    }

    /** Guards the descriptors: 32 of the node's own, 8 calls and 13 idle connections leave room for 2 clients. */
    @Test void surplusClientsAreClosedLeastRecentlyUsedFirst() throws Exception {
        descriptors = 55;
        InetSocketAddress at = startNode();
        try (Socket first = new Socket(at.getAddress(), at.getPort())) {
            assertThat(ping(first)).isEqualTo(7);
            try (Socket second = new Socket(at.getAddress(), at.getPort())) {
                assertThat(ping(second) + ping(first)).isEqualTo(14);
                try (Socket third = new Socket(at.getAddress(), at.getPort())) {
                    assertThat(ping(third)).isEqualTo(7);
                    assertThat(second.getInputStream().read()).isEqualTo(-1);
                    assertThat(ping(first)).isEqualTo(7);
                }
            }
        }
    }

    /** Guards the descriptors against clients that say nothing or half a request, and are owed an end of it. */
    @Test void clientWithoutACompleteRequestInTimeIsClosed() throws Exception {
        InetSocketAddress at = startNode();
        try (Socket silent = new Socket(at.getAddress(), at.getPort());
                Socket half = new Socket(at.getAddress(), at.getPort())) {
            silent.setSoTimeout(20_000);
            half.setSoTimeout(20_000);
            half.getOutputStream().write("*5\r\n$7\r\nENQ".getBytes(StandardCharsets.US_ASCII));
            assertThat(silent.getInputStream().read()).isEqualTo(-1);
            assertThat(new String(half.getInputStream().readAllBytes())).startsWith("-ERR").endsWith("\r\n");
        }
    }

    /** Guards the turn against hundreds of commands at once: the rest is not read. */
    @Test void clientWithTooManyRequestsAtOnceIsClosedAfterItsReplies() throws Exception {
        InetSocketAddress at = startNode();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write("PING\r\n".repeat(150).getBytes(StandardCharsets.US_ASCII));
            assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .isEqualTo("+PONG\r\n".repeat(64) + "-ERR too many requests at once\r\n");
        }
    }

    /** Guards clients that ask: a crowd that says nothing is closed before them, however lately it came. */
    @Test void silentConnectionsDoNotDisplaceActiveClients() throws Exception {
        descriptors = 55;
        InetSocketAddress at = startNode();
        try (Socket asks = new Socket(at.getAddress(), at.getPort())) {
            assertThat(ping(asks)).isEqualTo(7);
            for (int i = 0; i < 5; i++) {
                try (Socket silent = new Socket(at.getAddress(), at.getPort());
                        Socket next = new Socket(at.getAddress(), at.getPort())) {
                    silent.setSoTimeout(20_000);
                    assertThat(silent.getInputStream().read()).isEqualTo(-1);
                    assertThat(next.isConnected()).isTrue();
                }
            }
            assertThat(ping(asks)).isEqualTo(7);
        }
    }

    @Test void outstandingMailIsSentAfterARestart() throws Exception {
        recordOutstandingMail("a1", true, null);
        recordOutstandingMail("a2", false, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("/events a1 x");
        assertThat(nextReceived()).isEqualTo("/events a2 x");
        assertStopsWithNothingOutstanding();
    }

    /** What was owed went out by the list in the config, to endpoints that drained while no process ran. */
    @Test void nothingIsSentAfterARestartBeforeDiscoveryAnswers() throws Exception {
        discoveryResponse = listOfTwoReceivers(5, "DRAINING", 1, "SERVING");
        recordOutstandingMail("a1", false, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("other /events a1 x");
    }

    /** Guards drains that an earlier process was told of, while discovery says nothing to this one. */
    @Test void storedListAppliesToTheNextProcess() throws Exception {
        discoveryResponse = listOfTwoReceivers(5, "DRAINING", 1, "SERVING");
        InetSocketAddress at = startNode();
        assertThat(exchange(at, enqueue("a1", "c=order,t=shop,d=9000,k=tag,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).isEqualTo("other /events a1 body");
        assertStopsWithNothingOutstanding();
        discoverySilent = true;
        recordOutstandingMail("a2", false, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("other /events a2 x");
    }

    /** A list in the state folder that is spoilt, of another form, or older than the config's is as if it were not there. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"form\":1,\"from\":\"127.0.0.1:9\",\"list\":{\"index\":7,\"endp", "{\"form\":2,\"list\":{\"index\":7}}",
        "{\"form\":1,\"from\":\"127.0.0.1:9\",\"list\":{\"index\":-7,\"endpoints\":[]}}", "[]", "\u0000"})
    void unusableStoredListIsIgnored(String text) throws Exception {
        Files.writeString(stateFolder.resolve("list"), text);
        recordOutstandingMail("a1", false, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("/events a1 x");
        assertStopsWithNothingOutstanding();
    }

    /** Guards mails against another destination's receiver: a name that is listed anew with another group is another endpoint. */
    @Test void nameListedForAnotherDestinationIsAnotherEndpoint() throws Exception {
        discoveryResponse = listOfTwoReceivers(5, "SERVING", 2, "DRAINING");
        InetSocketAddress at = startNode();
        String answer = "-ERR";
        for (int i = 0; i < 2000 && answer.startsWith("-ERR"); i++) {
            Thread.sleep(5);
            answer = exchange(at, enqueue("b1", "c=order,t=shop,d=9000,dest=2"), 1);
        }
        assertThat(answer).startsWith("+OK");
        assertThat(nextReceived()).isEqualTo("/events b1 body");
        // Its own destination has nobody left that serves.
        assertThat(exchange(at, enqueue("a1", "c=order,t=shop,d=2000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/v2/finals {\"id\":\"a1\"");
    }

    /** Guards effects: a once-only mail whose call was out when the process ended may have run. */
    @Test void onceOnlyMailThatMayHaveRunEndsUndeliverable() throws Exception {
        effect = "side_effect";
        recordOutstandingMail("a1", true, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("/v2/finals {\"id\":\"a1\",\"status\":\"undeliverable\"}");
        assertStopsWithNothingOutstanding();
    }

    /** Guards mails of a class that the config no longer has: no other's settings judge them. */
    @Test void mailOfARemovedClassEndsUndeliverable() throws Exception {
        try (Journal journal = Journal.open(stateFolder, 2_000_000)) {
            journal.accepted(new HeldMail(new Submission("a1", "5", "gone", "shop", "tag", 1, new byte[] {'x'}),
                    1000 * System.currentTimeMillis() + 15_000_000));
            journal.write();
        }
        startNode();
        assertThat(nextReceived()).isEqualTo("/v2/finals {\"id\":\"a1\",\"status\":\"undeliverable\"}");
        assertStopsWithNothingOutstanding();
    }

    /** Guards endings and the order of keys: a notice goes until it is confirmed, and its key waits for that. */
    @Test void noticeIsRepeatedUntilConfirmedAndBlocksItsKey() throws Exception {
        platformStatus = 503;
        recordOutstandingMail("a1", false, new Ending(true, 0));
        recordOutstandingMail("a2", false, null);
        startNode();
        for (int i = 0; i < 3; i++) {
            assertThat(nextReceived()).isEqualTo("/v2/finals {\"id\":\"a1\",\"status\":\"deferred\"}");
        }
        platformStatus = 204;
        String last = nextReceived();
        while (last.startsWith("/v2/finals")) {
            last = nextReceived();
        }
        assertThat(last).isEqualTo("/events a2 x");
        assertStopsWithNothingOutstanding();
    }

    /** News that another thread brings are put on the loop: two threads at a time in its state would lose decisions. */
    @Test void workFromAnotherThreadRunsOnTheLoop() throws Exception {
        startNode();
        CompletableFuture<Boolean> onLoop = new CompletableFuture<>();
        node.runInIteration(() -> onLoop.complete(((EventLoop) node.loop()).inEventLoop()));
        assertThat(onLoop.get(20, TimeUnit.SECONDS)).isTrue();
    }

    /** A decision that is lost on its way leaves no message owed for ever: the platform is told, if late. */
    @Test void mailThatOnlyTheDecisionsTakeForEndedIsFoundAndEnded() throws Exception {
        receiverStatus = 500;
        effect = "side_effect";
        dispatcherFactory = settings -> withoutEndings(new DeliveryDispatcher(settings));
        InetSocketAddress at = startNode();
        assertThat(exchange(at, enqueue("b1", "c=order,t=shop,d=1500,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/events b1");
        assertThat(nextReceived()).isEqualTo("/v2/finals {\"id\":\"b1\",\"status\":\"undeliverable\"}");
        assertStopsWithNothingOutstanding();
    }

    private static Dispatcher withoutEndings(Dispatcher sound) {
        return (Dispatcher) Proxy.newProxyInstance(Dispatcher.class.getClassLoader(), new Class<?>[] {Dispatcher.class},
                (proxy, method, words) -> ((List<?>) method.invoke(sound, words)).stream().filter(decision ->
                !(decision instanceof Action.Bounce) && !(decision instanceof Action.Defer)).toList());
    }

    /** Guards the order of a key whose only mail has ended unconfirmed, when the directory has dropped the key meanwhile. */
    @Test void removedKeyStillWaitsForTheNotice() throws Exception {
        platformStatus = 503;
        weight = 1000;
        recordOutstandingMail("a1", false, new Ending(true, 0));
        InetSocketAddress at = startNode();
        assertThat(exchange(at, enqueue("b99", "c=order,t=shop,d=9000,dest=1").replace("$1\r\n5\r\n", "$2\r\n99\r\n"), 1)).startsWith("+OK");
        while (!nextReceived().startsWith("/events b99")) {
            Thread.onSpinWait(); // Once it is called, keys rest no longer after the start.
        }
        StringBuilder others = new StringBuilder();
        for (int i = 100; i < 196; i++) { // As many keys as make the directory drop those that no mail waits for.
            others.append(enqueue("b" + i, "c=order,t=shop,d=9000,dest=1").replace("$1\r\n5\r\n", "$3\r\n" + i + "\r\n"));
            if (i % 32 == 3) {
                assertThat(exchange(at, others.toString(), 32)).doesNotContain("-ERR");
                others.setLength(0);
            }
        }
        assertThat(exchange(at, enqueue("a2", "c=order,t=shop,d=9000,dest=1"), 1)).startsWith("+OK");
        assertThat(exchange(at, enqueue("c1", "c=order,t=shop,d=9000,dest=1").replace("$1\r\n5\r\n", "$1\r\n7\r\n"), 1)).startsWith("+OK");
        String last = nextReceived();
        while (!last.startsWith("/events c1")) { // It came after a2, at another key.
            assertThat(last).doesNotContain("a2");
            last = nextReceived();
        }
        platformStatus = 204;
        while (!last.startsWith("/events a2")) {
            last = nextReceived();
        }
        assertStopsWithNothingOutstanding();
    }

    /** Guards endings while the platform moves: what the old address did not answer goes to the new one. */
    @Test void listAndNoticesUseTheNewAddressAfterAReload() throws Exception {
        platformStatus = 503;
        recordOutstandingMail("a1", false, new Ending(true, 0));
        InetSocketAddress at = startNode();
        assertThat(nextReceived()).startsWith("/v2/finals");
        HttpServer moved = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        moved.createContext("/api/targets", exchange -> {
            byte[] list = ("{\"index\":3,\"snapshot\":true,\"endpoints\":[{\"name\":\"receiver-2\",\"group\":2,"
                    + "\"address\":\"127.0.0.1:" + outsideServer.getAddress().getPort() + "\",\"status\":\"SERVING\"}]}\n")
                    .getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, list.length);
            exchange.getResponseBody().write(list);
            exchange.close();
        });
        moved.createContext("/v2/finals", exchange -> {
            received.add("moved " + new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8).strip());
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        });
        moved.start();
        try {
            node.setDiscoveryAddress(moved.getAddress());
            String told = nextReceived();
            while (told.startsWith("/v2/finals")) {
                told = nextReceived();
            }
            assertThat(told).isEqualTo("moved {\"id\":\"a1\",\"status\":\"deferred\"}");
            while (exchange(at, enqueue("b1", "c=order,t=shop,d=9000,dest=2"), 1).startsWith("-ERR")) {
                Thread.onSpinWait();
            }
            assertThat(nextReceived()).isEqualTo("/events b1 body");
        } finally {
            moved.stop(0);
        }
    }

    @Test void stopKeepsMailsThatCouldNotBeRelayed() throws Exception {
        receiverStatus = 503;
        InetSocketAddress at = startNode();
        assertThat(exchange(at, enqueue("a1", "c=order,t=shop,d=20000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/events a1");
        node.stop();
        assertThat(node.stopped().get(20, TimeUnit.SECONDS)).isZero();
        List<HeldMail> owed = Journal.read(stateFolder);
        assertThat(owed).hasSize(1);
        assertThat(owed.get(0).attempts).isNotEmpty().allMatch(RecordedAttempt::neverRan);
    }
}
