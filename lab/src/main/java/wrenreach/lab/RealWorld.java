package wrenreach.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** The same stand-ins in real time, on one event loop and the machine's loopback. All but {@link #stop} is the loop's. */
final class RealWorld extends World {
    /** Between two looks at the own lateness, and from when on what the clocks say is doubted. */
    private static final long LATENESS_CHECK_INTERVAL_NS = 10_000_000, LATENESS_LIMIT_NS = 40_000_000;
    private final EventLoop loop;
    private final long origin = System.nanoTime() - START_NS;
    private volatile Throwable failed;

    RealWorld(long seed, EventLoop loop, Relays relays) {
        super(seed, world -> new SocketNetwork(loop, relays));
        this.loop = loop;
    }

    /** Notes from now on when this loop itself is late. */
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
                    // What a stand-in can't bear would make the figures wrong: it ends the play.
                    failed = e;
                }
            }, when - now(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The play is over.
            return;
        }
    }

    /** What went wrong with a stand-in; null: nothing. */
    Throwable failed() {
        return failed;
    }
}
