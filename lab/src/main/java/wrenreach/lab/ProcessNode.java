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
 * A delivery node as operators run it: a process of its own that runs the command `serve` on a config file and a state folder. Signals go to its
 * process id only. Its log is read on a thread of its own and {@link #endForGood} may be called on any; all else runs on the event loop of the run.
 */
final class ProcessNode extends FleetNode {
    /** Delay after which the platform restarts a process that has ended by itself, in nanoseconds. */
    private static final long RESTART_DELAY_NS = 500_000_000;
    /** Interval between two probes whether the process listens yet, in nanoseconds. */
    private static final long PROBE_INTERVAL_NS = 20_000_000;
    /** Name of the operator's file. */
    private static final String OPERATOR = "operator.toml";
    /** Name of the config file. */
    private static final String CONFIG = "config.json";
    /** The product's main class. */
    private static final String MAIN = "wrenreach.app.Launch";
    /** JVM options for small machines. */
    private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xms24m", "-Xmx48m", "-XX:MaxDirectMemorySize=68m",
            "-XX:TieredStopAtLevel=1");

    /** The build that a node runs: a class path, and a main class with arguments that precede those common to all nodes. */
    record Build(String classPath, List<String> mainCommand) {
        private static final String CLASS = "class ";

        /** The build that runs the lab itself. */
        static Build own() {
            return new Build(ProcessNode.classPath(), List.of(MAIN));
        }

        /** Parses a jar, the folder of a checkout, or "class NAME WORDS": a class of the lab's own build, with its arguments, that replaces the product. */
        static Build of(String text) {
            if (text.startsWith(CLASS)) {
                return new Build(ProcessNode.classPath(), List.of(text.substring(CLASS.length()).strip().split("\\s+")));
            }
            Path path = Path.of(text);
            return new Build((Files.isDirectory(path) ? path.resolve("target/wrenreach.jar") : path).toString(), List.of(MAIN));
        }

        /** Why the text names no build; empty if it does. */
        static String objection(String text) {
            return text.startsWith(CLASS) || Files.exists(Path.of(of(text).classPath)) ? "" : "there is no " + of(text).classPath;
        }
    }

    /** What all nodes of a run share. log receives each line that a node writes, with the node's name, on a thread of that node. */
    record RunContext(RealWorld world, EventLoop loop, Relays relays, ProcessReaper reaper, Path folder, long seed, Consumer<String> log) { }

    private final RunContext run;
    private final RealWorld world;
    private final Build build;
    private final Path folder;
    private final Path state;
    /** Where the process itself listens; clients reach it through a relay. */
    private final InetSocketAddress listenAddress;
    private final Network.Party probeParty = new Network.Party("looks");
    /** Makes its system calls fail; null if none is ever to fail. */
    private final SystemCallFaults systemCalls;
    private Process process;
    /** Whether the process has listened since its last start. */
    private boolean serves;
    /** The run is over: no process is started any more. */
    private boolean endedForGood;
    /** The process has been killed or told to stop, or can't start: its end is no fault of its own. */
    private boolean exitExpected;
    /** A kill at the next write is set, and to be cleared once the process is gone. */
    private boolean killInWritePending;
    /** The machine has vanished: its links pass nothing until the next start. */
    private boolean isolated;
    private long restartDelay;

    /** json: the config; operator: the text of the operator's file, empty for none; failsCalls: whether its system calls may be made to fail. */
    ProcessNode(RunContext run, Build build, String name, InetSocketAddress clientAddress, InetSocketAddress listenAddress, String json, String operator,
            boolean failsCalls) {
        super(name, clientAddress);
        this.run = run;
        this.build = build;
        this.listenAddress = listenAddress;
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
        List<String> command = new ArrayList<>();
        if (ignoresTerm) {
            // A signal that is ignored when a JVM starts stays ignored.
            command.addAll(List.of("/bin/sh", "-c", "trap '' TERM; exec \"$@\"", "sh"));
        }
        command.add(java());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", build.classPath));
        command.addAll(build.mainCommand);
        command.addAll(List.of("serve", "--config",
                folder.resolve(failsToStart ? "no-config.json" : CONFIG).toString(), "--state", state.toString()));
        if (Files.exists(folder.resolve(OPERATOR))) {
            command.addAll(List.of("--operator", folder.resolve(OPERATOR).toString()));
        }
        try {
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            if (systemCalls != null) {
                systemCalls.addToEnvironment(builder.environment());
            }
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Process started = process;
        run.reaper.started(started.toHandle());
        Thread logReader = new Thread(() -> readLog(started), "log-" + name);
        logReader.setDaemon(true);
        logReader.start();
        process.onExit().thenRun(() -> {
            run.reaper.ended(started.pid());
            if (!run.loop.isShuttingDown()) {
                run.loop.execute(() -> processExited(started));
            }
        });
        if (startupFreeze > 0) {
            long delay = startupFreeze;
            startupFreeze = 0;
            signal("STOP");
            world.scheduleIn(delay, () -> {
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

    /** The project's jar, or the class path of this process if it does not run from the jar. */
    static String classPath() {
        try {
            File codeSource = new File(DeliveryNode.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            return codeSource.getName().equals("wrenreach.jar") ? codeSource.getPath() : System.getProperty("java.class.path");
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

    /** Whether the process has listened since its last start. */
    boolean serves() {
        return serves;
    }

    @Override void kill() {
        if (up()) {
            restartDelay = 0;
            exitExpected = true;
            process.destroyForcibly();
            try {
                // The caller may change the state folder next, so the process must be gone. A kill takes milliseconds.
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override void stop(long newRestartDelay) {
        if (!up()) {
            return;
        }
        restartDelay = newRestartDelay;
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
        Path moved = folder.resolve("away");
        try {
            switch (what) {
                case KEPT_ASIDE -> InMemoryNode.copy(state, aside);
                case PUT_BACK -> InMemoryNode.copy(aside, state);
                case LOST -> InMemoryNode.copy(folder.resolve("nothing"), state);
                // Permissions would not stop the superuser; a file in place of the folder stops everyone.
                case READ_ONLY -> {
                    Files.move(state, moved);
                    Files.writeString(state, "");
                }
                case WRITABLE -> {
                    Files.delete(state);
                    Files.move(moved, state);
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

    @Override void killInWrite(long newRestartDelay) {
        if (up()) {
            restartDelay = newRestartDelay;
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

    /** Sends a signal to the process by its id, by means of the shell: Java can send only a few signals. */
    private void signal(String name) {
        try {
            int exitCode = new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
            if (exitCode != 0 && process.isAlive()) {
                throw new IOException("kill -" + name + " ended with " + exitCode);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process and starts no other. */
    void endForGood() {
        endedForGood = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
