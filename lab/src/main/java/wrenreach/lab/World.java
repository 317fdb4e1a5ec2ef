package wrenreach.lab;

import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A discrete-event simulation: one thread runs all events in the order of their times, and the virtual clock jumps from one event to the next.
 * Times are nanoseconds of the virtual clock, which starts at {@link #START_NS}. All random numbers come from one generator, so the same seed and
 * build give a log that is identical to the byte.
 */
class World {
    /** The wall clock when a simulation starts, in milliseconds since the epoch. */
    static final long WALL_CLOCK_START_MS = 1_800_000_000_000L;
    /** The virtual clock when a simulation starts, in nanoseconds. */
    static final long START_NS = 1_000_000_000L;

    private record ScheduledEvent(long at, long order, Runnable work) { }

    final Network network;
    final List<FleetNode> nodes = new ArrayList<>();
    final List<Fact> facts = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.order, b.order));
    private final UniformRandomProvider random;
    private final MessageDigest hash;
    private long nextSequence;
    private long now = START_NS;
    final Ticker ticker = new Ticker() {
        @Override public long initialNanoTime() {
            return START_NS;
        }

        @Override public long nanoTime() {
            return now;
        }

        @Override public void sleep(long delay, TimeUnit unit) {
            throw new IllegalStateException("nothing sleeps in virtual time");
        }
    };

    World(long seed) {
        this(seed, EmulatedNetwork::new);
    }

    /** Creates a simulation on another network than the emulated one. */
    World(long seed, Function<World, Network> network) {
        this.network = network.apply(this);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        try {
            hash = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    long now() {
        return now;
    }

    /** The wall clock, in milliseconds since the epoch. */
    long wallMillis() {
        return WALL_CLOCK_START_MS + now() / 1_000_000;
    }

    boolean withProbability(double probability) {
        return random.nextDouble() < probability;
    }

    /** A uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
    double nextUniform() {
        return random.nextDouble();
    }

    /** A uniformly distributed integer from 0 (inclusive) to the limit (exclusive). */
    int nextIntBelow(int limit) {
        return random.nextInt(limit);
    }

    /** An exponentially distributed number with this mean, cut to a whole one. */
    long nextExponential(double mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    /** Runs the work at that time, or at the current time if it has passed. Events of the same time run in the order in which they were scheduled. */
    void scheduleAt(long when, Runnable work) {
        events.add(new ScheduledEvent(Math.max(when, now), nextSequence++, work));
    }

    void scheduleIn(long delay, Runnable work) {
        scheduleAt(now() + delay, work);
    }

    /** Appends a fact to the log and to its hash. */
    void record(Fact fact) {
        facts.add(fact);
        hash.update((fact + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Runs all events up to and including that time, and leaves the clock there. */
    void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            ScheduledEvent next = events.poll();
            now = next.at;
            next.work.run();
        }
        now = Math.max(now, until);
    }

    /** The SHA-256 hash of all facts so far, in hexadecimal; runs are compared by it. */
    String factsHash() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) hash.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }
}
