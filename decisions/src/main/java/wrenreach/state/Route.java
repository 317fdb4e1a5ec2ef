package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of what shares a rate limit and a circuit breaker: a destination, or one of its endpoints if its kind has a route per endpoint.
 * Times and latencies are in microseconds, rates in messages per second.
 */
public final class Route {
    /** For the log. */
    public final String name;
    /** Index of the kind of its endpoints in the settings; the number of kinds if they do not contain it. */
    public final int kind;
    public final CircuitBreakerState breaker = new CircuitBreakerState();
    /** Calls in flight. */
    public final List<Call> calls = new ArrayList<>();
    /** Mails admitted for the destination. */
    public final SlidingWindowCounter arrivals;
    /** Calls that delivered their mails. */
    public final SlidingWindowCounter relayed;
    /** Calls that failed, among them those that timed out. */
    public final SlidingWindowCounter failed;
    /** Calls that timed out or were cancelled. */
    public final SlidingWindowCounter timedOut;
    /** Calls that were rejected, except in short bursts. */
    public final SlidingWindowCounter rejected;
    /** Calls that were sent. */
    public final SlidingWindowCounter sent;
    /** When the route was created. */
    public long knownSince;
    /** Number of mails admitted for the destination since then. */
    public long totalArrivals;
    /** Rate limit according to the endpoint list; 0: not known. */
    public double weight;
    /** Rate limit for all nodes together according to load reports, smoothed; valid if {@link #limitReported}. */
    public double limit;
    public boolean limitReported;
    /** Unused part of the limit according to the last load report, from 0 to 1. */
    public double allowance = 1;
    public long allowanceReportedAt;
    /** This node's share of the limit, from 0 to 1, as of {@link #shareUpdatedAt}. */
    public double share = 1;
    public long shareUpdatedAt;
    /** When a rejection last reduced the share. */
    public long shareReducedAt;
    /** Content of the token bucket as of {@link #tokensUpdatedAt}; one token per call. Down to -1 where a call was made without a token. */
    public double tokens = 1;
    public long tokensUpdatedAt;
    /** Until when nothing is sent to it. */
    public long backoffUntil;
    /** Until when the receiver asked to wait; a longer {@link #backoffUntil} is this node's own backoff. */
    public long retryAfterUntil;
    /** Number of backoffs since the last relayed mail: the exponent of the next one. */
    public int consecutiveBackoffs;
    /** Slow EWMA of the duration of calls, which outlasts a slow period. */
    public double typicalLatency;
    /** Fast EWMA of the duration of calls, which notices a slow period. */
    public double recentLatency;
    /** Number of samples in the slow EWMA; the initial value counts as some. */
    public int latencySamples;
    /** When the last attempt was sent or a trial ended. */
    public long lastUsedAt;
    public long lastRelayedAt;
    /** When the first TCP connect failed after the last relayed mail; no later than {@link #lastRelayedAt} if none did. */
    public long unreachableSince;
    /** When the first call without success ended after the last relayed mail; no later than {@link #lastRelayedAt} if none did. */
    public long downSince;
    /** Whether its rate is limited because it was or seemed to be down. */
    public boolean inSlowStart;
    /** When the rate began to rise in slow start; Long.MAX_VALUE before the first relayed mail. */
    public long slowStartRampAt;
    /** Number of listed endpoints that use it. */
    public int endpointCount;

    /**
     * @param bucketWidth width of the buckets of the windows, in microseconds; that of the arrivals is {@code arrivalBucketWidth}
     */
    public Route(String name, int kind, int bucketCount, long bucketWidth, long arrivalBucketWidth) {
        this.name = name;
        this.kind = kind;
        arrivals = new SlidingWindowCounter(bucketCount, arrivalBucketWidth);
        relayed = new SlidingWindowCounter(bucketCount, bucketWidth);
        failed = new SlidingWindowCounter(bucketCount, bucketWidth);
        timedOut = new SlidingWindowCounter(bucketCount, bucketWidth);
        rejected = new SlidingWindowCounter(bucketCount, bucketWidth);
        sent = new SlidingWindowCounter(bucketCount, bucketWidth);
    }
}
