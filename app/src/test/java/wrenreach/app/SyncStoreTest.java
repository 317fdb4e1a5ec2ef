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
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process whose store waits for the disk, at which clients submit mails at the same moment. */
class SyncStoreTest {
    private static final int CLIENTS = 24;
    private static final int ROUNDS = 10;
    /** Submissions that every third client sends at once. */
    private static final int PIPELINED = 3;
    private static final int MAIL_LIFETIME_MS = 4000;
    /** Up to so long after its time a request may still be answered. */
    private static final int LATE_ANSWER_MS = 500;
    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private HttpServer receiver;
    private Process node;
    private int listenerPort;

    @BeforeEach void start() throws Exception {
        receiver = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        receiver.setExecutor(threads);
        receiver.createContext("/api/targets", ServeProcess::acceptWatch);
        receiver.createContext("/events", exchange -> {
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        receiver.start();
        listenerPort = ServeProcess.freePort();
        Path operator = Files.writeString(folder.resolve("operator.toml"), "[store]\non = true\ndurability = \"sync\"\n");
        node = ServeProcess.start(folder, ServeProcess.config(listenerPort, receiver.getAddress().getPort()), listenerPort,
                List.of("@deploy/serve.options"), List.of("--operator", operator.toString()));
    }

    @AfterEach void close() throws Exception {
        node.destroyForcibly().waitFor();
        receiver.stop(0);
        threads.shutdownNow();
    }

    private static String enqueue(String id) {
        String fields = "c=order,t=shop,d=" + MAIL_LIFETIME_MS + ",k=" + id + ",dest=1";
        return "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n" + fields + "\r\n$4\r\nbody\r\n";
    }

    /** Guards against requests that are never answered because they were read while the disk had records to write (review/3). */
    @Test void simultaneousRequestsAreAllAnswered() throws Exception {
        int expected = 0;
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<Callable<Integer>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String id = "m" + round + "-" + i;
                int requests = i % PIPELINED == 0 ? PIPELINED : 1;
                clients.add(() -> submit(id, requests));
                expected += requests;
            }
            for (Future<Integer> replies : threads.invokeAll(clients)) {
                answered += replies.get();
            }
        }
        assertThat(Files.readString(folder.resolve("log"))).contains("store: on");
        assertThat(answered).as("replies").isEqualTo(expected);
    }

    /** Sends so many submissions at once on a new connection, and returns how many replies have come in time. */
    private int submit(String id, int requests) {
        int replies = 0;
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
            client.setSoTimeout(MAIL_LIFETIME_MS + LATE_ANSWER_MS);
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                text.append(enqueue(id + "-" + i));
            }
            client.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
            for (int c = client.getInputStream().read(); c >= 0; c = client.getInputStream().read()) {
                replies += c == '\n' ? 1 : 0;
                if (replies == requests) {
                    return replies;
                }
            }
        } catch (IOException e) {
            return replies;
        }
        return replies;
    }
}
