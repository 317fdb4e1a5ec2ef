package wrenreach.store;

/**
 * Decides how much of the log is cleaned after a write. Cleaning starts from the oldest segment, so that the deletions in a segment
 * can be dropped together with it. This class does no I/O: it computes bytes from sizes. Its constants are ratios to the size limit,
 * except for bounds in bytes that keep a segment no smaller than a block and a slice short enough for one iteration of the event loop.
 */
final class CompactionPlanner {
    /** Part of the limit that live records may take. */
    private static final double MAX_LIVE_SHARE = 0.5;
    /** Part of the limit; cleaning begins at the latest when no more than this is free. */
    private static final double MIN_FREE_SHARE = 0.4;
    /** The limit is divided into this many segments. */
    private static final int SEGMENTS_PER_STORE = 32;
    /** Least size of a segment, and least slice that is cleaned at a time. */
    private static final long MIN_SEGMENT_BYTES = 4096;
    /** Greatest size of a segment. */
    private static final long MAX_SEGMENT_BYTES = 1 << 24;
    /** Greatest slice that is cleaned after one write. */
    private static final long MAX_SLICE_BYTES = 1 << 18;

    private final long limitBytes;
    /** Size at which a new segment is begun. */
    final long segmentBytes;

    /** Creates a planner for a store that may take this many bytes on disk. */
    CompactionPlanner(long limitBytes) {
        this.limitBytes = limitBytes;
        segmentBytes = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, limitBytes / SEGMENTS_PER_STORE));
    }

    /** Whether a batch of that size may be accepted beside the live records and the bytes that are pledged to be written later. */
    boolean fits(long live, long pledged, long bytes) {
        return live + pledged + bytes <= MAX_LIVE_SHARE * limitBytes;
    }

    /** Whether a write of new records may go ahead: there must remain room to copy the largest segment before it is deleted. */
    boolean mayWrite(long used, long bytes, long largest) {
        return used + bytes + cleaningReserve(largest) <= limitBytes;
    }

    /** Whether there is room now to copy that many bytes. */
    boolean mayCopy(long used, long bytes) {
        return used + bytes + segmentBytes <= limitBytes;
    }

    private long cleaningReserve(long largest) {
        return Math.max(segmentBytes, largest) + segmentBytes;
    }

    /**
     * How many bytes of the log to clean after a write. It is in proportion to the write, by the ratio of used to free bytes, so that
     * a whole pass over the log ends before the free space does; 0: too little would be gained yet.
     */
    long bytesToClean(long used, long live, long written) {
        long garbage = used - live;
        if (garbage < 2 * segmentBytes || garbage < live && limitBytes - used > MIN_FREE_SHARE * limitBytes) {
            return 0;
        }
        long free = Math.max(1, limitBytes - used - 2 * segmentBytes);
        double ratio = used / (double) free;
        return Math.min(MAX_SLICE_BYTES, Math.max(MIN_SEGMENT_BYTES, (long) Math.ceil(2 * ratio * written)));
    }
}
