package wrenreach.lab;

import java.net.InetSocketAddress;

/** One delivery node of a fleet, emulated or run as a process. All of it is called on the world's thread. */
abstract class FleetNode {
    final String name;
    final InetSocketAddress address;
    /** Whether the processes that are started from now on ignore SIGTERM. */
    boolean ignoresTerm;
    /** Whether the processes that are started from now on end right away. */
    boolean failsToStart;
    /** How long the next process is frozen right after its start, in nanoseconds; 0 for not at all. */
    long startupFreeze;

    FleetNode(String name, InetSocketAddress address) {
        this.name = name;
        this.address = address;
    }

    /** Whether its process is running. */
    abstract boolean up();

    /** Starts a process on the current content of the disk. */
    abstract void start();

    /** Kills the process. */
    abstract void kill();

    /** Stops the process gracefully and restarts it so many nanoseconds after it has ended. */
    abstract void stop(long restartDelay);

    /** How long the platform waits for a process that was told to stop before it kills it, in nanoseconds. */
    static final long STOP_TIMEOUT_NS = 3_700_000_000L;

    /** Makes the machine vanish: the process is gone, and its connections are neither closed nor reset. */
    abstract void vanish();

    /** Freezes the process, or lets it continue. */
    abstract void freeze(boolean on);

    /** Sets whether its processes ignore SIGTERM from now on; a process that runs already is not affected. */
    final void setIgnoresTerm(boolean on) {
        ignoresTerm = on;
    }

    /** Sets whether its processes end right at their start from now on. */
    final void setFailsToStart(boolean on) {
        failsToStart = on;
    }

    /** Freezes the next process right after its start for so many nanoseconds. */
    final void freezeAtNextStart(long nanos) {
        startupFreeze = nanos;
    }

    /** What is done to the state folder of a node. */
    enum State { KEPT_ASIDE, PUT_BACK, LOST, READ_ONLY, WRITABLE }

    /** Copies the state folder, restores the copy, deletes the content, or makes the folder read-only or writable. */
    abstract void changeStateFolder(State change);

    /** Makes this share of the process's system calls fail with this errno from now on, see {@link SystemCallFaults#fail}. */
    void failCalls(SystemCallFaults.Call call, double share, int error) {
        throw new UnsupportedOperationException(call + " fails by processes only");
    }

    /** Kills the process in the middle of its next write to the state folder, and restarts it so many nanoseconds later. */
    void killInWrite(long restartDelay) {
        throw new UnsupportedOperationException("system calls fail by processes only");
    }

    /** Steps the wall clock of its machine by so many nanoseconds. */
    void stepWallClock(long nanos) {
        throw new UnsupportedOperationException("the wall clock is stepped by processes only");
    }

    /** Reloads the config, with discovery at another port of the platform. */
    abstract void reload(int port);
}
