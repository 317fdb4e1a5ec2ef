package wrenreach.log;

/**
 * So many lines of a kind in a window of time, and the rest counted: guards the log where thousands of things fail at a time.
 * Times in any one unit; owned by one thread.
 */
public final class Ration {
    private final int lines;
    private final long window;
    private long until = Long.MIN_VALUE;
    private int said;
    private int leftOut;

    /** lines: at most so many in each window. */
    public Ration(int lines, long window) {
        this.lines = lines;
        this.window = window;
    }

    /** Whether a line may be said now; if not, it is counted. */
    public boolean may(long now) {
        if (now >= until) {
            until = now + window;
            said = 0;
        }
        boolean may = said < lines;
        said += may ? 1 : 0;
        leftOut += may ? 0 : 1;
        return may;
    }

    /** How many have been left out since this was asked last. */
    public int leftOut() {
        int count = leftOut;
        leftOut = 0;
        return count;
    }
}
