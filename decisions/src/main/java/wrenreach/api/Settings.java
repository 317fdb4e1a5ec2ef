package wrenreach.api;

import java.util.List;

/** What one delivery node is told at its start; times in microseconds, rates per second. */
public record Settings(
        int nodeIndex, int nodeCount, int zone, long tick, long seed,
        int heldLimit, int inFlightLimit, int attemptLimit, int streamsPerConnection,
        boolean parallelAttemptsAllowed, boolean cancellationAllowed, boolean retryAfterEnabled, long retryAfterLimit,
        long connectionIdleTimeout, long tcpConnectTimeout,
        boolean listOnRequest, long listRequestWindow, boolean weightsProvided, boolean weightsApproximate,
        double overQuotaImportance,
        int allowanceIndex, int allowanceRateIndex,
        List<QueueClass> classes, List<DestinationKind> kinds, List<Tenant> tenants, Rules rules) {

    /** How often a mail may take effect. */
    public enum Effect { REDELIVERABLE, TAGGED, ONCE_ONLY }

    /** Where a tagged mail's repeat is noticed. */
    public enum DeduplicationScope { ALL, ZONE, ENDPOINT }

    /** A queue class of mail; late, its importance falls to lateShare, evenly or by half each target delay. */
    public record QueueClass(long targetDelay, long lifetime, double importance, double lateImportanceShare,
                             boolean exponentialDecay, Effect effect,
                             DeduplicationScope deduplicationScope, long deduplicationWindow, boolean ordered) { }

    /** A kind of destination. */
    public record DestinationKind(boolean routePerEndpoint, int batchSize) { }

    /** A customer whose traffic beyond its share matters little. */
    public record Tenant(double quotaPerSecond) { }

    /** Figures of the rules. */
    public record Rules(long answerSlack, long drainGrace, double slowStartInitialShare, long slowStartDuration,
                        double overloadFactor, long overloadWindow, long orderSettleTime) { }
}
