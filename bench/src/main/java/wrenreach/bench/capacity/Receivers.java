package wrenreach.bench.capacity;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** A stub for all receivers that are up: one loopback port that responds to every call with status 200. */
final class Receivers implements AutoCloseable {
    private static final byte[] RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket socket = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());
    private final AtomicLong answeredCalls = new AtomicLong();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "receivers");
        thread.setDaemon(true);
        return thread;
    });

    Receivers() throws IOException {
        threads.execute(() -> {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    threads.execute(() -> serve(connection));
                }
            } catch (IOException e) {
                return; // The stub has been closed.
            }
        });
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Calls that were responded to so far. */
    long answeredCalls() {
        return answeredCalls.get();
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (String head = DiscoveryStub.readHead(in); !head.isEmpty(); head = DiscoveryStub.readHead(in)) {
                in.skipNBytes(DiscoveryStub.contentLength(head));
                connection.getOutputStream().write(RESPONSE);
                answeredCalls.incrementAndGet();
            }
        } catch (IOException e) {
            return; // The node has closed the connection.
        }
    }

    @Override public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
