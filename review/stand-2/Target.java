package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An endpoint: it reads at full speed and answers each call, by default 200 after a short time of service. */
class Target extends Http {
    /** A call whose last byte has come. */
    record Call(double at, String id, String key, String body) { }

    final String name;
    /** The calls that it has run, in order. */
    final List<Call> runs = new CopyOnWriteArrayList<>();
    /** Calls with a message that no client handed in for this endpoint's destination. */
    final List<Call> foreign = new CopyOnWriteArrayList<>();
    /** Ids of the messages that clients have handed in for its destination. */
    private final Set<String> known = ConcurrentHashMap.newKeySet();
    volatile double serviceMs = 20;

    Target(Scene scene, String name, InetSocketAddress wanted) {
        super(scene, wanted);
        this.name = name;
    }

    /** A client is about to hand in this message for the endpoint's destination. */
    void expect(String id) {
        known.add(id);
    }

    @Override boolean answer(Request request, Socket socket, OutputStream out) throws IOException {
        Call call = new Call(Scene.now(), request.header("X-Call-Id"), request.header("Idempotency-Key"), request.text());
        if (!known.contains(call.id)) {
            foreign.add(call);
            reply(call, out, "400 Bad Request", "");
            return true;
        }
        return serve(call, out);
    }

    /** Serves a call for its destination; false: the connection is to be closed. */
    boolean serve(Call call, OutputStream out) throws IOException {
        run(call);
        Scene.sleep(serviceMs);
        reply(call, out, "200 OK", "");
        return true;
    }

    final void run(Call call) {
        runs.add(call);
        scene.note("%s: runs %s", name, call.id);
    }

    /** headers: further ones, each with its line end. */
    final void reply(Call call, OutputStream out, String status, String headers) throws IOException {
        String body = status.startsWith("200") ? "done " + call.id : "";
        scene.note("%s: answers %s with %s", name, call.id, status);
        out.write(bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        out.flush();
    }
}
