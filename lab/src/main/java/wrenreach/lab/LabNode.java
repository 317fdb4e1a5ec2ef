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
final class LabNode extends FleetNode {
    /** Where in a turn a kill strikes. */
    enum Moment {
        /** Between two turns. */
        BETWEEN,
        /** After the journal's write and before any byte goes out. */
        WRITTEN,
        /** In the middle of the journal's write. */
        TORN
    }

    private static final String JOURNAL = "journal";
    /** When the platform starts a process again that has ended by itself. */
    private static final long RESTART = 500_000_000;
    /** For how long ids that have ended are known, in microseconds. */
    private static final long REMEMBERED = 600_000_000;
    private static final int SALT = 1;

    final World world;
    private final Config config;
    private final String json;
    private final int zone;
    private final boolean store;
    private final Function<Settings, Dispatcher> module;
    private final OperatorFile operator;
    private final FileSystem disk;
    private final Path state;
    /** Where a copy of the state folder is kept: not on the node's disk. */
    private final FileSystem shelf;
    private final Path aside;
    Network.Party party;
    private WireLoop loop;
    private DeliveryNode node;
    /** The process has ended by itself, and has been told to end or can't but do so. */
    private boolean over;
    private boolean ending;
    private long restartAfter;
    private Ledger journal;
    /** The files that the last turn found. */
    private List<String> filesBefore = List.of();
    private List<String> files = List.of();
    /** The instant at which the world looks at the node next: one event a node stands in the world's queue for it. */
    private long looksAt = Long.MAX_VALUE;
    private long size;
    private long sizeBefore;
    private long writtenAt = -1;
    private int writes;
    private int killAtWrite = -1;
    private Moment killMoment = Moment.BETWEEN;
    private Runnable killed = () -> { };
    private int lives;
    private boolean frozen;
    private boolean readOnly;
    /** What the network brought while the process stood still. */
    private final List<Runnable> cameMeanwhile = new ArrayList<>();

    /** operator: what the operator's file switches on beside the node. */
    LabNode(World world, String name, Config config, String json, int zone, boolean store,
            Function<Settings, Dispatcher> module, OperatorFile operator) {
        super(name, config.listen());
        this.operator = operator;
        this.world = world;
        this.config = config;
        this.json = json;
        this.zone = zone;
        this.store = store;
        this.module = module;
        disk = Jimfs.newFileSystem(Configuration.unix().toBuilder().setMaxSize(2 * config.diskBytes())
                .setBlockSize(512).setMaxCacheSize(0).build());
        state = disk.getPath("/state");
        shelf = Jimfs.newFileSystem(Configuration.unix());
        aside = shelf.getPath("/aside");
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
        if (broken || readOnly) {
            world.record(new Fact.Died(world.now(), name, false));
            world.later(RESTART, this::startAgain);
            return;
        }
        if (startsLater > 0) {
            long later = startsLater;
            startsLater = 0;
            world.later(later, this::startAgain);
            return;
        }
        party = new Network.Party(name);
        party.zone = zone;
        over = false;
        restartAfter = RESTART;
        loop = new WireLoop(world.ticker);
        try {
            journal = store ? StoreLedger.open(state, config.diskBytes(), false, REMEMBERED, config.diskBytes() / 10,
                    () -> 1000 * world.wallMillis(), SALT) : Journal.open(state, config.diskBytes());
            filesBefore = files = files();
            size = sizeBefore = journal.size();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        // Each life reads it anew: the list in it is the node's own.
        node = new DeliveryNode(configOf(json), journal, settings -> new Watched(module.apply(settings), world, name), new Sockets(loop, () -> new WireServer(this),
                () -> new WireChannel(this), new MachineClocks(world::wallMillis, world::now, "lab")));
        for (Subsystem<?> subsystem : Experiment.Setup.subsystems()) {
            add(subsystem);
        }
        ending = false;
        node.start();
        node.stopped().thenAccept(code -> over = true);
        node.serving().thenRun(() -> world.record(new Fact.Serves(world.now(), name)));
        look();
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
    void killAtWrite(int write, Moment moment, Runnable then) {
        killAtWrite = writes + write;
        killMoment = moment;
        killed = then;
    }

    @Override void kill() {
        kill(Moment.BETWEEN);
    }

    /** Kills the process; a torn or unsent turn only if it is of this instant. */
    void kill(Moment moment) {
        if (!party.up) {
            return;
        }
        boolean lastTurn = writtenAt == world.now();
        network().die(party, lastTurn && moment != Moment.BETWEEN);
        try {
            journal.close();
            if (lastTurn && moment == Moment.TORN && size > sizeBefore) {
                tear((int) (size - sizeBefore));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        gone();
    }

    private void gone() {
        lives++;
        frozen = false;
        cameMeanwhile.clear();
        loop = null;
        node = null;
        world.record(new Fact.Died(world.now(), name, over && !ending));
    }

    @Override void vanish() {
        if (party.up) {
            network().vanish(party);
            gone();
        }
    }

    @Override void stop(long startsAfter) {
        restartAfter = startsAfter;
        ending = true;
        if (!deaf) {
            run(() -> node.stop());
        }
        int life = lives;
        world.later(STOP_PATIENCE, () -> {
            if (party.up && life == lives) {
                kill();
                world.later(startsAfter, this::startAgain);
            }
        });
    }

    private void startAgain() {
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
                List<Runnable> came = List.copyOf(cameMeanwhile);
                cameMeanwhile.clear();
                came.forEach(loop::execute);
                lookAt(world.now());
            }
        }
    }

    @Override void state(State what) {
        try {
            switch (what) {
                case KEPT_ASIDE -> copy(state, aside);
                case PUT_BACK -> {
                    fillDisk(false); // Who puts a copy back makes room for it.
                    copy(aside, state);
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
            ending = store;
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

    private void noteFiles() {
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
        Path folder = store ? state.resolve(Journal.STORE) : state;
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(file -> file.getFileName().toString()).filter(name -> name.startsWith(store ? "segment" : JOURNAL)).sorted()
                    .toList();
        }
    }

    /** Takes back part of the last write; not where the turn went on to delete files, which comes after it. */
    private void tear(int written) throws IOException {
        List<String> now = files();
        if (!now.containsAll(filesBefore)) {
            return;
        }
        Path folder = store ? state.resolve(Journal.STORE) : state;
        try (FileChannel file = FileChannel.open(folder.resolve(now.get(now.size() - 1)), StandardOpenOption.WRITE)) {
            file.truncate(Math.max(0, file.size() - 1 - world.below(written)));
        }
    }

    private Network network() {
        return world.network;
    }

    /** Has work done on the node's loop at this instant. */
    void run(Runnable work) {
        if (frozen) {
            cameMeanwhile.add(work);
        } else if (loop != null && party.up) {
            loop.execute(work);
            lookAt(world.now());
        }
    }

    private void lookAt(long when) {
        if (when < looksAt) {
            looksAt = when;
            world.at(when, () -> {
                // One that an earlier look has overtaken is of no more use.
                if (looksAt == when) {
                    look();
                }
            });
        }
    }

    /** Runs what is due, and comes back for what is next. */
    private void look() {
        looksAt = Long.MAX_VALUE;
        if (loop == null || frozen) {
            return;
        }
        WireLoop running = loop;
        while (running.runNow() > 0) {
            // A turn's end is a task of its own.
            continue;
        }
        if (over) {
            network().die(party, false);
            gone();
            world.later(restartAfter, this::startAgain);
            return;
        }
        long after = journal.size();
        if (after != size) {
            writes++;
            if (store) {
                noteFiles();
            }
            writtenAt = world.now();
            sizeBefore = after > size ? size : after;
            size = after;
            if (writes == killAtWrite) {
                kill(killMoment);
                killed.run();
                return;
            }
        }
        long due = running.dueAt();
        if (due >= 0) {
            lookAt(due);
        }
    }
}
