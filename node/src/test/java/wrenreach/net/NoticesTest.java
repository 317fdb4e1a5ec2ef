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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void assertAcknowledged(String id) throws InterruptedException {
        assertThat(acknowledged.poll(20, TimeUnit.SECONDS).submission.id()).isEqualTo(id);
    }

    /** Guards against a 204 that confirms another post than its own: the refused one was never posted again. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 204 OK\r\n\r\n", "HTTP/1.1 204 OK\r\n\r\nHTTP/1.1 204 OK\r\n\r\n"})
    void copyOfAConfirmationConfirmsNoOtherNotice(String copy) throws Exception {
        Notices notices = notices(2);
        sendNotice(notices, "a");
        try (Socket first = platform.accept()) {
            readNotice(first, "a");
            answer(first);
            assertAcknowledged("a");
            sendNotice(notices, "b");
            writeIfOpen(first, copy);
            try (Socket second = platform.accept()) {
                readNotice(second, "b");
                write(second, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" + copy);
                try (Socket third = platform.accept()) {
                    readNotice(third, "b");
                    assertThat(acknowledged).isEmpty();
                    answer(third);
                    assertAcknowledged("b");
                }
            }
        }
    }

    /** The node has closed the connection by then, or does it now. */
    private static void writeIfOpen(Socket socket, String text) throws IOException {
        try {
            write(socket, text);
        } catch (SocketException e) {
            assertThat(e).hasMessageMatching("(?i).*(broken pipe|reset).*");
        }
    }

    /** Endings leave no time for a backoff: a post goes out at once, whatever became of the connection before. */
    @Test void noticeAfterAClosedConnectionIsPostedAtOnce() throws Exception {
        Notices notices = notices(NEVER_MS);
        for (String id : List.of("a", "b", "c")) {
            sendNotice(notices, id);
            try (Socket socket = platform.accept()) {
                readNotice(socket, id);
                answer(socket);
                assertAcknowledged(id);
            }
        }
    }

    /** Interim responses ahead of the answer say nothing of the post. */
    @Test void interimResponsesConfirmAndRefuseNothing() throws Exception {
        Notices notices = notices(NEVER_MS);
        sendNotice(notices, "a");
        try (Socket socket = platform.accept()) {
            readNotice(socket, "a");
            write(socket, "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            answer(socket);
            assertAcknowledged("a");
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
