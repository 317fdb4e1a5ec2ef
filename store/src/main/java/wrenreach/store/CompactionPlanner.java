package wrenreach.store;

/**
 * How much of the log is tidied up after a write. Cleaning goes from the oldest segment on, so that a segment's deletions can
 * go with it. Free of I/O: it sees sizes and answers with bytes. Its constants are ratios to the limit, but for bounds in bytes
 * that keep a segment no smaller than a block and a slice no longer than a turn can bear.
 */
final class CompactionPlanner {
    /** Parts of the limit: what may be live, where cleaning begins at the latest, and one segment. */
    private static final double LIVE_PART = 0.5, FREE_PART = 0.4;
    private static final int SEGMENTS = 32;
    /** Bounds of a segment and of a slice, in bytes. */
    private static final long LEAST_SEGMENT = 4096, MOST_SEGMENT = 1 << 24, MOST_SLICE = 1 << 18;

    private final long limit;
    final long segment;

    /** limit: bytes that the store may take on disk. */
    CompactionPlanner(long limit) {
        this.limit = limit;
        segment = Math.max(LEAST_SEGMENT, Math.min(MOST_SEGMENT, limit / SEGMENTS));
    }

    /** Whether a batch of that size may be taken on beside what is live and pledged to be written later. */
    boolean fits(long live, long pledged, long bytes) {
        return live + pledged + bytes <= LIVE_PART * limit;
    }

    /** Whether a write of new records may go ahead, so that the largest segment can still be copied before it is deleted. */
    boolean mayWrite(long used, long bytes, long largest) {
        return used + bytes + reserve(largest) <= limit;
    }

    /** Whether a segment of that size can be copied now. */
    boolean mayCopy(long used, long bytes) {
        return used + bytes + segment <= limit;
    }

    private long reserve(long largest) {
        return Math.max(segment, largest) + segment;
    }

    /**
     * Bytes of the log to go through now, after a write of so many: as much for each byte written as is left to clean for each
     * byte that is free, so that a whole round ends before the room does; 0: nothing is to be gained yet.
     */
    long slice(long used, long live, long written) {
        long garbage = used - live;
        if (garbage < 2 * segment || garbage < live && limit - used > FREE_PART * limit) {
            return 0;
        }
        long room = Math.max(1, limit - used - 2 * segment);
        double share = used / (double) room;
        return Math.min(MOST_SLICE, Math.max(LEAST_SEGMENT, (long) Math.ceil(2 * share * written)));
    }
}
