package wrenreach.node;

import io.netty.util.concurrent.Ticker;
import java.util.function.LongSupplier;

/** Microseconds: one time that only goes forward, and the wall's for what outlasts the process. */
final class Clock {
    private final Ticker ticker;
    private final LongSupplier wallMillis;
    private final long origin;

    Clock(Ticker ticker, LongSupplier wallMillis) {
        this.ticker = ticker;
        this.wallMillis = wallMillis;
        origin = wall() - ticker.nanoTime() / 1000;
    }

    /** Goes forward only; it starts at the wall's time, but does not follow it. */
    long now() {
        return origin + ticker.nanoTime() / 1000;
    }

    long wall() {
        return 1000 * wallMillis.getAsLong();
    }
}
