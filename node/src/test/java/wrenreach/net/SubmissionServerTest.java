package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The listener for clients: each closed connection is counted with its reason, and requests read before the close are answered. */
class SubmissionServerTest implements SubmissionServer.Host {
    private static final int MAX_CLIENTS = 8;
    /** How long a connection may be idle. */
    private static final int IDLE_TIMEOUT_MS = 5000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SubmissionServer server = new SubmissionServer(group, NioServerSocketChannel::new, this, MAX_CLIENTS);
    private final CompletableFuture<InetSocketAddress> listenAddress = new CompletableFuture<>();
    private final List<Socket> clients = new ArrayList<>();
    /** Requests that get no reply before the test sends it. */
    private final BlockingQueue<SubmissionServer.PendingRequest> withheld = new LinkedBlockingQueue<>();
    private volatile boolean withholdReplies;

    @Override public void onRequest(Request request, SubmissionServer.PendingRequest pending) {
        if (withholdReplies) {
            withheld.add(pending);
            return;
        }
        pending.reply(request instanceof Request.Malformed malformed ? new Reply.Error(malformed.reason(), true) : new Reply.Pong());
        loop.execute(server::flush);
    }

    private final SubmissionServer.ListenCallback listenCallback = new SubmissionServer.ListenCallback() {
        @Override public void opened(InetSocketAddress at) {
            listenAddress.complete(at);
        }

        @Override public void failed(Throwable why) {
            listenAddress.completeExceptionally(why);
        }
    };

    @BeforeEach void listen() throws Exception {
        loop.submit(() -> server.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), listenCallback)).get();
    }

    @AfterEach void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Socket connect(String text) throws Exception {
        InetSocketAddress address = listenAddress.get(20, TimeUnit.SECONDS);
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        clients.add(socket);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Reads everything until the connection is closed. */
    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private void awaitClosed(ClosedConnections.Reason reason, int count) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (total(reason) < count && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        assertThat(total(reason)).as(reason.toString()).isEqualTo(count);
    }

    private int total(ClosedConnections.Reason reason) throws InterruptedException, ExecutionException {
        return loop.submit(() -> server.closedConnections().total(reason)).get();
    }

    @Test void closeByTheClientIsCounted() throws Exception {
        Socket client = connect("PING\r\n");
        assertThat(client.getInputStream().read()).isEqualTo('+');
        client.close();
        awaitClosed(ClosedConnections.Reason.CLOSED_BY_CLIENT, 1);
    }

    @Test void brokenConnectionIsCounted() throws Exception {
        Socket client = connect("PING\r\n");
        assertThat(client.getInputStream().read()).isEqualTo('+');
        client.setSoLinger(true, 0);
        client.close();
        awaitClosed(ClosedConnections.Reason.BROKEN, 1);
    }

    @Test void idleClientIsClosed() throws Exception {
        assertThat(readToEnd(connect("PING\r\n"))).isEqualTo("+PONG\r\n");
        awaitClosed(ClosedConnections.Reason.IDLE, 1);
    }

    /** Guards against connections without a deadline: one that was due while its request was open was never closed any more. */
    @Test void connectionWhoseRequestIsOpenWhenItIsDueIsClosedLater() throws Exception {
        withholdReplies = true;
        Socket client = connect("PING\r\n");
        SubmissionServer.PendingRequest pending = withheld.poll(20, TimeUnit.SECONDS);
        Thread.sleep(IDLE_TIMEOUT_MS + 1000);
        loop.submit(() -> {
            pending.reply(new Reply.Pong());
            server.flush();
        }).get();
        assertThat(readToEnd(client)).isEqualTo("+PONG\r\n");
        awaitClosed(ClosedConnections.Reason.IDLE, 1);
    }

    /** A client that stops in the middle of a request and stays connected gets an error within 3 s. */
    @Test void unfinishedRequestIsAnsweredWithAnErrorInTime() throws Exception {
        long startedAt = System.nanoTime();
        assertThat(readToEnd(connect("*5\r\n$7\r\nENQ"))).startsWith("-ERR");
        assertThat(System.nanoTime() - startedAt).isLessThan(TimeUnit.SECONDS.toNanos(3));
        awaitClosed(ClosedConnections.Reason.REQUEST_TOO_SLOW, 1);
    }

    @Test void unreadableRequestIsAnsweredWithAnError() throws Exception {
        assertThat(readToEnd(connect("*9999999\r\n"))).startsWith("-ERR");
        awaitClosed(ClosedConnections.Reason.UNREADABLE, 1);
    }

    @Test void surplusConnectionsAreClosed() throws Exception {
        for (int i = 0; i < 2 * MAX_CLIENTS; i++) {
            connect("");
        }
        // Clients that have sent no request get half of the places.
        awaitClosed(ClosedConnections.Reason.TOO_MANY_CONNECTIONS, 2 * MAX_CLIENTS - MAX_CLIENTS / 2);
    }

    @Test void shutdownAnswersRequestsReadBefore() throws Exception {
        Socket idle = connect("PING\r\n");
        assertThat(idle.getInputStream().read()).isEqualTo('+');
        Socket fresh = connect("PING\r\n");
        loop.submit(server::close).get();
        assertThat(readToEnd(fresh)).isEqualTo("+PONG\r\n");
        assertThat(readToEnd(idle)).isEqualTo("PONG\r\n");
        awaitClosed(ClosedConnections.Reason.SHUTDOWN, 2);
    }

    @Test void addressInUseIsReportedOnTheLoop() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Boolean> onLoop = new CompletableFuture<>();
            SubmissionServer second = new SubmissionServer(group, NioServerSocketChannel::new, this, MAX_CLIENTS);
            loop.submit(() -> second.open((InetSocketAddress) occupied.getLocalSocketAddress(), new SubmissionServer.ListenCallback() {
                @Override public void opened(InetSocketAddress at) {
                    onLoop.completeExceptionally(new AssertionError("opened"));
                }

                @Override public void failed(Throwable why) {
                    onLoop.complete(loop.inEventLoop());
                }
            })).get();
            assertThat(onLoop.get(20, TimeUnit.SECONDS)).isTrue();
        }
    }
}
