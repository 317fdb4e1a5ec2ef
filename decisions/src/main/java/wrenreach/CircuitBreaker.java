package wrenreach;

import java.util.function.LongToDoubleFunction;
import java.util.function.ObjLongConsumer;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.DeliveryAttempt;
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
    private static final int FAILURES_TO_OPEN = 8, TRIALS_TO_CLOSE = 2;
    /** The least run: fewer is what a stray failure or two can make. It holds where a route sees under 16 calls in the window. */
    static final int MIN_FAILURES = 3;
    /** Shares of the window's outcomes: an outage is most calls failing. */
    private static final double OPEN_FAILURE_SHARE = 0.75, SUSPECT_FAILURE_SHARE = 0.5;
    /** A breaker of a route that was not used for so long starts anew. */
    private static final long UNUSED_RESET_TIME = 60_000_000;
    /** Ratio to the target delay: the shortest cool-down, which leaves time for another attempt within it. */
    static final double MIN_COOL_DOWN = 0.4;
    /** The part of a short cool-down that is drawn, and the part of what a returning receiver bears that trials may take. */
    private static final double COOL_DOWN_JITTER = 0.3, TRIAL_LOAD_SHARE = 1.0;

    private final int nodeCount;
    private final double slowStartInitialShare, overloadFactor;
    private final long targetDelay;
    private final RateLimiter rateLimiter;
    private final LongToDoubleFunction randomFraction;
    private final ObjLongConsumer<String> log;

    /** draw: a number from 0 to 1 by an id; log: takes a route's name with what its breaker did, and when. */
    CircuitBreaker(Settings settings, long target, RateLimiter rates, LongToDoubleFunction draw, ObjLongConsumer<String> log) {
        nodeCount = settings.nodeCount();
        slowStartInitialShare = settings.rules().slowStartInitialShare();
        overloadFactor = settings.rules().overloadFactor();
        this.targetDelay = target;
        this.rateLimiter = rates;
        this.randomFraction = draw;
        this.log = log;
    }

    /** Whether an attempt may be made now; where the cool-down is not over, {@link Breaker#restsUntil} tells when it is. */
    boolean allows(Route r, long now) {
        CircuitBreakerState b = r.breaker;
        if (b.phase != CircuitBreakerState.Phase.CLOSED && now - r.lastUsedAt > UNUSED_RESET_TIME) {
            close(b, now);
        }
        if (isCoolingDown(r, now)) {
            return false;
        }
        return b.phase == CircuitBreakerState.Phase.CLOSED || b.trial == null;
    }

    /** Whether it is open and its cool-down is not over. */
    boolean isCoolingDown(Route r, long now) {
        return r.breaker.phase == CircuitBreakerState.Phase.OPEN && now < r.breaker.openUntil;
    }

    /** An attempt is made: the trial, unless the breaker is closed. */
    void onAttempt(Route r, DeliveryAttempt attempt) {
        if (r.breaker.phase != CircuitBreakerState.Phase.CLOSED) {
            r.breaker.phase = CircuitBreakerState.Phase.HALF_OPEN;
            r.breaker.trial = attempt;
            attempt.trial = true;
        }
    }

    /** An attempt has delivered its message. */
    void onDelivered(Route r, DeliveryAttempt attempt, long now) {
        CircuitBreakerState b = r.breaker;
        if (b.phase == CircuitBreakerState.Phase.CLOSED) {
            b.consecutiveFailures = 0;
        } else if (b.phase == CircuitBreakerState.Phase.HALF_OPEN && attempt.trial && ++b.successfulTrials >= TRIALS_TO_CLOSE) {
            close(b, now);
            log.accept(r.name + ": breaker closed after " + TRIALS_TO_CLOSE + " trials relayed", now);
        }
    }

    /** Whether so many failures, in a row or of late, are more than stray ones: the route goes into slow start. */
    boolean suspectsOutage(Route r, long now) {
        return r.breaker.consecutiveFailures >= MIN_FAILURES || failureShareReached(r, SUSPECT_FAILURE_SHARE, now);
    }

    /** Whether a closed breaker is to open. */
    boolean shouldOpen(Route r, long now) {
        int run = Math.max(MIN_FAILURES, Math.min(FAILURES_TO_OPEN, r.sent.sum(now) / 2));
        return r.breaker.consecutiveFailures >= run || failureShareReached(r, OPEN_FAILURE_SHARE, now);
    }

    private static boolean failureShareReached(Route r, double share, long now) {
        int failed = r.failed.sum(now);
        return failed >= MIN_FAILURES && failed >= share * (failed + r.relayed.sum(now));
    }

    /** Opens it, or opens it again after a failed trial; the route goes into slow start. */
    void open(Route r, Outcome outcome, long now) {
        CircuitBreakerState b = r.breaker;
        String before = b.phase == CircuitBreakerState.Phase.CLOSED ? "opened" : "reopened";
        b.phase = CircuitBreakerState.Phase.OPEN;
        b.openedAt = now;
        // Where many nodes cool down, they began in step: spread over as long, as over less too many came at once.
        double coolDown = coolDownDuration(r, now);
        double drawn = randomFraction.applyAsDouble(b.openedAt);
        b.openUntil = now + (long) (coolDown * (coolDown > MIN_COOL_DOWN * targetDelay ? 0.5 + drawn : 1 + COOL_DOWN_JITTER * drawn));
        b.successfulTrials = 0;
        b.consecutiveFailures = 0;
        r.inSlowStart = true;
        r.slowStartRampAt = NEVER;
        log.accept(r.name + ": breaker " + before + " by " + outcome.getClass().getSimpleName(), now);
    }

    /**
     * How long the route is left alone. A trial risks one message only, so it is short; but the trials of all nodes that by then may
     * have a message for it, at most all, are to bring no more than it can do when it returns. An outage ends late at sparse nodes.
     */
    double coolDownDuration(Route r, long now) {
        double waiting = Math.min(nodeCount, rateLimiter.limit(r) * (now - r.downSince) / SECOND);
        return Math.max(MIN_COOL_DOWN * targetDelay, TRIAL_LOAD_SHARE * SECOND * waiting / (overloadFactor * slowStartInitialShare * rateLimiter.limit(r)));
    }

    private static void close(CircuitBreakerState b, long now) {
        b.phase = CircuitBreakerState.Phase.CLOSED;
        b.consecutiveFailures = 0;
        b.closedAt = now;
    }
}
