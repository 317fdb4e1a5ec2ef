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
 * Puts a node together and runs it: config, journal, module, what the operator's file switches on, and what signals do.
 */
final class Serve {
    private static final System.Logger LOG = System.getLogger(Serve.class.getName());
    /** For how long a file that can't be used is read again, and between two looks where no signal tells; microseconds. */
    private static final long RELOAD_RETRY_LIMIT_US = 2_000_000, FILE_POLL_INTERVAL_US = 1_000_000;

    /** For how long a state folder that fails is tried again at the start, and between two tries; nanoseconds. */
    private static final long FOLDER_RETRY_LIMIT_NS = 10_000_000_000L, FOLDER_RETRY_INTERVAL_NS = 50_000_000;

    private final Path configPath;
    /** The operator's file; null: there is none. */
    private final Path operatorPath;
    private final Map<String, String> environment;
    private final PrintStream err;
    /** As read last; null: there is none, and none of its classes is loaded. */
    private OperatorFile operatorFile;
    /** The sections that subsystems go by. */
    private final Map<String, Record> activeSections = new LinkedHashMap<>();
    private JsonLog jsonLog;
    private String nodeName = "node";

    Serve(Path file, Path operatorFile, Map<String, String> environment, PrintStream err) {
        this.configPath = file;
        this.operatorPath = operatorFile;
        this.environment = environment;
        this.err = err;
    }

    /** Runs a node on the state folder until it stops; check: it stops as soon as it serves. The exit code. */
    int run(Path state, boolean check) {
        // Before anything else: without a handler the signal ends the process.
        Reload config = new Reload(configPath, RELOAD_RETRY_LIMIT_US);
        Reload own = operatorPath == null ? null : new Reload(operatorPath, RELOAD_RETRY_LIMIT_US);
        boolean told = handleHangUp(() -> {
            config.signalled();
            if (own != null) {
                own.signalled();
            }
        });
        try {
            return serve(state, check, config, own, told);
        } catch (Config.InvalidConfigException | OperatorFile.InvalidFileException | Subsystem.StartException e) {
            e.getMessage().lines().forEach(line -> err.println("wrenreach: " + line));
            return 2;
        } catch (OutOfMemoryError e) {
            // Guards against a start that ends in the middle of its reading: what was read is garbage by now.
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
     * Has SIGHUP do this; false where it never will: started with the signal ignored (nohup, some supervisors), the
     * JVM installs no handler and tells so only by the one that it returns.
     */
    private static boolean handleHangUp(Runnable work) {
        return Signal.handle(new Signal("HUP"), signal -> work.run()) != SignalHandler.SIG_IGN;
    }

    private int serve(Path state, boolean check, Reload config, Reload own, boolean told)
            throws Config.InvalidConfigException, OperatorFile.InvalidFileException, Subsystem.StartException {
        Config read = Config.read(configPath, environment);
        nodeName = read.name();
        if (operatorPath != null) {
            operatorFile = OperatorFile.read(operatorPath, Parts.sections());
            configureLog(operatorFile);
        }
        Ledger journal;
        try {
            journal = openLedger(state, read.diskBytes());
        } catch (IOException e) {
            err.println("wrenreach: state folder " + state + " can't be used: " + e);
            return 1;
        }
        DeliveryNode node = new DeliveryNode(read, journal, DeliveryDispatcher::new);
        // Not a shutdown hook: the logging of the platform ends in one of its own, and a stop is to be logged.
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
        LogEvent.log(LOG, Level.INFO, "reload.way", "config is read again {way}", "way", told ? "on SIGHUP"
                : "whenever it changes: SIGHUP is ignored here");
        node.start();
        config.setHandler(node::reconfigured);
        if (own != null) {
            own.setHandler(file -> {
                try (InputStream in = file.open()) {
                    reloadOperatorFile(in.readAllBytes(), node);
                }
            });
        }
        if (!told) {
            watchFiles(config, own);
        }
        return node.stopped().join();
    }

    /** What is kept in the state folder; where the folder fails in a way that may pass, it is tried again for some seconds. */
    private Ledger openLedger(Path state, long limit) throws IOException, Subsystem.StartException {
        long until = System.nanoTime() + FOLDER_RETRY_LIMIT_NS;
        while (true) {
            try {
                Files.createDirectories(state);
                Ledger brought = operatorPath == null ? null : subsystemLedger(state, limit);
                return brought == null ? Journal.open(state, limit) : brought;
            } catch (IOException e) {
                if (!StorageErrors.isTransient(e) || System.nanoTime() > until) {
                    throw e;
                }
                LockSupport.parkNanos(FOLDER_RETRY_INTERVAL_NS);
            }
        }
    }

    /** Follows the files on threads that end with the process. */
    private void watchFiles(Reload config, Reload own) {
        new FileWatch("wrenreach-config", () -> List.of(configPath), FILE_POLL_INTERVAL_US, RELOAD_RETRY_LIMIT_US, config).start();
        if (own != null) {
            new FileWatch("wrenreach-operator", () -> List.of(operatorPath), FILE_POLL_INTERVAL_US, RELOAD_RETRY_LIMIT_US, own).start();
        }
    }

    /** What the operator's file puts in place of the journal; null: nothing. */
    private Ledger subsystemLedger(Path state, long limit) throws Subsystem.StartException {
        for (Subsystem<?> subsystem : Parts.subsystems()) {
            Ledger brought = subsystemLedger(subsystem, state, limit);
            if (brought != null) {
                return brought;
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
            String named = subsystem.section().name();
            NodeContext host = node;
            try {
                RunningSubsystem<S> running = subsystem.start(section.get(), host);
                node.add(named, running);
                activeSections.put(named, section.get());
            } catch (Subsystem.StartException e) {
                throw new Subsystem.StartException(operatorPath + ": " + named + ": " + e.getMessage());
            }
            LogEvent.log(LOG, Level.INFO, "subsystem.on", "{subsystem}: on", "subsystem", named);
        }
    }

    /** Takes the operator's file as it now is, whole or not at all, and says what became of each change. */
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
                // What needs a restart stays as it is, also in part.
                activeSections.computeIfPresent(subsystem.section().name(), (named, was) -> {
                    Record now = subsystem.section().mergeReloaded(was, section);
                    node.reloaded(named, now);
                    return now;
                });
            }
        }
    }

    private void configureLog(OperatorFile from) {
        boolean wanted = from.section(LogSection.SECTION).map(LogSection::json).orElse(false);
        if (wanted && jsonLog == null) {
            jsonLog = JsonLog.start(nodeName, err);
        } else if (!wanted && jsonLog != null) {
            jsonLog.close();
            jsonLog = null;
        }
    }
}
