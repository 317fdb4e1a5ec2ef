package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server on a loopback address, with a thread for each connection. */
abstract class Http {
    /** A request as it was read, whole. */
    static final class Request {
        String method = "", path = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    final Scene scene;
    final InetSocketAddress address;
    private final ServerSocket server;

    Http(Scene scene, InetSocketAddress wanted) {
        this.scene = scene;
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(wanted, 512);
            address = (InetSocketAddress) server.getLocalSocketAddress();
        } catch (IOException e) {
            throw Scene.cannotRun("no stand-in at %s: %s", wanted, e.getMessage());
        }
    }

    /** Accepts connections from now on; called once the stand-in is complete. */
    final void open() {
        thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        });
    }

    /** Stops listening; connections that are open stay. */
    final void stopListening() {
        try {
            server.close();
        } catch (IOException e) {
            throw Scene.cannotRun("can't close: %s", e.getMessage());
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = read(in); request != null; request = read(in)) {
                if (!answer(request, socket, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other side has left.
        }
    }

    /** Answers a request; false: the connection is to be closed. */
    abstract boolean answer(Request request, Socket socket, OutputStream out) throws IOException;

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        return line.toString().stripTrailing();
    }

    private static Request read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.path = words.length > 1 ? words[1] : "";
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, Math.max(0, colon)).strip(), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
        request.body = in.readNBytes(length);
        return request.body.length < length ? null : request;
    }
}
