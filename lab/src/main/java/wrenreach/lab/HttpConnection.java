package wrenreach.lab;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The server side of an HTTP connection, with the part of the protocol that nodes use. */
abstract class HttpConnection implements Network.End {
    /** One request; the names of the headers are in lower case. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) { }

    final Network.Link link;
    private ByteArrayOutputStream unread = new ByteArrayOutputStream();
    private boolean requestBegun;
    boolean closed;

    HttpConnection(Network.Link link) {
        this.link = link;
    }

    /** Called when the first bytes of a request have arrived. */
    abstract void requestBegins(String head);

    /** Called when a request has arrived completely. */
    abstract void requestReceived(Request request);

    @Override public void received(byte[] bytes) {
        unread.writeBytes(bytes);
        while (!closed) {
            byte[] all = unread.toByteArray();
            String text = new String(all, StandardCharsets.ISO_8859_1);
            if (!requestBegun && !text.isEmpty()) {
                requestBegun = true;
                requestBegins(text);
            }
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            String[] lines = text.substring(0, end).split("\r\n");
            Map<String, String> headers = new HashMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            if (all.length < end + 4 + length) {
                return;
            }
            byte[] body = java.util.Arrays.copyOfRange(all, end + 4, end + 4 + length);
            unread = new ByteArrayOutputStream();
            unread.write(all, end + 4 + length, all.length - end - 4 - length);
            requestBegun = false;
            String[] first = lines[0].split(" ");
            requestReceived(new Request(first[0], first[1], headers, body));
        }
    }

    @Override public void closed() {
        closed = true;
    }

    void write(String text) {
        if (!closed) {
            link.send(this, text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Writes a response without a body. */
    void respondWithoutBody(String status) {
        write(response(status, ""));
    }

    /** The text of a response. */
    static String response(String status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text + "\r\n" + body;
    }
}
