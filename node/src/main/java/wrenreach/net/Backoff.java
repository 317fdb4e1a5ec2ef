package wrenreach.net;

import java.util.SplittableRandom;

/**
 * Pauses between tries of something that fails, in milliseconds: they double from the first up to the longest, and of
 * each a half is by chance. Guards what many nodes ask against tries in step after a failure that met them all.
 */
final class Backoff {
    private static final int MAX_DOUBLINGS = 16;
    private final long initialMs;
    private final long maxMs;
    private final SplittableRandom random;
    private int failures;

    /** first: at least 2; longest: at least as long. */
    Backoff(long first, long longest, long seed) {
        this.initialMs = first;
        this.maxMs = longest;
        random = new SplittableRandom(seed);
    }

    /** The pause after one more failure: between half of the doubled one and all of it. */
    long nextDelay() {
        long whole = scaledTimeout(initialMs, maxMs);
        failures++;
        return whole / 2 + random.nextLong(whole - whole / 2 + 1);
    }

    /** A patience that grows as the pauses do, up to this most, so that a slow answer is not thrown away each time. */
    long scaledTimeout(long patience, long most) {
        return Math.min(most, patience << Math.min(failures, MAX_DOUBLINGS));
    }

    /** It worked: the next pause is the first again. */
    void reset() {
        failures = 0;
    }
}
