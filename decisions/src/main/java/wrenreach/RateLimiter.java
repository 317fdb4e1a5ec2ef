package wrenreach;

import java.util.function.IntSupplier;
import wrenreach.api.Settings;
import wrenreach.state.Endpoint;
import wrenreach.state.Route;

/**
 * How fast this node may send to each route: a token bucket for each, filled at the node's share of a limit that all nodes use together,
 * and slow start for a route that has just returned. No node hears of the others; each judges its share from its own arrivals, from
 * rejections, and from the load that endpoints report.
 *
 * <p>Times in microseconds, rates in messages a second, shares from 0 to 1. Owned by the decisions of one node.
 */
final class RateLimiter {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** Ratios to the target delay: how far the windows of successes and of arrivals reach. */
    static final double OUTCOME_WINDOW = 2, ARRIVAL_WINDOW = 6;
    /** Ratios to the target delay: what a receiver's short queue takes at once; a share regains slower than bursts come. */
    private static final double BURST_DURATION = 0.15, SHARE_RECOVERY_TIME = 12;
    /** Ratios to the target delay: a node's least rate is one message in this; its messages are no further apart than that. */
    private static final double MIN_RATE_INTERVAL = 0.5, MAX_INTERVAL = 0.5;
    /** A rejection leaves this of a share, but no less than this part of the even share. */
    private static final double REJECTION_DECREASE_FACTOR = 0.7, MIN_EVEN_SHARE_FRACTION = 0.5;
    /** Reported allowance at or under the first is scarce, over the second plenty. */
    static final double SCARCE_ALLOWANCE = 0.15;
    private static final double AMPLE_ALLOWANCE = 0.65;
    /** Fleets of more nodes regain shares slower. */
    private static final double SMALL_FLEET_NODES = 3;
    /** The share from which a burst may start, in shares of its own. */
    private static final double BURST_SHARE_FACTOR = 1.5;
    /** How fast, in powers a target delay, a share follows the reported allowance, and the allowance at which it stays. */
    private static final double ALLOWANCE_GAIN = 4, ALLOWANCE_SETPOINT = 0.5;
    /** Ratio to the target delay: a report speaks for no longer. */
    private static final double MAX_REPORT_AGE = 0.3;
    /** In even shares: what a busy node of a sparse fleet may send to a route in slow start; the idle ones leave theirs. */
    private static final double MAX_SPARSE_SLOW_START_SHARE = 2.5;
    /** How fast a reported limit is believed: raised, and lowered. */
    private static final double LIMIT_RISE_WEIGHT = 0.2, LIMIT_FALL_WEIGHT = 0.5;
    private static final double WHOLE_TOKEN = 1 - 1e-9;

    private final int nodeCount, inFlightLimit, allowanceIndex, allowanceRateIndex;
    private final long slowStartDuration, targetDelay;
    private final double slowStartInitialShare, overloadFactor;
    private final IntSupplier knownDestinationCount;
    private long iterationTime;

    /** target: the least target delay of all classes; knownDestinations: how many there are. */
    RateLimiter(Settings settings, long target, IntSupplier knownDestinations) {
        nodeCount = settings.nodeCount();
        inFlightLimit = Math.max(1, settings.inFlightLimit());
        allowanceIndex = settings.allowanceIndex();
        allowanceRateIndex = settings.allowanceRateIndex();
        slowStartDuration = settings.rules().slowStartDuration();
        slowStartInitialShare = settings.rules().slowStartInitialShare();
        overloadFactor = settings.rules().overloadFactor();
        this.targetDelay = target;
        this.knownDestinationCount = knownDestinations;
    }

    /** A new iteration of the event loop begins. */
    void beginIteration(long now) {
        iterationTime = now;
    }

    /** The rate that the route takes from all nodes together. */
    double limit(Route r) {
        if (r.limitReported) {
            return r.limit;
        }
        if (r.weight > 0) {
            return r.weight;
        }
        // Nothing tells the limit: what all slots could do shared evenly by the destinations, or what came here, as if to each node.
        // That keeps small receivers that return from a share of the slots that is many times what they take.
        double shared = MICROS_PER_SECOND * inFlightLimit * nodeCount / r.typicalLatency / Math.max(1, knownDestinationCount.getAsInt());
        double arrived = MICROS_PER_SECOND * nodeCount * Math.max(1, r.totalArrivals) / Math.max(targetDelay, iterationTime - r.knownSince);
        return Math.min(shared, arrived);
    }

    /**
     * This node's fair share of a route that all use: the even one, or what lately arrived for it against its limit. Nodes of a sparse
     * fleet, whose even share is one message in minutes, so share the limit among those that have messages now. Where all get more
     * than the limit, the shares add up to more than it too.
     */
    double fairShare(Route r, long now) {
        double headroom = headroom(r, now);
        double arrived = (headroom / OUTCOME_WINDOW + r.arrivals.sum(now) / ARRIVAL_WINDOW) / targetDelay * MICROS_PER_SECOND;
        double even = 1.0 / nodeCount;
        // Where the even share is more than a message in a target delay, all have messages in a burst: no one takes more then.
        return Math.min(1, even + Math.max(0, arrived / limit(r) - even) * Math.max(headroom, sparseness(r)));
    }

    /** 1 where the even share is a message in a target delay or less, so that one is alone; else that over it. */
    double sparseness(Route r) {
        return Math.min(1, MICROS_PER_SECOND * (double) nodeCount / (limit(r) * targetDelay));
    }

    /** The share from which a burst may start: it comes to all nodes at once, but for sparse ones. */
    double burstStartShare(Route r, double fairShare) {
        return Math.min(1, Math.max(BURST_SHARE_FACTOR * fairShare, sparseness(r) * sparseness(r)));
    }

    /** The time between this node's messages at its fair share of the limit, within reason. */
    double messageInterval(Route r, long now) {
        return Math.min(MAX_INTERVAL * targetDelay, MICROS_PER_SECOND / limit(r) / fairShare(r, now));
    }

    /**
     * This node's share of the limit as it stands. Regained shares add up over the nodes, so each regains slower the more they are.
     * Reports move it; a node that has heard none for a target delay regains as without, to where a burst may start.
     */
    private double currentShare(Route r, long now) {
        double fair = fairShare(r, now);
        boolean stale = r.limitReported && now - r.allowanceReportedAt > targetDelay;
        long since = r.limitReported ? Math.max(r.shareUpdatedAt, r.allowanceReportedAt + targetDelay) : r.shareUpdatedAt;
        double regained = r.share + Math.max(0, now - since) * Math.min(1, SMALL_FLEET_NODES / nodeCount) / (SHARE_RECOVERY_TIME * targetDelay);
        double grown = Math.min(regained, stale ? burstStartShare(r, fair) : 1);
        // As the reported allowance runs low all fall back to their fair share: each of many nodes sees few rejections. Where the
        // allowance is counted by spans, the end of a span looks scarce.
        return Math.min(grown, fair + (1 - fair) * headroom(r, now));
    }

    /** From 1 where allowance is left, or no report of late tells, to 0 where there is none. */
    private double headroom(Route r, long now) {
        if (!r.limitReported || now - r.allowanceReportedAt > ARRIVAL_WINDOW * targetDelay) {
            return 1;
        }
        return Math.max(0, Math.min(1, (r.allowance - SCARCE_ALLOWANCE) / (AMPLE_ALLOWANCE - SCARCE_ALLOWANCE)));
    }

    /** The rate at which this node may send to the route now. */
    double rate(Route r, long now) {
        // The floor is for a sparse node's only message, whose lowered share would outlast it. Not once the allowance runs low: the
        // floors of 100 nodes come to several small limits.
        double rate = Math.max(limit(r) * currentShare(r, now), headroom(r, now) < 1 ? 0 : MICROS_PER_SECOND / (MIN_RATE_INTERVAL * targetDelay));
        if (r.inSlowStart && r.slowStartRampAt != NEVER && now >= r.slowStartRampAt + slowStartDuration) {
            r.inSlowStart = false;
        }
        return r.inSlowStart ? Math.min(rate, slowStartRate(r, now)) : rate;
    }

    private double slowStartRate(Route r, long now) {
        double warm = r.slowStartRampAt == NEVER ? 0 : (double) (now - r.slowStartRampAt) / slowStartDuration;
        double bearable = limit(r) * (slowStartInitialShare + (1 - slowStartInitialShare) * warm);
        // Not more than the even share or the one that rejections have left: fair shares add up to the traffic, and a returning
        // receiver would get all of it.
        double most = sparseness(r) < 1 ? Math.max(1.0 / nodeCount, r.share) : MAX_SPARSE_SLOW_START_SHARE / nodeCount;
        return overloadFactor * bearable * Math.min(fairShare(r, now), most);
    }

    /** Fills the route's bucket; when it holds a token: now, or the instant at which it will. */
    long nextTokenAt(Route r, long now) {
        double rate = rate(r, now);
        double most = r.inSlowStart ? 1 : Math.max(1, rate * BURST_DURATION * targetDelay / MICROS_PER_SECOND);
        r.tokens = Math.min(most, r.tokens + rate * (now - r.tokensUpdatedAt) / MICROS_PER_SECOND);
        r.tokensUpdatedAt = now;
        return r.tokens >= WHOLE_TOKEN ? now : now + (long) Math.ceil((1 - r.tokens) / rate * MICROS_PER_SECOND);
    }

    /** An endpoint has reported its load, as the settings place the figures. */
    void onLoadReport(Endpoint e, double[] report, long now) {
        Route r = e.route;
        if (allowanceRateIndex >= 0 && allowanceRateIndex < report.length && report[allowanceRateIndex] > 0) {
            // A lowered limit is believed at once, by many nodes that see a report or two a second; a raised one slowly.
            double off = r.limitReported ? report[allowanceRateIndex] - r.limit : report[allowanceRateIndex];
            r.limit += off * (r.limitReported ? off < 0 ? LIMIT_FALL_WEIGHT : LIMIT_RISE_WEIGHT : 1);
            r.limitReported = true;
        }
        if (allowanceIndex >= 0 && allowanceIndex < report.length) {
            r.allowance = report[allowanceIndex];
            r.allowanceReportedAt = now;
            if (r.limitReported) {
                adjustShareToReport(r, !e.destination.queue.isEmpty() && !r.inSlowStart, now);
            }
        }
    }

    /**
     * The share follows the reported allowance: up while some is left and messages wait here, so that those with messages find what
     * the others leave within a target delay or two; without messages it is at most where a burst may start, as a clump comes to all
     * nodes at once. Late reports make shares swing.
     */
    private void adjustShareToReport(Route r, boolean waiting, long now) {
        double fair = fairShare(r, now);
        // A report speaks for no more than the time by which it may be old: of many nodes that each hear one in seconds, all moved by
        // whole powers at once, from far too much to next to nothing and back.
        double powers = ALLOWANCE_GAIN * (r.allowance - ALLOWANCE_SETPOINT) * Math.min(MAX_REPORT_AGE * targetDelay, now - r.shareUpdatedAt) / targetDelay;
        double most = waiting ? 1 : burstStartShare(r, fair);
        // Only rejections take it under the fair share: a limit counted by spans shows little left at each span's end.
        double least = Math.min(r.share, fair);
        // Reports older than the last rejection show all that it found used up.
        most = now - r.shareReducedAt < MAX_REPORT_AGE * targetDelay ? Math.min(most, r.share) : most;
        r.share = Math.max(least, Math.min(most, r.share * Math.exp(powers)));
        r.shareUpdatedAt = now;
    }

    /** Whether the endpoint that rejects just now reports allowance left: it met a moment's burst, or the report is late. */
    static boolean rejectedInBurst(Route r, long now) {
        return r.limitReported && r.allowanceReportedAt == now && r.allowance > SCARCE_ALLOWANCE;
    }

    /** The route has rejected a message: the share falls, in a burst down to the even one at most. draw: from 0 to 1. */
    void onRejection(Route r, double draw, long now) {
        boolean burst = rejectedInBurst(r, now);
        // Not under the even share: what arrived here adds up to many times the limit where all nodes have messages.
        double least = (burst ? 1 : MIN_EVEN_SHARE_FRACTION) / nodeCount;
        r.share = Math.max(least, Math.min(currentShare(r, now), BURST_SHARE_FACTOR * fairShare(r, now)) * REJECTION_DECREASE_FACTOR);
        r.shareUpdatedAt = r.shareReducedAt = now;
        // What was saved up is spent but for a part by chance: all nodes meet a limit at once, and with a whole token in hand would
        // come again in step. The next span of a count finds some without a token.
        r.tokens = burst ? r.tokens : Math.min(r.tokens, draw);
    }
}
