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
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.api.Outcome;
import wrenreach.held.HeldMail;
import wrenreach.held.Submission;
import wrenreach.state.Call;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.Route;

/** Calls to a receiver on loopback that the test plays itself. */
class CallsTest implements Calls.Host {
    private static final long SECOND_US = 1_000_000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Calls calls = new Calls(loop, NioSocketChannel::new, this, List.of(), 60 * SECOND_US, SECOND_US, 4);
    private final Destination destination = new Destination(1);
    private final Endpoint endpoint = new Endpoint(1, destination, 0, 0);
    private final BlockingQueue<Outcome> ended = new LinkedBlockingQueue<>();
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

    @Override public void attemptEnded(HeldMail held, DeliveryAttempt connect, Outcome outcome, double[] report, boolean over) {
        ended.add(outcome);
    }

    @Override public boolean isBlocked(HeldMail held) {
        return blocked;
    }

    @Override public void beforeSend(HeldMail held, DeliveryAttempt connect) { }

    private DeliveryAttempt send(long cutAfter) throws Exception {
        HeldMail held = new HeldMail(new Submission("a", "", "c", "t", "", 1, new byte[] {'x'}), 0);
        held.mail = new Mail(1, destination, null, 0, 0, iterationTime(), iterationTime() + 60 * SECOND_US);
        DeliveryAttempt connect = new DeliveryAttempt(held.mail, endpoint, iterationTime(), iterationTime() + cutAfter, new Call(iterationTime()));
        loop.submit(() -> calls.send(held, connect)).get();
        return connect;
    }

    private Socket accept() throws IOException {
        Socket socket = receiver.accept();
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** Ends turns until the call's bytes are there. */
    private void readRequest(Socket socket) throws Exception {
        while (socket.getInputStream().available() == 0) {
            endIteration();
        }
        StringBuilder got = new StringBuilder();
        while (!got.toString().endsWith("\r\n\r\nx")) {
            got.append((char) socket.getInputStream().read());
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
        return ended.poll(20, TimeUnit.SECONDS);
    }

    @Test void connectionIsReusedForTheNextCall() throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            for (int i = 0; i < 2; i++) {
                readRequest(socket);
                answer(socket, "HTTP/1.1 200 OK");
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
                assertThat(send(30 * SECOND_US).reusedConnection).isTrue();
            }
        }
    }

    /** Guards mails against being lost: the answer to the call before says nothing of one that was never written. */
    @ParameterizedTest
    @ValueSource(strings = {"cut", "revoked", "broken"})
    void unsentCallOnReusedConnectionIsNotTakenForRelayed(String end) throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            answer(socket, "HTTP/1.1 200 OK");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
            blocked = true;
            DeliveryAttempt second = send(end.equals("cut") ? SECOND_US / 10 : 30 * SECOND_US);
            assertThat(second.reusedConnection).isTrue();
            endIteration();
            if (end.equals("revoked")) {
                loop.submit(() -> calls.cancel(second)).get();
            } else if (end.equals("broken")) {
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

    /** Guards final answers: what came while the process stood still is read before the time that ran out meanwhile is judged. */
    @Test void responseThatArrivedWhileTheLoopWasBlockedCounts() throws Exception {
        send(SECOND_US / 2);
        try (Socket socket = accept()) {
            readRequest(socket);
            CountDownLatch answered = new CountDownLatch(1);
            // The loop stands still beyond the cut-off; the answer comes after its last look at the sockets, in the way in
            // which a selector that wakes from a stop has seen nothing.
            loop.schedule(() -> answered.await(20, TimeUnit.SECONDS), SECOND_US / 4, TimeUnit.MICROSECONDS);
            loop.execute(() -> LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1)));
            CountDownLatch stands = new CountDownLatch(1);
            loop.schedule(stands::countDown, 0, TimeUnit.MICROSECONDS);
            assertThat(stands.await(20, TimeUnit.SECONDS)).isTrue();
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

    /** Guards drains: a call decided before its endpoint drained is not written after. */
    @Test void stagedCallIsDroppedWhenItsEndpointDrains() throws Exception {
        blocked = true;
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            endIteration();
            endpoint.ready = false;
            blocked = false;
            while (ended.isEmpty()) {
                endIteration();
            }
            assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
            assertThat(socket.getInputStream().available()).isZero();
        }
    }

    /** Guards against effects twice: a repeat decided within its window is not written after, however long its connection took. */
    @Test void repeatIsNotWrittenAfterItsDeduplicationWindow() throws Exception {
        blocked = true;
        DeliveryAttempt connect = send(30 * SECOND_US);
        try (Socket socket = accept()) {
            endIteration();
            connect.sendDeadline = iterationTime() - 1;
            blocked = false;
            while (ended.isEmpty()) {
                endIteration();
            }
            assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
            assertThat(socket.getInputStream().available()).isZero();
        }
    }

    /** Guards told waits: a call decided before the wait came in is not written before it is over. */
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
                while (ended.isEmpty()) {
                    endIteration();
                }
                assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
                assertThat(second.getInputStream().available()).isZero();
            }
        }
    }

    /** Guards mails that were relayed: a first line with 200 holds whatever follows. All else counts only whole. */
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

    /** Guards the next call on a connection: what follows an answer must not be taken for its own. */
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

    /** Guards the told wait where a turn takes long: it was counted from the turn's start, and ended too early. */
    @Test void retryAfterWaitRunsFromWhenItIsReceived() throws Exception {
        send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            iterationAgeUs = 70_000;
            answer(socket, "HTTP/1.1 429 Full\r\nWait-Ms: 40");
            assertThat(nextOutcome()).isEqualTo(new Outcome.Rejected(110_000));
        }
    }

    /** Guards mails against another endpoint's receiver, which listens by now where this one did. */
    @Test void connectionToAFormerAddressIsNotReused() throws Exception {
        try (ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            elsewhere.setSoTimeout(20_000);
            send(30 * SECOND_US);
            try (Socket old = accept()) {
                readRequest(old);
                loop.submit(() -> calls.setAddress(endpoint, (InetSocketAddress) elsewhere.getLocalSocketAddress())).get();
                answer(old, "HTTP/1.1 200 OK");
                assertThat(nextOutcome()).isEqualTo(new Outcome.Delivered());
                assertThat(old.getInputStream().read()).isEqualTo(-1);
                send(30 * SECOND_US);
                try (Socket moved = elsewhere.accept()) {
                    moved.setSoTimeout(20_000);
                    readRequest(moved);
                }
            }
        }
    }

    /** The same where the connection was still being made: nothing is written to it. */
    @Test void stagedCallToAFormerAddressIsNotSent() throws Exception {
        try (ServerSocket elsewhere = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            blocked = true;
            send(30 * SECOND_US);
            try (Socket old = accept()) {
                endIteration();
                loop.submit(() -> calls.setAddress(endpoint, (InetSocketAddress) elsewhere.getLocalSocketAddress())).get();
                blocked = false;
                while (ended.isEmpty()) {
                    endIteration();
                }
                assertThat(nextOutcome()).isEqualTo(new Outcome.NotSent(false));
                assertThat(old.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /**
     * Closing a connection fails its unfinished write at once. That must not reach the decisions in the middle of who closes: it is
     * while decisions are carried out that calls are revoked.
     */
    @Test void cancelledCallWithAnUnfinishedWriteIsReportedInALaterTask() throws Exception {
        try (ServerSocket small = new ServerSocket()) {
            small.setReceiveBufferSize(1024);
            small.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Calls narrow = new Calls(loop, () -> {
                NioSocketChannel channel = new NioSocketChannel();
                channel.config().setSendBufferSize(1024);
                return channel;
            }, this, List.of(), 60 * SECOND_US, SECOND_US, 4);
            HeldMail held = new HeldMail(new Submission("a", "", "c", "t", "", 1, new byte[64 * 1024]), 0);
            held.mail = new Mail(1, destination, null, 0, 0, iterationTime(), iterationTime() + 60 * SECOND_US);
            DeliveryAttempt connect = new DeliveryAttempt(held.mail, endpoint, iterationTime(), iterationTime() + 30 * SECOND_US, new Call(iterationTime()));
            loop.submit(() -> {
                narrow.setAddress(endpoint, (InetSocketAddress) small.getLocalSocketAddress());
                narrow.send(held, connect);
            }).get();
            try (Socket socket = small.accept()) {
                while (socket.getInputStream().available() == 0) {
                    loop.submit(() -> {
                        narrow.prepareWrites();
                        narrow.flush(iterationTime());
                    }).get();
                }
                assertThat(loop.submit(() -> {
                    narrow.cancel(connect);
                    return ended.size();
                }).get()).as("ends reported before revoke has returned").isZero();
                assertThat(nextOutcome()).isEqualTo(new Outcome.ConnectFailed());
            }
        }
    }

    @Test void cancelledCallClosesItsConnection() throws Exception {
        DeliveryAttempt connect = send(30 * SECOND_US);
        try (Socket socket = accept()) {
            readRequest(socket);
            loop.submit(() -> calls.cancel(connect)).get();
            assertThat(nextOutcome()).isEqualTo(new Outcome.Cancelled());
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }
}
