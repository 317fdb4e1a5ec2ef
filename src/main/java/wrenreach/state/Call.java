package wrenreach.state;

/** Connects that travel together: one slot, one fate. */
public final class Call {
    public final long sentAt;
    public int size;
    public int open;
    public boolean counted;

    public Call(long sentAt) {
        this.sentAt = sentAt;
    }
}
