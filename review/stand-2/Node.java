package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A delivery node: processes started one after another by the command of the deploy file, with one state folder. */
final class Node {
    final String name;
    final InetSocketAddress listen;
    final Path state;
    private final Scene scene;
    private final Path config;
    private final List<Path> logs = new ArrayList<>();
    private volatile Process process;

    Node(Scene scene, String name) {
        this.scene = scene;
        this.name = name;
        listen = Scene.freeAddress();
        state = scene.folder.resolve(name + "-state");
        config = scene.folder.resolve(name + ".json");
        try {
            Files.createDirectories(state);
        } catch (IOException e) {
            throw Scene.cannotRun("no folder: %s", e.getMessage());
        }
        scene.add(this);
    }

    /** Puts a config in place at once, by a move. known and settings are JSON. */
    void configure(String discovery, String known, String settings) {
        String text = "{\"name\":\"" + name + "\",\"listen\":\"" + Scene.format(listen) + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"5be2a07c19d4\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\"known\":" + known + ",\"settings\":" + settings + "}";
        try {
            Path next = config.resolveSibling(name + ".json.next");
            Files.writeString(next, text);
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw Scene.cannotRun("no config: %s", e.getMessage());
        }
        scene.note("%s: config in place: discovery %s, settings %s", name, discovery, settings);
    }

    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.indexOf('"', 7));
            }
        }
        throw Scene.cannotRun("the deploy file names no run command");
    }

    /** Starts a process on the node's folder and address. */
    Process spawn(String discovery) {
        try {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.environment().put("GW_NAME", name);
            builder.environment().put("GW_LISTEN", Scene.format(listen));
            builder.environment().put("GW_DISCOVERY", discovery);
            builder.environment().put("GW_STATE", state.toString());
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", Files.createTempDirectory(scene.folder, "tmp").toString());
            Path log = scene.folder.resolve(name + "-" + (logs.size() + 1) + ".log");
            logs.add(log);
            Process started = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
            scene.note("%s: process %d started", name, started.pid());
            return started;
        } catch (IOException e) {
            throw Scene.cannotRun("the node can't be started: %s", e.getMessage());
        }
    }

    void start(String discovery) {
        process = spawn(discovery);
    }

    /** Waits until the node answers PING; false: it does not within 30 s, or its process has ended. */
    boolean awaitReady() {
        double until = Scene.now() + 30_000;
        while (Scene.now() < until && process.isAlive()) {
            try (Client client = new Client(scene, listen)) {
                if (client.ping()) {
                    scene.note("%s: ready", name);
                    return true;
                }
            }
            Scene.sleep(10);
        }
        scene.note("%s: not ready, process %s", name, process.isAlive() ? "runs" : "ended with " + process.exitValue());
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal to the node's process. */
    void signal(String signal) {
        try {
            scene.note("%s: SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw Scene.cannotRun("no signal: %s", e.getMessage());
        }
    }

    /** Kills the process and waits for its end. */
    void kill() {
        signal("KILL");
        awaitEnd();
    }

    void awaitEnd() {
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw Scene.cannotRun("interrupted");
        }
    }

    void destroy() {
        Process current = process;
        if (current != null && current.isAlive()) {
            current.destroyForcibly();
            try {
                current.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    List<String> logLines() {
        List<String> lines = new ArrayList<>();
        for (Path log : logs) {
            try {
                lines.addAll(Files.readAllLines(log, StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                lines.add(e.toString());
            }
        }
        return lines;
    }
}
