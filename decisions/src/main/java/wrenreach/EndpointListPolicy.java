package wrenreach;

import wrenreach.api.Settings;

/**
 * Decides when the endpoint list has to be subscribed to and whether mails may be sent by it. A process starts with the list that an earlier one had: since
 * then endpoints may have drained, and their addresses may have passed to endpoints of other destinations. So it counts as outdated until discovery has
 * confirmed it.
 *
 * <p>Times are in microseconds. Owned by the decisions of one node, not thread-safe.
 */
final class EndpointListPolicy {
    /** Part of the time in which the list has to be requested, as the interval of retries. */
    private static final int RETRY_DIVISOR = 8;
    /**
     * How long the list is waited for, in longest lifetimes: all mails of the earlier process have ended by then, and a node without discovery serves by what
     * it knows.
     */
    private static final int MAX_WAIT_LIFETIMES = 1;

    /**
     * Drain graces after which the address of an endpoint may belong to another destination: it drains, ends, and another one takes its place. An earlier
     * process that was at work more recently has hardly missed that.
     */
    private static final int REPLACEMENT_DRAIN_GRACES = 4;

    private final boolean onRequest;
    private final long replacementTime;
    private final long retryInterval;
    private final long maxWait;
    private boolean subscribed;
    private long subscribeAt = Long.MIN_VALUE;
    /** Until then the list counts as outdated, unless it is confirmed. */
    private long outdatedUntil = Long.MIN_VALUE;
    private boolean recent;

    /** maxLifetime: the longest of all queue classes. */
    EndpointListPolicy(Settings settings, long maxLifetime) {
        onRequest = settings.listOnRequest();
        retryInterval = settings.listRequestWindow() / RETRY_DIVISOR;
        replacementTime = REPLACEMENT_DRAIN_GRACES * settings.rules().drainGrace();
        maxWait = MAX_WAIT_LIFETIMES * maxLifetime;
    }

    /** Whether updates have to be subscribed to and are not. */
    boolean needsSubscription() {
        return onRequest && !subscribed;
    }

    /** Whether to subscribe now; if so, it counts as done. */
    boolean subscribe(long now) {
        boolean due = needsSubscription() && now >= subscribeAt;
        subscribed |= due;
        return due;
    }

    /** A subscription or request failed: the next try comes after one to two intervals. randomFraction: from 0 to 1. */
    void failed(double randomFraction, long now) {
        subscribed = false;
        subscribeAt = now + retryInterval + (long) (retryInterval * randomFraction);
    }

    /** The least time between two tries. */
    long retryInterval() {
        return retryInterval;
    }

    /** The known list is of an earlier process, which was at work until so long ago. */
    void unconfirmed(long age, long now) {
        outdatedUntil = now + maxWait;
        recent = age >= 0 && age < replacementTime;
    }

    /** Discovery has confirmed the known list or sent another one. */
    void confirmed() {
        outdatedUntil = Long.MIN_VALUE;
    }

    /**
     * Whether a mail may be sent by the list.
     *
     * @param lastChance whether the mail would end without an attempt that may have run otherwise
     */
    boolean mayBeUsed(boolean lastChance, long now) {
        return now >= outdatedUntil || recent && lastChance;
    }
}
