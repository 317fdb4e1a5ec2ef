package wrenreach.state;

import java.util.ArrayDeque;
import java.util.Deque;

/** One endpoint of a destination. Times are in microseconds. */
public final class Endpoint {
    /** The zone of endpoints whose zone is not known; no two of them are known to be in the same zone. */
    public static final int UNKNOWN_ZONE = -1;

    /** A number by which the host identifies it; not a network address. */
    public final long address;
    public final Destination destination;
    /** Index of its kind in the settings; the number of kinds if they do not contain it. */
    public final int kind;
    /** Index of its zone in the settings; negative if they do not contain it. */
    public final int zone;
    /** Null until the endpoint is first listed. */
    public Route route;
    /** Whether the list says that it may be sent mails. */
    public boolean ready;
    /** Whether the endpoint list contains it; then it is among the endpoints of its destination. */
    public boolean listed;
    /** From 0 to under 1: of endpoints with equal costs, this node prefers the one with the lowest value. */
    public double preference;
    /** Number of calls in flight. */
    public int inFlight;
    /** The last call, which further mails may join in the same iteration; null before the first. */
    public Call joinableCall;
    /** Failed calls since the last relayed mail. */
    public int consecutiveFailures;
    public long lastFailedAt;
    public long lastRelayedAt;
    /** Maximum number of calls in flight, learned from failed TCP connects. */
    public int concurrencyLimit = Integer.MAX_VALUE;
    /** When the limit was learned; it is dropped after the duration of slow start. */
    public long concurrencyLimitSetAt;
    /** When the last call was sent. */
    public long lastUsedAt = Long.MIN_VALUE / 2;
    /** Time between the last two calls. */
    public long callInterval;
    /** When each idle connection was last used; the most recently used one is last. */
    public final Deque<Long> idleConnections = new ArrayDeque<>(4);

    public Endpoint(long address, Destination destination, int kind, int zone) {
        this.address = address;
        this.destination = destination;
        this.kind = kind;
        this.zone = zone;
    }
}
