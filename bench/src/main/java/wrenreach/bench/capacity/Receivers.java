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

/** Stands in for all receivers that are up: one port of loopback that answers every call with 200. */
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
                    Socket one = socket.accept();
                    threads.execute(() -> serve(one));
                }
            } catch (IOException e) {
                return; // It has been closed.
            }
        });
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Calls answered so far. */
    long answeredCalls() {
        return answeredCalls.get();
    }

    private void serve(Socket one) {
        try (one) {
            one.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(one.getInputStream());
            for (String head = DiscoveryStub.readHead(in); !head.isEmpty(); head = DiscoveryStub.readHead(in)) {
                in.skipNBytes(DiscoveryStub.contentLength(head));
                one.getOutputStream().write(RESPONSE);
                answeredCalls.incrementAndGet();
            }
        } catch (IOException e) {
            return; // The node has closed it.
        }
    }

    @Override public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
