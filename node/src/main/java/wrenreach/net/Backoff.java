package wrenreach.net;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter, in milliseconds: delays double from the initial one up to a maximum, and half of each is random.
 * Without the jitter many nodes would retry at the same times after a failure that affected all of them.
 */
final class Backoff {
    /** Bounds the shift of {@link #scaledTimeout}, which would overflow after many failures. */
    private static final int MAX_DOUBLINGS = 16;
    private final long initialMs;
    private final long maxMs;
    private final SplittableRandom random;
    private int failures;

    /** initialMs: at least 2; maxMs: at least as long; seed: of the random half. */
    Backoff(long initialMs, long maxMs, long seed) {
        this.initialMs = initialMs;
        this.maxMs = maxMs;
        random = new SplittableRandom(seed);
    }

    /** The delay after one more failure: between half of the doubled delay and all of it. */
    long nextDelay() {
        long delay = scaledTimeout(initialMs, maxMs);
        failures++;
        return delay / 2 + random.nextLong(delay - delay / 2 + 1);
    }

    /** A timeout that grows as the delays do, up to a maximum, so that a slow answer isn't discarded on every try. */
    long scaledTimeout(long timeout, long max) {
        return Math.min(max, timeout << Math.min(failures, MAX_DOUBLINGS));
    }

    /** Starts over from the initial delay, after a success. */
    void reset() {
        failures = 0;
    }
}
