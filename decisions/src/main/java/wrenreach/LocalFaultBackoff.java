package wrenreach;

/**
 * How long a mail waits before its next attempt when this machine could not make the last one: exponential backoff with jitter over the consecutive attempts
 * that failed so, whatever their destination. A shortage of file descriptors or ports belongs to the machine, not to a route.
 *
 * <p>Times are in microseconds. Owned by the decisions of one node, not thread-safe.
 */
final class LocalFaultBackoff {
    /** The delay after the first fault, as a ratio to the target delay: far below it. */
    private static final double FIRST_DELAY = 0.005;
    /** The longest delay, as a ratio to the target delay: it leaves time for many more attempts within the target delay. */
    private static final double MAX_DELAY = 0.08;
    /** Doublings from the first delay to the longest. */
    private static final int MAX_DOUBLINGS = 4;
    /** A delay is a random one between this part of it and the whole. */
    private static final double MIN_JITTERED_PART = 0.5;

    private final long targetDelay;
    private int consecutiveFaults;

    LocalFaultBackoff(long targetDelay) {
        this.targetDelay = targetDelay;
    }

    /** Called when this machine could not make an attempt; returns the delay before the next. randomFraction: from 0 to 1. */
    long nextDelay(double randomFraction) {
        double delay = Math.min(MAX_DELAY, Math.scalb(FIRST_DELAY, Math.min(consecutiveFaults, MAX_DOUBLINGS))) * targetDelay;
        consecutiveFaults++;
        return (long) (delay * (MIN_JITTERED_PART + (1 - MIN_JITTERED_PART) * randomFraction));
    }

    /** Called when this machine has made an attempt, whatever its outcome. */
    void reset() {
        consecutiveFaults = 0;
    }
}
