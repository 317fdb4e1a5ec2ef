package wrenreach;

import java.util.LinkedHashMap;
import java.util.Map;
import wrenreach.state.ConnectionHistory;
import wrenreach.state.ResponseFingerprint;
import wrenreach.state.ResponseVariety;

/**
 * Decides which connections may carry another call, and whether a response counts for the call in flight on its connection. HTTP/1.1 ties
 * responses to requests by position alone, and a connection carries one call at a time, so a response that belongs to no call is a copy of
 * an earlier one of its connection. On a connection that carried other calls, a response therefore counts only if it differs from all
 * before it. Connections are used again only at endpoints whose responses differ, and not for some time after a stray response. Times are
 * in microseconds. Addresses identify what listens there, so that what is known of it outlasts changes of the endpoint list.
 */
public final class ConnectionReusePolicy {
    /** Responses after which a connection is not used again: bounds what is remembered of each connection. */
    private static final int MAX_RESPONSES_PER_CONNECTION = 128;
    /** Longest lifetimes of a mail for which an address gets a connection for each call after a stray response. */
    private static final int DISTRUST_LIFETIMES = 20;
    /** Addresses whose stray responses are remembered; beyond them every address gets a connection for each call. */
    private static final int MAX_DISTRUSTED = 1024;

    private final long distrustPeriod;
    private final Map<Object, Long> distrustedUntil = new LinkedHashMap<>();
    private long allDistrustedUntil = Long.MIN_VALUE;

    /** maxLifetime: the longest lifetime of a mail. */
    public ConnectionReusePolicy(long maxLifetime) {
        distrustPeriod = DISTRUST_LIFETIMES * maxLifetime;
    }

    /** Whether the connection to this address may carry another call. */
    public boolean mayReuse(Object address, ResponseVariety endpoint, ConnectionHistory connection, long now) {
        return connection.size() == 0
                || endpoint.distinct() && connection.size() < MAX_RESPONSES_PER_CONNECTION && !isDistrusted(address, now);
    }

    /** Whether a whole response is certain to answer the call in flight on this connection. */
    public boolean counts(ConnectionHistory connection, ResponseFingerprint response) {
        return connection.size() == 0 || !response.merged() && !connection.contains(response);
    }

    /** Whether the status line alone, of a response that is not whole, is certain to answer the call in flight on this connection. */
    public boolean statusLineCounts(ConnectionHistory connection) {
        return connection.size() == 0;
    }

    /** A response counted for its call. */
    public void responseCounted(ResponseVariety endpoint, ConnectionHistory connection, ResponseFingerprint response) {
        connection.add(response);
        if (response.delivered()) {
            endpoint.add(response);
        }
    }

    /**
     * Whether a response that does not count proves that its receiver sends stray responses. Refusals don't: equal ones may answer two calls,
     * since nothing in them is made anew for each.
     */
    public boolean provesStray(ResponseFingerprint response) {
        return response.merged() || response.delivered();
    }

    /** A response came from this address that is known to belong to no call. */
    public void strayResponse(Object address, long now) {
        distrustedUntil.values().removeIf(until -> until <= now);
        if (distrustedUntil.size() < MAX_DISTRUSTED || distrustedUntil.containsKey(address)) {
            distrustedUntil.put(address, now + distrustPeriod);
        } else {
            allDistrustedUntil = now + distrustPeriod;
        }
    }

    /** How many addresses are remembered for their stray responses. */
    int distrustedAddresses() {
        return distrustedUntil.size();
    }

    private boolean isDistrusted(Object address, long now) {
        return allDistrustedUntil > now || distrustedUntil.getOrDefault(address, Long.MIN_VALUE) > now;
    }

    /** How long an address gets a connection for each call after a stray response. */
    public long distrustPeriod() {
        return distrustPeriod;
    }
}
