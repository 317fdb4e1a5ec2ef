package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A mail that the node took. */
public final class Mail {
    public final long id;
    public final Destination destination;
    public final OrderKey orderKey;
    public final int queueClass;
    public final int tenant;
    public final long arrivedAt;
    public final long deadline;
    public final List<DeliveryAttempt> attempts = new ArrayList<>(2);
    public long softDeadline;
    public boolean overQuota;
    public long notBefore;
    public long sequence;
    public int inFlight;
    public boolean finished;
    /** Taken on by an earlier process: it is owed a try, whatever comes beside it. */
    public boolean recovered;

    public Mail(long id, Destination to, OrderKey key, int queueClass, int tenant, long arrived, long endsBy) {
        this.id = id;
        this.destination = to;
        this.orderKey = key;
        this.queueClass = queueClass;
        this.tenant = tenant;
        this.arrivedAt = arrived;
        this.deadline = endsBy;
    }
}
