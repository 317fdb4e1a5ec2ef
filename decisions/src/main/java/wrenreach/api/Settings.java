package wrenreach.api;

import java.util.List;

/**
 * The settings that one delivery node gets at its start. Times are in microseconds, rates in messages per second.
 *
 * @param nodeIndex the index of this node in its fleet, from 0
 * @param nodeCount the number of nodes of the fleet, at least 1
 * @param zone the zone of this node, as an index; compared with {@link wrenreach.state.Endpoint#zone}
 * @param tick how late a process may run a scheduled task
 * @param seed seed of the random numbers of this node
 * @param heldLimit maximum number of mails that the node holds in memory
 * @param inFlightLimit maximum number of calls in flight at a time
 * @param attemptLimit maximum number of attempts of a mail
 * @param streamsPerConnection number of calls that one connection carries at once, at least 1
 * @param parallelAttemptsAllowed whether a mail may have several attempts in flight
 * @param cancellationAllowed whether attempts in flight may be cancelled
 * @param retryAfterEnabled whether clients are told how long to wait before they submit a deferred mail again
 * @param retryAfterLimit the longest such wait
 * @param connectionIdleTimeout how long an idle connection stays usable
 * @param tcpConnectTimeout timeout of a TCP connect; 0: the default of the node
 * @param listOnRequest whether the dispatcher has to subscribe to the endpoint list
 * @param listRequestWindow where the list is requested and not subscribed to: a node that has not requested it for this long is deemed to know the list as it
 *     then was; after a failure the node requests it again sooner
 * @param weightsProvided whether the weights in the endpoint list are rate limits
 * @param weightsApproximate whether the listed weights may be up to half too high or too low
 * @param overQuotaImportance factor of the importance of mails beyond their tenant's quota
 * @param allowanceIndex index of the remaining allowance, from 0 to 1, in load reports; -1 if they do not contain it
 * @param allowanceRateIndex index of the rate limit of the route in load reports; -1 if they do not contain it
 */
public record Settings(
        int nodeIndex, int nodeCount, int zone, long tick, long seed,
        int heldLimit, int inFlightLimit, int attemptLimit, int streamsPerConnection,
        boolean parallelAttemptsAllowed, boolean cancellationAllowed, boolean retryAfterEnabled, long retryAfterLimit,
        long connectionIdleTimeout, long tcpConnectTimeout,
        boolean listOnRequest, long listRequestWindow, boolean weightsProvided, boolean weightsApproximate,
        double overQuotaImportance,
        int allowanceIndex, int allowanceRateIndex,
        List<QueueClass> classes, List<DestinationKind> kinds, List<Tenant> tenants, Rules rules) {

    /**
     * Whether a mail may be sent again after an attempt that may have taken effect: always; only while receivers recognize the repeat by its
     * tag; or never.
     */
    public enum Effect { REDELIVERABLE, TAGGED, ONCE_ONLY }

    /** Which endpoints recognize a repeat of a tagged mail: all, those in the zone of the first attempt, or only the same endpoint. */
    public enum DeduplicationScope { ALL, ZONE, ENDPOINT }

    /**
     * A queue class of mails.
     *
     * @param targetDelay the time within which a mail should be delivered, in microseconds; after it the importance decreases
     * @param lifetime the time after which a mail ends undelivered, in microseconds
     * @param importance relative importance of a mail that is on time
     * @param lateImportanceShare the fraction of the importance down to which that of a late mail decreases
     * @param exponentialDecay whether the importance of a late mail halves with each target delay; otherwise it decreases linearly
     * @param deduplicationWindow how long receivers recognize a repeat of a tagged mail, in microseconds
     * @param ordered whether mails of an order key are delivered in order, one at a time
     */
    public record QueueClass(long targetDelay, long lifetime, double importance, double lateImportanceShare,
                             boolean exponentialDecay, Effect effect,
                             DeduplicationScope deduplicationScope, long deduplicationWindow, boolean ordered) { }

    /**
     * A kind of destination.
     *
     * @param routePerEndpoint whether each endpoint has a route of its own; otherwise all endpoints of a destination share one
     * @param batchSize maximum number of mails in one call
     */
    public record DestinationKind(boolean routePerEndpoint, int batchSize) { }

    /** A tenant; mails beyond its quota, in messages per second over all nodes, get a lower importance. */
    public record Tenant(double quotaPerSecond) { }

    /**
     * Parameters of the delivery rules; times in microseconds.
     *
     * @param answerSlack the time past a client's deadline in which a final answer still counts; not read by the node's decisions
     * @param drainGrace the time within which sends to a draining or removed endpoint must have stopped once the node has received that change
     * @param slowStartInitialShare the fraction of its normal rate that a returning receiver takes at first
     * @param slowStartDuration the time in which that grows to the normal rate
     * @param overloadFactor the multiple of that rate which a returning receiver bears for a short time
     * @param overloadWindow the length of that short time
     * @param orderSettleTime how long an order key waits after an attempt with an unknown outcome
     */
    public record Rules(long answerSlack, long drainGrace, double slowStartInitialShare, long slowStartDuration,
                        double overloadFactor, long overloadWindow, long orderSettleTime) { }
}
