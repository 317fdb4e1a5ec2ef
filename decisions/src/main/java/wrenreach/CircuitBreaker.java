package wrenreach;

import java.util.function.LongToDoubleFunction;
import java.util.function.ObjLongConsumer;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Route;

/**
 * The circuit breakers of the routes of one node. A breaker opens after a number of consecutive failures, or when most of the recent outcomes are failures.
 * It is half-open, for one trial at a time, once its cool-down is over, and closes after two consecutive trials that relay their mail.
 *
 * <p>Departures from the published design that this follows, "Circuit Breakers for Crawl Workers": the cool-down is a part of the target delay instead of
 * 300 s, as mails live for seconds, and grows with the number of nodes that may have mails for the route; fewer consecutive failures open the breaker of a
 * route with few calls. Times are in microseconds. The state is in {@link CircuitBreakerState}; owned by the decisions of one node, not thread-safe.
 */
final class CircuitBreaker {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    /** Consecutive failures that open a breaker. */
    private static final int FAILURES_TO_OPEN = 8;
    /** Consecutive trials that have to relay their mail before a breaker closes. */
    private static final int TRIALS_TO_CLOSE = 2;
    /** Lower bound of FAILURES_TO_OPEN, which applies to a route with fewer than 16 calls in the window: one or two may be stray failures. */
    static final int MIN_FAILURES = 3;
    /** Share of failures among the outcomes in the window that opens a breaker: an outage means that most calls fail. */
    private static final double OPEN_FAILURE_SHARE = 0.75;
    /** Share of failures among the outcomes in the window from which an outage is suspected. */
    private static final double SUSPECT_FAILURE_SHARE = 0.5;
    /** Microseconds after which the breaker of an unused route is closed again. */
    private static final long UNUSED_RESET_TIME = 60_000_000;
    /** The shortest cool-down, as a ratio to the target delay: it leaves time for another attempt within the target delay. */
    static final double MIN_COOL_DOWN = 0.4;
    /** The largest random part that is added to the shortest cool-down, as a ratio to it. */
    private static final double COOL_DOWN_JITTER = 0.3;
    /** The share of the load that a returning receiver can bear which trials may use. */
    private static final double TRIAL_LOAD_SHARE = 1.0;

    private final int nodeCount;
    private final double slowStartInitialShare, overloadFactor;
    private final long targetDelay;
    private final RateLimiter rateLimiter;
    private final LongToDoubleFunction randomFraction;
    private final ObjLongConsumer<String> log;

    /**
     * targetDelay: the shortest of all queue classes; randomFraction: a random number from 0 to 1 for an id; log: takes a text, the name of a route and what
     * its breaker did, and the time of that.
     */
    CircuitBreaker(Settings settings, long targetDelay, RateLimiter rateLimiter, LongToDoubleFunction randomFraction, ObjLongConsumer<String> log) {
        nodeCount = settings.nodeCount();
        slowStartInitialShare = settings.rules().slowStartInitialShare();
        overloadFactor = settings.rules().overloadFactor();
        this.targetDelay = targetDelay;
        this.rateLimiter = rateLimiter;
        this.randomFraction = randomFraction;
        this.log = log;
    }

    /** Whether an attempt may be made now. During the cool-down it may not; {@link CircuitBreakerState#openUntil} is when that ends. */
    boolean allows(Route route, long now) {
        CircuitBreakerState breaker = route.breaker;
        if (breaker.phase != CircuitBreakerState.Phase.CLOSED && now - route.lastUsedAt > UNUSED_RESET_TIME) {
            close(breaker, now);
        }
        if (isCoolingDown(route, now)) {
            return false;
        }
        return breaker.phase == CircuitBreakerState.Phase.CLOSED || breaker.trial == null;
    }

    /** Whether the breaker is open and its cool-down is not over. */
    boolean isCoolingDown(Route route, long now) {
        return route.breaker.phase == CircuitBreakerState.Phase.OPEN && now < route.breaker.openUntil;
    }

    /** Called when an attempt starts: it is the trial, unless the breaker is closed. */
    void onAttempt(Route route, DeliveryAttempt attempt) {
        if (route.breaker.phase != CircuitBreakerState.Phase.CLOSED) {
            route.breaker.phase = CircuitBreakerState.Phase.HALF_OPEN;
            route.breaker.trial = attempt;
            attempt.trial = true;
        }
    }

    /** Called when an attempt has relayed its mail: counts trials and closes the breaker after enough of them. */
    void onDelivered(Route route, DeliveryAttempt attempt, long now) {
        CircuitBreakerState breaker = route.breaker;
        if (breaker.phase == CircuitBreakerState.Phase.CLOSED) {
            breaker.consecutiveFailures = 0;
        } else if (breaker.phase == CircuitBreakerState.Phase.HALF_OPEN && attempt.trial && ++breaker.successfulTrials >= TRIALS_TO_CLOSE) {
            close(breaker, now);
            log.accept(route.name + ": breaker closed after " + TRIALS_TO_CLOSE + " trials relayed", now);
        }
    }

    /** Whether there are more failures, consecutive or recent, than stray ones would make: the route then goes into slow start. */
    boolean suspectsOutage(Route route, long now) {
        return route.breaker.consecutiveFailures >= MIN_FAILURES || failureShareReached(route, SUSPECT_FAILURE_SHARE, now);
    }

    /** Whether a closed breaker is to be opened. */
    boolean shouldOpen(Route route, long now) {
        int failuresToOpen = Math.max(MIN_FAILURES, Math.min(FAILURES_TO_OPEN, route.sent.sum(now) / 2));
        return route.breaker.consecutiveFailures >= failuresToOpen || failureShareReached(route, OPEN_FAILURE_SHARE, now);
    }

    /** Whether the window holds enough failures, and they are at least this share of its outcomes. */
    private static boolean failureShareReached(Route route, double share, long now) {
        int failed = route.failed.sum(now);
        return failed >= MIN_FAILURES && failed >= share * (failed + route.relayed.sum(now));
    }

    /** Opens the breaker, or reopens it after a failed trial; the route goes into slow start. */
    void open(Route route, Outcome outcome, long now) {
        CircuitBreakerState breaker = route.breaker;
        String event = breaker.phase == CircuitBreakerState.Phase.CLOSED ? "opened" : "reopened";
        breaker.phase = CircuitBreakerState.Phase.OPEN;
        breaker.openedAt = now;
        // Nodes that cool down together began at the same time: a long cool-down is spread over a time of its own length, as with a shorter spread too many
        // trials arrived at once.
        double coolDown = coolDownDuration(route, now);
        double fraction = randomFraction.applyAsDouble(breaker.openedAt);
        breaker.openUntil = now + (long) (coolDown * (coolDown > MIN_COOL_DOWN * targetDelay ? 0.5 + fraction : 1 + COOL_DOWN_JITTER * fraction));
        breaker.successfulTrials = 0;
        breaker.consecutiveFailures = 0;
        route.inSlowStart = true;
        route.slowStartRampAt = NEVER;
        log.accept(route.name + ": breaker " + event + " by " + outcome.getClass().getSimpleName(), now);
    }

    /**
     * How long no trial is made. A trial risks one mail only, so it could be short; but the trials of all nodes that may have a mail for the route by then,
     * all nodes at most, must not bring more load than it can bear when it returns. The cost: nodes that are sparse notice late that an outage has ended.
     */
    double coolDownDuration(Route route, long now) {
        double waitingNodes = Math.min(nodeCount, rateLimiter.limit(route) * (now - route.downSince) / MICROS_PER_SECOND);
        return Math.max(MIN_COOL_DOWN * targetDelay, TRIAL_LOAD_SHARE * MICROS_PER_SECOND * waitingNodes
                / (overloadFactor * slowStartInitialShare * rateLimiter.limit(route)));
    }

    private static void close(CircuitBreakerState breaker, long now) {
        breaker.phase = CircuitBreakerState.Phase.CLOSED;
        breaker.consecutiveFailures = 0;
        breaker.closedAt = now;
    }
}
