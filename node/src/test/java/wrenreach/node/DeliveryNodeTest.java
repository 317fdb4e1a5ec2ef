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
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
import wrenreach.net.Reply;
import wrenreach.net.ReplyHandle;

/** Runs one node against a small receiver and platform on loopback. */
class DeliveryNodeTest {
    @TempDir Path stateFolder;
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final ExecutorService outsideThreads = Executors.newCachedThreadPool();
    private HttpServer outsideServer;
    private volatile int receiverStatus = 200;
    private volatile int platformStatus = 204;
    private volatile String discoveryResponse;
    /** What discovery answers to a watch without a response of its own: by default that it has no list. */
    private volatile int discoveryStatus = 404;
    /** Milliseconds until discovery answers with its response. */
    private volatile long discoveryDelayMs = 200;
    private String effect = "token";
    private String listMode = "push";
    private int descriptors = 512;
    private int weight = 10;
    /** Whether discovery accepts watch requests and never answers them. */
    private volatile boolean discoverySilent;
    private Function<Settings, Dispatcher> dispatcherFactory = DeliveryDispatcher::new;
    private DeliveryNode node;

    @BeforeEach void startOutsideServer() throws IOException {
        outsideServer = HttpServer.create(new InetSocketAddress("0.0.0.0", 0), 0);
        outsideServer.setExecutor(outsideThreads);
        outsideServer.createContext("/", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.ISO_8859_1).strip();
            String path = exchange.getRequestURI().getPath();
            String id = exchange.getRequestHeaders().getFirst("X-Call-Id");
            if (!path.equals("/api/targets")) {
                boolean secondReceiver = exchange.getLocalAddress().getAddress().getAddress()[3] == 2;
                received.add((secondReceiver ? "other " : "") + path + " " + (id == null ? "" : id + " ") + body);
            }
            if (path.equals("/api/targets") && discoverySilent) {
                return;
            }
            if (path.equals("/api/targets") && discoveryResponse != null) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(discoveryDelayMs)); // A node that does not wait for the list has sent by then.
                exchange.sendResponseHeaders(200, 0);
                exchange.getResponseBody().write(discoveryResponse.getBytes(StandardCharsets.UTF_8));
                exchange.getResponseBody().flush();
                return; // The response to a watch stays open.
            }
            int status = path.equals("/events") ? receiverStatus : path.equals("/v2/finals") ? platformStatus : discoveryStatus;
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
        outsideThreads.shutdownNow();
    }

    private InetSocketAddress startNode() throws Exception {
        String address = "127.0.0.1:" + outsideServer.getAddress().getPort();
        String json = Files.readString(Path.of("deploy/sample.json")).replace("127.0.0.1:9", address)
                .replace("\"push\"", "\"" + listMode + "\"").replace("\"Rules\": {", "\"Rules\": {\"MustAskIn\": 2, ")
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

    /** Sends the text on a new connection and returns that many lines of the reply. */
    private static String exchange(InetSocketAddress address, String text, int replies) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder reply = new StringBuilder();
            for (int lines = 0; lines < replies;) {
                int c = socket.getInputStream().read();
                reply.append((char) c);
                lines += c == '\n' || c < 0 ? 1 : 0;
            }
            return reply.toString();
        }
    }

    /** A full list of the two receivers with these statuses; the first belongs to destination firstGroup, the second to destination 1. */
    private String listOfTwoReceivers(int index, String first, int firstGroup, String second) {
        String entry = "{'name':'receiver-%1$d','address':'127.0.0.%1$d:%2$d','type':'small','zone':'home','group':%3$d,'status':'%4$s'}";
        return ("{'index':" + index + ",'snapshot':true,'endpoints':["
                + String.format(entry, 1, outsideServer.getAddress().getPort(), firstGroup, first) + ","
                + String.format(entry, 2, outsideServer.getAddress().getPort(), 1, second) + "]}\n").replace('\'', '"');
    }

    /** Leaves a mail of an earlier process in the journal; inFlight: with an attempt that had not ended; ending: null for none. */
    private HeldMail recordOutstandingMail(String id, boolean inFlight, Ending ending) throws IOException {
        return recordOutstandingMail(id, inFlight, ending, 15_000);
    }

    private HeldMail recordOutstandingMail(String id, boolean inFlight, Ending ending, long lifetimeMs) throws IOException {
        try (Journal journal = Journal.open(stateFolder, 2_000_000)) {
            long wallMicros = 1000 * System.currentTimeMillis();
            HeldMail mail = new HeldMail(new Submission(id, "5", "order", "shop", "tag", 1, new byte[] {'x'}),
                    wallMicros + 1000 * lifetimeMs);
            journal.accepted(mail);
            if (inFlight) {
                journal.attemptStarted(mail, new RecordedAttempt(0, "receiver-1", 0, wallMicros - 100_000, false));
            }
            if (ending != null) {
                journal.ended(mail, ending);
            }
            journal.write();
            return mail;
        }
    }

    @Test void acceptedMailIsRelayedAndNothingStaysOutstanding() throws Exception {
        InetSocketAddress address = startNode();
        String fields = "c=order,t=shop,d=9000,k=tag,dest=1";
        assertThat(exchange(address, enqueue("a1", fields) + "*1\r\n$4\r\nPING\r\n", 2)).isEqualTo("+OK\r\n+PONG\r\n");
        assertThat(nextReceived()).isEqualTo("/events a1 body");
        assertStopsWithNothingOutstanding();
    }

    /** Blocks the node's event loop until the returned latch is counted down. */
    private CountDownLatch blockLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        node.loop().execute(() -> {
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return release;
    }

    /** A request that waits unread while the node is short of CPU time must not be answered by a closed connection. */
    @Test void clientWithUnreadRequestIsNotClosedToMakeRoom() throws Exception {
        descriptors = 55;
        InetSocketAddress address = startNode();
        try (Socket first = new Socket(address.getAddress(), address.getPort())) {
            assertThat(ping(first)).isEqualTo(7);
            try (Socket second = new Socket(address.getAddress(), address.getPort())) {
                assertThat(ping(second)).isEqualTo(7);
                CountDownLatch release = blockLoop();
                try (Socket third = new Socket(address.getAddress(), address.getPort())) {
                    first.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                    release.countDown();
                    assertThat(first.getInputStream().readNBytes(7)).hasSize(7);
                    assertThat(third.isConnected()).isTrue();
                }
            }
        }
    }

    /** A mail's lifetime runs from when its request was sent, also while the request waits unread; otherwise it would end too late. */
    @Test void timeThatARequestWaitedUnreadCountsTowardsItsLifetime() throws Exception {
        receiverStatus = 503;
        InetSocketAddress address = startNode();
        CountDownLatch release = blockLoop();
        long sentAtMicros = 1000 * System.currentTimeMillis();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
            Thread.sleep(100);
            release.countDown();
            client.setSoTimeout(20_000);
            assertThat(client.getInputStream().read()).isEqualTo('+');
        }
        node.stop();
        node.stopped().get(20, TimeUnit.SECONDS);
        assertThat(Journal.read(stateFolder).get(0).deadline).isLessThanOrEqualTo(sentAtMicros + 9_001_000);
    }

    /** A client that gave up submits the mail again under a new id, so the first request must not be delivered too. */
    @Test void mailOfADisconnectedClientIsNotAccepted() throws Exception {
        InetSocketAddress address = startNode();
        CountDownLatch release = blockLoop();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
        }
        release.countDown();
        assertThat(exchange(address, enqueue("a2", "c=order,t=shop,d=9000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).isEqualTo("/events a2 body");
    }

    /** A client that closes its sending side may still read: it learns that its mail was not accepted, and gets its other replies. */
    @Test void halfClosedClientStillReceivesItsReplies() throws Exception {
        InetSocketAddress address = startNode();
        CountDownLatch release = blockLoop();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.getOutputStream().write(("*1\r\n$4\r\nPING\r\n" + enqueue("a1", "c=order,t=shop,d=9000,dest=1")).getBytes());
            client.shutdownOutput();
            release.countDown();
            client.setSoTimeout(20_000);
            assertThat(new String(client.getInputStream().readAllBytes())).isEqualTo("+PONG\r\n-BUSY\r\n");
        }
        assertStopsWithNothingOutstanding();
        assertThat(received).isEmpty();
    }

    /**
     * A request is sent again on a new connection, in the iteration in which the old one is found closed: it is not a duplicate of
     * another client's.
     */
    @Test void sameIdIsAcceptedAgainInTheIterationInWhichItsClientLeft() throws Exception {
        InetSocketAddress address = startNode();
        CountDownLatch release = blockLoop();
        try (Socket disconnected = new Socket(address.getAddress(), address.getPort())) {
            disconnected.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
        }
        try (Socket reconnected = new Socket(address.getAddress(), address.getPort())) {
            reconnected.getOutputStream().write(enqueue("a1", "c=order,t=shop,d=9000,dest=1").getBytes());
            release.countDown();
            reconnected.setSoTimeout(20_000);
            assertThat(new String(reconnected.getInputStream().readNBytes(5))).isEqualTo("+OK\r\n");
        }
        assertThat(nextReceived()).isEqualTo("/events a1 body");
        assertStopsWithNothingOutstanding();
    }

    /** A graceful shutdown must not lose requests that wait unread, nor connections not yet accepted, when it stops accepting. */
    @Test void stopAcceptingPollsTheSocketsOnceMore() throws Exception {
        InetSocketAddress address = startNode();
        try (Socket accepted = new Socket(address.getAddress(), address.getPort())) {
            assertThat(ping(accepted)).isEqualTo(7);
            CountDownLatch release = blockLoop();
            try (Socket unaccepted = new Socket(address.getAddress(), address.getPort())) {
                node.loop().execute(node::stopAccepting);
                for (Socket client : List.of(accepted, unaccepted)) {
                    client.setSoTimeout(20_000);
                    client.getOutputStream().write(enqueue("a" + client.getLocalPort(), "c=order,t=shop,d=9000,dest=1").getBytes());
                }
                release.countDown();
                for (Socket client : List.of(accepted, unaccepted)) {
                    assertThat(new String(client.getInputStream().readAllBytes())).isEqualTo("-BUSY\r\n");
                }
            }
        }
        assertThat(received).isEmpty();
    }

    /** The process ends in the iteration that has read a request: it is recorded in the journal and answered first. */
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
        assertThat(Journal.read(stateFolder)).extracting(mail -> mail.submission.id()).containsExactly("a1");
    }

    /** A client must get the replies that it has not read yet: bytes that nobody reads any more would reset its connection. */
    @Test void unreadRequestsAtCloseDestroyNoReply() throws Exception {
        InetSocketAddress address = startNode();
        CountDownLatch release = blockLoop();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.getOutputStream().write("PING\r\n".repeat(65).getBytes(StandardCharsets.US_ASCII));
            release.countDown();
            client.setSoTimeout(20_000);
            assertThat(new String(client.getInputStream().readNBytes(7))).isEqualTo("+PONG\r\n");
            for (int i = 0; i < 200; i++) { // The node has written its last reply; a reset would show at the second write.
                client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                node.loop().submit(() -> { }).get();
            }
            assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .isEqualTo("+PONG\r\n".repeat(63) + "-ERR too many requests at once\r\n");
        }
    }

    @Test void unknownNamesAndMalformedRequestsAreErrors() throws Exception {
        InetSocketAddress address = startNode();
        assertThat(exchange(address, enqueue("a", "c=other,t=shop,d=9000,dest=1"), 1)).startsWith("-ERR");
        assertThat(exchange(address, enqueue("a", "c=order,t=other,d=9000,dest=1"), 1)).startsWith("-ERR");
        assertThat(exchange(address, enqueue("a", "c=order,t=shop,d=9000,dest=2"), 1)).startsWith("-ERR");
        assertThat(exchange(address, "*1\r\n:5\r\n", 1)).startsWith("-ERR");
        assertThat(exchange(address, enqueue("a", "c=order,t=shop,d=0,dest=1"), 1)).startsWith("-BUSY");
        assertThat(exchange(address, enqueue("a1", "c=order,t=shop,d=9000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/events a1");
    }

    private static int ping(Socket client) throws IOException {
        client.setSoTimeout(20_000);
        client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        return client.getInputStream().readNBytes(7).length;
    }

    /** Clients must not use up the file descriptors: 32 of the node's own, 8 calls and 13 idle connections leave room for 2 clients. */
    @Test void surplusClientsAreClosedLeastRecentlyUsedFirst() throws Exception {
        descriptors = 55;
        InetSocketAddress address = startNode();
        try (Socket first = new Socket(address.getAddress(), address.getPort())) {
            assertThat(ping(first)).isEqualTo(7);
            try (Socket second = new Socket(address.getAddress(), address.getPort())) {
                assertThat(ping(second) + ping(first)).isEqualTo(14);
                try (Socket third = new Socket(address.getAddress(), address.getPort())) {
                    assertThat(ping(third)).isEqualTo(7);
                    assertThat(second.getInputStream().read()).isEqualTo(-1);
                    assertThat(ping(first)).isEqualTo(7);
                }
            }
        }
    }

    /**
     * Clients that send nothing, or half a request, must not use up the file descriptors; the one with half a request gets an error
     * reply.
     */
    @Test void clientWithoutACompleteRequestInTimeIsClosed() throws Exception {
        InetSocketAddress address = startNode();
        try (Socket silent = new Socket(address.getAddress(), address.getPort());
                Socket half = new Socket(address.getAddress(), address.getPort())) {
            silent.setSoTimeout(20_000);
            half.setSoTimeout(20_000);
            half.getOutputStream().write("*5\r\n$7\r\nENQ".getBytes(StandardCharsets.US_ASCII));
            assertThat(silent.getInputStream().read()).isEqualTo(-1);
            assertThat(new String(half.getInputStream().readAllBytes())).startsWith("-ERR").endsWith("\r\n");
        }
    }

    /** Hundreds of requests at once would make a long iteration: those beyond the limit are not read. */
    @Test void clientWithTooManyRequestsAtOnceIsClosedAfterItsReplies() throws Exception {
        InetSocketAddress address = startNode();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write("PING\r\n".repeat(150).getBytes(StandardCharsets.US_ASCII));
            assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .isEqualTo("+PONG\r\n".repeat(64) + "-ERR too many requests at once\r\n");
        }
    }

    /** Many silent connections are closed before clients that send requests, however recently they were opened. */
    @Test void silentConnectionsDoNotDisplaceActiveClients() throws Exception {
        descriptors = 55;
        InetSocketAddress address = startNode();
        try (Socket active = new Socket(address.getAddress(), address.getPort())) {
            assertThat(ping(active)).isEqualTo(7);
            for (int i = 0; i < 5; i++) {
                try (Socket silent = new Socket(address.getAddress(), address.getPort());
                        Socket next = new Socket(address.getAddress(), address.getPort())) {
                    silent.setSoTimeout(20_000);
                    assertThat(silent.getInputStream().read()).isEqualTo(-1);
                    assertThat(next.isConnected()).isTrue();
                }
            }
            assertThat(ping(active)).isEqualTo(7);
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

    /**
     * Failure: after a restart outstanding mails went out by the list in the config, to endpoints that began to drain while no process ran.
     */
    @Test void nothingIsSentAfterARestartBeforeDiscoveryAnswers() throws Exception {
        discoveryResponse = listOfTwoReceivers(5, "DRAINING", 1, "SERVING");
        recordOutstandingMail("a1", false, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("other /events a1 x");
    }

    /** Guards against a list that is believed before discovery has answered: mails went to addresses of other destinations (review/10). */
    @ParameterizedTest
    @CsvSource({"ask, 200", "ask, 1500", "ask, 3000", "push, 1500", "push, 3000"})
    void startingNodeWaitsForAListThatComesLate(String mode, long delayMs) throws Exception {
        listMode = mode;
        discoveryDelayMs = delayMs;
        discoveryResponse = listOfTwoReceivers(5, "DRAINING", 1, "SERVING");
        recordOutstandingMail("a1", false, null);
        InetSocketAddress address = startNode();
        assertThat(exchange(address, enqueue("a2", "c=order,t=shop,d=15000,k=tag,dest=1"), 1)).startsWith("+OK");
        assertThat(List.of(nextReceived(), nextReceived())).containsExactlyInAnyOrder("other /events a1 x", "other /events a2 body");
    }

    /** Guards against an outage of discovery that makes a starting node believe its old list, in each form of an outage. */
    @ParameterizedTest
    @CsvSource({"ask, silent", "ask, 503", "ask, 500", "push, silent", "push, 503", "push, 500", "push, 429"})
    void startingNodeWaitsWhileDiscoveryIsDown(String mode, String outage) throws Exception {
        listMode = mode;
        discoverySilent = outage.equals("silent");
        discoveryStatus = outage.equals("silent") ? 200 : Integer.parseInt(outage);
        recordOutstandingMail("a1", false, null);
        startNode();
        assertThat(received.poll(4, TimeUnit.SECONDS)).as("sent by the old list").isNull();
        discoveryResponse = listOfTwoReceivers(5, "DRAINING", 1, "SERVING");
        discoverySilent = false;
        assertThat(nextReceived()).isEqualTo("other /events a1 x");
    }

    /** Where discovery stays down, a mail gets its call by the old list shortly before its end, and not none. */
    @Test void outstandingMailIsSentBeforeItsEndWhileDiscoveryIsDown() throws Exception {
        discoverySilent = true;
        recordOutstandingMail("a1", false, null, 5_000);
        startNode();
        assertThat(received.poll(3, TimeUnit.SECONDS)).as("sent by the old list").isNull();
        assertThat(nextReceived()).isEqualTo("/events a1 x");
        assertStopsWithNothingOutstanding();
    }

    /** Guards against mails at the addresses of other destinations: a process that was down for long can't have seen them pass on. */
    @Test void outstandingMailEndsWithoutACallWhereTheOldListMayBeOutdated() throws Exception {
        discoverySilent = true;
        recordOutstandingMail("a1", false, null, 4_000);
        Files.setLastModifiedTime(stateFolder.resolve("journal"), FileTime.fromMillis(System.currentTimeMillis() - 5_000));
        startNode();
        assertThat(nextReceived()).startsWith("/v2/finals {\"id\":\"a1\"");
        assertStopsWithNothingOutstanding();
    }

    /** Drains that an earlier process was told of still apply while discovery says nothing to this one. */
    @Test void storedListAppliesToTheNextProcess() throws Exception {
        discoveryResponse = listOfTwoReceivers(5, "DRAINING", 1, "SERVING");
        InetSocketAddress address = startNode();
        assertThat(exchange(address, enqueue("a1", "c=order,t=shop,d=9000,k=tag,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).isEqualTo("other /events a1 body");
        assertStopsWithNothingOutstanding();
        discoverySilent = true;
        recordOutstandingMail("a2", false, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("other /events a2 x");
    }

    /** A stored list that is damaged, of another format, or older than the config's is treated as if it were not there. */
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

    /** A name that is listed again with another group is another endpoint: otherwise mails would go to another destination's receiver. */
    @Test void nameListedForAnotherDestinationIsAnotherEndpoint() throws Exception {
        discoveryResponse = listOfTwoReceivers(5, "SERVING", 2, "DRAINING");
        InetSocketAddress address = startNode();
        String reply = "-ERR";
        for (int i = 0; i < 2000 && reply.startsWith("-ERR"); i++) {
            Thread.sleep(5);
            reply = exchange(address, enqueue("b1", "c=order,t=shop,d=9000,dest=2"), 1);
        }
        assertThat(reply).startsWith("+OK");
        assertThat(nextReceived()).isEqualTo("/events b1 body");
        // Its own destination has no serving endpoint left.
        assertThat(exchange(address, enqueue("a1", "c=order,t=shop,d=2000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/v2/finals {\"id\":\"a1\"");
    }

    /** Guards against a second run of a delivered mail whose id comes again, at the same process or the next (review/2). */
    @ParameterizedTest
    @ValueSource(strings = {"side_effect", "token"})
    void idOfADeliveredMailRunsOnce(String itsEffect) throws Exception {
        effect = itsEffect;
        for (int start = 0; start < 2; start++) {
            InetSocketAddress address = startNode();
            for (int i = 0; i < 3; i++) {
                assertThat(exchange(address, enqueue("a1", "c=order,t=shop,d=9000,k=tag,dest=1"), 1)).startsWith("+OK");
                assertThat(received.poll(start == 0 && i == 0 ? 20_000 : 300, TimeUnit.MILLISECONDS)).isEqualTo(start == 0 && i == 0 ? "/events a1 body" : null);
            }
            assertStopsWithNothingOutstanding();
        }
    }

    /** A once-only mail whose call was in flight when the process ended may have run, and must not take effect twice. */
    @Test void onceOnlyMailThatMayHaveRunEndsUndeliverable() throws Exception {
        effect = "side_effect";
        recordOutstandingMail("a1", true, null);
        startNode();
        assertThat(nextReceived()).isEqualTo("/v2/finals {\"id\":\"a1\",\"status\":\"undeliverable\"}");
        assertStopsWithNothingOutstanding();
    }

    /** A mail of a class that the config no longer has must not be decided by another class's settings. */
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

    /**
     * A notice is repeated until it is confirmed, and the next mail of its order key waits for that: endings and order must not be lost.
     */
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

    /** Work that another thread brings is moved to the loop: two threads at a time in the node's state would lose actions. */
    @Test void workFromAnotherThreadRunsOnTheLoop() throws Exception {
        startNode();
        CompletableFuture<Boolean> onLoop = new CompletableFuture<>();
        node.runInIteration(() -> onLoop.complete(((EventLoop) node.loop()).inEventLoop()));
        assertThat(onLoop.get(20, TimeUnit.SECONDS)).isTrue();
    }

    /** An action that is lost on its way must not leave a mail outstanding forever: the platform is told, if late. */
    @Test void mailThatOnlyTheDecisionsTakeForEndedIsFoundAndEnded() throws Exception {
        receiverStatus = 500;
        effect = "side_effect";
        dispatcherFactory = settings -> withoutEndings(new DeliveryDispatcher(settings));
        InetSocketAddress address = startNode();
        assertThat(exchange(address, enqueue("b1", "c=order,t=shop,d=1500,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/events b1");
        assertThat(nextReceived()).isEqualTo("/v2/finals {\"id\":\"b1\",\"status\":\"undeliverable\"}");
        assertStopsWithNothingOutstanding();
    }

    private static Dispatcher withoutEndings(Dispatcher dispatcher) {
        return (Dispatcher) Proxy.newProxyInstance(Dispatcher.class.getClassLoader(), new Class<?>[] {Dispatcher.class},
                (proxy, method, arguments) -> ((List<?>) method.invoke(dispatcher, arguments)).stream().filter(action ->
                !(action instanceof Action.Bounce) && !(action instanceof Action.Defer)).toList());
    }

    /** The order of a key whose only mail has ended unconfirmed holds even if the directory has dropped the key meanwhile. */
    @Test void removedKeyStillWaitsForTheNotice() throws Exception {
        platformStatus = 503;
        weight = 1000;
        recordOutstandingMail("a1", false, new Ending(true, 0));
        InetSocketAddress address = startNode();
        assertThat(exchange(address, enqueue("b99", "c=order,t=shop,d=9000,dest=1").replace("$1\r\n5\r\n", "$2\r\n99\r\n"), 1)).startsWith("+OK");
        while (!nextReceived().startsWith("/events b99")) {
            Thread.onSpinWait(); // Once it is sent, order keys are no longer blocked after the start.
        }
        StringBuilder others = new StringBuilder();
        for (int i = 100; i < 196; i++) { // Enough keys to make the directory drop those that no mail waits for.
            others.append(enqueue("b" + i, "c=order,t=shop,d=9000,dest=1").replace("$1\r\n5\r\n", "$3\r\n" + i + "\r\n"));
            if (i % 32 == 3) {
                assertThat(exchange(address, others.toString(), 32)).doesNotContain("-ERR");
                others.setLength(0);
            }
        }
        assertThat(exchange(address, enqueue("a2", "c=order,t=shop,d=9000,dest=1"), 1)).startsWith("+OK");
        assertThat(exchange(address, enqueue("c1", "c=order,t=shop,d=9000,dest=1").replace("$1\r\n5\r\n", "$1\r\n7\r\n"), 1)).startsWith("+OK");
        String last = nextReceived();
        while (!last.startsWith("/events c1")) { // It was submitted after a2, with another key.
            assertThat(last).doesNotContain("a2");
            last = nextReceived();
        }
        platformStatus = 204;
        while (!last.startsWith("/events a2")) {
            last = nextReceived();
        }
        assertStopsWithNothingOutstanding();
    }

    /** Endings must not be lost while the platform moves: what the old address did not answer goes to the new one. */
    @Test void listAndNoticesUseTheNewAddressAfterAReload() throws Exception {
        platformStatus = 503;
        recordOutstandingMail("a1", false, new Ending(true, 0));
        InetSocketAddress address = startNode();
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
            String notice = nextReceived();
            while (notice.startsWith("/v2/finals")) {
                notice = nextReceived();
            }
            assertThat(notice).isEqualTo("moved {\"id\":\"a1\",\"status\":\"deferred\"}");
            while (exchange(address, enqueue("b1", "c=order,t=shop,d=9000,dest=2"), 1).startsWith("-ERR")) {
                Thread.onSpinWait();
            }
            assertThat(nextReceived()).isEqualTo("/events b1 body");
        } finally {
            moved.stop(0);
        }
    }

    @Test void stopKeepsMailsThatCouldNotBeRelayed() throws Exception {
        receiverStatus = 503;
        InetSocketAddress address = startNode();
        assertThat(exchange(address, enqueue("a1", "c=order,t=shop,d=20000,dest=1"), 1)).startsWith("+OK");
        assertThat(nextReceived()).startsWith("/events a1");
        node.stop();
        assertThat(node.stopped().get(20, TimeUnit.SECONDS)).isZero();
        List<HeldMail> outstanding = Journal.read(stateFolder);
        assertThat(outstanding).hasSize(1);
        assertThat(outstanding.get(0).attempts).isNotEmpty().allMatch(RecordedAttempt::neverRan);
    }
}
