package wrenreach.app;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import wrenreach.DeliveryDispatcher;
import wrenreach.held.Journal;
import wrenreach.net.Addresses;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListUpdate;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;

/**
 * Sends a few mails through a node on loopback at build time, so that the class-data archive has the classes that a node uses in
 * service. Without them in the archive, loading these classes delayed replies by half a second in the first seconds after a start.
 */
final class Rehearsal {
    /** How many mails are submitted. */
    private static final int MAIL_COUNT = 60;
    /** Limit of each wait, in seconds. */
    private static final long TIMEOUT_S = 5;

    private final AtomicInteger callCount = new AtomicInteger();
    private final AtomicInteger noticeCount = new AtomicInteger();
    /** Receiver, platform and discovery. */
    private final HttpServer outsideServer;

    private Rehearsal() throws IOException {
        outsideServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    }

    /** Returns the exit code: 0 where mails were accepted, calls were made and notices were posted, and the node ended with 0; otherwise 1. */
    static int run(Config config, Path state) throws IOException, InterruptedException {
        return new Rehearsal().sendMails(config, Files.createDirectories(state));
    }

    private int sendMails(Config config, Path state) throws IOException, InterruptedException {
        outsideServer.createContext("/events", exchange -> {
            int call = callCount.getAndIncrement();
            int[] statuses = {200, 200, 200, 429, 200, 500, 503};
            exchange.getResponseHeaders().set("Wait-Ms", "20");
            exchange.getResponseHeaders().set("X-Load-Report", "x0=0.9,x1=500");
            // After MAIL_COUNT calls it stays overloaded, so that some mails end with a notice.
            respond(exchange, call < MAIL_COUNT ? statuses[call % statuses.length] : 503, "ok");
        });
        outsideServer.createContext("/v2/finals", exchange -> {
            noticeCount.incrementAndGet();
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        });
        String address = Addresses.format(outsideServer.getAddress());
        outsideServer.createContext("/api/targets", exchange -> {
            // The watch stays open: no close.
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody().write(("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"receiver-1\","
                    + "\"address\":\"" + address + "\",\"group\":1,\"status\":\"SERVING\",\"weight\":500}]}\n")
                    .getBytes(StandardCharsets.US_ASCII));
            exchange.getResponseBody().flush();
        });
        outsideServer.start();
        EndpointTable known = config.known().newEmpty();
        known.apply(new ListUpdate(0, true, List.of(new ListUpdate.Entry("receiver-1", address, "", "", 1, "SERVING", 500))));
        DeliveryNode node = new DeliveryNode(new Config(config.name(), config.listen(), outsideServer.getAddress(),
                config.descriptors(), config.memoryBytes(), config.diskBytes(),
                known,
                config.settings(), config.queueClasses(), config.tenants(), config.kinds(), config.zones(),
                config.reportNames()), Journal.open(state, config.diskBytes()), DeliveryDispatcher::new);
        node.start();
        try {
            InetSocketAddress listener = node.serving().get(TIMEOUT_S, TimeUnit.SECONDS);
            int accepted = 0;
            for (int i = 0; i < MAIL_COUNT; i++) {
                accepted += submit(listener, "m" + i, config, 2500).startsWith("+OK") ? 1 : 0;
            }
            submit(listener, "", config, 1);
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while ((callCount.get() < MAIL_COUNT || noticeCount.get() == 0) && System.nanoTime() < until) {
                Thread.sleep(10);
            }
            node.stop();
            int code = node.stopped().get(TIMEOUT_S, TimeUnit.SECONDS);
            System.out.println(accepted + " mails taken, " + callCount.get() + " calls, " + noticeCount.get() + " posts of notices");
            return code == 0 && accepted > 0 && callCount.get() > 0 && noticeCount.get() > 0 ? 0 : 1;
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("wrenreach: rehearsal: " + e);
            return 1;
        } finally {
            outsideServer.stop(0);
        }
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Submits a mail on a connection of its own and returns the first 3 bytes of the reply. */
    private static String submit(InetSocketAddress listener, String id, Config config, int lifetimeMs) throws IOException {
        StringBuilder request = new StringBuilder("*5\r\n");
        for (String word : List.of("ENQUEUE", "k" + id, id, "c=" + config.queueClasses().get(0) + ",t="
                + config.tenants().get(0) + ",d=" + lifetimeMs + ",k=t" + id + ",dest=1", "body")) {
            request.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        try (Socket client = new Socket(listener.getAddress(), listener.getPort())) {
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            client.getOutputStream().write(request.toString().getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readNBytes(3), StandardCharsets.US_ASCII);
        }
    }
}
