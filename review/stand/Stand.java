import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Stand-ins for clients, endpoints and the platform, and a delivery node as a process. Written to ../given/kit/real/PROTOCOL.md. */
final class Stand {
    /** The case can't run: exit code 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int HEAD_LIMIT = 64 * 1024;
    private static PrintWriter record;

    private Stand() { }

    // ---- Time and record ----

    /** Milliseconds since the start of the case. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void openRecord(String file) {
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
        } catch (IOException e) {
            throw new CannotRun("no record: " + e);
        }
    }

    /** Writes a line to record.txt. */
    static synchronized void note(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%10.1f ms  ", now()) + String.format(Locale.ROOT, format, values));
    }

    static void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (1000 * Math.max(0, ms)));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    static void sleepUntil(double at) {
        sleep(at - now());
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sixteen hexadecimal digits. */
    static String hex(long number) {
        return String.format("%016x", number * 0x9E3779B97F4A7C15L + 0x1234567L);
    }

    // ---- HTTP and RESP ----

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.size() > HEAD_LIMIT) {
                return null;
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** A request read from a connection. */
    static final class Request {
        String line;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Null: the connection has ended. */
        static Request read(InputStream in) throws IOException {
            Request request = new Request();
            request.line = readLine(in);
            if (request.line == null || request.line.isEmpty()) {
                return null;
            }
            for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
                int colon = header.indexOf(':');
                request.headers.put(header.substring(0, Math.max(0, colon)), header.substring(colon + 1).strip());
            }
            int length = Integer.parseInt(request.headers.getOrDefault("Content-Length", "0"));
            request.body = in.readNBytes(length);
            return request.body.length < length ? null : request;
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Accepts connections on a free port of 127.0.0.1, each served by a thread. */
    abstract static class Server implements Closeable {
        final ServerSocket server;
        final List<Socket> open = new CopyOnWriteArrayList<>();

        Server(String name) {
            try {
                server = new ServerSocket();
                server.setReuseAddress(true);
                server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            } catch (IOException e) {
                throw new CannotRun("no port: " + e);
            }
            thread(name, () -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        open.add(socket);
                        thread(name + "-connection", () -> serveQuietly(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        final String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serveQuietly(Socket socket) {
            try (socket) {
                serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
            } catch (IOException e) {
                // The other side has left.
            } finally {
                open.remove(socket);
            }
        }

        abstract void serve(Socket socket, InputStream in, OutputStream out) throws IOException;

        @Override public void close() throws IOException {
            server.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    // ---- The platform ----

    /** An endpoint in discovery's list. */
    record Entry(String name, String address, String type, int group, String status, double weight) {
        String json() {
            return String.format(Locale.ROOT, "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"banqiao\",\"type\":\"%s\",\"group\":%d,\"status\":\"%s\","
                    + "\"weight\":%.1f,\"since_ms\":0}", name, address, type, group, status, weight);
        }
    }

    /** The agent on the node's machine: serves the list, a watch on it, and takes notices. */
    static class Platform extends Server {
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final List<Long> watches = new ArrayList<>();
        private int index = 40;
        /** Discovery is down: the agent is silent. */
        volatile boolean down;
        /** By id: when a notice came, and what it said. */
        final Map<String, String> notices = new LinkedHashMap<>();
        final Map<String, Double> noticeAt = new LinkedHashMap<>();

        Platform() {
            super("platform");
        }

        synchronized int index() {
            return index;
        }

        /** The agent has been sent these entries. */
        synchronized void put(Entry... changed) {
            index++;
            for (Entry entry : changed) {
                entries.put(entry.name(), entry);
                changedAt.put(entry.name(), index);
                note("agent: has %s %s (version %d)", entry.name(), entry.status(), index);
            }
            notifyAll();
        }

        private final Map<String, Integer> changedAt = new LinkedHashMap<>();

        synchronized String list(boolean snapshot, int since) {
            StringBuilder text = new StringBuilder();
            for (Entry entry : entries.values()) {
                if (snapshot ? !entry.status().equals("DELETED") : changedAt.get(entry.name()) > since) {
                    text.append(text.length() == 0 ? "" : ",").append(entry.json());
                }
            }
            return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + text + "]}";
        }

        private void waitWhileDown() {
            while (down) {
                sleep(5);
            }
        }

        @Override void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
            for (Request request = Request.read(in); request != null; request = Request.read(in)) {
                if (request.line.startsWith("POST /v2/finals ")) {
                    takeNotices(new String(request.body, StandardCharsets.UTF_8));
                    out.write(bytes("HTTP/1.1 204 No Content\r\n\r\n"));
                    continue;
                }
                note("agent: %s%s", request.line, down ? " (silent: discovery is down)" : "");
                waitWhileDown();
                if (request.line.contains("stream=1")) {
                    String from = request.line.replaceAll(".*index=(\\d+).*", "$1");
                    watch(out, Integer.parseInt(from));
                    return;
                }
                byte[] body = bytes(list(true, 0));
                out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n"));
                out.write(body);
            }
        }

        private void watch(OutputStream out, int from) throws IOException {
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
            int sent = from;
            double lineAt = now();
            chunk(out, list(from <= 0, from) + "\n");
            sent = index();
            while (true) {
                sleep(5);
                if (down) {
                    continue;
                }
                if (index() > sent) {
                    int now = index();
                    chunk(out, list(false, sent) + "\n");
                    sent = now;
                    lineAt = now();
                } else if (now() - lineAt >= 2000) {
                    chunk(out, "\n");
                    lineAt = now();
                }
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        private synchronized void takeNotices(String body) {
            for (String line : body.split("\n")) {
                String id = line.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
                notices.putIfAbsent(id, line);
                noticeAt.putIfAbsent(id, now());
                note("platform: notice %s", line);
            }
        }

        synchronized Map<String, Double> noticeTimes() {
            return new LinkedHashMap<>(noticeAt);
        }

        synchronized Map<String, String> noticeTexts() {
            return new LinkedHashMap<>(notices);
        }
    }

    // ---- Endpoints ----

    /** A call as an endpoint has read it. */
    record Call(double at, String endpoint, String id, String tag, String body) { }

    /** An endpoint. By default it delivers each call after some milliseconds. */
    static class Receiver extends Server {
        final String name;
        final List<Call> calls = new CopyOnWriteArrayList<>();
        volatile double serviceMs = 20;

        Receiver(String name) {
            super(name);
            this.name = name;
        }

        @Override void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
            for (Request request = Request.read(in); request != null; request = Request.read(in)) {
                Call call = new Call(now(), name, request.headers.getOrDefault("X-Call-Id", ""),
                        request.headers.getOrDefault("Idempotency-Key", ""), new String(request.body, StandardCharsets.ISO_8859_1));
                calls.add(call);
                note("%s: call %s tag %s", name, call.id(), call.tag());
                answer(call, socket, out);
            }
        }

        void answer(Call call, Socket socket, OutputStream out) throws IOException {
            sleep(serviceMs);
            deliver(call, out);
        }

        final void deliver(Call call, OutputStream out) throws IOException {
            String body = "done " + call.id();
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
            note("%s: 200 to %s", name, call.id());
        }
    }

    // ---- Clients ----

    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(String address) throws IOException {
            int colon = address.indexOf(':');
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(400);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static byte[] enqueue(String key, String id, String fields, byte[] body) {
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            text.writeBytes(bytes("*5\r\n"));
            for (byte[] word : List.of(bytes("ENQUEUE"), bytes(key), bytes(id), bytes(fields), body)) {
                text.writeBytes(bytes("$" + word.length + "\r\n"));
                text.writeBytes(word);
                text.writeBytes(bytes("\r\n"));
            }
            return text.toByteArray();
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        String readReply() throws IOException {
            return readLine(in);
        }

        String ask(byte[] bytes) throws IOException {
            send(bytes);
            return readReply();
        }

        @Override public void close() throws IOException {
            socket.close();
        }
    }

    // ---- The delivery node ----

    /** A delivery node: a process started by the command of deploy/balancer.toml. */
    static final class Node {
        final String name;
        final Path folder;
        final Path state;
        final Path config;
        /** Further variables of the process. */
        final Map<String, String> environment = new LinkedHashMap<>();
        String listen;
        Process process;
        private int starts;

        Node(String name, Path folder) {
            this.name = name;
            this.folder = folder;
            state = folder.resolve(name + "-state");
            config = folder.resolve(name + ".json");
        }

        /** Writes the config; the listen address is a free port that stays the same. */
        void configure(Platform platform, String settings, String limits) {
            configure(platform.address(), platform.list(true, 0), settings, limits);
        }

        void configure(String discovery, String known, String settings, String limits) {
            try {
                if (listen == null) {
                    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                        listen = "127.0.0.1:" + probe.getLocalPort();
                    }
                }
                Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits + ",\"known\":" + known + ",\"settings\":" + settings + "}");
            } catch (IOException e) {
                throw new CannotRun("no config: " + e);
            }
        }

        /** The command under run in the deploy file. */
        private static String runCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(7, line.indexOf('"', 7));
                }
            }
            throw new CannotRun("no run command");
        }

        Process spawn(String log) {
            try {
                Files.createDirectories(state);
                ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
                builder.environment().put("GW_CONFIG", config.toString());
                builder.environment().put("GW_STATE", state.toString());
                builder.environment().put("GW_NAME", name);
                builder.environment().put("GW_LISTEN", listen);
                builder.environment().putAll(environment);
                builder.redirectErrorStream(true).redirectOutput(folder.resolve(log).toFile());
                Process started = builder.start();
                note("%s: started as process %d", name, started.pid());
                return started;
            } catch (IOException e) {
                throw new CannotRun("the node does not start: " + e);
            }
        }

        void start() {
            process = spawn(name + "-" + ++starts + ".log");
        }

        /** Waits until the node answers PING. */
        void awaitReady(double ms) {
            double until = now() + ms;
            while (now() < until) {
                try (Client client = new Client(listen)) {
                    if ("+PONG".equals(client.ask(bytes("*1\r\n$4\r\nPING\r\n")))) {
                        note("%s: ready", name);
                        return;
                    }
                } catch (IOException e) {
                    sleep(5);
                }
            }
            throw new CannotRun("the node is not ready");
        }

        void signal(String signal) {
            try {
                note("%s: SIG%s", name, signal);
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new CannotRun("no signal: " + e);
            }
        }

        void kill() {
            signal("KILL");
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                throw new CannotRun("interrupted");
            }
        }

        String log() {
            StringBuilder text = new StringBuilder();
            for (int i = 1; i <= starts; i++) {
                try {
                    text.append(Files.readString(folder.resolve(name + "-" + i + ".log"), StandardCharsets.ISO_8859_1));
                } catch (IOException e) {
                    text.append(e);
                }
            }
            return text.toString();
        }
    }

    // ---- Running a case ----

    /** A case: true if the rule held. */
    interface Case {
        boolean run(Path folder, List<Node> nodes) throws Exception;
    }

    /** Runs the case and ends with its exit code; all processes of the nodes are ended. */
    static void main(Case body) {
        int code = 2;
        List<Node> nodes = new CopyOnWriteArrayList<>();
        Path folder = null;
        Thread ender = new Thread(() -> nodes.forEach(Stand::end));
        Runtime.getRuntime().addShutdownHook(ender);
        try {
            openRecord(System.getenv("RECORD"));
            note("trouble: %s", TROUBLE);
            folder = Files.createTempDirectory("review-");
            code = body.run(folder, nodes) ? 0 : 1;
        } catch (CannotRun e) {
            say("can't run: %s", e.getMessage());
        } catch (Exception e) {
            say("can't run: %s", e);
            e.printStackTrace(System.out);
        } finally {
            nodes.forEach(Stand::end);
            if (record != null) {
                nodes.forEach(node -> node.log().lines().limit(400).forEach(line -> record.println(node.name + " | " + line)));
                say("result: %s", code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "could not run");
            }
            deleteAll(folder);
        }
        System.exit(code);
    }

    private static void end(Node node) {
        if (node.process != null && node.process.isAlive()) {
            node.process.destroyForcibly();
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void deleteAll(Path folder) {
        if (folder != null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            } catch (IOException e) {
                System.out.println("not deleted: " + e);
            }
        }
    }

    // ---- Settings: those that the wire page shows for banqiao-exchange ----

    static String settings(Map<String, String> classChanges, int maxOpen, int maxCalls) {
        Map<String, String> queueClass = new LinkedHashMap<>();
        queueClass.put("Name", "\"order-send\"");
        queueClass.put("Promise", "2.5");
        queueClass.put("Deadline", "28.0");
        queueClass.put("Value", "1.0");
        queueClass.put("LateShare", "0.3");
        queueClass.put("Effect", "\"token\"");
        queueClass.put("KeyScope", "\"all\"");
        queueClass.put("Window", "7.5");
        queueClass.put("InTurn", "true");
        queueClass.put("Stream", "false");
        queueClass.putAll(classChanges);
        StringBuilder text = new StringBuilder();
        queueClass.forEach((field, value) -> text.append(text.length() == 0 ? "" : ",").append('"').append(field).append("\":").append(value));
        return "{\"Me\":0,\"GroupSize\":2,\"Zone\":0,\"Areas\":[\"banqiao\"],\"Kinds\":[\"chain-supplier\",\"local-yard\"],\"Tick\":0.005,"
                + "\"Discovery\":\"push\",\"Weights\":\"rough\",\"OverShareWorth\":0.1,\"Classes\":[{" + text + "}],"
                + "\"Tenants\":[{\"Name\":\"taichung-branch\",\"QuotaPerS\":19,\"Share\":0.52},{\"Name\":\"kaohsiung-branch\",\"QuotaPerS\":13,\"Share\":0.35},"
                + "{\"Name\":\"hualien-branch\",\"QuotaPerS\":5,\"Share\":0.13}],"
                + "\"FamilyInfo\":{\"MaxCalls\":" + maxCalls + ",\"KindApart\":[false,false],\"BatchByKind\":[1,1],\"Decay\":\"even\"},"
                + "\"Feedback\":{\"How\":\"piggyback\",\"Names\":[\"x0\",\"x1\"]},"
                + "\"Limits\":{\"MaxOpen\":" + maxOpen + ",\"TryLimit\":6,\"MaxStreams\":1,\"ParallelTries\":false,\"Cancelling\":true,"
                + "\"RetryAfter\":false,\"MaxRetryAfter\":2,\"ConnIdle\":5,\"ConnectTimeout\":1},"
                + "\"Rules\":{\"AnswerSlack\":0.02,\"DrainGrace\":0.5,\"MustAskIn\":10,\"ColdFrom\":0.27,\"Cold\":11,\"OverloadFactor\":1.5,"
                + "\"TipAfter\":3,\"OrderSettle\":0}}";
    }

    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}";
}
