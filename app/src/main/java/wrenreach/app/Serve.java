package wrenreach.app;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import wrenreach.DeliveryDispatcher;
import wrenreach.frame.NodeContext;
import wrenreach.frame.RunningSubsystem;
import wrenreach.frame.Subsystem;
import wrenreach.held.StorageErrors;
import wrenreach.held.Journal;
import wrenreach.held.Ledger;
import wrenreach.log.JsonLog;
import wrenreach.log.LogEvent;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;
import wrenreach.node.FailureReport;
import wrenreach.node.Reload;
import wrenreach.operator.OperatorFile;
import wrenreach.watch.FileWatch;

/**
 * Assembles a node and runs it: config, journal or another ledger, dispatcher, the subsystems that the operator's file enables, and
 * signal handlers.
 */
final class Serve {
    private static final System.Logger LOG = System.getLogger(Serve.class.getName());
    /** For how long a changed file that can't be used is read again, in microseconds. */
    private static final long RELOAD_RETRY_LIMIT_US = 2_000_000;
    /** Time between two checks of the files where SIGHUP is ignored, in microseconds. */
    private static final long FILE_POLL_INTERVAL_US = 1_000_000;

    /** For how long a state folder that fails at the start is tried again, in nanoseconds. */
    private static final long FOLDER_RETRY_LIMIT_NS = 10_000_000_000L;
    /** Time between two tries of the state folder, in nanoseconds. */
    private static final long FOLDER_RETRY_INTERVAL_NS = 50_000_000;

    private final Path configPath;
    /** The path of the operator's file, or null where there is none. */
    private final Path operatorPath;
    private final Map<String, String> environment;
    private final PrintStream err;
    /** The operator's file as last read; null where there is none, and then none of the classes that read it is loaded. */
    private OperatorFile operatorFile;
    /** The sections in force, by the name of the subsystem. */
    private final Map<String, Record> activeSections = new LinkedHashMap<>();
    private JsonLog jsonLog;
    private String nodeName = "node";

    Serve(Path configPath, Path operatorPath, Map<String, String> environment, PrintStream err) {
        this.configPath = configPath;
        this.operatorPath = operatorPath;
        this.environment = environment;
        this.err = err;
    }

    /** Runs a node on the state folder until it stops, or with check until it serves, and returns the exit code. */
    int run(Path state, boolean check) {
        // Installed before anything else: without a handler, SIGHUP ends the process.
        Reload config = new Reload(configPath, RELOAD_RETRY_LIMIT_US);
        Reload operator = operatorPath == null ? null : new Reload(operatorPath, RELOAD_RETRY_LIMIT_US);
        boolean hangUpHandled = handleHangUp(() -> {
            config.signalled();
            if (operator != null) {
                operator.signalled();
            }
        });
        try {
            return serve(state, check, config, operator, hangUpHandled);
        } catch (Config.InvalidConfigException | OperatorFile.InvalidFileException | Subsystem.StartException e) {
            e.getMessage().lines().forEach(line -> err.println("wrenreach: " + line));
            return 2;
        } catch (OutOfMemoryError e) {
            // Reports a start that runs out of memory while it reads its files. What was read is garbage by now.
            err.println("wrenreach: " + FailureReport.outOfMemory(e) + ", the config " + configPath.toFile().length() / 1000 + " KB, the journal "
                    + state.resolve("journal").toFile().length() / 1000 + " KB: give it more memory (-Xmx in deploy/serve.options) or less"
                    + " to hold");
            return 1;
        } finally {
            if (jsonLog != null) {
                jsonLog.close();
            }
        }
    }

    /**
     * Runs the work on each SIGHUP. Returns false where that never happens: in a process that was started with the signal ignored
     * (nohup, some supervisors) the JVM installs no handler, and the only sign is the previous handler that it returns.
     */
    private static boolean handleHangUp(Runnable work) {
        return Signal.handle(new Signal("HUP"), signal -> work.run()) != SignalHandler.SIG_IGN;
    }

    private int serve(Path state, boolean check, Reload config, Reload operator, boolean hangUpHandled)
            throws Config.InvalidConfigException, OperatorFile.InvalidFileException, Subsystem.StartException {
        Config nodeConfig = Config.read(configPath, environment);
        nodeName = nodeConfig.name();
        if (operatorPath != null) {
            operatorFile = OperatorFile.read(operatorPath, Parts.sections());
            configureLog(operatorFile);
        }
        Ledger journal;
        try {
            journal = openLedger(state, nodeConfig.diskBytes());
        } catch (IOException e) {
            err.println("wrenreach: state folder " + state + " can't be used: " + e);
            return 1;
        }
        DeliveryNode node = new DeliveryNode(nodeConfig, journal, DeliveryDispatcher::new);
        // Not a shutdown hook: java.util.logging closes in a hook of its own, and the stop has to be logged.
        Signal.handle(new Signal("TERM"), signal -> node.stop());
        Signal.handle(new Signal("INT"), signal -> node.stop());
        if (operatorPath != null) {
            for (Subsystem<?> subsystem : Parts.subsystems()) {
                startSubsystem(subsystem, node);
            }
        }
        if (check) {
            node.serving().thenRun(node::stop);
        }
        LogEvent.log(LOG, Level.INFO, "reload.way", "config is read again {way}", "way", hangUpHandled ? "on SIGHUP"
                : "whenever it changes: SIGHUP is ignored here");
        node.start();
        config.setHandler(node::reconfigured);
        if (operator != null) {
            operator.setHandler(file -> {
                try (InputStream in = file.open()) {
                    reloadOperatorFile(in.readAllBytes(), node);
                }
            });
        }
        if (!hangUpHandled) {
            watchFiles(config, operator);
        }
        return node.stopped().join();
    }

    /** Opens the ledger in the state folder. Errors that may be transient are retried for FOLDER_RETRY_LIMIT_NS. */
    private Ledger openLedger(Path state, long limit) throws IOException, Subsystem.StartException {
        long until = System.nanoTime() + FOLDER_RETRY_LIMIT_NS;
        while (true) {
            try {
                Files.createDirectories(state);
                Ledger provided = operatorPath == null ? null : subsystemLedger(state, limit);
                return provided == null ? Journal.open(state, limit) : provided;
            } catch (IOException e) {
                if (!StorageErrors.isTransient(e) || System.nanoTime() > until) {
                    throw e;
                }
                LockSupport.parkNanos(FOLDER_RETRY_INTERVAL_NS);
            }
        }
    }

    /** Watches the files for changes, on threads that end with the process. */
    private void watchFiles(Reload config, Reload operator) {
        new FileWatch("wrenreach-config", () -> List.of(configPath), FILE_POLL_INTERVAL_US, RELOAD_RETRY_LIMIT_US, config).start();
        if (operator != null) {
            new FileWatch("wrenreach-operator", () -> List.of(operatorPath), FILE_POLL_INTERVAL_US, RELOAD_RETRY_LIMIT_US, operator).start();
        }
    }

    /** Returns the ledger that a subsystem provides in place of the journal, or null where none does. */
    private Ledger subsystemLedger(Path state, long limit) throws Subsystem.StartException {
        for (Subsystem<?> subsystem : Parts.subsystems()) {
            Ledger provided = subsystemLedger(subsystem, state, limit);
            if (provided != null) {
                return provided;
            }
        }
        return null;
    }

    private <S extends Record> Ledger subsystemLedger(Subsystem<S> subsystem, Path state, long limit) throws Subsystem.StartException {
        var section = operatorFile.section(subsystem.section());
        try {
            return section.isEmpty() ? null : subsystem.ledger(section.get(), state, limit).orElse(null);
        } catch (Subsystem.StartException e) {
            throw new Subsystem.StartException(operatorPath + ": " + subsystem.section().name() + ": " + e.getMessage());
        }
    }

    private <S extends Record> void startSubsystem(Subsystem<S> subsystem, DeliveryNode node) throws Subsystem.StartException {
        var section = operatorFile.section(subsystem.section());
        if (section.isPresent()) {
            String name = subsystem.section().name();
            NodeContext context = node;
            try {
                RunningSubsystem<S> running = subsystem.start(section.get(), context);
                node.add(name, running);
                activeSections.put(name, section.get());
            } catch (Subsystem.StartException e) {
                throw new Subsystem.StartException(operatorPath + ": " + name + ": " + e.getMessage());
            }
            LogEvent.log(LOG, Level.INFO, "subsystem.on", "{subsystem}: on", "subsystem", name);
        }
    }

    /** Applies a new version of the operator's file, or rejects it as a whole, and logs the effect of each change. */
    private synchronized void reloadOperatorFile(byte[] bytes, DeliveryNode node) throws Reload.RejectedFileException {
        OperatorFile newer;
        try {
            newer = OperatorFile.parse(operatorPath, bytes, Parts.sections());
        } catch (OperatorFile.InvalidFileException e) {
            throw new Reload.RejectedFileException(String.join("; ", e.faults().stream().map(f -> f.format(operatorPath)).toList()));
        }
        List<OperatorFile.Change> changes = operatorFile.changes(newer);
        for (OperatorFile.Change change : changes) {
            LogEvent.log(LOG, change.live() ? Level.INFO : Level.WARNING, "reload.change",
                    "operator's file: {key} was {before}, now {after}{effect}", "key", change.key(), "before",
                    change.before(), "after", change.after(), "effect", change.live() ? "" : " (needs a restart)");
        }
        if (changes.isEmpty()) {
            return;
        }
        operatorFile = newer;
        configureLog(newer);
        for (Subsystem<?> subsystem : Parts.subsystems()) {
            Record section = newer.section(subsystem.section()).orElse(null);
            if (section != null) {
                // Keys that need a restart keep their values, even where other keys of the section change.
                activeSections.computeIfPresent(subsystem.section().name(), (name, active) -> {
                    Record merged = subsystem.section().mergeReloaded(active, section);
                    node.reloaded(name, merged);
                    return merged;
                });
            }
        }
    }

    /** Starts or ends the JSON log as the section [log] says. */
    private void configureLog(OperatorFile source) {
        boolean jsonWanted = source.section(LogSection.SECTION).map(LogSection::json).orElse(false);
        if (jsonWanted && jsonLog == null) {
            jsonLog = JsonLog.start(nodeName, err);
        } else if (!jsonWanted && jsonLog != null) {
            jsonLog.close();
            jsonLog = null;
        }
    }
}
