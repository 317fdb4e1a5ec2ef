package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** Connects that travel together: one slot, one fate. */
public final class Call {
    public final long sentAt;
    public final List<DeliveryAttempt> attempts = new ArrayList<>(1);
    public int size;
    public int openAttempts;
    public boolean outcomeCounted;
    public boolean cancelled;

    public Call(long sentAt) {
        this.sentAt = sentAt;
    }
}
