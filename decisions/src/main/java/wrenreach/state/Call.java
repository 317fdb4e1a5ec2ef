package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A request to an endpoint that carries one or more attempts. It uses one slot, and the route counts one outcome for it. */
public final class Call {
    /** When it was sent, in microseconds. */
    public final long sentAt;
    public final List<DeliveryAttempt> attempts = new ArrayList<>(1);
    /** Number of attempts that joined it. */
    public int size;
    /** Number of its attempts that have not ended. */
    public int openAttempts;
    /** Whether the outcome of one of its attempts was already counted for the route. */
    public boolean outcomeCounted;
    /** Whether the cancellation of its attempts was requested. */
    public boolean cancelled;

    public Call(long sentAt) {
        this.sentAt = sentAt;
    }
}
