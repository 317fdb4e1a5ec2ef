package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.ConnectionReusePolicy;
import wrenreach.api.Outcome;
import wrenreach.held.HeldMail;
import wrenreach.held.Submission;
import wrenreach.state.Call;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.Route;

/** Calls to a receiver on loopback, which the test itself implements. */
class CallsTest implements Calls.Host {
    private static final long SECOND_US = 1_000_000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Calls calls = new Calls(loop, NioSocketChannel::new, this, List.of(), 60 * SECOND_US, SECOND_US, 4,
            new ConnectionReusePolicy(SECOND_US));
    private final Destination destination = new Destination(1);
    private final Endpoint endpoint = new Endpoint(1, destination, 0, 0);
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private ServerSocket receiver;
    private volatile boolean blocked;
    private volatile long iterationAgeUs;

    @BeforeEach void startReceiver() throws Exception {
        receiver = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        receiver.setSoTimeout(20_000);
        endpoint.ready = true;
        endpoint.route = new Route("r", 0, 8, SECOND_US, SECOND_US);
        loop.submit(() -> calls.setAddress(endpoint, (InetSocketAddress) receiver.getLocalSocketAddress())).get();
    }

    @AfterEach void close() throws IOException {
        receiver.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Override public long iterationTime() {
        return System.nanoTime() / 1000;
    }

    @Override public long iterationAge() {
        return iterationAgeUs;
    }

    @Override public void attemptEnded(HeldMail held, DeliveryAttempt attempt, Outcome outcome, double[] report, boolean completed) {
        outcomes.add(outcome);
    }

    @Override public boolean isBlocked(HeldMail held) {
        return blocked;
    }

    @Override public void beforeSend(HeldMail held, DeliveryAttempt attempt) { }

    private DeliveryAttempt send(long timeout) throws Exception {
        HeldMail held = new HeldMail(new Submission("a", "", "c", "t", "", 1, new byte[] {'x'}), 0);
        held.mail = new Mail(1, destination, null, 0, 0, iterationTime(), iterationTime() + 60 * SECOND_US);
        DeliveryAttempt attempt = new DeliveryAttempt(held.mail, endpoint, iterationTime(), iterationTime() + timeout, new Call(iterationTime()));
        loop.submit(() -> calls.send(held, attempt)).get();
        return attempt;
    }

    private Socket accept() throws IOException {
        Socket socket = receiver.accept();
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** Ends iterations until the call's bytes come, and reads its request. */
    private void readRequest(Socket socket) throws Exception {
        while (socket.getInputStream().available() == 0) {
            endIteration();
        }
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\nx")) {
            request.append((char) socket.getInputStream().read());
        }
    }

    private void endIteration() throws Exception {
        loop.submit(() -> {
            calls.dropDisallowed();
            calls.prepareWrites();
            calls.flush(iterationTime());
        }).get();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void answer(Socket socket, String text) throws IOException {
        write(socket, text + "\r\nContent-Length: 0\r\n\r\n");
    }

    private Outcome nextOutcome() throws InterruptedException {
        return outcomes.poll(20, TimeUnit.SECONDS);
    }

    private static void deliver(Socket socket, String body) throws IOException {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** A connection whose receiver's responses have been seen to differ, so that it carries further calls; its last response had the body "b". */
    private Socket reusableConnection() throws Exception {
        send(30 * SECOND_US);
        try (Socket first = accept()) {
            readRequest(first);
            deliver(first, "a");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
        }
        send(30 * SECOND_US);
        Socket second = accept();
        readRequest(second);
        deliver(second, "b");
        assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
        return second;
    }

    /** Sends the next call on an open connection, and reads its request. */
    private void sendNext(Socket socket) throws Exception {
        assertThat(send(30 * SECOND_US).reusedConnection).isTrue();
        readRequest(socket);
    }

    private void assertNextCallGetsANewConnection() throws Exception {
        assertThat(send(30 * SECOND_US).reusedConnection).isFalse();
        try (Socket fresh = accept()) {
            readRequest(fresh);
            answer(fresh, "HTTP/1.1 200 OK");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
        }
    }

    @Test void connectionIsReusedWhereResponsesDiffer() throws Exception {
        try (Socket socket = reusableConnection()) {
            for (int i = 0; i < 2; i++) {
                sendNext(socket);
                deliver(socket, "c" + i);
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            }
            sendNext(socket);
            answer(socket, "HTTP/1.1 503 Full");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Rejected(0));
            sendNext(socket);
        }
    }

    /** Guards against a stale response that can't be told from a true one. */
    @ParameterizedTest
    @ValueSource(strings = {"", "ok"})
    void connectionIsNotReusedWhereResponsesAreAlike(String body) throws Exception {
        for (int i = 0; i < 4; i++) {
            assertThat(send(30 * SECOND_US).reusedConnection).isFalse();
            try (Socket socket = accept()) {
                readRequest(socket);
                deliver(socket, body);
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /** Guards against a copy of an earlier response that ends the next call: its message may have run, and was neither delivered nor refused. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb", "HTTP/1.1 200 Fine\r\nVia: 1.1 proxy\r\nContent-Length: 1\r\nAge: 3\r\n\r\nb",
        "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nb", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"})
    void copyOfAnEarlierResponseEndsNoOtherCall(String copy) throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            write(socket, copy);
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectionLost());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        assertNextCallGetsANewConnection();
    }

    /** Guards against a copy of a refusal that is taken for a refusal of a message that is being served. */
    @ParameterizedTest
    @ValueSource(strings = {"503 Full", "429 Wait\r\nWait-Ms: 30", "500 Error", "504 Over", "410 Gone"})
    void copyOfAnEarlierRefusalProvesNothing(String refusal) throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            answer(socket, "HTTP/1.1 " + refusal);
            assertThat(nextOutcome()).isNotInstanceOf(Outcome.ConnectionLost.class);
            TimeUnit.MILLISECONDS.sleep(50);
            sendNext(socket);
            answer(socket, "HTTP/1.1 " + refusal);
            assertThat(nextOutcome()).isInstanceOf(Outcome.ConnectionLost.class);
        }
    }

    private static final String EARLIER_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nunique123";

    static Stream<Arguments> cutsOfAResponse() {
        return IntStream.range(1, EARLIER_RESPONSE.length()).boxed().flatMap(cut -> Stream.of(Arguments.of(cut, true), Arguments.of(cut, false)));
    }

    /** Guards against part of an earlier response that merges with the response behind it: a refused call was taken for delivered. */
    @ParameterizedTest
    @MethodSource("cutsOfAResponse")
    void halfACopyAndTheTrueResponseAreNeverTakenForDelivered(int cut, boolean inPieces) throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            write(socket, EARLIER_RESPONSE);
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            sendNext(socket);
            String merged = EARLIER_RESPONSE.substring(0, cut) + "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
            for (String piece : inPieces ? merged.split("(?<=[\\s\\S])") : new String[] {merged}) {
                writeIfOpen(socket, piece);
            }
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectionLost());
        }
    }

    /** The node may have closed the connection by then. */
    private static void writeIfOpen(Socket socket, String text) throws IOException {
        try {
            write(socket, text);
        } catch (SocketException e) {
            assertThat(e).hasMessageMatching("(?i).*(broken pipe|reset).*");
        }
    }

    /** Guards against a status line of 200 that belongs to an earlier call: on a connection that carried others, only a whole response counts. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nb", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"})
    void startOfAResponseOnAUsedConnectionDoesNotMeanDelivered(String text) throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            write(socket, text);
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectionLost());
        }
    }

    /** Guards against a wait that is not heeded because the response that tells it does not count: cut short, behind a copy, merged. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 429 Wait\r\nWait-Ms: 15000\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nbHTTP/1.1 429 Wait\r\nContent-Length: 0\r\nWait-Ms: 15000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nuniHTTP/1.1 429 Wait\r\nwait-ms: 15000\r\nContent-Length: 0\r\n\r\n"})
    void waitInAResponseThatDoesNotCountIsHeeded(String text) throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            long begin = System.nanoTime();
            write(socket, text);
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectionLost(15 * SECOND_US));
            assertThat(System.nanoTime() - begin).as("calls are let through for 100 ms").isLessThan(TimeUnit.MILLISECONDS.toNanos(400));
        }
    }

    /** Guards against a close of the node's own that is taken for a stray response: its handlers report that a response was cut short. */
    @Test void responseCutShortDoesNotEndTheReuseOfConnections() throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            write(socket, "HTTP/1.1 503 Full\r\nContent-Length: 3\r\n\r\n");
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectionLost());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            deliver(socket, "c");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            sendNext(socket);
        }
    }

    /** Guards against a response that is older than its request: a call whose last byte is not written never ran. */
    @Test void responseBeforeItsRequestIsWrittenEndsNoCall() throws Exception {
        blocked = true;
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            answer(socket, "HTTP/1.1 200 OK");
            assertThat(nextOutcome().neverRan()).isTrue();
        }
        blocked = false;
        assertNextCallGetsANewConnection();
    }

    /** Guards against reuse after a stray response: what came once from an address may come again, also to connections that are idle or in use. */
    @Test void strayResponseEndsTheReuseOfConnectionsToItsAddress() throws Exception {
        try (Socket socket = reusableConnection()) {
            sendNext(socket);
            send(30 * SECOND_US);
            try (Socket idle = accept()) {
                readRequest(idle);
                deliver(idle, "c");
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
                deliver(idle, "c");
                assertThat(idle.getInputStream().read()).isEqualTo(-1);
            }
            deliver(socket, "d");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        loop.submit(() -> calls.remove(endpoint)).get();
        loop.submit(() -> calls.setAddress(endpoint, (InetSocketAddress) receiver.getLocalSocketAddress())).get();
        for (String body : List.of("e", "f", "g")) {
            assertThat(send(30 * SECOND_US).reusedConnection).as("after a change of the endpoint list").isFalse();
            try (Socket fresh = accept()) {
                readRequest(fresh);
                deliver(fresh, body);
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            }
        }
    }

    /** The response to the previous call says nothing of a call that was never written: taken for relayed, its mail would be lost. */
    @ParameterizedTest
    @ValueSource(strings = {"cut", "revoked", "broken"})
    void unsentCallOnReusedConnectionIsNotTakenForRelayed(String ending) throws Exception {
        try (Socket socket = reusableConnection()) {
            blocked = true;
            DeliveryAttempt second = send(ending.equals("cut") ? SECOND_US / 10 : 30 * SECOND_US);
            assertThat(second.reusedConnection).isTrue();
            endIteration();
            if (ending.equals("revoked")) {
                loop.submit(() -> calls.cancel(second)).get();
            } else if (ending.equals("broken")) {
                socket.close();
            }
            assertThat(nextOutcome().neverRan()).isTrue();
        }
    }

    @Test void timedOutCallClosesItsConnection() throws Exception {
        send(SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            assertThat(nextOutcome()).isEqualTo(new Outcome.TimedOut());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Data that came while the process stood still is read before the timeouts that expired meanwhile run: a final response would be lost. */
    @Test void responseThatArrivedWhileTheLoopWasBlockedCounts() throws Exception {
        send(SECOND_US / 2);
        try (Socket socket = accept()) {
            readRequest(socket);
            CountDownLatch answered = new CountDownLatch(1);
            // The loop is blocked until after the timeout. The response comes after its last select, just as a selector that wakes
            // from a stop has seen nothing.
            loop.schedule(() -> answered.await(20, TimeUnit.SECONDS), SECOND_US / 4, TimeUnit.MICROSECONDS);
            loop.execute(() -> LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1)));
            CountDownLatch blockedPastTimeout = new CountDownLatch(1);
            loop.schedule(blockedPastTimeout::countDown, 0, TimeUnit.MICROSECONDS);
            assertThat(blockedPastTimeout.await(20, TimeUnit.SECONDS)).isTrue();
            answer(socket, "HTTP/1.1 200 OK");
            answered.countDown();
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
        }
    }

    @Test void callThatBreaksAfterItsWriteMayHaveRun() throws Exception {
        send(30 * SECOND_US);
        Socket socket = accept();
        readRequest(socket);
        socket.close();
        assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectionLost());
    }

    @Test void failedTcpConnectNeverRan() throws Exception {
        receiver.close();
        send(30 * SECOND_US);
        assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectFailed());
    }

    /** A call decided before its endpoint began to drain must not be written afterwards. */
    @Test void stagedCallIsDroppedWhenItsEndpointDrains() throws Exception {
        blocked = true;
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            endIteration();
            endpoint.ready = false;
            blocked = false;
            while (outcomes.isEmpty()) {
                endIteration();
            }
            assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
            assertThat(socket.getInputStream().available()).isZero();
        }
    }

    /** A repeat decided within the deduplication window must not be written after it, however long connecting took: it would take effect twice. */
    @Test void repeatIsNotWrittenAfterItsDeduplicationWindow() throws Exception {
        blocked = true;
        DeliveryAttempt attempt = send(30 * SECOND_US);
        try (Socket socket = accept()) {
            endIteration();
            attempt.sendDeadline = iterationTime() - 1;
            blocked = false;
            while (outcomes.isEmpty()) {
                endIteration();
            }
            assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
            assertThat(socket.getInputStream().available()).isZero();
        }
    }

    /** A call decided before a retry-after wait came in must not be written before the wait is over. */
    @Test void stagedCallIsDroppedDuringARetryAfterWait() throws Exception {
        send(30 * SECOND_US);
        try (Socket first = accept()) {
            readRequest(first);
            blocked = true;
            send(30 * SECOND_US);
            try (Socket second = accept()) {
                answer(first, "HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 15000");
                assertThat(nextOutcome()).isEqualTo(new Outcome.Rejected(15 * SECOND_US));
                blocked = false;
                while (outcomes.isEmpty()) {
                    endIteration();
                }
                assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
                assertThat(second.getInputStream().available()).isZero();
            }
        }
    }

    /** A status line with 200 holds whatever follows, as the mail was relayed; any other response counts only whole. */
    @ParameterizedTest
    @CsvSource({"'200 OK\r\nContent-Length: x', Delivered", "'200 OK\r\nContent-Length: 3\r\n\r\n', Delivered",
        "'200 OK\r\nContent-Length: 3000000000\r\n\r\nxx', Delivered", "'200 OK\r\n: : :\r\n\r\n', Delivered",
        "'200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', Delivered", "'200 OK', ConnectionLost",
        "'429 No\r\nContent-Length: 3\r\n\r\n', ConnectionLost", "'410 No\r\nContent-Length: -1\r\n\r\n', ConnectionLost",
        "'503 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n', ConnectionLost", "'2x0 OK\r\n\r\n', ConnectionLost"})
    void malformedResponseMayHaveRunButStatus200MeansDelivered(String text, String outcome) throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 " + text);
            if (outcome.equals("ConnectionLost")) {
                socket.shutdownOutput();
            }
            assertThat(nextOutcome()).extracting(o -> o.getClass().getSimpleName()).isEqualTo(outcome);
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Bytes after a response must not be taken for the response to the next call on the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "\r\n", "x"})
    void connectionWithBytesAfterItsResponseIsNotReused(String more) throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            write(socket, "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno" + more);
            assertThat(nextOutcome()).isEqualTo(new Outcome.Rejected(0));
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
            send(30 * SECOND_US);
            try (Socket fresh = accept()) {
                readRequest(fresh);
                answer(fresh, "HTTP/1.1 200 OK");
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            }
        }
    }

    @Test void interimResponsesAreSkipped() throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            for (byte b : ("HTTP/1.1 100 Continue\r\nX: 1\r\n\r\nHTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"
                    + "HTTP/1.1 429 Full\r\nWait-Ms: 40\r\nContent-Length: 1\r\n\r\nx").getBytes()) {
                socket.getOutputStream().write(b);
            }
            assertThat(nextOutcome()).isEqualTo(new Outcome.Rejected(40_000));
        }
    }

    /** In a long iteration a retry-after wait was counted from the start of the iteration, and outcomes too early. */
    @Test void retryAfterWaitRunsFromWhenItIsReceived() throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            iterationAgeUs = 70_000;
            answer(socket, "HTTP/1.1 429 Full\r\nWait-Ms: 40");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Rejected(110_000));
        }
    }

    /** At the former address the receiver of another endpoint may listen by now, which must not get the mail. */
    @Test void connectionToAFormerAddressIsNotReused() throws Exception {
        try (ServerSocket newReceiver = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            newReceiver.setSoTimeout(20_000);
            send(30 * SECOND_US);
            try (Socket former = accept()) {
                readRequest(former);
                loop.submit(() -> calls.setAddress(endpoint, (InetSocketAddress) newReceiver.getLocalSocketAddress())).get();
                answer(former, "HTTP/1.1 200 OK");
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
                assertThat(former.getInputStream().read()).isEqualTo(-1);
                send(30 * SECOND_US);
                try (Socket moved = newReceiver.accept()) {
                    moved.setSoTimeout(20_000);
                    readRequest(moved);
                }
            }
        }
    }

    /** The same for a connection that was still being opened: nothing is written to it. */
    @Test void stagedCallToAFormerAddressIsNotSent() throws Exception {
        try (ServerSocket newReceiver = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            blocked = true;
            send(30 * SECOND_US);
            try (Socket former = accept()) {
                endIteration();
                loop.submit(() -> calls.setAddress(endpoint, (InetSocketAddress) newReceiver.getLocalSocketAddress())).get();
                blocked = false;
                while (outcomes.isEmpty()) {
                    endIteration();
                }
                assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
                assertThat(former.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /** Something to do with a call of which only the first bytes are written. */
    private interface UnfinishedCall {
        void check(Calls narrowCalls, DeliveryAttempt attempt, Socket socket) throws Exception;
    }

    /** Begins a call whose body does not fit into the buffers of its connection. */
    private void withUnfinishedWrite(UnfinishedCall then) throws Exception {
        try (ServerSocket narrowReceiver = new ServerSocket()) {
            narrowReceiver.setReceiveBufferSize(1024);
            narrowReceiver.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Calls narrowCalls = new Calls(loop, () -> {
                NioSocketChannel channel = new NioSocketChannel();
                channel.config().setSendBufferSize(1024);
                return channel;
            }, this, List.of(), 60 * SECOND_US, SECOND_US, 4, new ConnectionReusePolicy(SECOND_US));
            HeldMail held = new HeldMail(new Submission("a", "", "c", "t", "", 1, new byte[64 * 1024]), 0);
            held.mail = new Mail(1, destination, null, 0, 0, iterationTime(), iterationTime() + 60 * SECOND_US);
            DeliveryAttempt attempt = new DeliveryAttempt(held.mail, endpoint, iterationTime(), iterationTime() + 30 * SECOND_US, new Call(iterationTime()));
            loop.submit(() -> {
                narrowCalls.setAddress(endpoint, (InetSocketAddress) narrowReceiver.getLocalSocketAddress());
                narrowCalls.send(held, attempt);
            }).get();
            try (Socket socket = narrowReceiver.accept()) {
                while (socket.getInputStream().available() == 0) {
                    loop.submit(() -> {
                        narrowCalls.prepareWrites();
                        narrowCalls.flush(iterationTime());
                    }).get();
                }
                then.check(narrowCalls, attempt, socket);
            }
        }
    }

    /**
     * Closing a connection fails its unfinished write at once. The decisions must not hear of it within cancel, since calls are
     * cancelled while the actions of the decisions are carried out.
     */
    @Test void cancelledCallWithAnUnfinishedWriteIsReportedInALaterTask() throws Exception {
        withUnfinishedWrite((narrowCalls, attempt, socket) -> {
            assertThat(loop.submit(() -> {
                narrowCalls.cancel(attempt);
                return outcomes.size();
            }).get()).as("outcomes reported before cancel has returned").isZero();
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectFailed());
        });
    }

    /** Guards against a response that is taken for the answer to a request which the receiver has not got whole. */
    @Test void responseDuringTheWriteOfItsRequestEndsNoCall() throws Exception {
        withUnfinishedWrite((narrowCalls, attempt, socket) -> {
            answer(socket, "HTTP/1.1 200 OK");
            assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectFailed());
        });
    }

    @Test void cancelledCallClosesItsConnection() throws Exception {
        DeliveryAttempt attempt = send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            loop.submit(() -> calls.cancel(attempt)).get();
            assertThat(nextOutcome()).isEqualTo(new Outcome.Cancelled());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }
}
