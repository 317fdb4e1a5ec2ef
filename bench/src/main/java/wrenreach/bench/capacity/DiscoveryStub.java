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
final class DiscoveryStub implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<OutputStream> watches = new ArrayList<>();
    private byte[] wholeList = "{\"index\":1,\"snapshot\":true,\"endpoints\":[]}\n".getBytes(StandardCharsets.US_ASCII);
    private int requests;

    DiscoveryStub() throws IOException {
        startDaemon(this::accept);
        startDaemon(this::sendKeepAlives);
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "agent");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    /** How many watches and whole lists have been asked for. */
    synchronized int requests() {
        return requests;
    }

    synchronized int watchCount() {
        return watches.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket one = socket.accept();
                startDaemon(() -> answer(one));
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
            String head = readHead(in);
            // Guards the figures: a node whose notices are not confirmed posts them again for as long as it is measured.
            while (head.startsWith("POST ")) {
                in.skipNBytes(contentLength(head));
                out.write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
                head = readHead(in);
            }
            if (head.isEmpty()) {
                return;
            }
            synchronized (this) {
                requests++;
                if (head.indexOf("stream=1") >= 0) {
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                    watches.add(out);
                } else {
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + wholeList.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(wholeList);
                    out.flush();
                }
            }
        } catch (IOException e) {
            return; // Whoever asked has gone.
        }
    }

    /** The next request's head; "": there is none. */
    static String readHead(InputStream in) throws IOException {
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

    static long contentLength(String head) {
        return head.lines().map(line -> line.toLowerCase(Locale.ROOT)).filter(line -> line.startsWith("content-length:"))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(':') + 1).strip())).sum();
    }

    private void sendKeepAlives() {
        try {
            while (!socket.isClosed()) {
                Thread.sleep(1000);
                send("\n".getBytes(StandardCharsets.US_ASCII));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a whole list that is asked for is from now on. */
    synchronized void wholeList(byte[] list) {
        wholeList = list;
    }

    /** Tells all watches; those that break are dropped. */
    synchronized void send(byte[] text) {
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
