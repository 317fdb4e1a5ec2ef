package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A process with the memory of the deploy file, at which many clients send at full speed what it refuses, while another client submits mails. */
class ClientFloodTest {
    private static final int FLOODING_CLIENTS = 200;
    /** What each of them sends in one write, at least. */
    private static final int WRITE_BYTES = 2_000_000;
    private static final int USUAL_MAILS = 40;
    private static final int USUAL_INTERVAL_MS = 100;
    private static final int MAIL_LIFETIME_MS = 4000;
    /** Up to so long after its time a request may still be answered. */
    private static final int LATE_ANSWER_MS = 500;

    /** What the flooding clients send. */
    enum Form {
        LONG_BODIES("c=no-such-class,t=shop,d=8000,dest=1", 16_000),
        LONGEST_BODIES("c=no-such-class,t=shop,d=8000,dest=1", 64 * 1024),
        LONG_FIELDS("c=" + "x".repeat(50_000) + ",t=shop,d=8000,dest=1", 1);

        private final byte[] command;

        Form(String fields, int bodyBytes) {
            command = enqueue("bad", fields, bodyBytes);
        }
    }

    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final int listenerPort = freePort();
    private HttpServer receiver;
    private Process node;

    private static int freePort() {
        try {
            return ServeProcess.freePort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

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
        String config = ServeProcess.config(listenerPort, receiver.getAddress().getPort()).replace("\"sockets\": 512", "\"sockets\": 1024");
        node = ServeProcess.start(folder, config, listenerPort, List.of("@deploy/serve.options"), List.of());
    }

    @AfterEach void close() throws Exception {
        node.destroyForcibly().waitFor();
        receiver.stop(0);
        threads.shutdownNow();
    }

    private static byte[] enqueue(String id, String fields, int bodyBytes) {
        return ("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n" + fields + "\r\n$"
                + bodyBytes + "\r\n" + "x".repeat(bodyBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Guards against a node that runs out of memory by requests that it has refused already (review/1). */
    @ParameterizedTest @EnumSource void requestsThatAreRefusedDoNotExhaustTheMemory(Form form) throws Exception {
        byte[] commands = repeat(form.command, 1 + WRITE_BYTES / form.command.length);
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            threads.execute(() -> flood(commands));
        }
        int answered = 0;
        for (int i = 0; i < USUAL_MAILS && node.isAlive(); i++) {
            answered += submit("usual-" + i) ? 1 : 0;
            Thread.sleep(USUAL_INTERVAL_MS);
        }
        assertThat(node.isAlive()).as("the process lives; its log: %s", Files.readString(folder.resolve("log"))).isTrue();
        assertThat(answered).as("requests of the other client that were answered").isEqualTo(USUAL_MAILS);
    }

    private static byte[] repeat(byte[] command, int times) {
        byte[] commands = new byte[times * command.length];
        for (int i = 0; i < times; i++) {
            System.arraycopy(command, 0, commands, i * command.length, command.length);
        }
        return commands;
    }

    /** Sends at full speed and reads what is sent back, on a new connection whenever one is closed. */
    private void flood(byte[] commands) {
        while (node.isAlive() && !threads.isShutdown()) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
                threads.execute(() -> readAll(client));
                while (node.isAlive() && !threads.isShutdown()) {
                    client.getOutputStream().write(commands);
                }
            } catch (IOException e) {
                continue; // Closed by the node.
            }
        }
    }

    private static void readAll(Socket client) {
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            return; // Closed.
        }
    }

    private boolean submit(String id) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
            client.setSoTimeout(MAIL_LIFETIME_MS + LATE_ANSWER_MS);
            client.getOutputStream().write(enqueue(id, "c=order,t=shop,d=" + MAIL_LIFETIME_MS + ",k=" + id + ",dest=1", 5));
            return client.getInputStream().read() >= 0;
        } catch (IOException e) {
            return false;
        }
    }
}
