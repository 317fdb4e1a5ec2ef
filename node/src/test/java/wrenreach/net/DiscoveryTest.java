package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
import wrenreach.endpoints.ListLine;
import wrenreach.endpoints.ListReader;
import wrenreach.endpoints.ListSink;

/** Following a list from an agent on loopback that the test plays itself. */
class DiscoveryTest implements Discovery.Host {
    private static final int NEVER_MS = 3_600_000;
    private static final String FIRST = "{\"index\":5,\"snapshot\":true,\"endpoints\":[]}\n";
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<ListLine> heard = new LinkedBlockingQueue<>();
    private ServerSocket agent;
    private Discovery discovery;

    @BeforeEach void listen() throws IOException {
        agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        agent.setSoTimeout(20_000);
    }

    @AfterEach void close() throws IOException {
        agent.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Override public ListSink list() {
        return new ListReader.Collected(heard::add);
    }

    @Override public void listFailed() { }

    private void follow(boolean versionHolds, long silenceMs, long pauseMs) {
        discovery = new Discovery(loop, NioSocketChannel::new, this, (InetSocketAddress) agent.getLocalSocketAddress(), 3,
                versionHolds, true, 1, new Discovery.Patience(silenceMs, pauseMs, pauseMs));
        loop.execute(discovery::follow);
    }

    /** The next connection, once its request is there. */
    private Socket asked(String path) throws IOException {
        Socket socket = agent.accept();
        socket.setSoTimeout(20_000);
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\n")) {
            request.append((char) socket.getInputStream().read());
        }
        assertThat(request).startsWith("GET " + path + " HTTP/1.1\r\n");
        return socket;
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void begin(Socket watch) throws IOException {
        write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static void say(Socket watch, String text) throws IOException {
        write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private ListLine next() throws InterruptedException {
        return heard.poll(20, TimeUnit.SECONDS);
    }

    private void nobodyComesYet() throws IOException {
        agent.setSoTimeout(300);
        assertThatThrownBy(agent::accept).isInstanceOf(SocketTimeoutException.class);
    }

    /** Lists may come indented, and in chunks of any size: one after the other is understood, heartbeats between them. */
    @Test void anIndentedListIsReadWhereverItIsSplit() throws Exception {
        String list = "{\r\n  \"index\": 6,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"a \\\"}{\",\n"
                + "      \"address\": \"127.0.0.1:9\", \"group\": 1, \"status\": \"SERVING\"\n    }\n  ]\n}\n";
        follow(true, NEVER_MS, 2);
        try (Socket watch = asked("/api/targets?stream=1&index=3")) {
            begin(watch);
            for (int i = 0; i <= list.length(); i++) {
                say(watch, i % 2 == 0 ? "\n" : "\r\n");
                for (String part : List.of(list.substring(0, i), list.substring(i))) {
                    if (!part.isEmpty()) {
                        say(watch, part);
                    }
                }
                assertThat(next()).as("split at %d", i).isEqualTo(new ListLine(6, false,
                        List.of(new ListLine.Entry("a \"}{", "127.0.0.1:9", "", "", 1, "SERVING", 0))));
            }
        }
    }

    /** Guards changes that came spoilt: the next watch begins at the last version understood, and what follows is not read. */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense\n", "{\"index\":6,\"endpoi\n\n", "{\"index\":6,\n{\"index\":7,\"endpoints\":[]}\n", "{\"index\":\"six\"}\n",
        "{\"index\":6,\"endpoints\":[{\"name\":\"a\",\"group\":1,\"status\":\"SERV\"}]}\n", "{\"name\":\"cut off\n", "[]\n",
        "{\"snapshot\":false,\"endpoints\":[]}\n"})
    void aSpoiltLineIsAskedForAgain(String line) throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket watch = asked("/api/targets?stream=1&index=3")) {
            begin(watch);
            say(watch, FIRST + line + "{\"index\":8,\"snapshot\":false,\"endpoints\":[]}\n");
            assertThat(next().index()).isEqualTo(5);
            try (Socket second = asked("/api/targets?stream=1&index=5")) {
                begin(second);
                say(second, "{\"index\":8,\"snapshot\":false,\"endpoints\":[]}\n");
                assertThat(next().index()).isEqualTo(8);
                assertThat(watch.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /** Guards drains against news of an older version: the whole list says what holds. */
    @Test void aVersionThatGoesBackIsCheckedByTheWholeList() throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket watch = asked("/api/targets?stream=1&index=3")) {
            begin(watch);
            say(watch, FIRST + "{\"index\":4,\"snapshot\":false,\"endpoints\":[]}\n");
            assertThat(next().index()).isEqualTo(5);
            try (Socket whole = asked("/api/targets")) {
                write(whole, "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
                assertThat(next()).isEqualTo(new ListLine(2, true, List.of()));
                asked("/api/targets?stream=1&index=2").close();
            }
        }
    }

    /** Guards the core against a whole list that can't be read and is answered at once, time and again. */
    @Test void anUnreadableWholeListIsAskedForAfterAPauseOnly() throws Exception {
        follow(false, NEVER_MS, NEVER_MS);
        try (Socket whole = asked("/api/targets")) {
            write(whole, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnonsense");
            assertThat(whole.getInputStream().read()).isEqualTo(-1);
            nobodyComesYet();
        }
    }

    /** Guards against spoilt lines after sound ones: they are no reason to ask faster and faster. */
    @Test void aSpoiltLineIsFollowedByAPause() throws Exception {
        follow(true, NEVER_MS, NEVER_MS);
        try (Socket watch = asked("/api/targets?stream=1&index=3")) {
            begin(watch);
            say(watch, FIRST + "nonsense\n");
            assertThat(watch.getInputStream().read()).isEqualTo(-1);
            nobodyComesYet();
        }
    }

    /** The same where each watch begins with a sound list: the pauses grow until one has come to a blank line. */
    @Test void pausesGrowThoughEachWatchBeginsSoundly() throws Exception {
        discovery = new Discovery(loop, NioSocketChannel::new, this, (InetSocketAddress) agent.getLocalSocketAddress(), 3,
                true, true, 1, new Discovery.Patience(NEVER_MS, 250, NEVER_MS));
        loop.execute(discovery::follow);
        int came = 0;
        try {
            for (; came < 12; came++) {
                try (Socket watch = asked("/api/targets?stream=1&index=" + (came == 0 ? 3 : 5))) {
                    begin(watch);
                    say(watch, FIRST + "nonsense\n");
                    assertThat(watch.getInputStream().read()).isEqualTo(-1);
                }
                agent.setSoTimeout(1500);
            }
        } catch (SocketTimeoutException e) {
            assertThat(came).isPositive();
        }
        assertThat(came).isLessThan(12);
    }

    /** Guards what is told meanwhile: a watch that dies in the middle of a line, a byte at a time, says nothing. */
    @Test void bytesWithoutALineDoNotKeepAWatchAlive() throws Exception {
        follow(true, 2000, 2);
        try (Socket watch = asked("/api/targets?stream=1&index=3")) {
            begin(watch);
            say(watch, FIRST + "{");
            assertThat(next().index()).isEqualTo(5);
            watch.setSoTimeout(20);
            boolean over = false;
            for (int i = 0; i < 500 && !over; i++) {
                try {
                    say(watch, " ");
                    over = watch.getInputStream().read() < 0;
                } catch (SocketTimeoutException e) {
                    over = false;
                } catch (IOException e) {
                    over = true;
                }
            }
            assertThat(over).isTrue();
            asked("/api/targets?stream=1&index=5").close();
        }
    }

    /** Guards the clock of silence: who is silent right after each new connection is asked again soon, from where it stood. */
    @Test void aWatchThatNeverAnswersIsMadeAnew() throws Exception {
        follow(true, NEVER_MS, 2);
        asked("/api/targets?stream=1&index=3");
        Socket second = asked("/api/targets?stream=1&index=3");
        begin(second);
        say(second, FIRST);
        assertThat(next().index()).isEqualTo(5);
        second.close();
        asked("/api/targets?stream=1&index=5").close();
    }

    /** Guards against two watches, and news of the place that was left, however often and fast the address changes. */
    @Test void afterMovesOnlyTheLastAddressIsHeard() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            follow(true, NEVER_MS, 2);
            Socket first = asked("/api/targets?stream=1&index=3");
            begin(first);
            say(first, "{\"index\":9,\"snap");
            loop.submit(() -> {
                discovery.move((InetSocketAddress) other.getLocalSocketAddress());
                discovery.move((InetSocketAddress) agent.getLocalSocketAddress());
            }).get();
            assertThat(first.getInputStream().read()).isEqualTo(-1);
            try (Socket whole = asked("/api/targets")) {
                write(whole, "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
                assertThat(next()).isEqualTo(new ListLine(2, true, List.of()));
            }
            try (Socket watch = asked("/api/targets?stream=1&index=2")) {
                begin(watch);
                nobodyComesYet();
                assertThat(heard).isEmpty();
            }
        }
    }
}
