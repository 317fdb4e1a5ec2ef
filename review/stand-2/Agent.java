package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The platform at one address: discovery, which answers at once, and the place that takes notices. */
final class Agent extends Http {
    /** A notice as it was taken. */
    record Notice(double at, String line) { }

    private final Map<String, String> entries = new LinkedHashMap<>();
    /** Changes, the oldest first; the change to version n is at n - 1. */
    private final List<String> changes = new ArrayList<>();
    private final Map<String, Notice> notices = new ConcurrentHashMap<>();

    Agent(Scene scene, InetSocketAddress wanted) {
        super(scene, wanted);
    }

    static String entry(String name, InetSocketAddress at, String zone, int group, String status) {
        return String.format("{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"local-yard\",\"group\":%d,\"status\":\"%s\",\"weight\":20.0,"
                + "\"since_ms\":0}", name, Scene.format(at), zone, group, status);
    }

    /** Adds or changes an endpoint, or deletes it where its status is DELETED. */
    synchronized void change(String name, InetSocketAddress at, String zone, int group, String status) {
        String text = entry(name, at, zone, group, status);
        if (status.equals("DELETED")) {
            entries.remove(name);
        } else {
            entries.put(name, text);
        }
        changes.add(text);
        scene.note("discovery: version %d: %s at %s, group %d, %s", changes.size(), name, Scene.format(at), group, status);
        notifyAll();
    }

    /** The whole list, in one line. */
    synchronized String snapshot() {
        return "{\"index\":" + changes.size() + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
    }

    /** The first notice for each id. */
    Map<String, Notice> notices() {
        return notices;
    }

    @Override boolean answer(Request request, Socket socket, OutputStream out) throws IOException {
        if (request.method.equals("POST") && request.path.equals("/v2/finals")) {
            for (String line : request.text().split("\n")) {
                String id = line.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
                notices.putIfAbsent(id, new Notice(Scene.now(), line));
                scene.note("platform %s: notice %s", Scene.format(address), line);
            }
            out.write(bytes("HTTP/1.1 204 No Content\r\n\r\n"));
            return true;
        }
        if (!request.method.equals("GET") || !request.path.startsWith("/api/targets")) {
            out.write(bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        scene.note("discovery %s: GET %s", Scene.format(address), request.path);
        if (!request.path.contains("stream=1")) {
            byte[] list = bytes(snapshot());
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length + "\r\n\r\n"));
            out.write(list);
            return true;
        }
        watch(Integer.parseInt(request.path.replaceAll(".*[?&]index=(-?\\d+).*", "$1")), out);
        return false;
    }

    private void watch(int from, OutputStream out) throws IOException {
        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int sent = -1;
        while (true) {
            String line;
            synchronized (this) {
                if (sent < 0 && (from < 0 || from > changes.size())) {
                    line = snapshot();
                } else {
                    int since = sent < 0 ? from : sent;
                    if (sent >= 0 && changes.size() == sent) {
                        try {
                            wait(2000);
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                    line = sent >= 0 && changes.size() == sent ? ""
                            : "{\"index\":" + changes.size() + ",\"snapshot\":false,\"endpoints\":[" + String.join(",", changes.subList(since, changes.size())) + "]}";
                }
                sent = changes.size();
            }
            out.write(bytes(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
            out.flush();
        }
    }
}
