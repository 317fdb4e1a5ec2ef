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

/** A process whose file descriptors idle clients would use up while discovery is down. */
class DescriptorsTest {
    /** The limit of sockets in the config. */
    private static final int DESCRIPTOR_LIMIT = 300;
    /** How many clients connect and stay idle while discovery is down. */
    private static final int CLIENT_COUNT = 800;
    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<Socket> idleClients = new ArrayList<>();
    private Process node;
    private HttpServer discovery;

    @AfterEach void close() throws Exception {
        for (Socket client : idleClients) {
            client.close();
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

    /** Some descriptors are reserved from clients: discovery is reached again, a mail is sent, and clients that were closed unread reconnect. */
    @Test void idleClientsLeaveDescriptorsForOtherUses() throws Exception {
        int listenerPort = ServeProcess.freePort(), discoveryPort = ServeProcess.freePort();
        node = ServeProcess.start(folder, ServeProcess.config(listenerPort, discoveryPort).replace("\"sockets\": 512", "\"sockets\": " + DESCRIPTOR_LIMIT), listenerPort);
        // Files of the JVM itself (libraries, archives) don't count towards the node's limit.
        long before = openDescriptors();
        AtomicInteger maxDescriptors = new AtomicInteger();
        AtomicBoolean finished = new AtomicBoolean();
        threads.execute(() -> {
            while (!finished.get()) {
                try {
                    maxDescriptors.accumulateAndGet((int) openDescriptors(), Math::max);
                } catch (IOException e) {
                    return;
                }
            }
        });
        for (int i = 0; i < CLIENT_COUNT; i++) {
            connectIdleClient(listenerPort, i % 2 == 0);
        }
        LinkedBlockingQueue<String> discoveryRequests = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
        discovery = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), discoveryPort), 50);
        discovery.setExecutor(threads);
        discovery.createContext("/api/targets", exchange -> {
            discoveryRequests.add(exchange.getRequestURI().toString());
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody().write(("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"receiver-1\",\"address\":\"127.0.0.1:"
                    + discoveryPort + "\",\"zone\":\"home\",\"type\":\"small\",\"group\":1,\"status\":\"SERVING\",\"weight\":10}]}\n")
                    .getBytes(StandardCharsets.US_ASCII));
            exchange.getResponseBody().flush(); // The watch stays open.
        });
        discovery.createContext("/events", exchange -> {
            calls.add(exchange.getRequestHeaders().getFirst("X-Call-Id"));
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        discovery.start();
        for (int i = 0; i < CLIENT_COUNT / 2; i++) {
            connectIdleClient(listenerPort, true); // More idle clients, while discovery is back.
        }
        assertThat(discoveryRequests.poll(20, TimeUnit.SECONDS)).as("discovery is asked again").isNotNull();
        boolean accepted = false;
        for (int i = 0; i < 2000 && !accepted; i++) {
            accepted = submit(listenerPort);
        }
        assertThat(accepted).as("who was shut unread comes back").isTrue();
        assertThat(calls.poll(20, TimeUnit.SECONDS)).as("its mail goes out").isEqualTo("m1");
        finished.set(true);
        System.out.println("descriptors: " + before + " at rest, at most " + maxDescriptors.get() + " of " + DESCRIPTOR_LIMIT);
        assertThat(maxDescriptors.get()).isLessThanOrEqualTo(DESCRIPTOR_LIMIT);
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("Too many open files");
    }

    /** Connects one more idle client. Clients that never sent a request have half of the room; one that has sent one is not among them. */
    private void connectIdleClient(int listenerPort, boolean sendsRequest) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort);
        idleClients.add(client);
        if (sendsRequest) {
            client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static boolean submit(int listenerPort) throws InterruptedException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
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
