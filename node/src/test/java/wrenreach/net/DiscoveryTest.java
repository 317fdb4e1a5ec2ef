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
import wrenreach.endpoints.ListReader;
import wrenreach.endpoints.ListSink;
import wrenreach.endpoints.ListUpdate;

/** Following a list from an agent on loopback, which the test itself implements. */
class DiscoveryTest implements Discovery.Host {
    private static final int NEVER_MS = 3_600_000;
    private static final String FIRST_LIST = "{\"index\":5,\"snapshot\":true,\"endpoints\":[]}\n";
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<ListUpdate> lists = new LinkedBlockingQueue<>();
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

    @Override public ListSink listSink() {
        return new ListReader.CollectingSink(lists::add);
    }

    @Override public void listFailed() { }

    private void follow(boolean indexValid, long silenceMs, long backoffMs) {
        discovery = new Discovery(loop, NioSocketChannel::new, this, (InetSocketAddress) agent.getLocalSocketAddress(), 3,
                indexValid, true, 1, new Discovery.Timeouts(silenceMs, backoffMs, backoffMs));
        loop.execute(discovery::follow);
    }

    /** Accepts the next connection and reads its request. */
    private Socket acceptRequest(String path) throws IOException {
        Socket socket = agent.accept();
        socket.setSoTimeout(20_000);
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("\r\n\r\n")) {
            request.append((char) socket.getInputStream().read());
        }
        assertThat(request).startsWith("GET " + path + " HTTP/1.1\r\n");
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void beginResponse(Socket watch) throws IOException {
        write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static void writeChunk(Socket watch, String text) throws IOException {
        write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private ListUpdate nextList() throws InterruptedException {
        return lists.poll(20, TimeUnit.SECONDS);
    }

    private void assertNoConnectionYet() throws IOException {
        agent.setSoTimeout(300);
        assertThatThrownBy(agent::accept).isInstanceOf(SocketTimeoutException.class);
    }

    /** Lists may be indented and split into chunks of any size: each is read, with heartbeats in between. */
    @Test void indentedListIsReadWhereverItIsSplit() throws Exception {
        String list = "{\r\n  \"index\": 6,\n  \"snapshot\": false,\n  \"endpoints\": [\n    {\n      \"name\": \"a \\\"}{\",\n"
                + "      \"address\": \"127.0.0.1:9\", \"group\": 1, \"status\": \"SERVING\"\n    }\n  ]\n}\n";
        follow(true, NEVER_MS, 2);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            for (int i = 0; i <= list.length(); i++) {
                writeChunk(watch, i % 2 == 0 ? "\n" : "\r\n");
                for (String part : List.of(list.substring(0, i), list.substring(i))) {
                    if (!part.isEmpty()) {
                        writeChunk(watch, part);
                    }
                }
                assertThat(nextList()).as("split at %d", i).isEqualTo(new ListUpdate(6, false,
                        List.of(new ListUpdate.Entry("a \"}{", "127.0.0.1:9", "", "", 1, "SERVING", 0))));
            }
        }
    }

    /** Changes in a malformed list must not be lost: the next watch begins at the last index that was read, and what follows the list is ignored. */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense\n", "{\"index\":6,\"endpoi\n\n", "{\"index\":6,\n{\"index\":7,\"endpoints\":[]}\n", "{\"index\":\"six\"}\n",
        "{\"index\":6,\"endpoints\":[{\"name\":\"a\",\"group\":1,\"status\":\"SERV\"}]}\n", "{\"name\":\"cut off\n", "[]\n",
        "{\"snapshot\":false,\"endpoints\":[]}\n"})
    void malformedListIsRequestedAgain(String line) throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            writeChunk(watch, FIRST_LIST + line + "{\"index\":8,\"snapshot\":false,\"endpoints\":[]}\n");
            assertThat(nextList().index()).isEqualTo(5);
            try (Socket second = acceptRequest("/api/targets?stream=1&index=5")) {
                beginResponse(second);
                writeChunk(second, "{\"index\":8,\"snapshot\":false,\"endpoints\":[]}\n");
                assertThat(nextList().index()).isEqualTo(8);
                assertThat(watch.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /** An update with an older index must not undo a drain: a snapshot says what is in force. */
    @Test void olderVersionIsResolvedByASnapshot() throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            writeChunk(watch, FIRST_LIST + "{\"index\":4,\"snapshot\":false,\"endpoints\":[]}\n");
            assertThat(nextList().index()).isEqualTo(5);
            try (Socket snapshot = acceptRequest("/api/targets")) {
                write(snapshot, "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
                assertThat(nextList()).isEqualTo(new ListUpdate(2, true, List.of()));
                acceptRequest("/api/targets?stream=1&index=2").close();
            }
        }
    }

    /** Guards against an interim response that counts as a refusal: the node went on as if there were no list to wait for. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void interimResponsesNeitherEndNorRefuseARequest(boolean watched) throws Exception {
        follow(watched, NEVER_MS, NEVER_MS);
        try (Socket socket = acceptRequest(watched ? "/api/targets?stream=1&index=3" : "/api/targets")) {
            write(socket, "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            beginResponse(socket);
            writeChunk(socket, FIRST_LIST);
            write(socket, watched ? "" : "0\r\n\r\n");
            assertThat(nextList().index()).isEqualTo(5);
            assertThat(loop.submit(discovery::refuses).get()).isFalse();
        }
    }

    /** Guards against a refusal that counts for ever: of a list that came later, or of another address, it says nothing. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void refusalCountsUntilAListComesOrTheAddressChanges(boolean moved) throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            follow(true, NEVER_MS, 2);
            try (Socket refused = acceptRequest("/api/targets?stream=1&index=3")) {
                write(refused, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
                assertThat(refused.getInputStream().read()).isEqualTo(-1);
            }
            try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
                assertThat(loop.submit(discovery::refuses).get()).isTrue();
                if (moved) {
                    loop.submit(() -> discovery.setAddress((InetSocketAddress) other.getLocalSocketAddress())).get();
                } else {
                    beginResponse(watch);
                    writeChunk(watch, FIRST_LIST);
                    assertThat(nextList().index()).isEqualTo(5);
                }
                assertThat(loop.submit(discovery::refuses).get()).isFalse();
            }
        }
    }

    /** Guards against an error or an overload of discovery that counts as having no list: a starting node went by its old one. */
    @ParameterizedTest
    @ValueSource(ints = {500, 502, 503, 429, 408, 302})
    void errorsOfDiscoveryAreNoRefusal(int status) throws Exception {
        follow(true, NEVER_MS, 2);
        for (int i = 0; i < 3; i++) {
            try (Socket failed = acceptRequest("/api/targets?stream=1&index=3")) {
                write(failed, "HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n");
                assertThat(failed.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(loop.submit(discovery::refuses).get()).isFalse();
        }
    }

    /** Guards against a discovery that answers later than it is waited for and so is never heard: the first list counts however late it comes. */
    @Test void lateFirstListCountsAndOtherRequestsEnd() throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket first = acceptRequest("/api/targets?stream=1&index=3"); Socket second = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(first);
            writeChunk(first, FIRST_LIST);
            assertThat(nextList().index()).isEqualTo(5);
            assertThat(second.getInputStream().read()).as("the later request is closed").isEqualTo(-1);
            loop.submit(discovery::follow).get();
            assertNoConnectionYet();
            writeChunk(first, "{\"index\":6,\"snapshot\":false,\"endpoints\":[]}\n");
            assertThat(nextList().index()).isEqualTo(6);
        }
    }

    /** Guards against a watch that brings no list because nothing has changed: the known list would never be confirmed. */
    @Test void quietWatchIsFollowedByASnapshot() throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            writeChunk(watch, "\n");
            try (Socket snapshot = acceptRequest("/api/targets")) {
                write(snapshot, "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"index\":3,\"snapshot\":true,\"endpoints\":[]}");
                assertThat(nextList()).isEqualTo(new ListUpdate(3, true, List.of()));
            }
            writeChunk(watch, "\n");
            writeChunk(watch, "{\"index\":4,\"snapshot\":false,\"endpoints\":[]}\n");
            assertThat(nextList().index()).isEqualTo(4);
            assertNoConnectionYet();
        }
    }

    /** Guards against a copy of an earlier list, or of a whole response, that undoes or changes a later list. */
    @ParameterizedTest
    @ValueSource(strings = {"chunk of 5", "chunk of 7", "response", "half"})
    void copyInAWatchChangesNoList(String copy) throws Exception {
        follow(true, NEVER_MS, 2);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            String later = "{\"index\":7,\"snapshot\":false,\"endpoints\":[]}\n";
            writeChunk(watch, FIRST_LIST + later);
            assertThat(nextList().index()).isEqualTo(5);
            assertThat(nextList().index()).isEqualTo(7);
            switch (copy) {
                case "chunk of 5" -> writeChunk(watch, FIRST_LIST);
                case "chunk of 7" -> writeChunk(watch, later + "nonsense");
                case "response" -> write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                default -> writeChunk(watch, FIRST_LIST.substring(0, 20) + later);
            }
            try (Socket next = acceptRequest(copy.equals("chunk of 5") ? "/api/targets" : "/api/targets?stream=1&index=7")) {
                assertThat(lists.stream().mapToLong(ListUpdate::index)).allMatch(index -> index == 7);
                assertThat(watch.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    /** An unreadable snapshot that is served at once, again and again, must not use up the CPU. */
    @Test void unreadableSnapshotIsRequestedAgainOnlyAfterABackoff() throws Exception {
        follow(false, NEVER_MS, NEVER_MS);
        try (Socket snapshot = acceptRequest("/api/targets")) {
            write(snapshot, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnonsense");
            assertThat(snapshot.getInputStream().read()).isEqualTo(-1);
            assertNoConnectionYet();
        }
    }

    /** A malformed list after a valid one must not shorten the backoff. */
    @Test void malformedListIsFollowedByABackoff() throws Exception {
        follow(true, NEVER_MS, NEVER_MS);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            writeChunk(watch, FIRST_LIST + "nonsense\n");
            assertThat(watch.getInputStream().read()).isEqualTo(-1);
            assertNoConnectionYet();
        }
    }

    /** The same where each watch begins with a valid list: the backoff grows until a watch has brought a blank line. */
    @Test void backoffGrowsThoughEachWatchBeginsWithAValidList() throws Exception {
        discovery = new Discovery(loop, NioSocketChannel::new, this, (InetSocketAddress) agent.getLocalSocketAddress(), 3,
                true, true, 1, new Discovery.Timeouts(NEVER_MS, 250, NEVER_MS));
        loop.execute(discovery::follow);
        int connections = 0;
        try {
            for (; connections < 12; connections++) {
                try (Socket watch = acceptRequest("/api/targets?stream=1&index=" + (connections == 0 ? 3 : 5))) {
                    beginResponse(watch);
                    writeChunk(watch, FIRST_LIST + "nonsense\n");
                    assertThat(watch.getInputStream().read()).isEqualTo(-1);
                }
                agent.setSoTimeout(1500);
            }
        } catch (SocketTimeoutException e) {
            assertThat(connections).isPositive();
        }
        assertThat(connections).isLessThan(12);
    }

    /** A watch that dies within an object but still sends single bytes has to be closed, or updates would be missed meanwhile. */
    @Test void bytesOfAnUnfinishedObjectDoNotKeepAWatchAlive() throws Exception {
        follow(true, 2000, 2);
        try (Socket watch = acceptRequest("/api/targets?stream=1&index=3")) {
            beginResponse(watch);
            writeChunk(watch, FIRST_LIST + "{");
            assertThat(nextList().index()).isEqualTo(5);
            watch.setSoTimeout(20);
            boolean closed = false;
            for (int i = 0; i < 500 && !closed; i++) {
                try {
                    writeChunk(watch, " ");
                    closed = watch.getInputStream().read() < 0;
                } catch (SocketTimeoutException e) {
                    closed = false;
                } catch (IOException e) {
                    closed = true;
                }
            }
            assertThat(closed).isTrue();
            acceptRequest("/api/targets?stream=1&index=5").close();
        }
    }

    /** The timeout has to run from the connection on: an agent that never answers is asked again soon, from the same index. */
    @Test void unansweredWatchIsReopened() throws Exception {
        follow(true, NEVER_MS, 2);
        acceptRequest("/api/targets?stream=1&index=3");
        Socket second = acceptRequest("/api/targets?stream=1&index=3");
        beginResponse(second);
        writeChunk(second, FIRST_LIST);
        assertThat(nextList().index()).isEqualTo(5);
        second.close();
        acceptRequest("/api/targets?stream=1&index=5").close();
    }

    /** However fast the address changes, there is one watch, and no update of a former address is used. */
    @Test void onlyTheLatestAddressIsFollowed() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            follow(true, NEVER_MS, 2);
            Socket first = acceptRequest("/api/targets?stream=1&index=3");
            beginResponse(first);
            writeChunk(first, "{\"index\":9,\"snap");
            loop.submit(() -> {
                discovery.setAddress((InetSocketAddress) other.getLocalSocketAddress());
                discovery.setAddress((InetSocketAddress) agent.getLocalSocketAddress());
            }).get();
            assertThat(first.getInputStream().read()).isEqualTo(-1);
            try (Socket snapshot = acceptRequest("/api/targets")) {
                write(snapshot, "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"index\":2,\"snapshot\":true,\"endpoints\":[]}");
                assertThat(nextList()).isEqualTo(new ListUpdate(2, true, List.of()));
            }
            try (Socket watch = acceptRequest("/api/targets?stream=1&index=2")) {
                beginResponse(watch);
                assertNoConnectionYet();
                assertThat(lists).isEmpty();
            }
        }
    }
}
