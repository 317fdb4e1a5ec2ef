package wrenreach.bench.capacity;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A stand-in of discovery on loopback: takes watches, tells them what it is given and a blank line each second. Whole lists
 * that are asked for are answered by the last whole one told.
 */
final class Agent implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<OutputStream> watches = new ArrayList<>();
    private byte[] whole = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n".getBytes(StandardCharsets.US_ASCII);
    private int asked;

    Agent() throws IOException {
        daemon(this::accept);
        daemon(this::beat);
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "agent");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    /** How many watches and whole lists have been asked for. */
    synchronized int asked() {
        return asked;
    }

    synchronized int watching() {
        return watches.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket one = socket.accept();
                daemon(() -> answer(one));
            }
        } catch (IOException e) {
            return; // It has been closed.
        }
    }

    private void answer(Socket one) {
        try {
            one.setTcpNoDelay(true);
            InputStream in = one.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = in.read();
                if (c < 0) {
                    return;
                }
                head.append((char) c);
            }
            OutputStream out = new BufferedOutputStream(one.getOutputStream(), 1 << 16);
            synchronized (this) {
                asked++;
                if (head.indexOf("stream=1") >= 0) {
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                    watches.add(out);
                } else {
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(whole);
                    out.flush();
                }
            }
        } catch (IOException e) {
            return; // Whoever asked has gone.
        }
    }

    private void beat() {
        try {
            while (!socket.isClosed()) {
                Thread.sleep(1000);
                tell("\n".getBytes(StandardCharsets.US_ASCII));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a whole list that is asked for is from now on. */
    synchronized void whole(byte[] list) {
        whole = list;
    }

    /** Tells all watches; those that break are dropped. */
    synchronized void tell(byte[] text) {
        watches.removeIf(out -> {
            try {
                out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(text);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
