package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** One run of a case: its clock, its record, its temporary folder and the processes that it has started. */
final class Scene {
    /** Whether the disruption of the case is played. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    /** A run ends by itself after so many seconds, with "could not run". */
    private static final int LIMIT_S = 110;

    /** The case could not be played; says nothing of the rule. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    /** A case; true: the rule held. */
    interface Case {
        boolean play(Scene scene) throws Exception;
    }

    final Path folder;
    private final PrintWriter record;
    private final List<Node> nodes = new CopyOnWriteArrayList<>();

    private Scene(Path folder, PrintWriter record) {
        this.folder = folder;
        this.record = record;
    }

    /** Plays a case and ends this process with its exit code: 0 the rule held, 1 it was broken, 2 it could not run. */
    static void play(Case played) {
        int code = 2;
        Scene scene = null;
        try {
            scene = new Scene(Files.createTempDirectory("review-2-"),
                    new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD")), StandardCharsets.UTF_8), true));
            Scene ended = scene;
            Runtime.getRuntime().addShutdownHook(new Thread(ended::endProcesses));
            Thread limit = new Thread(() -> {
                sleep(1000.0 * LIMIT_S);
                ended.say("can't run: not done after %d s", LIMIT_S);
                ended.endProcesses();
                Runtime.getRuntime().halt(2);
            });
            limit.setDaemon(true);
            limit.start();
            scene.say("disruption: %s", TROUBLE ? "played" : "left out");
            boolean held = played.play(scene);
            scene.say("result: %s", held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (CannotRun e) {
            scene.say("can't run: %s", e.getMessage());
        } catch (Exception e) {
            e.printStackTrace();
            if (scene != null) {
                scene.say("can't run: %s", e);
            }
        } finally {
            if (scene != null) {
                scene.endProcesses();
                scene.copyLogs();
                deleteAll(scene.folder);
            }
        }
        System.out.flush();
        System.exit(code);
    }

    void add(Node node) {
        nodes.add(node);
    }

    void endProcesses() {
        nodes.forEach(Node::destroy);
    }

    private void copyLogs() {
        for (Node node : nodes) {
            node.logLines().stream().limit(300).forEach(line -> note("%s log | %s", node.name, line));
        }
    }

    /** Milliseconds since the start of the run. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static void sleep(double ms) {
        try {
            Thread.sleep((long) Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(double at) {
        sleep(at - now());
    }

    /** Writes a line of the record. */
    synchronized void note(String form, Object... values) {
        record.printf(Locale.ROOT, "%10.1f %s%n", now(), String.format(Locale.ROOT, form, values).replace("\n", " ").replace("\r", ""));
    }

    /** Writes a line of the record and prints it. */
    void say(String form, Object... values) {
        note(form, values);
        System.out.println(String.format(Locale.ROOT, form, values));
    }

    static CannotRun cannotRun(String form, Object... values) {
        return new CannotRun(String.format(Locale.ROOT, form, values));
    }

    /** A free loopback address; not among the ports that the system gives to outgoing connections. */
    static InetSocketAddress freeAddress() {
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return new InetSocketAddress(InetAddress.getByName("127.0.0.1"), probe.getLocalPort());
            } catch (IOException e) {
                continue;
            }
        }
        throw cannotRun("no free port");
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void deleteAll(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println("not deleted: " + e);
        }
    }
}
