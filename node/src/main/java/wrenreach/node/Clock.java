package wrenreach.node;

import io.netty.util.concurrent.Ticker;
import java.lang.System.Logger.Level;
import java.util.Optional;
import wrenreach.held.HeldMail;
import wrenreach.held.Ledger;
import wrenreach.held.RecordedAttempt;
import wrenreach.held.TimeBase;
import wrenreach.log.LogEvent;
import wrenreach.net.MachineClocks;

/**
 * The node's time in microseconds. It only goes forward, and it is the same time for all processes of one boot of the machine: a
 * deadline that one process has recorded means the same instant to the next, whatever becomes of the wall clock meanwhile.
 */
final class Clock {
    private static final System.Logger LOG = System.getLogger(Clock.class.getName());
    /** A difference that is no step: the wall clock is steered all the time. */
    private static final long MIN_STEP_MICROS = 1_000_000;

    private final Ticker ticker;
    private final long tickerOffsetMicros;
    private final boolean continued;

    private Clock(Ticker ticker, long tickerOffset, boolean continued) {
        this.ticker = ticker;
        this.tickerOffsetMicros = tickerOffset;
        this.continued = continued;
    }

    /**
     * Goes on by the clock of the ledger's records where they are of this boot; else it starts at the wall's time, which is all that is
     * known of their times. longestSpan: how far ahead of its record a deadline may be.
     */
    static Clock start(Ticker ticker, MachineClocks machine, Ledger ledger, long longestSpan) {
        long monotonic = machine.monotonicNanos().getAsLong() / 1000;
        TimeBase fresh = new TimeBase(machine.boot(), 1000 * machine.wallMillis().getAsLong() - monotonic);
        Optional<TimeBase> before = ledger.timeBase().filter(base -> !base.boot().isEmpty() && base.boot().equals(fresh.boot())
                && recordsArePlausible(ledger, monotonic + base.offset(), longestSpan));
        before.filter(base -> Math.abs(base.offset() - fresh.offset()) > MIN_STEP_MICROS).ifPresent(base -> LogEvent.log(LOG, Level.WARNING, "clock.stepped",
                "the wall clock has been stepped by {seconds} s since the first start in this boot of the machine: times go by its monotonic clock",
                "seconds", (fresh.offset() - base.offset()) / 1_000_000));
        TimeBase base = before.orElse(fresh);
        Clock clock = new Clock(ticker, monotonic + base.offset() - ticker.nanoTime() / 1000, before.isPresent());
        ledger.startClock(base, clock::now);
        return clock;
    }

    /** Whether the records can be of a clock that shows this time: a monotonic clock that was set back knows times to come. */
    private static boolean recordsArePlausible(Ledger ledger, long now, long longestSpan) {
        for (HeldMail message : ledger.outstanding()) {
            if (message.deadline > now + longestSpan || message.attempts.stream().mapToLong(RecordedAttempt::sentAt).anyMatch(at -> at > now)) {
                return false;
            }
        }
        return true;
    }

    /** Whether recorded times are by this clock; else only by the wall's, as it was then. */
    boolean continued() {
        return continued;
    }

    long now() {
        return tickerOffsetMicros + ticker.nanoTime() / 1000;
    }
}
