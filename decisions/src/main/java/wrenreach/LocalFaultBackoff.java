package wrenreach;

/**
 * How long a message waits before its next attempt when this machine could not make the last one. Exponential backoff with jitter over
 * the attempts that failed so in a row, whatever their destination: a shortage of descriptors or ports is the machine's, not a route's.
 *
 * <p>Times in microseconds. Owned by the decisions of one node.
 */
final class LocalFaultBackoff {
    /** Ratios to the target delay: the first wait is far below it, the longest leaves time for many more attempts within it. */
    private static final double FIRST_DELAY = 0.005, MAX_DELAY = 0.08;
    /** The doublings that lead from the first wait to the longest. */
    private static final int MAX_DOUBLINGS = 4;
    /** A wait is drawn between this part of it and the whole. */
    private static final double MIN_JITTERED_PART = 0.5;

    private final long targetDelay;
    private int consecutiveFaults;

    LocalFaultBackoff(long target) {
        this.targetDelay = target;
    }

    /** The machine could not make an attempt; how long to wait, by a draw from 0 to 1. */
    long nextDelay(double draw) {
        double wait = Math.min(MAX_DELAY, Math.scalb(FIRST_DELAY, Math.min(consecutiveFaults, MAX_DOUBLINGS))) * targetDelay;
        consecutiveFaults++;
        return (long) (wait * (MIN_JITTERED_PART + (1 - MIN_JITTERED_PART) * draw));
    }

    /** The machine has made an attempt, whatever came of it. */
    void reset() {
        consecutiveFaults = 0;
    }
}
