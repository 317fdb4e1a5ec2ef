package wrenreach.log;

/**
 * Allows a number of lines of a kind in each window of time and counts the rest, so that the log isn't flooded when thousands of things fail
 * at a time. Times are in any one unit; owned by one thread.
 */
public final class LogRateLimiter {
    private final int maxLines;
    private final long window;
    private long windowEnd = Long.MIN_VALUE;
    private int allowedLines;
    private int suppressed;

    /** maxLines: the most lines that are allowed in each window. */
    public LogRateLimiter(int maxLines, long window) {
        this.maxLines = maxLines;
        this.window = window;
    }

    /** Whether a line may be logged now; if not, it is counted as suppressed. */
    public boolean tryAcquire(long now) {
        if (now >= windowEnd) {
            windowEnd = now + window;
            allowedLines = 0;
        }
        boolean allowed = allowedLines < maxLines;
        allowedLines += allowed ? 1 : 0;
        suppressed += allowed ? 0 : 1;
        return allowed;
    }

    /** How many lines have been suppressed since the last call; starts counting anew. */
    public int suppressed() {
        int count = suppressed;
        suppressed = 0;
        return count;
    }
}
