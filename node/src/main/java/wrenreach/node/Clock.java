package wrenreach.node;

/** Microseconds: one time that only goes forward, and the wall's for what outlasts the process. */
final class Clock {
    private final long origin = wall() - System.nanoTime() / 1000;

    /** Goes forward only; it starts at the wall's time, but does not follow it. */
    long now() {
        return origin + System.nanoTime() / 1000;
    }

    long wall() {
        return 1000 * System.currentTimeMillis();
    }
}
