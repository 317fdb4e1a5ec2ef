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
 * Virtual time: one thread plays everything that happens, in the order of its instants; the clock jumps from one to the
 * next. Times in nanoseconds since the world's begin. All chance comes from one generator, so the same seed and build
 * give the same log to the byte.
 */
class World {
    /** The wall's clock when a world begins, in milliseconds. */
    static final long WALL_CLOCK_START_MS = 1_800_000_000_000L;
    /** The instant at which a world begins. */
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

    /** A world on a network of its own. */
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

    /** Milliseconds of the wall's clock. */
    long wallMillis() {
        return WALL_CLOCK_START_MS + now() / 1_000_000;
    }

    boolean withProbability(double share) {
        return random.nextDouble() < share;
    }

    /** A number from 0 to below 1. */
    double nextUniform() {
        return random.nextDouble();
    }

    /** A number from 0 to below the limit. */
    int nextIntBelow(int limit) {
        return random.nextInt(limit);
    }

    /** A time of an exponential distribution. */
    long nextExponential(double mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    /** Has work done at that instant, or at the present one if it has passed. */
    void scheduleAt(long when, Runnable work) {
        events.add(new ScheduledEvent(Math.max(when, now), nextSequence++, work));
    }

    void scheduleIn(long delay, Runnable work) {
        scheduleAt(now() + delay, work);
    }

    /** Puts a fact on record. */
    void record(Fact fact) {
        facts.add(fact);
        hash.update((fact + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Plays until that instant. */
    void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            ScheduledEvent next = events.poll();
            now = next.at;
            next.work.run();
        }
        now = Math.max(now, until);
    }

    /** What stands for all facts so far. */
    String factsHash() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) hash.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }
}
