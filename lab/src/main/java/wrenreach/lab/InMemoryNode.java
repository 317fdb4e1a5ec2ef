package wrenreach.lab;

import com.google.common.jimfs.Configuration;
import com.google.common.jimfs.Jimfs;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.frame.Subsystem;
import wrenreach.held.Journal;
import wrenreach.held.Ledger;
import wrenreach.ledger.StoreLedger;
import wrenreach.net.MachineClocks;
import wrenreach.net.Sockets;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;
import wrenreach.node.Reload;
import wrenreach.operator.OperatorFile;

/**
 * A delivery node with the product's own code, on an emulated event loop, network and disk. It can be killed and started again; all of it runs on
 * the world's thread.
 */
final class InMemoryNode extends FleetNode {
    /** When, within an iteration of the event loop, a kill takes effect. */
    enum KillMoment {
        /** Between two iterations. */
        BETWEEN,
        /** After the write to the journal and before any byte is sent. */
        WRITTEN,
        /** In the middle of the write to the journal. */
        TORN
    }

    private static final String JOURNAL = "journal";
    /** Delay after which the platform restarts a process that has ended by itself, in nanoseconds. */
    private static final long RESTART_DELAY_NS = 500_000_000;
    /** For how long the store remembers the ids of completed mails, in microseconds. */
    private static final long DEDUPLICATION_US = 600_000_000;
    private static final int LEDGER_SALT = 1;

    final World world;
    private final Config config;
    private final String json;
    private final int zone;
    private final boolean usesStore;
    private final Function<Settings, Dispatcher> dispatcherFactory;
    private final OperatorFile operator;
    private final FileSystem disk;
    private final Path state;
    /** Holds the copy of the state folder: a disk of its own, so that the copy takes no space of the node's disk. */
    private final FileSystem backupDisk;
    private final Path backupFolder;
    Network.Party party;
    private EmulatedEventLoop loop;
    private DeliveryNode node;
    /** The process has ended by itself. */
    private boolean exited;
    /** The process has been told to stop, or is bound to end after a failed write. */
    private boolean exitExpected;
    /** Delay between the end of the process and its next start, in nanoseconds. */
    private long restartDelay;
    private Ledger journal;
    /** The journal's files before the last write. */
    private List<String> filesBefore = List.of();
    /** The journal's files after the last write. */
    private List<String> files = List.of();
    /** When the world runs the node's event loop next: one event of the world's queue per node stands for it. */
    private long nextRunAt = Long.MAX_VALUE;
    private long journalSize;
    private long previousJournalSize;
    /** When the journal was last seen to have changed its size; -1 for never. */
    private long lastWriteAt = -1;
    private int writeCount;
    /** The number of the write at which the process is killed; -1 for none. */
    private int killAtWrite = -1;
    private KillMoment killMoment = KillMoment.BETWEEN;
    private Runnable afterKill = () -> { };
    /** How many processes of the node have ended. */
    private int exitCount;
    private boolean frozen;
    private boolean readOnly;
    /** Work that arrived while the process was frozen. */
    private final List<Runnable> deferredWork = new ArrayList<>();

    /** operator: the operator's file, which switches on subsystems of the node. */
    InMemoryNode(World world, String name, Config config, String json, int zone, boolean usesStore,
            Function<Settings, Dispatcher> dispatcherFactory, OperatorFile operator) {
        super(name, config.listen());
        this.operator = operator;
        this.world = world;
        this.config = config;
        this.json = json;
        this.zone = zone;
        this.usesStore = usesStore;
        this.dispatcherFactory = dispatcherFactory;
        disk = Jimfs.newFileSystem(Configuration.unix().toBuilder().setMaxSize(2 * config.diskBytes())
                .setBlockSize(512).setMaxCacheSize(0).build());
        state = disk.getPath("/state");
        backupDisk = Jimfs.newFileSystem(Configuration.unix());
        backupFolder = backupDisk.getPath("/aside");
        try {
            Files.createDirectories(state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        party = new Network.Party(name);
        party.up = false;
        party.zone = zone;
    }

    @Override void start() {
        if (failsToStart || readOnly) {
            world.record(new Fact.Died(world.now(), name, false));
            world.scheduleIn(RESTART_DELAY_NS, this::startIfDown);
            return;
        }
        if (startupFreeze > 0) {
            long delay = startupFreeze;
            startupFreeze = 0;
            world.scheduleIn(delay, this::startIfDown);
            return;
        }
        party = new Network.Party(name);
        party.zone = zone;
        exited = false;
        restartDelay = RESTART_DELAY_NS;
        loop = new EmulatedEventLoop(world.ticker);
        try {
            journal = usesStore ? StoreLedger.open(state, config.diskBytes(), false, DEDUPLICATION_US, config.diskBytes() / 10,
                    () -> 1000 * world.wallMillis(), LEDGER_SALT) : Journal.open(state, config.diskBytes());
            filesBefore = files = files();
            journalSize = previousJournalSize = journal.size();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // Parsed again for each process: the endpoint list in the config belongs to one node and must not be shared.
        node = new DeliveryNode(configOf(json), journal, settings -> new BreakerRecorder(dispatcherFactory.apply(settings), world, name),
                new Sockets(loop, () -> new EmulatedServerChannel(this), () -> new EmulatedChannel(this), new MachineClocks(world::wallMillis, world::now, "lab")));
        for (Subsystem<?> subsystem : Experiment.Setup.virtualTimeSubsystems()) {
            add(subsystem);
        }
        exitExpected = false;
        node.start();
        node.stopped().thenAccept(code -> exited = true);
        node.serving().thenRun(() -> world.record(new Fact.Serves(world.now(), name)));
        runDueTasks();
    }

    private <S extends Record> void add(Subsystem<S> subsystem) {
        operator.section(subsystem.section()).ifPresent(section -> {
            try {
                node.add(subsystem.section().name(), subsystem.start(section, node));
            } catch (Subsystem.StartException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Override boolean up() {
        return party.up;
    }

    /** Kills the process at its n-th write from now on, and then runs the action. */
    void killAtWrite(int write, KillMoment moment, Runnable then) {
        killAtWrite = writeCount + write;
        killMoment = moment;
        afterKill = then;
    }

    @Override void kill() {
        kill(KillMoment.BETWEEN);
    }

    /** Kills the process. The last write is torn, or what was sent after it taken back, only if it happened at the current time. */
    void kill(KillMoment moment) {
        if (!party.up) {
            return;
        }
        boolean wroteNow = lastWriteAt == world.now();
        network().die(party, wroteNow && moment != KillMoment.BETWEEN);
        try {
            journal.close();
            if (wroteNow && moment == KillMoment.TORN && journalSize > previousJournalSize) {
                truncateLastWrite((int) (journalSize - previousJournalSize));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        processEnded();
    }

    private void processEnded() {
        exitCount++;
        frozen = false;
        deferredWork.clear();
        loop = null;
        node = null;
        world.record(new Fact.Died(world.now(), name, exited && !exitExpected));
    }

    @Override void vanish() {
        if (party.up) {
            network().vanish(party);
            processEnded();
        }
    }

    @Override void stop(long newRestartDelay) {
        restartDelay = newRestartDelay;
        exitExpected = true;
        if (!ignoresTerm) {
            run(() -> node.stop());
        }
        int exitsBefore = exitCount;
        world.scheduleIn(STOP_TIMEOUT_NS, () -> {
            if (party.up && exitsBefore == exitCount) {
                kill();
                world.scheduleIn(newRestartDelay, this::startIfDown);
            }
        });
    }

    private void startIfDown() {
        if (!up()) {
            start();
        }
    }

    @Override void freeze(boolean on) {
        if (on) {
            frozen |= party.up;
        } else if (frozen) {
            frozen = false;
            // A selector that wakes from a stop reports nothing as ready at first: timeouts run before the input that arrived meanwhile.
            if (loop != null) {
                loop.runNow();
                List<Runnable> work = List.copyOf(deferredWork);
                deferredWork.clear();
                work.forEach(loop::execute);
                scheduleRun(world.now());
            }
        }
    }

    @Override void changeStateFolder(State what) {
        try {
            switch (what) {
                case KEPT_ASIDE -> copy(state, backupFolder);
                case PUT_BACK -> {
                    fillDisk(false); // Whoever restores a copy makes room for it.
                    copy(backupFolder, state);
                }
                case LOST -> copy(disk.getPath("/nothing"), state);
                default -> readOnly = what == State.READ_ONLY;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Replaces the content of a folder by a copy of another one; a source that does not exist counts as empty. */
    static void copy(Path from, Path to) throws IOException {
        if (Files.exists(to)) {
            try (Stream<Path> all = Files.walk(to)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        Files.createDirectories(to);
        if (Files.exists(from)) {
            try (Stream<Path> all = Files.walk(from)) {
                for (Path path : all.toList()) {
                    Path copy = to.resolve(from.relativize(path).toString());
                    if (Files.isDirectory(path)) {
                        Files.createDirectories(copy);
                    } else {
                        // Not Files.copy: between two in-memory file systems it takes the space from the wrong one.
                        Files.write(copy, Files.readAllBytes(path));
                    }
                }
            }
        }
    }

    private static Config configOf(String json) {
        try {
            return Config.parse(json.getBytes(StandardCharsets.UTF_8), Map.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override void reload(int port) {
        run(() -> {
            try {
                byte[] changedConfig = json.replaceFirst("\"discovery\":\"([0-9.]+):\\d+\"", "\"discovery\":\"$1:" + port + "\"")
                        .getBytes(StandardCharsets.US_ASCII);
                node.reconfigured(() -> new ByteArrayInputStream(changedConfig));
            } catch (Reload.RejectedFileException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Makes the next write of the journal fail. */
    void failWrite() {
        if (party.up) {
            // A node ends when its store fails; a failed journal is created anew.
            exitExpected = usesStore;
            try {
                journal.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Fills the disk up to its last block, as other users of it may, or frees it again. */
    void fillDisk(boolean full) {
        Path filler = disk.getPath("/filler");
        try {
            if (!full) {
                Files.deleteIfExists(filler);
                return;
            }
            try (FileChannel file = FileChannel.open(filler, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
                for (int block = 1 << 16; block > 0; block /= 2) {
                    fill(file, block);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void recordFiles() {
        try {
            filesBefore = files;
            files = files();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void fill(FileChannel file, int block) {
        try {
            while (file.write(ByteBuffer.allocate(block)) > 0) {
                continue;
            }
        } catch (IOException e) {
            // No space for a block of this size: the disk is as full as intended.
            return;
        }
    }

    private List<String> files() throws IOException {
        Path folder = usesStore ? state.resolve(Journal.STORE) : state;
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(file -> file.getFileName().toString()).filter(name -> name.startsWith(usesStore ? "segment" : JOURNAL)).sorted()
                    .toList();
        }
    }

    /** Cuts off part of the last write, unless the iteration also deleted files: these are deleted after the write, so that it was complete. */
    private void truncateLastWrite(int written) throws IOException {
        List<String> current = files();
        if (!current.containsAll(filesBefore)) {
            return;
        }
        Path folder = usesStore ? state.resolve(Journal.STORE) : state;
        try (FileChannel file = FileChannel.open(folder.resolve(current.get(current.size() - 1)), StandardOpenOption.WRITE)) {
            file.truncate(Math.max(0, file.size() - 1 - world.nextIntBelow(written)));
        }
    }

    private Network network() {
        return world.network;
    }

    /** Runs work on the node's event loop at the current time; a frozen process runs it when it goes on, one that is down never. */
    void run(Runnable work) {
        if (frozen) {
            deferredWork.add(work);
        } else if (loop != null && party.up) {
            loop.execute(work);
            scheduleRun(world.now());
        }
    }

    private void scheduleRun(long when) {
        if (when < nextRunAt) {
            nextRunAt = when;
            world.scheduleAt(when, () -> {
                // An event that was overtaken by an earlier one is obsolete.
                if (nextRunAt == when) {
                    runDueTasks();
                }
            });
        }
    }

    /** Runs the tasks that are due, applies a kill that was set for this write, and schedules the next run. */
    private void runDueTasks() {
        nextRunAt = Long.MAX_VALUE;
        if (loop == null || frozen) {
            return;
        }
        EmulatedEventLoop running = loop;
        while (running.runNow() > 0) {
            // The end of an iteration is a task of its own, so that one pass is not enough.
            continue;
        }
        if (exited) {
            network().die(party, false);
            processEnded();
            world.scheduleIn(restartDelay, this::startIfDown);
            return;
        }
        long newSize = journal.size();
        if (newSize != journalSize) {
            writeCount++;
            if (usesStore) {
                recordFiles();
            }
            lastWriteAt = world.now();
            previousJournalSize = newSize > journalSize ? journalSize : newSize;
            journalSize = newSize;
            if (writeCount == killAtWrite) {
                kill(killMoment);
                afterKill.run();
                return;
            }
        }
        long due = running.nextTaskAt();
        if (due >= 0) {
            scheduleRun(due);
        }
    }
}
