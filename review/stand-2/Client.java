package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** A usual client: one connection, one request at a time, 400 ms for its answer, and then it closes the connection. */
final class Client implements AutoCloseable {
    private static final int ANSWER_MS = 400;

    private final Scene scene;
    private final InetSocketAddress node;
    private Socket socket;
    private InputStream in;

    Client(Scene scene, InetSocketAddress node) {
        this.scene = scene;
        this.node = node;
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(node, 1000);
        socket.setSoTimeout(ANSWER_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private static byte[] command(List<String> words) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        text.writeBytes(Http.bytes("*" + words.size() + "\r\n"));
        for (String word : words) {
            text.writeBytes(Http.bytes("$" + word.length() + "\r\n" + word + "\r\n"));
        }
        return text.toByteArray();
    }

    private String ask(List<String> words) throws IOException {
        if (socket == null) {
            connect();
        }
        socket.getOutputStream().write(command(words));
        return Http.readLine(in);
    }

    /** Whether the node answers PING. */
    boolean ping() {
        try {
            return "+PONG".equals(ask(List.of("PING")));
        } catch (IOException e) {
            close();
            return false;
        }
    }

    /** Hands in a message; the answer, or "" where none came in time. */
    String enqueue(String key, String id, String fields, String body) {
        String answer;
        try {
            answer = ask(List.of("ENQUEUE", key, id, fields, body));
        } catch (IOException e) {
            answer = null;
        }
        if (answer == null) {
            close();
        }
        scene.note("client: %s key %s %s: %s", id, key, fields, answer == null ? "no answer" : answer);
        return answer == null ? "" : answer;
    }

    @Override public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                scene.note("client: %s", e);
            }
            socket = null;
        }
    }
}
