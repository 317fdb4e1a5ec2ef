package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** What shares one limit, pace and health: a destination, or one endpoint where routes are apart. */
public final class Route {
    public final String name;
    public final int kind;
    public final Breaker breaker = new Breaker();
    public final List<Call> calls = new ArrayList<>();
    public final BucketRing came;
    public final BucketRing relayed;
    public final BucketRing failed;
    public final BucketRing timedOut;
    public final BucketRing deferred;
    public final BucketRing sent;
    public long knownFrom;
    /** All that came for it. */
    public long mails;
    public double weight;
    public double limit;
    public boolean limitSeen;
    public double left = 1;
    public long leftAt;
    public double share = 1;
    public long shareAt;
    public long fellAt;
    public double tokens = 1;
    public long tokensAt;
    public long heldUntil;
    /** Until when the receiver told to wait; the rest of heldUntil is this node's own caution. */
    public long toldUntil;
    public int deferredRun;
    public double usual;
    public double recent;
    public int learnt;
    public long usedAt;
    public long relayedAt;
    public long unreachedAt;
    public long downSince;
    public boolean cold;
    public long warmsFrom;
    public int endpoints;

    public Route(String name, int kind, int buckets, long width, long cameWidth) {
        this.name = name;
        this.kind = kind;
        came = new BucketRing(buckets, cameWidth);
        relayed = new BucketRing(buckets, width);
        failed = new BucketRing(buckets, width);
        timedOut = new BucketRing(buckets, width);
        deferred = new BucketRing(buckets, width);
        sent = new BucketRing(buckets, width);
    }
}
