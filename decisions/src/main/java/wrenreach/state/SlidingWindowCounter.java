package wrenreach.state;

import java.util.Arrays;

/**
 * Counts events in a sliding window of time, which consists of a fixed number of buckets in a ring buffer. Times are in microseconds and
 * should not go back; a time before the newest bucket counts as in that bucket.
 */
public final class SlidingWindowCounter {
    /** Stands for the buckets until the first count. */
    private static final int[] NO_COUNTS = new int[0];

    private final int bucketCount;
    /** In microseconds. */
    private final long bucketWidth;
    /** Allocated with the first count, because most counters of most destinations never have one. */
    private int[] counts = NO_COUNTS;
    /** Number of the newest bucket: its start time divided by the width. */
    private long newestBucket = Long.MIN_VALUE / 2;

    /** bucketWidth: in microseconds; the window is bucketCount times as long. */
    public SlidingWindowCounter(int bucketCount, long bucketWidth) {
        this.bucketCount = bucketCount;
        this.bucketWidth = bucketWidth;
    }

    /** Counts one event. */
    public void add(long now) {
        counts = counts == NO_COUNTS ? new int[bucketCount] : counts;
        advanceTo(now);
        counts[(int) Math.floorMod(newestBucket, (long) counts.length)]++;
    }

    /** The number of events in the window that ends now. */
    public int sum(long now) {
        if (counts == NO_COUNTS) {
            return 0;
        }
        advanceTo(now);
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }

    public void clear() {
        Arrays.fill(counts, 0);
    }

    /** Moves the window on to the bucket of this time and clears the buckets that it passes. */
    private void advanceTo(long now) {
        long bucket = Math.max(newestBucket, Math.floorDiv(now, bucketWidth));
        if (bucket - newestBucket >= counts.length) {
            clear();
        } else {
            for (long passed = newestBucket + 1; passed <= bucket; passed++) {
                counts[(int) Math.floorMod(passed, (long) counts.length)] = 0;
            }
        }
        newestBucket = bucket;
    }
}
