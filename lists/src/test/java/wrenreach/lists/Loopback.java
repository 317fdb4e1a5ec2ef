package wrenreach.lists;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import wrenreach.DeliveryDispatcher;
import wrenreach.endpoints.ListUpdate;
import wrenreach.held.Journal;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;

/** Runs a node with watched lists together with stub receivers, a stub platform and a client, all on loopback. */
final class Loopback implements Closeable {
    /** A call that a receiver got: the id of the mail, the index of the receiver, and when its handler started (nanoTime). */
    record ReceivedCall(String mail, int receiver, long receivedAt) { }

    final Queue<ReceivedCall> calls = new ConcurrentLinkedQueue<>();
    final Queue<String> notices = new ConcurrentLinkedQueue<>();
    final Path folder;
    final DeliveryNode node;
    private final List<HttpServer> receivers = new ArrayList<>();
    private final HttpServer platform;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private Socket client;

    /** responseDelayMs: how long a receiver takes to respond. The first list names all receivers as r0, r1... of destination 1. */
    Loopback(Path folder, int receiverCount, int responseDelayMs, ListsSection section) throws Exception {
        this.folder = folder;
        platform = newServer();
        platform.createContext("/", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            boolean notice = exchange.getRequestURI().getPath().equals("/v2/finals");
            if (notice) {
                body.lines().forEach(notices::add);
            }
            exchange.sendResponseHeaders(notice ? 204 : 503, -1);
            exchange.close();
        });
        platform.start();
        for (int i = 0; i < receiverCount; i++) {
            int index = i;
            HttpServer receiver = newServer();
            receiver.createContext("/", exchange -> {
                calls.add(new ReceivedCall(exchange.getRequestHeaders().getFirst("X-Call-Id"), index, System.nanoTime()));
                exchange.getRequestBody().readAllBytes();
                try {
                    Thread.sleep(responseDelayMs);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                exchange.sendResponseHeaders(200, -1);
                exchange.close();
            });
            receiver.start();
            receivers.add(receiver);
        }
        List<Integer> allReceivers = new ArrayList<>();
        for (int i = 0; i < receiverCount; i++) {
            allReceivers.add(i);
        }
        publish("first", allReceivers);
        String json = Files.readString(Path.of("deploy/sample.json")).replace("127.0.0.1:9",
                "127.0.0.1:" + platform.getAddress().getPort());
        Config config = Config.parse(json.getBytes(StandardCharsets.UTF_8), Map.of());
        Path state = Files.createDirectories(folder.resolve("state"));
        node = new DeliveryNode(config, Journal.open(state, config.diskBytes()), DeliveryDispatcher::new);
        node.add("lists", new WatchedLists(section, node));
        node.start();
        InetSocketAddress listenAddress = node.serving().get(20, TimeUnit.SECONDS);
        client = new Socket(listenAddress.getAddress(), listenAddress.getPort());
        client.setTcpNoDelay(true);
        client.setSoTimeout(20_000);
    }

    static ListsSection section(Path folder, double mostGone, long drain) {
        return new ListsSection(folder.resolve("manifest.json"), folder.resolve("kept"), "all", mostGone, 0, drain,
                5_000_000, 1_000_000, 1 << 28, 1_000_000, 4096);
    }

    private HttpServer newServer() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        return server;
    }

    /** Publishes a list of these receivers; returns the time just before the manifest was replaced (nanoTime). */
    long publish(String label, List<Integer> indexes) throws Exception {
        Map<String, ListUpdate.Entry> entries = new LinkedHashMap<>();
        for (int i : indexes) {
            String id = Generation.idOf(1, "r" + i);
            entries.put(id, new ListUpdate.Entry(id, "127.0.0.1:" + receivers.get(i).getAddress().getPort(), "home", "small",
                    1, Generation.SERVING, 1000));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ListFiles.write(out, new Generation("", label, entries));
        ListFiles.replaceAtomically(folder.resolve("part"), out.toByteArray());
        byte[] manifest = ListFiles.write(new ListFiles.Manifest(label, "",
                List.of(new ListFiles.Part("part", ListFiles.sha256Hex(out.toByteArray())))));
        long replacedAt = System.nanoTime();
        ListFiles.replaceAtomically(folder.resolve("manifest.json"), manifest);
        return replacedAt;
    }

    /** Submits a mail; returns the first line of the node's reply. */
    String submit(String id) throws IOException {
        StringBuilder request = new StringBuilder("*5\r\n");
        for (String word : List.of("ENQUEUE", "k" + id, id, "c=order,t=shop,d=15000,k=t" + id + ",dest=1", "body")) {
            request.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        client.getOutputStream().write(request.toString().getBytes(StandardCharsets.US_ASCII));
        StringBuilder reply = new StringBuilder();
        for (int c = client.getInputStream().read(); c != '\n'; c = client.getInputStream().read()) {
            if (c < 0) {
                throw new IOException("closed after " + reply);
            }
            reply.append((char) c);
        }
        return reply.toString().strip();
    }

    /** The status of its lists that the node wrote last. */
    Status status() throws IOException {
        return Status.read(folder.resolve("kept"));
    }

    @Override public void close() {
        node.stop();
        node.stopped().join();
        try {
            client.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        receivers.forEach(receiver -> receiver.stop(0));
        platform.stop(0);
        threads.shutdownNow();
    }
}
