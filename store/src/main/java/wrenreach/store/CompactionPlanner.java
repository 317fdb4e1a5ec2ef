package wrenreach.store;

/**
 * How much of the log is tidied up after a write. Cleaning goes from the oldest segment on, so that a segment's deletions can
 * go with it. Free of I/O: it sees sizes and answers with bytes. Its constants are ratios to the limit, but for bounds in bytes
 * that keep a segment no smaller than a block and a slice no longer than a turn can bear.
 */
final class CompactionPlanner {
    /** Parts of the limit: what may be live, where cleaning begins at the latest, and one segment. */
    private static final double MAX_LIVE_SHARE = 0.5, MIN_FREE_SHARE = 0.4;
    private static final int SEGMENTS_PER_STORE = 32;
    /** Bounds of a segment and of a slice, in bytes. */
    private static final long MIN_SEGMENT_BYTES = 4096, MAX_SEGMENT_BYTES = 1 << 24, MAX_SLICE_BYTES = 1 << 18;

    private final long limitBytes;
    final long segmentBytes;

    /** limit: bytes that the store may take on disk. */
    CompactionPlanner(long limit) {
        this.limitBytes = limit;
        segmentBytes = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, limit / SEGMENTS_PER_STORE));
    }

    /** Whether a batch of that size may be taken on beside what is live and pledged to be written later. */
    boolean fits(long live, long pledged, long bytes) {
        return live + pledged + bytes <= MAX_LIVE_SHARE * limitBytes;
    }

    /** Whether a write of new records may go ahead, so that the largest segment can still be copied before it is deleted. */
    boolean mayWrite(long used, long bytes, long largest) {
        return used + bytes + cleaningReserve(largest) <= limitBytes;
    }

    /** Whether a segment of that size can be copied now. */
    boolean mayCopy(long used, long bytes) {
        return used + bytes + segmentBytes <= limitBytes;
    }

    private long cleaningReserve(long largest) {
        return Math.max(segmentBytes, largest) + segmentBytes;
    }

    /**
     * Bytes of the log to go through now, after a write of so many: as much for each byte written as is left to clean for each
     * byte that is free, so that a whole round ends before the room does; 0: nothing is to be gained yet.
     */
    long bytesToClean(long used, long live, long written) {
        long garbage = used - live;
        if (garbage < 2 * segmentBytes || garbage < live && limitBytes - used > MIN_FREE_SHARE * limitBytes) {
            return 0;
        }
        long room = Math.max(1, limitBytes - used - 2 * segmentBytes);
        double share = used / (double) room;
        return Math.min(MAX_SLICE_BYTES, Math.max(MIN_SEGMENT_BYTES, (long) Math.ceil(2 * share * written)));
    }
}
