package wrenreach.lab;

import java.net.InetSocketAddress;

/** One delivery node of a world. */
abstract class FleetNode {
    final String name;
    final InetSocketAddress address;

    FleetNode(String name, InetSocketAddress address) {
        this.name = name;
        this.address = address;
    }

    /** Whether its process is there. */
    abstract boolean up();

    /** Starts a process on what the disk holds. */
    abstract void start();

    /** Kills the process. */
    abstract void kill();

    /** A planned stop; the process starts again so long after it has ended, in nanoseconds. */
    abstract void stop(long startsAfter);
}
