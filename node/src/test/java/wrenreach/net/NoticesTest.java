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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wrenreach.held.Ending;
import wrenreach.held.HeldMail;
import wrenreach.held.Submission;

/** Notices to a platform on loopback, which the test itself implements. */
class NoticesTest {
    private static final long NEVER_MS = 3_600_000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<HeldMail> acknowledged = new LinkedBlockingQueue<>();
    private ServerSocket platform;

    @BeforeEach void listen() throws IOException {
        platform = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        platform.setSoTimeout(20_000);
    }

    @AfterEach void close() throws IOException {
        platform.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Notices notices(long backoffMs) {
        return new Notices(loop, NioSocketChannel::new, (InetSocketAddress) platform.getLocalSocketAddress(), acknowledged::add,
                new Backoff(backoffMs, backoffMs, 1));
    }

    /** Ends a mail undelivered and posts its notice. */
    private void sendNotice(Notices notices, String id) throws Exception {
        HeldMail mail = new HeldMail(new Submission(id, "", "c", "t", "", 1, new byte[0]), 0);
        mail.ending = new Ending(false, 0);
        loop.submit(() -> {
            notices.add(mail);
            notices.flush();
        }).get();
    }

    private static void readNotice(Socket socket, String id) throws IOException {
        socket.setSoTimeout(20_000);
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("{\"id\":\"" + id + "\",\"status\":\"undeliverable\"}\n")) {
            int c = socket.getInputStream().read();
            assertThat(c).as("in %s", received).isNotNegative();
            received.append((char) c);
        }
    }

    private static void answer(Socket socket) throws IOException {
        socket.getOutputStream().write("HTTP/1.1 204 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** A connection may have been closed while idle. Its endings leave no time for a backoff, so a new one is opened at once. */
    @Test void brokenIdleConnectionIsReplacedAtOnce() throws Exception {
        Notices notices = notices(NEVER_MS);
        sendNotice(notices, "a");
        try (Socket first = platform.accept()) {
            readNotice(first, "a");
            answer(first);
            assertThat(acknowledged.poll(20, TimeUnit.SECONDS).submission.id()).isEqualTo("a");
            sendNotice(notices, "b");
            readNotice(first, "b");
        }
        try (Socket second = platform.accept()) {
            readNotice(second, "b");
            answer(second);
            assertThat(acknowledged.poll(20, TimeUnit.SECONDS).submission.id()).isEqualTo("b");
        }
    }

    /** A post without a response is repeated on another connection while there is time, and the first connection is closed. */
    @Test void unansweredPostIsSentAgain() throws Exception {
        Notices notices = notices(2);
        sendNotice(notices, "a");
        try (Socket first = platform.accept()) {
            readNotice(first, "a");
            try (Socket second = platform.accept()) {
                assertThat(first.getInputStream().read()).isEqualTo(-1);
                readNotice(second, "a");
                answer(second);
                assertThat(acknowledged.poll(20, TimeUnit.SECONDS).submission.id()).isEqualTo("a");
            }
        }
    }
}
