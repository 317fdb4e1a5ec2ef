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
 * The node's time in microseconds. It only goes forward, and it is the same time for all processes of one boot of the machine: a deadline
 * that one process has recorded means the same instant to the next, whatever happens to the wall clock meanwhile.
 */
final class Clock {
    private static final System.Logger LOG = System.getLogger(Clock.class.getName());
    /** Microseconds beyond which a difference counts as a step; smaller ones are normal, as the wall clock is adjusted all the time. */
    private static final long MIN_STEP_MICROS = 1_000_000;

    private final Ticker ticker;
    /** What is added to the ticker's time. */
    private final long tickerOffsetMicros;
    private final boolean continued;

    private Clock(Ticker ticker, long tickerOffsetMicros, boolean continued) {
        this.ticker = ticker;
        this.tickerOffsetMicros = tickerOffsetMicros;
        this.continued = continued;
    }

    /**
     * Continues the clock of the ledger's records if they are of this boot; otherwise starts at the wall clock's time, by which alone
     * their times are known. longestSpan: how far after its record a deadline may lie, in microseconds.
     */
    static Clock start(Ticker ticker, MachineClocks machine, Ledger ledger, long longestSpan) {
        long monotonic = machine.monotonicNanos().getAsLong() / 1000;
        TimeBase current = new TimeBase(machine.boot(), 1000 * machine.wallMillis().getAsLong() - monotonic);
        Optional<TimeBase> recorded = ledger.timeBase().filter(base -> !base.boot().isEmpty() && base.boot().equals(current.boot())
                && recordsArePlausible(ledger, monotonic + base.offset(), longestSpan));
        recorded.filter(base -> Math.abs(base.offset() - current.offset()) > MIN_STEP_MICROS).ifPresent(base -> LogEvent.log(LOG, Level.WARNING, "clock.stepped",
                "the wall clock has been stepped by {seconds} s since the first start in this boot of the machine: times go by its monotonic clock",
                "seconds", (current.offset() - base.offset()) / 1_000_000));
        TimeBase base = recorded.orElse(current);
        Clock clock = new Clock(ticker, monotonic + base.offset() - ticker.nanoTime() / 1000, recorded.isPresent());
        ledger.startClock(base, clock::now);
        return clock;
    }

    /**
     * Whether the records can be of a clock that shows this time: where a monotonic clock was set back, they hold times still to come.
     */
    private static boolean recordsArePlausible(Ledger ledger, long now, long longestSpan) {
        for (HeldMail mail : ledger.outstanding()) {
            if (mail.deadline > now + longestSpan || mail.attempts.stream().mapToLong(RecordedAttempt::sentAt).anyMatch(at -> at > now)) {
                return false;
            }
        }
        return true;
    }

    /** Whether recorded times are by this clock; otherwise they are by the wall clock as it was then. */
    boolean continued() {
        return continued;
    }

    /** The current time in microseconds. */
    long now() {
        return tickerOffsetMicros + ticker.nanoTime() / 1000;
    }
}
