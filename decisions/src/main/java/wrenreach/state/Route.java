package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** What shares one limit, pace and health: a destination, or one endpoint where routes are apart. */
public final class Route {
    public final String name;
    public final int kind;
    public final CircuitBreakerState breaker = new CircuitBreakerState();
    public final List<Call> calls = new ArrayList<>();
    public final SlidingWindowCounter arrivals;
    public final SlidingWindowCounter relayed;
    public final SlidingWindowCounter failed;
    public final SlidingWindowCounter timedOut;
    public final SlidingWindowCounter rejected;
    public final SlidingWindowCounter sent;
    public long knownSince;
    /** All that came for it. */
    public long totalArrivals;
    public double weight;
    public double limit;
    public boolean limitReported;
    public double allowance = 1;
    public long allowanceReportedAt;
    public double share = 1;
    public long shareUpdatedAt;
    public long shareReducedAt;
    public double tokens = 1;
    public long tokensUpdatedAt;
    public long backoffUntil;
    /** Until when the receiver told to wait; the rest of heldUntil is this node's own caution. */
    public long retryAfterUntil;
    public int consecutiveBackoffs;
    public double typicalLatency;
    public double recentLatency;
    public int latencySamples;
    public long lastUsedAt;
    public long lastRelayedAt;
    public long unreachableSince;
    public long downSince;
    public boolean inSlowStart;
    public long slowStartRampAt;
    public int endpointCount;

    public Route(String name, int kind, int buckets, long width, long cameWidth) {
        this.name = name;
        this.kind = kind;
        arrivals = new SlidingWindowCounter(buckets, cameWidth);
        relayed = new SlidingWindowCounter(buckets, width);
        failed = new SlidingWindowCounter(buckets, width);
        timedOut = new SlidingWindowCounter(buckets, width);
        rejected = new SlidingWindowCounter(buckets, width);
        sent = new SlidingWindowCounter(buckets, width);
    }
}
