package wrenreach.app;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A receiver that delivers every call, and beside it discovery with no news and a platform that confirms every notice; counts calls by id. */
final class LoopbackReceiver implements AutoCloseable {
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Integer> callsById = new ConcurrentHashMap<>();
    private final HttpServer server;

    LoopbackReceiver() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.setExecutor(threads);
        server.createContext("/api/targets", ServeProcess::acceptWatch);
        server.createContext("/events", exchange -> {
            callsById.merge(exchange.getRequestHeaders().getFirst("X-Call-Id"), 1, Integer::sum);
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.createContext("/v2/finals", exchange -> {
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        });
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** How often each message was called; the key is its id. */
    Map<String, Integer> callsById() {
        return callsById;
    }

    @Override public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
