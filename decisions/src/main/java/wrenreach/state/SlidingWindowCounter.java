package wrenreach.state;

import java.util.Arrays;

/** Counts over the last while, in fixed buckets of time that are used again in a ring. */
public final class SlidingWindowCounter {
    private static final int[] NO_COUNTS = new int[0];

    private final int bucketCount;
    private final long bucketWidth;
    /** Made with the first count: most rings of most destinations never see one. */
    private int[] counts = NO_COUNTS;
    private long newestBucket = Long.MIN_VALUE / 2;

    public SlidingWindowCounter(int buckets, long width) {
        this.bucketCount = buckets;
        this.bucketWidth = width;
    }

    public void add(long now) {
        counts = counts == NO_COUNTS ? new int[bucketCount] : counts;
        advanceTo(now);
        counts[(int) Math.floorMod(newestBucket, (long) counts.length)]++;
    }

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
