package wrenreach.lab;

import io.netty.channel.EventLoop;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wrenreach.node.DeliveryNode;

/**
 * A delivery node as operators run it: a process of its own, `serve` on a config file and a state folder. It is known by its
 * process id and ended by it.
 */
final class ProcessNode extends FleetNode {
    /** When the platform starts a process again that has ended by itself; between two looks whether it listens. */
    private static final long RESTART_DELAY_NS = 500_000_000, PROBE_INTERVAL_NS = 20_000_000;
    private static final String OPERATOR = "operator.toml", CONFIG = "config.json", MAIN = "wrenreach.app.Launch";
    /** Options as small machines have them. */
    private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xms24m", "-Xmx48m", "-XX:MaxDirectMemorySize=68m",
            "-XX:TieredStopAtLevel=1");

    /** What a node is run from: a class path, and a class with the words that go before those of every node. */
    record Build(String classPath, List<String> mainCommand) {
        private static final String CLASS = "class ";

        /** The build that plays. */
        static Build own() {
            return new Build(ProcessNode.classPath(), List.of(MAIN));
        }

        /** A jar, a checkout's folder, or "class NAME WORDS": a class of the build that plays, which stands in for the product. */
        static Build of(String text) {
            if (text.startsWith(CLASS)) {
                return new Build(ProcessNode.classPath(), List.of(text.substring(CLASS.length()).strip().split("\\s+")));
            }
            Path place = Path.of(text);
            return new Build((Files.isDirectory(place) ? place.resolve("target/wrenreach.jar") : place).toString(), List.of(MAIN));
        }

        /** Why the text names no build; empty: it does. */
        static String objection(String text) {
            return text.startsWith(CLASS) || Files.exists(Path.of(of(text).classPath)) ? "" : "there is no " + of(text).classPath;
        }
    }

    /** What all nodes of a run share. log: takes each line that a node writes, with its name, on a thread of the node's own. */
    record RunContext(RealWorld world, EventLoop loop, Relays relays, ProcessReaper reaper, Path folder, long seed, Consumer<String> log) { }

    private final RunContext run;
    private final RealWorld world;
    private final Build build;
    private final Path folder;
    private final Path state;
    /** Where it listens itself; clients find it behind a relay. */
    private final InetSocketAddress listenAddress;
    private final Network.Party probeParty = new Network.Party("looks");
    /** Its failing system calls; null: none is ever to fail. */
    private final SystemCallFaults systemCalls;
    private Process process;
    private boolean serves;
    private boolean endedForGood;
    /** The process has been ended or told to end, or can't start. */
    private boolean exitExpected;
    private boolean killInWritePending;
    private boolean isolated;
    private long restartDelay;

    /** json: its config; operator: the operator's file, empty: none; failsCalls: whether its system calls may be made to fail. */
    ProcessNode(RunContext run, Build build, String name, InetSocketAddress front, InetSocketAddress listens, String json, String operator,
            boolean failsCalls) {
        super(name, front);
        this.run = run;
        this.build = build;
        this.listenAddress = listens;
        world = run.world;
        folder = run.folder.resolve(name);
        state = folder.resolve("state");
        try {
            Files.createDirectories(state);
            Files.writeString(folder.resolve(CONFIG), json);
            if (!operator.isEmpty()) {
                Files.writeString(folder.resolve(OPERATOR), operator);
            }
            systemCalls = failsCalls ? new SystemCallFaults(state, name.hashCode() + run.seed) : null;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override boolean up() {
        return process != null && process.isAlive();
    }

    @Override void start() {
        if (endedForGood) {
            return;
        }
        restartDelay = RESTART_DELAY_NS;
        serves = false;
        exitExpected = failsToStart || !Files.isDirectory(state);
        if (isolated) {
            isolated = false;
            run.relays.isolate(name, false);
        }
        List<String> words = new ArrayList<>();
        if (ignoresTerm) {
            // Ignored when a JVM begins, the signal stays so.
            words.addAll(List.of("/bin/sh", "-c", "trap '' TERM; exec \"$@\"", "sh"));
        }
        words.add(java());
        words.addAll(JVM_OPTIONS);
        words.addAll(List.of("-cp", build.classPath));
        words.addAll(build.mainCommand);
        words.addAll(List.of("serve", "--config",
                folder.resolve(failsToStart ? "no-config.json" : CONFIG).toString(), "--state", state.toString()));
        if (Files.exists(folder.resolve(OPERATOR))) {
            words.addAll(List.of("--operator", folder.resolve(OPERATOR).toString()));
        }
        try {
            ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
            if (systemCalls != null) {
                systemCalls.addToEnvironment(builder.environment());
            }
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Process started = process;
        run.reaper.started(started.toHandle());
        Thread reads = new Thread(() -> readLog(started), "log-" + name);
        reads.setDaemon(true);
        reads.start();
        process.onExit().thenRun(() -> {
            run.reaper.ended(started.pid());
            if (!run.loop.isShuttingDown()) {
                run.loop.execute(() -> processExited(started));
            }
        });
        if (startupFreeze > 0) {
            long length = startupFreeze;
            startupFreeze = 0;
            signal("STOP");
            world.scheduleIn(length, () -> {
                if (started == process) {
                    signal("CONT");
                }
            });
        }
        world.scheduleIn(PROBE_INTERVAL_NS, () -> probeListener(started));
    }

    static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** The project's jar, or what this process runs on where it runs on no jar. */
    static String classPath() {
        try {
            File own = new File(DeliveryNode.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            return own.getName().equals("wrenreach.jar") ? own.getPath() : System.getProperty("java.class.path");
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private void readLog(Process from) {
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                run.log.accept(name + " | " + line);
            }
        } catch (IOException e) {
            run.log.accept(name + " | (its log broke off: " + e.getMessage() + ")");
        }
    }

    private void probeListener(Process started) {
        if (started != process || !started.isAlive() || serves) {
            return;
        }
        world.network.connect(probeParty, null, listenAddress, new Network.ConnectHandler() {
            @Override public Network.End opened(Network.Link link) {
                link.close(null);
                if (!serves && started == process) {
                    serves = true;
                    run.relays.setListening(name, true);
                    world.record(new Fact.Serves(world.now(), name));
                }
                return null;
            }

            @Override public void refused() {
                world.scheduleIn(PROBE_INTERVAL_NS, () -> probeListener(started));
            }
        });
    }

    private void processExited(Process started) {
        if (endedForGood || started != process) {
            return;
        }
        serves = false;
        if (killInWritePending) {
            killInWritePending = false;
            systemCalls.fail(SystemCallFaults.Call.FOLDER, 0, SystemCallFaults.RANDOM_ERROR);
        }
        run.relays.setListening(name, false);
        world.record(new Fact.Died(world.now(), name, !exitExpected));
        if (restartDelay > 0) {
            world.scheduleIn(restartDelay, () -> {
                if (!up()) {
                    start();
                }
            });
        }
    }

    /** Whether it has served since its last start. */
    boolean serves() {
        return serves;
    }

    @Override void kill() {
        if (up()) {
            restartDelay = 0;
            exitExpected = true;
            process.destroyForcibly();
            try {
                // What comes next is done to the folder of a process that is gone. A kill takes milliseconds.
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override void stop(long startsAfter) {
        if (!up()) {
            return;
        }
        restartDelay = startsAfter;
        exitExpected = true;
        Process stopping = process;
        signal("TERM");
        world.scheduleIn(STOP_TIMEOUT_NS, () -> {
            if (stopping == process && stopping.isAlive()) {
                stopping.destroyForcibly();
            }
        });
    }

    @Override void vanish() {
        isolated = true;
        run.relays.isolate(name, true);
        kill();
    }

    @Override void freeze(boolean on) {
        if (up()) {
            signal(on ? "STOP" : "CONT");
        }
    }

    @Override void changeStateFolder(State what) {
        Path aside = folder.resolve("aside");
        Path away = folder.resolve("away");
        try {
            switch (what) {
                case KEPT_ASIDE -> InMemoryNode.copy(state, aside);
                case PUT_BACK -> InMemoryNode.copy(aside, state);
                case LOST -> InMemoryNode.copy(folder.resolve("nothing"), state);
                // A mode of the folder would not stop the superuser; a file in the folder's place stops everyone.
                case READ_ONLY -> {
                    Files.move(state, away);
                    Files.writeString(state, "");
                }
                case WRITABLE -> {
                    Files.delete(state);
                    Files.move(away, state);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override void failCalls(SystemCallFaults.Call call, double share, int error) {
        systemCalls.fail(call, share, error);
        if (share == 0) {
            run.log.accept(name + " | (system calls made to fail so far: " + call + " " + systemCalls.injected(call) + ")");
        }
    }

    @Override void killInWrite(long startsAfter) {
        if (up()) {
            restartDelay = startsAfter;
            exitExpected = true;
            killInWritePending = true;
            systemCalls.fail(SystemCallFaults.Call.FOLDER, 1, SystemCallFaults.KILLED_IN_WRITE);
        }
    }

    @Override void stepWallClock(long nanos) {
        systemCalls.stepWallClock(nanos);
    }

    @Override void reload(int port) {
        Path config = folder.resolve(CONFIG);
        try {
            Files.writeString(config, Files.readString(config).replaceFirst("\"discovery\":\"([0-9.]+):\\d+\"",
                    "\"discovery\":\"$1:" + port + "\""));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (serves) {
            signal("HUP");
        }
    }

    /** Sends a signal to the process by its id; the shell knows all of them, Java few. */
    private void signal(String name) {
        try {
            int code = new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
            if (code != 0 && process.isAlive()) {
                throw new IOException("kill -" + name + " ended with " + code);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process for good. */
    void endForGood() {
        endedForGood = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
