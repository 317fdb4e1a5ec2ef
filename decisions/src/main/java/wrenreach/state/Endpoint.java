package wrenreach.state;

import java.util.ArrayDeque;
import java.util.Deque;

/** One address of a destination. */
public final class Endpoint {
    public final long address;
    public final Destination to;
    public final int kind;
    public final int zone;
    public Route route;
    public boolean ready;
    /** Whether its destination has it: a list names it. */
    public boolean listed;
    /** From 0 to under 1: which of a destination's endpoints this node prefers at equal costs. */
    public double order;
    public int out;
    public Call joining;
    public int failedRun;
    public long failedAt;
    public long relayedAt;
    public int cap = Integer.MAX_VALUE;
    public long capAt;
    public long usedAt = Long.MIN_VALUE / 2;
    public long gap;
    /** When each idle connection was last used, latest last. */
    public final Deque<Long> idle = new ArrayDeque<>(4);

    public Endpoint(long address, Destination to, int kind, int zone) {
        this.address = address;
        this.to = to;
        this.kind = kind;
        this.zone = zone;
    }
}
