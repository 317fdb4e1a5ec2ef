package wrenreach.net;

import java.util.SplittableRandom;

/**
 * Pauses between tries of something that fails, in milliseconds: they double from the first up to the longest, and of
 * each a half is by chance. Guards what many nodes ask against tries in step after a failure that met them all.
 */
final class Pauses {
    private static final int DOUBLINGS = 16;
    private final long first;
    private final long longest;
    private final SplittableRandom chance;
    private int failed;

    /** first: at least 2; longest: at least as long. */
    Pauses(long first, long longest, long seed) {
        this.first = first;
        this.longest = longest;
        chance = new SplittableRandom(seed);
    }

    /** The pause after one more failure: between half of the doubled one and all of it. */
    long next() {
        long whole = stretched(first, longest);
        failed++;
        return whole / 2 + chance.nextLong(whole - whole / 2 + 1);
    }

    /** A patience that grows as the pauses do, up to this most, so that a slow answer is not thrown away each time. */
    long stretched(long patience, long most) {
        return Math.min(most, patience << Math.min(failed, DOUBLINGS));
    }

    /** It worked: the next pause is the first again. */
    void over() {
        failed = 0;
    }
}
