package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A mail that the node accepted. Times are in microseconds. */
public final class Mail {
    /** Identifies it for random draws and to the host. */
    public final long id;
    public final Destination destination;
    /** The key whose mails are delivered in order, or null. */
    public final OrderKey orderKey;
    /** Index of its queue class in the settings. */
    public final int queueClass;
    /** Index of its tenant in the settings; out of their range if it has none. */
    public final int tenant;
    public final long arrivedAt;
    /** When its lifetime ends. */
    public final long deadline;
    /** All attempts so far, except those that the machine of the node could not make. */
    public final List<DeliveryAttempt> attempts = new ArrayList<>(2);
    /** Until when it counts as on time: its arrival plus the target delay, or its deadline if little time was left at admission. */
    public long softDeadline;
    /** Whether it exceeds the quota of its tenant. */
    public boolean overQuota;
    /** Earliest time of its next attempt. */
    public long notBefore;
    /** Its number in the order of admission. */
    public long sequence;
    /** Number of attempts in flight. */
    public int inFlight;
    /** Whether the dispatcher is done with it: delivered, ended or withdrawn. Attempts may still be in flight. */
    public boolean finished;
    /** Whether an earlier process accepted it. It is then due an attempt, whatever else arrives. */
    public boolean recovered;

    public Mail(long id, Destination destination, OrderKey orderKey, int queueClass, int tenant, long arrivedAt, long deadline) {
        this.id = id;
        this.destination = destination;
        this.orderKey = orderKey;
        this.queueClass = queueClass;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
    }
}
