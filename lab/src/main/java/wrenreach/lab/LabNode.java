package wrenreach.lab;

import com.google.common.jimfs.Configuration;
import com.google.common.jimfs.Jimfs;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.Function;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.held.Journal;
import wrenreach.net.Sockets;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;

/** One delivery node as shipped, on the world's loop, network and disk; it can be killed and started again. */
final class LabNode {
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

    final World world;
    final InetSocketAddress address;
    private final Config config;
    private final Function<Settings, Dispatcher> module;
    private final FileSystem disk = Jimfs.newFileSystem(Configuration.unix());
    private final Path state = disk.getPath("/state");
    final String name;
    Network.Party party;
    private WireLoop loop;
    private Journal journal;
    private boolean woken;
    private long size;
    private long sizeBefore;
    private long writtenAt = -1;
    private int writes;
    private int killAtWrite = -1;
    private Moment killMoment = Moment.BETWEEN;
    private Runnable killed = () -> { };

    LabNode(World world, String name, InetSocketAddress address, Config config, Function<Settings, Dispatcher> module) {
        this.world = world;
        this.name = name;
        this.address = address;
        this.config = config;
        this.module = module;
        try {
            Files.createDirectories(state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        party = new Network.Party(name);
        party.up = false;
    }

    /** Starts a process on what the disk holds. */
    void start() {
        party = new Network.Party(name);
        loop = new WireLoop(world.ticker);
        try {
            journal = Journal.open(state, config.diskBytes());
            size = sizeBefore = Files.size(state.resolve(JOURNAL));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        DeliveryNode node = new DeliveryNode(config, journal, module, new Sockets(loop, () -> new WireServer(this),
                () -> new WireChannel(this), world::wallMillis));
        node.start();
        node.serving().thenRun(() -> world.record(new Fact.Serves(world.now(), name)));
        woken = true;
    }

    boolean up() {
        return party.up;
    }

    /** Kills the process after its n-th write from now on. */
    void killAtWrite(int write, Moment moment, Runnable then) {
        killAtWrite = writes + write;
        killMoment = moment;
        killed = then;
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
                try (FileChannel file = FileChannel.open(state.resolve(JOURNAL), StandardOpenOption.WRITE)) {
                    file.truncate(sizeBefore + world.below((int) (size - sizeBefore)));
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        loop = null;
        world.record(new Fact.Died(world.now(), name));
    }

    private Network network() {
        return world.network;
    }

    /** Has work done on the node's loop at this instant. */
    void run(Runnable work) {
        if (loop != null && party.up) {
            loop.execute(work);
            woken = true;
        }
    }

    /** When the node has something to do; Long.MAX_VALUE: nothing. */
    long dueAt() {
        if (loop == null) {
            return Long.MAX_VALUE;
        }
        long due = loop.dueAt();
        return woken ? world.now() : due < 0 ? Long.MAX_VALUE : due;
    }

    /** Runs what is due. */
    void turn() {
        woken = false;
        WireLoop running = loop;
        while (running.runNow() > 0) {
            // A turn's end is a task of its own.
            continue;
        }
        try {
            long after = Files.size(state.resolve(JOURNAL));
            if (after != size) {
                writes++;
                writtenAt = world.now();
                sizeBefore = after > size ? size : after;
                size = after;
                if (writes == killAtWrite) {
                    kill(killMoment);
                    killed.run();
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
