package wrenreach.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * One direction of a link between two parties, with its present impairments. Impairments that overlap are combined: delays
 * are summed, the lowest rate applies, and each loss or doubling strikes independently. For use by one thread; each random
 * number that is passed in is from 0 to below 1.
 */
public final class LinkDirection {
    private static final double NANOS_PER_MS = 1_000_000;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final List<Impairment> impairments = new ArrayList<>(1);
    /** Whether half a piece has passed since HALF began. */
    private boolean isTruncating;

    /** Adds an impairment; an equal one may be present already. */
    public void begin(Impairment impairment) {
        impairments.add(impairment);
    }

    /** Removes one impairment; others that are equal to it stay. */
    public void end(Impairment impairment) {
        impairments.remove(impairment);
        isTruncating &= has(Impairment.Kind.HALF);
    }

    public boolean isHealthy() {
        return impairments.isEmpty();
    }

    private boolean has(Impairment.Kind kind) {
        for (Impairment impairment : impairments) {
            if (impairment.kind() == kind) {
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

    /** Whether half a piece has passed and nothing may follow it. */
    public boolean isTruncating() {
        return isTruncating;
    }

    /**
     * How many of a piece's bytes pass: half of them for the first piece while HALF applies, after which {@link #isTruncating}
     * blocks the rest; else all.
     */
    public int passedBytes(int bytes) {
        if (isTruncating || !has(Impairment.Kind.HALF)) {
            return bytes;
        }
        isTruncating = true;
        return bytes / 2;
    }

    /** The delay of what is sent now, in nanoseconds; random is drawn once for each delay. */
    public long delayNanos(DoubleSupplier random) {
        double delay = 0;
        for (Impairment impairment : impairments) {
            if (impairment.kind() == Impairment.Kind.DELAY) {
                delay += NANOS_PER_MS * (impairment.figure() + impairment.more() * random.getAsDouble());
            }
        }
        return (long) delay;
    }

    /** The time that the transfer of this many bytes takes at the lowest rate, in nanoseconds; 0: no rate applies. */
    public long transferNanos(int bytes) {
        double longest = 0;
        for (Impairment impairment : impairments) {
            if (impairment.kind() == Impairment.Kind.RATE) {
                longest = Math.max(longest, NANOS_PER_SECOND * bytes / impairment.figure());
            }
        }
        return (long) longest;
    }

    /** How many copies of a datagram that is sent now arrive: 0 to 2. */
    public int copies(DoubleSupplier random) {
        boolean lost = isCut() || isTruncating;
        boolean doubled = false;
        for (Impairment impairment : impairments) {
            lost |= impairment.kind() == Impairment.Kind.LOSS && random.getAsDouble() < impairment.figure();
            doubled |= impairment.kind() == Impairment.Kind.DOUBLING && random.getAsDouble() < impairment.figure();
        }
        return lost ? 0 : doubled ? 2 : 1;
    }

    /** The extra delay that lets other datagrams overtake this one, in nanoseconds. */
    public long reorderingDelayNanos(DoubleSupplier random) {
        double delay = 0;
        for (Impairment impairment : impairments) {
            if (impairment.kind() == Impairment.Kind.REORDERING && random.getAsDouble() < impairment.figure()) {
                delay += NANOS_PER_MS * impairment.more() * random.getAsDouble();
            }
        }
        return (long) delay;
    }
}
