package wrenreach.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** Runs the same stand-ins in real time, on one event loop and the machine's loopback. All but {@link #now} and {@link #failed} is used on that loop. */
final class RealWorld extends World {
    /** Interval between two checks how late this loop itself is, in nanoseconds. */
    private static final long LATENESS_CHECK_INTERVAL_NS = 10_000_000;
    /** Lateness from which on the recorded times are not trusted and the fact is recorded, in nanoseconds. */
    private static final long LATENESS_LIMIT_NS = 40_000_000;
    private final EventLoop loop;
    private final long origin = System.nanoTime() - START_NS;
    private volatile Throwable failed;

    RealWorld(long seed, EventLoop loop, Relays relays) {
        super(seed, world -> new SocketNetwork(loop, relays));
        this.loop = loop;
    }

    /** Records from now on when this loop itself is late. */
    void watchLateness() {
        long due = now() + LATENESS_CHECK_INTERVAL_NS;
        scheduleAt(due, () -> {
            long late = now() - due;
            if (late > LATENESS_LIMIT_NS) {
                record(new Fact.Late(now(), late));
            }
            watchLateness();
        });
    }

    @Override long now() {
        return System.nanoTime() - origin;
    }

    @Override void scheduleAt(long when, Runnable work) {
        try {
            loop.schedule(() -> {
                try {
                    work.run();
                } catch (RuntimeException | Error e) {
                    // A failure of a stand-in would make the figures wrong, so it ends the run.
                    failed = e;
                }
            }, when - now(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The loop has been shut down: the run is over.
            return;
        }
    }

    /** The failure of a stand-in; null if there was none. */
    Throwable failed() {
        return failed;
    }
}
