package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A whole process whose descriptors a crowd of idle clients would fill while discovery is down. */
class DescriptorsTest {
    private static final int DESCRIPTOR_LIMIT = 300, CLIENT_COUNT = 800;
    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Socket> idleClients = new ArrayList<>();
    private Process node;
    private HttpServer discovery;

    @AfterEach void close() throws Exception {
        for (Socket one : idleClients) {
            one.close();
        }
        if (node != null) {
            node.destroyForcibly().waitFor();
        }
        if (discovery != null) {
            discovery.stop(0);
        }
        threads.shutdownNow();
    }

    private long openDescriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(node.pid()), "fd"))) {
            return all.count();
        }
    }

    /** The reserve that no client can take: discovery is heard again, a mail goes out, and who was shut unread comes back. */
    @Test void idleClientsLeaveDescriptorsForOtherUses() throws Exception {
        int door = ServeProcess.freePort(), agent = ServeProcess.freePort();
        node = ServeProcess.start(folder, ServeProcess.config(door, agent).replace("\"sockets\": 512", "\"sockets\": " + DESCRIPTOR_LIMIT), door);
        // Files of the machine's own (libraries, archives) are no descriptors of the node's limit.
        long before = openDescriptors();
        AtomicInteger most = new AtomicInteger();
        AtomicBoolean over = new AtomicBoolean();
        threads.execute(() -> {
            while (!over.get()) {
                try {
                    most.accumulateAndGet((int) openDescriptors(), Math::max);
                } catch (IOException e) {
                    return;
                }
            }
        });
        for (int i = 0; i < CLIENT_COUNT; i++) {
            connectIdleClient(door, i % 2 == 0);
        }
        LinkedBlockingQueue<String> asked = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<String> called = new LinkedBlockingQueue<>();
        discovery = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), agent), 50);
        discovery.setExecutor(threads);
        discovery.createContext("/api/targets", exchange -> {
            asked.add(exchange.getRequestURI().toString());
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody().write(("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"receiver-1\",\"address\":\"127.0.0.1:"
                    + agent + "\",\"zone\":\"home\",\"type\":\"small\",\"group\":1,\"status\":\"SERVING\",\"weight\":10}]}\n")
                    .getBytes(StandardCharsets.US_ASCII));
            exchange.getResponseBody().flush(); // A watch stays open.
        });
        discovery.createContext("/events", exchange -> {
            called.add(exchange.getRequestHeaders().getFirst("X-Call-Id"));
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        discovery.start();
        for (int i = 0; i < CLIENT_COUNT / 2; i++) {
            connectIdleClient(door, true); // The crowd goes on.
        }
        assertThat(asked.poll(20, TimeUnit.SECONDS)).as("discovery is asked again").isNotNull();
        boolean taken = false;
        for (int i = 0; i < 2000 && !taken; i++) {
            taken = submit(door);
        }
        assertThat(taken).as("who was shut unread comes back").isTrue();
        assertThat(called.poll(20, TimeUnit.SECONDS)).as("its mail goes out").isEqualTo("m1");
        over.set(true);
        System.out.println("descriptors: " + before + " at rest, at most " + most.get() + " of " + DESCRIPTOR_LIMIT);
        assertThat(most.get()).isLessThanOrEqualTo(DESCRIPTOR_LIMIT);
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("Too many open files");
    }

    /** One more of the crowd; one that has asked once is not counted among those that never did, who have half of the room. */
    private void connectIdleClient(int door, boolean asksOnce) throws IOException {
        Socket one = new Socket(InetAddress.getLoopbackAddress(), door);
        idleClients.add(one);
        if (asksOnce) {
            one.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static boolean submit(int door) throws InterruptedException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), door)) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm1\r\n$35\r\nc=order,t=shop,d=15000,k=k-1,dest=1\r\n"
                    + "$5\r\nhello\r\n").getBytes(StandardCharsets.US_ASCII));
            return client.getInputStream().read() == '+';
        } catch (IOException e) {
            Thread.sleep(10);
            return false;
        }
    }
}
