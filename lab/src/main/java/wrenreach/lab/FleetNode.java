package wrenreach.lab;

import java.net.InetSocketAddress;

/** One delivery node of a world. */
abstract class FleetNode {
    final String name;
    final InetSocketAddress address;
    boolean ignoresTerm;
    boolean failsToStart;
    long startupFreeze;

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

    /** The platform's patience with a process that is told to stop, in nanoseconds; then it is killed. */
    static final long STOP_TIMEOUT_NS = 3_700_000_000L;

    /** The machine is gone without a word. */
    abstract void vanish();

    /** The process stands still, or goes on. */
    abstract void freeze(boolean on);

    /** From now on its processes hear SIGTERM, or not; one that has been started goes on as it was. */
    final void setIgnoresTerm(boolean on) {
        ignoresTerm = on;
    }

    /** From now on its processes end right at their start, or not. */
    final void setFailsToStart(boolean on) {
        failsToStart = on;
    }

    /** The next process stands still for so long right after its start, in nanoseconds. */
    final void freezeAtNextStart(long length) {
        startupFreeze = length;
    }

    /** What becomes of the state folder of a node whose process is dead. */
    enum State { KEPT_ASIDE, PUT_BACK, LOST, READ_ONLY, WRITABLE }

    /** Copies the state folder away, puts the copy back, loses it, or has nothing be written to it. */
    abstract void changeStateFolder(State what);

    /** From now on this share of the process's system calls fails with this errno, see {@link SystemCallFaults#fail}. */
    void failCalls(SystemCallFaults.Call call, double share, int error) {
        throw new UnsupportedOperationException(call + " fails by processes only");
    }

    /** The process is killed in the middle of its next write to the state folder, and starts again so long after. */
    void killInWrite(long startsAfter) {
        throw new UnsupportedOperationException("system calls fail by processes only");
    }

    /** The wall clock of its machine is stepped by so many nanoseconds. */
    void stepWallClock(long nanos) {
        throw new UnsupportedOperationException("the wall clock is stepped by processes only");
    }

    /** The config is read again, with the platform at another of its ports. */
    abstract void reload(int port);
}
