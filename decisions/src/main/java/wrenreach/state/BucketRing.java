package wrenreach.state;

import java.util.Arrays;

/** Counts over the last while, in fixed buckets of time that are used again in a ring. */
public final class BucketRing {
    private static final int[] NOTHING = new int[0];

    private final int buckets;
    private final long width;
    /** Made with the first count: most rings of most destinations never see one. */
    private int[] counts = NOTHING;
    private long newest = Long.MIN_VALUE / 2;

    public BucketRing(int buckets, long width) {
        this.buckets = buckets;
        this.width = width;
    }

    public void add(long now) {
        counts = counts == NOTHING ? new int[buckets] : counts;
        turn(now);
        counts[(int) Math.floorMod(newest, (long) counts.length)]++;
    }

    public int sum(long now) {
        if (counts == NOTHING) {
            return 0;
        }
        turn(now);
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }

    public void clear() {
        Arrays.fill(counts, 0);
    }

    private void turn(long now) {
        long bucket = Math.max(newest, Math.floorDiv(now, width));
        if (bucket - newest >= counts.length) {
            clear();
        } else {
            for (long passed = newest + 1; passed <= bucket; passed++) {
                counts[(int) Math.floorMod(passed, (long) counts.length)] = 0;
            }
        }
        newest = bucket;
    }
}
