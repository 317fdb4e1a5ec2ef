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
 * A stub of discovery on loopback. It accepts watches and sends them the given updates, and a blank line each second. Requests for a
 * whole list are answered with the list that was set last; notices are confirmed.
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

    /** How many watches and whole lists have been requested. */
    synchronized int requests() {
        return requests;
    }

    synchronized int watchCount() {
        return watches.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                startDaemon(() -> answer(connection));
            }
        } catch (IOException e) {
            return; // The stub has been closed.
        }
    }

    private void answer(Socket connection) {
        try {
            connection.setTcpNoDelay(true);
            InputStream in = connection.getInputStream();
            OutputStream out = new BufferedOutputStream(connection.getOutputStream(), 1 << 16);
            String head = readHead(in);
            // Notices are confirmed, since a node would post them again for as long as it is measured, which would distort the figures.
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
            return; // The node has closed the connection.
        }
    }

    /** The header of the next request; "": the connection has ended. */
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

    /** Sets the response to requests for a whole list. */
    synchronized void wholeList(byte[] list) {
        wholeList = list;
    }

    /** Sends a text to all watches; those whose connection fails are dropped. */
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
