package wrenreach.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * One way of a link between two parties and what is wrong with it at present. Troubles that overlap add up: delays are
 * summed, the least rate holds, a share is that of any of them striking. One thread's; the chances handed in are from 0 to
 * below 1.
 */
public final class LinkDirection {
    private static final double NANOS_PER_MS = 1_000_000, NANOS_PER_SECOND = 1_000_000_000;

    private final List<Impairment> impairments = new ArrayList<>(1);
    private boolean isTruncating;

    /** From now on this is wrong too. */
    public void begin(Impairment trouble) {
        impairments.add(trouble);
    }

    /** This one is over; what is equal to it and still goes on stays. */
    public void end(Impairment trouble) {
        impairments.remove(trouble);
        isTruncating &= has(Impairment.Kind.HALF);
    }

    public boolean isHealthy() {
        return impairments.isEmpty();
    }

    private boolean has(Impairment.Kind kind) {
        for (Impairment trouble : impairments) {
            if (trouble.kind() == kind) {
                return true;
            }
        }
        return false;
    }

    public boolean isCut() {
        return has(Impairment.Kind.CUT);
    }

    public boolean refuses() {
        return has(Impairment.Kind.REFUSE);
    }

    /** Whether half a piece has gone through and nothing follows it. */
    public boolean isTruncating() {
        return isTruncating;
    }

    /** How much of a piece of so many bytes goes through before nothing does: all of it where no half is wanted. */
    public int passedBytes(int bytes) {
        if (isTruncating || !has(Impairment.Kind.HALF)) {
            return bytes;
        }
        isTruncating = true;
        return bytes / 2;
    }

    /** How much later than without troubles something comes that is sent now, in nanoseconds. */
    public long delayNanos(DoubleSupplier chance) {
        double delay = 0;
        for (Impairment trouble : impairments) {
            if (trouble.kind() == Impairment.Kind.DELAY) {
                delay += NANOS_PER_MS * (trouble.figure() + trouble.more() * chance.getAsDouble());
            }
        }
        return (long) delay;
    }

    /** The time that so many bytes take, in nanoseconds. */
    public long transferNanos(int bytes) {
        double longest = 0;
        for (Impairment trouble : impairments) {
            if (trouble.kind() == Impairment.Kind.RATE) {
                longest = Math.max(longest, NANOS_PER_SECOND * bytes / trouble.figure());
            }
        }
        return (long) longest;
    }

    /** How often a datagram sent now arrives: 0 to 2 times. */
    public int copies(DoubleSupplier chance) {
        boolean lost = isCut() || isTruncating;
        boolean doubled = false;
        for (Impairment trouble : impairments) {
            lost |= trouble.kind() == Impairment.Kind.LOSS && chance.getAsDouble() < trouble.figure();
            doubled |= trouble.kind() == Impairment.Kind.DOUBLING && chance.getAsDouble() < trouble.figure();
        }
        return lost ? 0 : doubled ? 2 : 1;
    }

    /** How much later a datagram comes because others overtake it, in nanoseconds. */
    public long reorderingDelayNanos(DoubleSupplier chance) {
        double late = 0;
        for (Impairment trouble : impairments) {
            if (trouble.kind() == Impairment.Kind.REORDERING && chance.getAsDouble() < trouble.figure()) {
                late += NANOS_PER_MS * trouble.more() * chance.getAsDouble();
            }
        }
        return (long) late;
    }
}
