package wrenreach.log;

/**
 * So many lines of a kind in a window of time, and the rest counted: guards the log where thousands of things fail at a time.
 * Times in any one unit; owned by one thread.
 */
public final class LogRateLimiter {
    private final int maxLines;
    private final long window;
    private long windowEnd = Long.MIN_VALUE;
    private int allowedLines;
    private int suppressed;

    /** lines: at most so many in each window. */
    public LogRateLimiter(int lines, long window) {
        this.maxLines = lines;
        this.window = window;
    }

    /** Whether a line may be said now; if not, it is counted. */
    public boolean tryAcquire(long now) {
        if (now >= windowEnd) {
            windowEnd = now + window;
            allowedLines = 0;
        }
        boolean may = allowedLines < maxLines;
        allowedLines += may ? 1 : 0;
        suppressed += may ? 0 : 1;
        return may;
    }

    /** How many have been left out since this was asked last. */
    public int suppressed() {
        int count = suppressed;
        suppressed = 0;
        return count;
    }
}
