package wrenreach;

import java.util.function.LongToDoubleFunction;
import java.util.function.ObjLongConsumer;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.Breaker;
import wrenreach.state.Connect;
import wrenreach.state.Route;

/**
 * The circuit breaker of each route: opened by a run of failures or by most of the recent outcomes failing, half-open for one trial at a
 * time once its cool-down is over, closed by two trials in a row that deliver.
 *
 * <p>Departures from the source: the cool-down is a part of the target delay in place of 300 s, as messages live for seconds, and grows
 * with the nodes that may have messages for the route; a run is shorter where a route sees few calls. Times in microseconds. The state
 * is in {@link Breaker}; owned by the decisions of one node.
 */
final class CircuitBreaker {
    private static final double SECOND = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    /** Failures in a row that open, trials that close. */
    private static final int RUN = 8, TRIALS = 2;
    /** The least run: fewer is what a stray failure or two can make. It holds where a route sees under 16 calls in the window. */
    static final int LEAST_RUN = 3;
    /** Shares of the window's outcomes: an outage is most calls failing. */
    private static final double FAILS_MOSTLY = 0.75, FAILS_OFTEN = 0.5;
    /** A breaker of a route that was not used for so long starts anew. */
    private static final long FORGET = 60_000_000;
    /** Ratio to the target delay: the shortest cool-down, which leaves time for another attempt within it. */
    static final double COOL_DOWN = 0.4;
    /** The part of a short cool-down that is drawn, and the part of what a returning receiver bears that trials may take. */
    private static final double JITTER = 0.3, TRIAL_FILL = 1.0;

    private final int nodes;
    private final double coldFrom, overload;
    private final long target;
    private final RateLimiter rates;
    private final LongToDoubleFunction draw;
    private final ObjLongConsumer<String> log;

    /** draw: a number from 0 to 1 by an id; log: takes a route's name with what its breaker did, and when. */
    CircuitBreaker(Settings settings, long target, RateLimiter rates, LongToDoubleFunction draw, ObjLongConsumer<String> log) {
        nodes = settings.nodes();
        coldFrom = settings.rules().coldFrom();
        overload = settings.rules().overloadFactor();
        this.target = target;
        this.rates = rates;
        this.draw = draw;
        this.log = log;
    }

    /** Whether an attempt may be made now; where the cool-down is not over, {@link Breaker#restsUntil} tells when it is. */
    boolean allows(Route r, long now) {
        Breaker b = r.breaker;
        if (b.phase != Breaker.Phase.CLOSED && now - r.usedAt > FORGET) {
            close(b, now);
        }
        if (coolsDown(r, now)) {
            return false;
        }
        return b.phase == Breaker.Phase.CLOSED || b.trial == null;
    }

    /** Whether it is open and its cool-down is not over. */
    boolean coolsDown(Route r, long now) {
        return r.breaker.phase == Breaker.Phase.OPEN && now < r.breaker.restsUntil;
    }

    /** An attempt is made: the trial, unless the breaker is closed. */
    void onAttempt(Route r, Connect attempt) {
        if (r.breaker.phase != Breaker.Phase.CLOSED) {
            r.breaker.phase = Breaker.Phase.HALF_OPEN;
            r.breaker.trial = attempt;
            attempt.trial = true;
        }
    }

    /** An attempt has delivered its message. */
    void onDelivered(Route r, Connect attempt, long now) {
        Breaker b = r.breaker;
        if (b.phase == Breaker.Phase.CLOSED) {
            b.failedRun = 0;
        } else if (b.phase == Breaker.Phase.HALF_OPEN && attempt.trial && ++b.trialRun >= TRIALS) {
            close(b, now);
            log.accept(r.name + ": breaker closed after " + TRIALS + " trials relayed", now);
        }
    }

    /** Whether so many failures, in a row or of late, are more than stray ones: the route goes into slow start. */
    boolean suspects(Route r, long now) {
        return r.breaker.failedRun >= LEAST_RUN || failsOften(r, FAILS_OFTEN, now);
    }

    /** Whether a closed breaker is to open. */
    boolean trips(Route r, long now) {
        int run = Math.max(LEAST_RUN, Math.min(RUN, r.sent.sum(now) / 2));
        return r.breaker.failedRun >= run || failsOften(r, FAILS_MOSTLY, now);
    }

    private static boolean failsOften(Route r, double share, long now) {
        int failed = r.failed.sum(now);
        return failed >= LEAST_RUN && failed >= share * (failed + r.relayed.sum(now));
    }

    /** Opens it, or opens it again after a failed trial; the route goes into slow start. */
    void open(Route r, Outcome outcome, long now) {
        Breaker b = r.breaker;
        String before = b.phase == Breaker.Phase.CLOSED ? "opened" : "reopened";
        b.phase = Breaker.Phase.OPEN;
        b.openedAt = now;
        // Where many nodes cool down, they began in step: spread over as long, as over less too many came at once.
        double coolDown = coolDown(r, now);
        double drawn = draw.applyAsDouble(b.openedAt);
        b.restsUntil = now + (long) (coolDown * (coolDown > COOL_DOWN * target ? 0.5 + drawn : 1 + JITTER * drawn));
        b.trialRun = 0;
        b.failedRun = 0;
        r.cold = true;
        r.warmsFrom = NEVER;
        log.accept(r.name + ": breaker " + before + " by " + outcome.getClass().getSimpleName(), now);
    }

    /**
     * How long the route is left alone. A trial risks one message only, so it is short; but the trials of all nodes that by then may
     * have a message for it, at most all, are to bring no more than it can do when it returns. An outage ends late at sparse nodes.
     */
    double coolDown(Route r, long now) {
        double waiting = Math.min(nodes, rates.limit(r) * (now - r.downSince) / SECOND);
        return Math.max(COOL_DOWN * target, TRIAL_FILL * SECOND * waiting / (overload * coldFrom * rates.limit(r)));
    }

    private static void close(Breaker b, long now) {
        b.phase = Breaker.Phase.CLOSED;
        b.failedRun = 0;
        b.closedAt = now;
    }
}
