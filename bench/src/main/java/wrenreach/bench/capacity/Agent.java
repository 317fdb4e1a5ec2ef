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
import java.util.Locale;

/**
 * A stand-in of discovery on loopback: takes watches, tells them what it is given and a blank line each second. Whole lists
 * that are asked for are answered by the last whole one told, notices are confirmed.
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
            OutputStream out = new BufferedOutputStream(one.getOutputStream(), 1 << 16);
            String head = head(in);
            // Guards the figures: a node whose notices are not confirmed posts them again for as long as it is measured.
            while (head.startsWith("POST ")) {
                in.skipNBytes(length(head));
                out.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
                head = head(in);
            }
            if (head.isEmpty()) {
                return;
            }
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

    /** The next request's head; "": there is none. */
    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return "";
            }
            head.append((char) c);
        }
        return head.toString();
    }

    private static long length(String head) {
        return head.lines().map(line -> line.toLowerCase(Locale.ROOT)).filter(line -> line.startsWith("content-length:"))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(':') + 1).strip())).sum();
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
