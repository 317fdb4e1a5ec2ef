package wrenreach.state;

import java.util.ArrayDeque;
import java.util.Deque;

/** One address of a destination. */
public final class Endpoint {
    public final long address;
    public final Destination destination;
    public final int kind;
    public final int zone;
    public Route route;
    public boolean ready;
    /** Whether its destination has it: a list names it. */
    public boolean listed;
    /** From 0 to under 1: which of a destination's endpoints this node prefers at equal costs. */
    public double preference;
    public int inFlight;
    public Call joinableCall;
    public int consecutiveFailures;
    public long lastFailedAt;
    public long lastRelayedAt;
    public int concurrencyLimit = Integer.MAX_VALUE;
    public long concurrencyLimitSetAt;
    public long lastUsedAt = Long.MIN_VALUE / 2;
    public long callInterval;
    /** When each idle connection was last used, latest last. */
    public final Deque<Long> idleConnections = new ArrayDeque<>(4);

    public Endpoint(long address, Destination to, int kind, int zone) {
        this.address = address;
        this.destination = to;
        this.kind = kind;
        this.zone = zone;
    }
}
