package wrenreach.api;

import java.util.List;

/** What one delivery node is told at its start; times in microseconds, rates per second. */
public record Settings(
        int me, int nodes, int zone, long tick, long seed,
        int heldLimit, int outLimit, int connectLimit, int connectionStreams,
        boolean copiesAllowed, boolean revokeAllowed, boolean retryAfterTold, long retryAfterLimit,
        long connectionIdle, long connectionTimeout,
        boolean listOnRequest, long listAskWithin, boolean weightsGiven, boolean weightsRough,
        double overShareImportance,
        int allowanceLeftAt, int allowanceRateAt,
        List<QueueClass> classes, List<Kind> kinds, List<Tenant> tenants, Rules rules) {

    /** How often a mail may take effect. */
    public enum Effect { REDELIVERABLE, TAGGED, ONCE_ONLY }

    /** Where a tagged mail's repeat is noticed. */
    public enum RepeatGroup { ALL, ZONE, ENDPOINT }

    /** A queue class of mail; late, its importance falls to lateShare, evenly or by half each target delay. */
    public record QueueClass(long targetDelay, long lifetime, double importance, double lateShare,
                             boolean byHalf, Effect effect,
                             RepeatGroup repeatGroup, long repeatWindow, boolean inOrder) { }

    /** A kind of destination. */
    public record Kind(boolean routesApart, int batch) { }

    /** A customer whose traffic beyond its share matters little. */
    public record Tenant(double quotaPerSecond) { }

    /** Figures of the rules. */
    public record Rules(long answerSlack, long drainGrace, double coldFrom, long cold,
                        double overloadFactor, long tipAfter, long orderSettle) { }
}
