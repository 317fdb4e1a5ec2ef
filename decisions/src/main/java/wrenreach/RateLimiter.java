package wrenreach;

import java.util.function.IntSupplier;
import wrenreach.api.Settings;
import wrenreach.state.Endpoint;
import wrenreach.state.Route;

/**
 * Limits the rate at which this node sends to each route. Each route has a token bucket that is filled at this node's share of a rate limit
 * that all nodes use together, and goes through slow start after an outage. The nodes do not communicate: each one estimates its share from
 * its own arrivals, from rejections and from the load that endpoints report.
 *
 * <p>Times are in microseconds, rates in messages per second, shares and the reported allowance from 0 to 1. The even share is 1 divided by
 * the number of nodes. A fleet is sparse for a route if the even share of its limit is at most one message per target delay. Not
 * thread-safe: owned by the dispatcher of one node.
 */
final class RateLimiter {
    private static final double MICROS_PER_SECOND = 1_000_000;
    /** Value of {@link Route#slowStartRampAt} until the first message is relayed in slow start. */
    private static final long NEVER = Long.MAX_VALUE;

    /** Length of the sliding window over outcomes of calls, in target delays. */
    static final double OUTCOME_WINDOW = 2;
    /** Length of the sliding window over arrivals, in target delays. */
    static final double ARRIVAL_WINDOW = 6;
    /** Capacity of a token bucket, as target delays at the route's current rate: what a receiver's short queue takes at once. */
    private static final double BURST_DURATION = 0.15;
    /** Time in which a share grows from 0 to 1 in a small fleet, in target delays. Shares recover more slowly than bursts arrive. */
    private static final double SHARE_RECOVERY_TIME = 12;
    /** A node's minimum rate is one message in this time, in target delays. */
    private static final double MIN_RATE_INTERVAL = 0.5;
    /** Maximum of {@link #messageInterval}, in target delays. */
    private static final double MAX_INTERVAL = 0.5;
    /** A rejection multiplies a share by this. */
    private static final double REJECTION_DECREASE_FACTOR = 0.7;
    /** Rejections reduce a share to no less than this fraction of the even share. */
    private static final double MIN_EVEN_SHARE_FRACTION = 0.5;
    /** A reported allowance up to this is scarce. */
    static final double SCARCE_ALLOWANCE = 0.15;
    /** A reported allowance from this on does not restrict a share. */
    private static final double AMPLE_ALLOWANCE = 0.65;
    /** In fleets of more nodes than this, shares recover more slowly. */
    private static final double SMALL_FLEET_NODES = 3;
    /** The share with which a node may start a burst, as a multiple of its fair share. */
    private static final double BURST_SHARE_FACTOR = 1.5;
    /** How fast a share follows the reported allowance: the exponent of its growth per target delay and unit of allowance. */
    private static final double ALLOWANCE_GAIN = 4;
    /** The reported allowance at which a share stays as it is; it grows above and shrinks below. */
    private static final double ALLOWANCE_SETPOINT = 0.5;
    /** The longest time for which one load report may change a share, in target delays. */
    private static final double MAX_REPORT_AGE = 0.3;
    /** Maximum share of a node of a sparse fleet during slow start, in even shares. Idle nodes leave theirs unused. */
    private static final double MAX_SPARSE_SLOW_START_SHARE = 2.5;
    /** Part of the difference that is adopted when a report raises the limit. */
    private static final double LIMIT_RISE_WEIGHT = 0.2;
    /** Part of the difference that is adopted when a report lowers the limit. */
    private static final double LIMIT_FALL_WEIGHT = 0.5;
    /** A bucket with this many tokens counts as holding one, to allow for rounding. */
    private static final double WHOLE_TOKEN = 1 - 1e-9;

    private final int nodeCount, inFlightLimit, allowanceIndex, allowanceRateIndex;
    private final long slowStartDuration, targetDelay;
    private final double slowStartInitialShare, overloadFactor;
    private final IntSupplier knownDestinationCount;
    private long iterationTime;

    /**
     * @param targetDelay the shortest target delay of all queue classes, in microseconds
     * @param knownDestinationCount supplies the number of destinations that the dispatcher knows
     */
    RateLimiter(Settings settings, long targetDelay, IntSupplier knownDestinationCount) {
        nodeCount = settings.nodeCount();
        inFlightLimit = Math.max(1, settings.inFlightLimit());
        allowanceIndex = settings.allowanceIndex();
        allowanceRateIndex = settings.allowanceRateIndex();
        slowStartDuration = settings.rules().slowStartDuration();
        slowStartInitialShare = settings.rules().slowStartInitialShare();
        overloadFactor = settings.rules().overloadFactor();
        this.targetDelay = targetDelay;
        this.knownDestinationCount = knownDestinationCount;
    }

    /** Called at the start of each iteration of the event loop. */
    void beginIteration(long now) {
        iterationTime = now;
    }

    /** The rate limit of the route for all nodes together: reported by its endpoints, else its weight in the endpoint list, else estimated. */
    double limit(Route route) {
        if (route.limitReported) {
            return route.limit;
        }
        if (route.weight > 0) {
            return route.weight;
        }
        // Without a reported limit: the throughput of all call slots divided evenly among the destinations, but no more than the arrivals
        // here times the number of nodes. Otherwise a small receiver that returns would get a share of the slots many times what it takes.
        double slotRate = MICROS_PER_SECOND * inFlightLimit * nodeCount / route.typicalLatency / Math.max(1, knownDestinationCount.getAsInt());
        double arrivalRate = MICROS_PER_SECOND * nodeCount * Math.max(1, route.totalArrivals) / Math.max(targetDelay, iterationTime - route.knownSince);
        return Math.min(slotRate, arrivalRate);
    }

    /**
     * This node's fair share of a route that all nodes use: the even share, or the recent arrivals for it here relative to its limit if that
     * is more. In a sparse fleet, whose even share may be one message in minutes, the nodes that have messages now divide the limit among
     * themselves. Where arrivals at all nodes exceed the limit, the shares add up to more than 1 too.
     */
    double fairShare(Route route, long now) {
        double headroom = headroom(route, now);
        double arrivalRate = (headroom / OUTCOME_WINDOW + route.arrivals.sum(now) / ARRIVAL_WINDOW) / targetDelay * MICROS_PER_SECOND;
        double evenShare = 1.0 / nodeCount;
        // If the even share is more than one message per target delay, all nodes have messages in a burst, so none takes more than that.
        return Math.min(1, evenShare + Math.max(0, arrivalRate / limit(route) - evenShare) * Math.max(headroom, sparseness(route)));
    }

    /**
     * 1 if the even share of the limit is at most one message per target delay, so that a node with a message is probably the only one;
     * otherwise the reciprocal of the even share in messages per target delay.
     */
    double sparseness(Route route) {
        return Math.min(1, MICROS_PER_SECOND * (double) nodeCount / (limit(route) * targetDelay));
    }

    /** The maximum share with which a burst may start. A burst reaches all nodes at once, except in a sparse fleet. */
    double burstStartShare(Route route, double fairShare) {
        return Math.min(1, Math.max(BURST_SHARE_FACTOR * fairShare, sparseness(route) * sparseness(route)));
    }

    /** The time between this node's messages at its fair share of the limit, at most {@link #MAX_INTERVAL} target delays; in microseconds. */
    double messageInterval(Route route, long now) {
        return Math.min(MAX_INTERVAL * targetDelay, MICROS_PER_SECOND / limit(route) / fairShare(route, now));
    }

    /**
     * This node's share of the limit now. Shares recover over time; recovered shares add up over the nodes, so each recovers more slowly the
     * more nodes there are. Where endpoints report their allowance, the reports change the share instead; without a report for a target delay
     * it recovers as if there were none, up to the share with which a burst may start.
     */
    private double currentShare(Route route, long now) {
        double fairShare = fairShare(route, now);
        boolean stale = route.limitReported && now - route.allowanceReportedAt > targetDelay;
        long recoverySince = route.limitReported ? Math.max(route.shareUpdatedAt, route.allowanceReportedAt + targetDelay) : route.shareUpdatedAt;
        double recoveredShare = route.share + Math.max(0, now - recoverySince) * Math.min(1, SMALL_FLEET_NODES / nodeCount) / (SHARE_RECOVERY_TIME * targetDelay);
        double grownShare = Math.min(recoveredShare, stale ? burstStartShare(route, fairShare) : 1);
        // As the reported allowance runs low, all nodes fall back to their fair share, since each of many nodes sees only few rejections.
        // Where the receiver counts the allowance per fixed window, the end of each window looks scarce.
        return Math.min(grownShare, fairShare + (1 - fairShare) * headroom(route, now));
    }

    /** How much the reported allowance leaves to spare: from 1 if it is ample, or if there is no recent report, to 0 if it is scarce. */
    private double headroom(Route route, long now) {
        if (!route.limitReported || now - route.allowanceReportedAt > ARRIVAL_WINDOW * targetDelay) {
            return 1;
        }
        return Math.max(0, Math.min(1, (route.allowance - SCARCE_ALLOWANCE) / (AMPLE_ALLOWANCE - SCARCE_ALLOWANCE)));
    }

    /** The rate at which this node may send to the route now. Ends the route's slow start when its time is over. */
    double rate(Route route, long now) {
        // The minimum rate serves the only message of a node in a sparse fleet, which would expire before a reduced share recovers. It does
        // not apply once the allowance runs low: the minimum rates of 100 nodes add up to several times a small limit.
        double rate = Math.max(limit(route) * currentShare(route, now), headroom(route, now) < 1 ? 0 : MICROS_PER_SECOND / (MIN_RATE_INTERVAL * targetDelay));
        if (route.inSlowStart && route.slowStartRampAt != NEVER && now >= route.slowStartRampAt + slowStartDuration) {
            route.inSlowStart = false;
        }
        return route.inSlowStart ? Math.min(rate, slowStartRate(route, now)) : rate;
    }

    /** The maximum rate during slow start: this node's part of what a receiver that is still warming up can take. */
    private double slowStartRate(Route route, long now) {
        double rampFraction = route.slowStartRampAt == NEVER ? 0 : (double) (now - route.slowStartRampAt) / slowStartDuration;
        double sustainableRate = limit(route) * (slowStartInitialShare + (1 - slowStartInitialShare) * rampFraction);
        // At most the even share or the share that rejections have left: fair shares add up to all traffic, and the returning receiver
        // would get all of it.
        double maxShare = sparseness(route) < 1 ? Math.max(1.0 / nodeCount, route.share) : MAX_SPARSE_SLOW_START_SHARE / nodeCount;
        return overloadFactor * sustainableRate * Math.min(fairShare(route, now), maxShare);
    }

    /** Refills the route's token bucket. Returns {@code now} if it holds a whole token, otherwise the time at which it will. */
    long nextTokenAt(Route route, long now) {
        double rate = rate(route, now);
        double capacity = route.inSlowStart ? 1 : Math.max(1, rate * BURST_DURATION * targetDelay / MICROS_PER_SECOND);
        route.tokens = Math.min(capacity, route.tokens + rate * (now - route.tokensUpdatedAt) / MICROS_PER_SECOND);
        route.tokensUpdatedAt = now;
        return route.tokens >= WHOLE_TOKEN ? now : now + (long) Math.ceil((1 - route.tokens) / rate * MICROS_PER_SECOND);
    }

    /** Takes over a load report of an endpoint. The settings give the index of each figure in it; the report may be empty. */
    void onLoadReport(Endpoint endpoint, double[] report, long now) {
        Route route = endpoint.route;
        if (allowanceRateIndex >= 0 && allowanceRateIndex < report.length && report[allowanceRateIndex] > 0) {
            // A lowered limit is adopted fast, because each of many nodes sees only a report or two a second; a raised one slowly.
            double difference = route.limitReported ? report[allowanceRateIndex] - route.limit : report[allowanceRateIndex];
            route.limit += difference * (route.limitReported ? difference < 0 ? LIMIT_FALL_WEIGHT : LIMIT_RISE_WEIGHT : 1);
            route.limitReported = true;
        }
        if (allowanceIndex >= 0 && allowanceIndex < report.length) {
            route.allowance = report[allowanceIndex];
            route.allowanceReportedAt = now;
            if (route.limitReported) {
                adjustShareToReport(route, !endpoint.destination.queue.isEmpty() && !route.inSlowStart, now);
            }
        }
    }

    /**
     * Adjusts the share to the reported allowance. It grows while allowance is left and messages wait here, so that nodes with messages can
     * use what the others leave within a target delay or two. Without waiting messages it is at most the share with which a burst may start,
     * because a burst reaches all nodes at once. Late reports make the shares oscillate.
     *
     * @param waiting whether messages wait here for the destination
     */
    private void adjustShareToReport(Route route, boolean waiting, long now) {
        double fairShare = fairShare(route, now);
        // A report counts for no more than the time by which it may be old. Many nodes that each got one report in seconds all changed their
        // shares by whole powers of e at once, from far too much to next to nothing and back.
        double exponent = ALLOWANCE_GAIN * (route.allowance - ALLOWANCE_SETPOINT) * Math.min(MAX_REPORT_AGE * targetDelay, now - route.shareUpdatedAt) / targetDelay;
        double maxShare = waiting ? 1 : burstStartShare(route, fairShare);
        // Only rejections reduce a share below the fair one: a limit that is counted per fixed window has little left at the end of each.
        double minShare = Math.min(route.share, fairShare);
        // A report may be older than the last rejection and still show the allowance that the rejection found used up.
        maxShare = now - route.shareReducedAt < MAX_REPORT_AGE * targetDelay ? Math.min(maxShare, route.share) : maxShare;
        route.share = Math.max(minShare, Math.min(maxShare, route.share * Math.exp(exponent)));
        route.shareUpdatedAt = now;
    }

    /** Whether the endpoint reports allowance left with the rejection at {@code now}: it met a short burst, or the report is late. */
    static boolean rejectedInBurst(Route route, long now) {
        return route.limitReported && route.allowanceReportedAt == now && route.allowance > SCARCE_ALLOWANCE;
    }

    /**
     * Reduces the share after the route has rejected a message; in a burst, to no less than the even share.
     *
     * @param draw a random number from 0 to 1
     */
    void onRejection(Route route, double draw, long now) {
        boolean burst = rejectedInBurst(route, now);
        // The lower bound is based on the even share: shares by arrivals add up to many times the limit where all nodes have messages.
        double minShare = (burst ? 1 : MIN_EVEN_SHARE_FRACTION) / nodeCount;
        route.share = Math.max(minShare, Math.min(currentShare(route, now), BURST_SHARE_FACTOR * fairShare(route, now)) * REJECTION_DECREASE_FACTOR);
        route.shareUpdatedAt = route.shareReducedAt = now;
        // Saved tokens are dropped except for a random part of one: all nodes reach a limit at the same time, and with a whole token each
        // they would send again at the same times. Where the receiver counts per fixed window, some nodes have no token when the next one begins.
        route.tokens = burst ? route.tokens : Math.min(route.tokens, draw);
    }
}
