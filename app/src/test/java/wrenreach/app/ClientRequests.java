package wrenreach.app;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Requests of clients in RESP, as usual clients send them and as others do. */
final class ClientRequests {
    /** How long a submitted mail may be delivered, in milliseconds. */
    static final int LIFETIME_MS = 4000;
    /** Milliseconds after its time up to which a request may still be answered. */
    static final int LATE_ANSWER_MS = 500;

    private ClientRequests() { }

    /** A command of these five words. */
    static byte[] command(String name, String id, String fields, int bodyBytes) {
        return ("*5\r\n$" + name.length() + "\r\n" + name + "\r\n$1\r\n0\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n"
                + fields + "\r\n$" + bodyBytes + "\r\n" + "x".repeat(bodyBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** The submission of a mail that the sample config allows. */
    static byte[] submission(String id, int bodyBytes) {
        return command("ENQUEUE", id, "c=order,t=shop,d=" + LIFETIME_MS + ",k=" + id + ",dest=1", bodyBytes);
    }

    /** The command again and again, until the bytes are at least so many. */
    static byte[] repeated(byte[] command, int minBytes) {
        int times = 1 + minBytes / command.length;
        byte[] commands = new byte[times * command.length];
        for (int i = 0; i < times; i++) {
            System.arraycopy(command, 0, commands, i * command.length, command.length);
        }
        return commands;
    }

    /** Submits mails at once on a new connection, with these ids; returns how many replies have come in time. */
    static int submit(int listenerPort, int bodyBytes, String... ids) {
        int replies = 0;
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
            client.setSoTimeout(LIFETIME_MS + LATE_ANSWER_MS);
            for (String id : ids) {
                client.getOutputStream().write(submission(id, bodyBytes));
            }
            for (int c = client.getInputStream().read(); c >= 0; c = client.getInputStream().read()) {
                replies += c == '\n' ? 1 : 0;
                if (replies == ids.length) {
                    return replies;
                }
            }
        } catch (IOException e) {
            return replies;
        }
        return replies;
    }
}
