package wrenreach;

/**
 * How long a message waits before its next attempt when this machine could not make the last one. Exponential backoff with jitter over
 * the attempts that failed so in a row, whatever their destination: a shortage of descriptors or ports is the machine's, not a route's.
 *
 * <p>Times in microseconds. Owned by the decisions of one node.
 */
final class LocalFaultBackoff {
    /** Ratios to the target delay: the first wait is far below it, the longest leaves time for many more attempts within it. */
    private static final double FIRST = 0.005, LONGEST = 0.08;
    /** The doublings that lead from the first wait to the longest. */
    private static final int DOUBLINGS = 4;
    /** A wait is drawn between this part of it and the whole. */
    private static final double LEAST_PART = 0.5;

    private final long target;
    private int inARow;

    LocalFaultBackoff(long target) {
        this.target = target;
    }

    /** The machine could not make an attempt; how long to wait, by a draw from 0 to 1. */
    long failed(double draw) {
        double wait = Math.min(LONGEST, Math.scalb(FIRST, Math.min(inARow, DOUBLINGS))) * target;
        inARow++;
        return (long) (wait * (LEAST_PART + (1 - LEAST_PART) * draw));
    }

    /** The machine has made an attempt, whatever came of it. */
    void worked() {
        inARow = 0;
    }
}
