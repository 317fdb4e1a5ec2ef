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

/** One delivery node as shipped, on the world's loop, network and disk; it can be killed and started again. */
final class InMemoryNode extends FleetNode {
    /** Where in a turn a kill strikes. */
    enum KillMoment {
        /** Between two turns. */
        BETWEEN,
        /** After the journal's write and before any byte goes out. */
        WRITTEN,
        /** In the middle of the journal's write. */
        TORN
    }

    private static final String JOURNAL = "journal";
    /** When the platform starts a process again that has ended by itself. */
    private static final long RESTART_DELAY_NS = 500_000_000;
    /** For how long ids that have ended are known, in microseconds. */
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
    /** Where a copy of the state folder is kept: not on the node's disk. */
    private final FileSystem backupDisk;
    private final Path backupFolder;
    Network.Party party;
    private EmulatedEventLoop loop;
    private DeliveryNode node;
    /** The process has ended by itself, and has been told to end or can't but do so. */
    private boolean exited;
    private boolean exitExpected;
    private long restartDelay;
    private Ledger journal;
    /** The files that the last turn found. */
    private List<String> filesBefore = List.of();
    private List<String> files = List.of();
    /** The instant at which the world looks at the node next: one event a node stands in the world's queue for it. */
    private long nextRunAt = Long.MAX_VALUE;
    private long journalSize;
    private long previousJournalSize;
    private long lastWriteAt = -1;
    private int writeCount;
    private int killAtWrite = -1;
    private KillMoment killMoment = KillMoment.BETWEEN;
    private Runnable afterKill = () -> { };
    private int exitCount;
    private boolean frozen;
    private boolean readOnly;
    /** What the network brought while the process stood still. */
    private final List<Runnable> deferredWork = new ArrayList<>();

    /** operator: what the operator's file switches on beside the node. */
    InMemoryNode(World world, String name, Config config, String json, int zone, boolean store,
            Function<Settings, Dispatcher> module, OperatorFile operator) {
        super(name, config.listen());
        this.operator = operator;
        this.world = world;
        this.config = config;
        this.json = json;
        this.zone = zone;
        this.usesStore = store;
        this.dispatcherFactory = module;
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
            long later = startupFreeze;
            startupFreeze = 0;
            world.scheduleIn(later, this::startIfDown);
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
        // Each life reads it anew: the list in it is the node's own.
        node = new DeliveryNode(configOf(json), journal, settings -> new BreakerRecorder(dispatcherFactory.apply(settings), world, name), new Sockets(loop, () -> new EmulatedServerChannel(this),
                () -> new EmulatedChannel(this), new MachineClocks(world::wallMillis, world::now, "lab")));
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

    /** Kills the process after its n-th write from now on. */
    void killAtWrite(int write, KillMoment moment, Runnable then) {
        killAtWrite = writeCount + write;
        killMoment = moment;
        afterKill = then;
    }

    @Override void kill() {
        kill(KillMoment.BETWEEN);
    }

    /** Kills the process; a torn or unsent turn only if it is of this instant. */
    void kill(KillMoment moment) {
        if (!party.up) {
            return;
        }
        boolean lastTurn = lastWriteAt == world.now();
        network().die(party, lastTurn && moment != KillMoment.BETWEEN);
        try {
            journal.close();
            if (lastTurn && moment == KillMoment.TORN && journalSize > previousJournalSize) {
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

    @Override void stop(long startsAfter) {
        restartDelay = startsAfter;
        exitExpected = true;
        if (!ignoresTerm) {
            run(() -> node.stop());
        }
        int life = exitCount;
        world.scheduleIn(STOP_TIMEOUT_NS, () -> {
            if (party.up && life == exitCount) {
                kill();
                world.scheduleIn(startsAfter, this::startIfDown);
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
            // What a selector says that wakes from a stop: nothing is ready. Time-outs go first, then what came meanwhile.
            if (loop != null) {
                loop.runNow();
                List<Runnable> came = List.copyOf(deferredWork);
                deferredWork.clear();
                came.forEach(loop::execute);
                scheduleRun(world.now());
            }
        }
    }

    @Override void changeStateFolder(State what) {
        try {
            switch (what) {
                case KEPT_ASIDE -> copy(state, backupFolder);
                case PUT_BACK -> {
                    fillDisk(false); // Who puts a copy back makes room for it.
                    copy(backupFolder, state);
                }
                case LOST -> copy(disk.getPath("/nothing"), state);
                default -> readOnly = what == State.READ_ONLY;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Makes one folder hold what the other does; one that is not there holds nothing. */
    static void copy(Path from, Path to) throws IOException {
        if (Files.exists(to)) {
            try (Stream<Path> all = Files.walk(to)) {
                for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(one);
                }
            }
        }
        Files.createDirectories(to);
        if (Files.exists(from)) {
            try (Stream<Path> all = Files.walk(from)) {
                for (Path one : all.toList()) {
                    Path copy = to.resolve(from.relativize(one).toString());
                    if (Files.isDirectory(one)) {
                        Files.createDirectories(copy);
                    } else {
                        // Not Files.copy: between two file systems in memory it takes the room from the wrong one.
                        Files.write(copy, Files.readAllBytes(one));
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
                byte[] moved = json.replaceFirst("\"discovery\":\"([0-9.]+):\\d+\"", "\"discovery\":\"$1:" + port + "\"")
                        .getBytes(StandardCharsets.US_ASCII);
                node.reconfigured(() -> new ByteArrayInputStream(moved));
            } catch (Reload.RejectedFileException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** The next write of the journal fails. */
    void failWrite() {
        if (party.up) {
            // A store that fails ends its node; a journal is made anew.
            exitExpected = usesStore;
            try {
                journal.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Others fill the disk up to its last block, or free it again. */
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
            // No room for a block of this size: that is what was wanted.
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

    /** Takes back part of the last write; not where the turn went on to delete files, which comes after it. */
    private void truncateLastWrite(int written) throws IOException {
        List<String> now = files();
        if (!now.containsAll(filesBefore)) {
            return;
        }
        Path folder = usesStore ? state.resolve(Journal.STORE) : state;
        try (FileChannel file = FileChannel.open(folder.resolve(now.get(now.size() - 1)), StandardOpenOption.WRITE)) {
            file.truncate(Math.max(0, file.size() - 1 - world.nextIntBelow(written)));
        }
    }

    private Network network() {
        return world.network;
    }

    /** Has work done on the node's loop at this instant. */
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
                // One that an earlier look has overtaken is of no more use.
                if (nextRunAt == when) {
                    runDueTasks();
                }
            });
        }
    }

    /** Runs what is due, and comes back for what is next. */
    private void runDueTasks() {
        nextRunAt = Long.MAX_VALUE;
        if (loop == null || frozen) {
            return;
        }
        EmulatedEventLoop running = loop;
        while (running.runNow() > 0) {
            // A turn's end is a task of its own.
            continue;
        }
        if (exited) {
            network().die(party, false);
            processEnded();
            world.scheduleIn(restartDelay, this::startIfDown);
            return;
        }
        long after = journal.size();
        if (after != journalSize) {
            writeCount++;
            if (usesStore) {
                recordFiles();
            }
            lastWriteAt = world.now();
            previousJournalSize = after > journalSize ? journalSize : after;
            journalSize = after;
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
