package wrenreach.state;

/** One try at delivering a mail. */
public final class DeliveryAttempt {
    public final Mail mail;
    public final Endpoint endpoint;
    public final int number;
    public final long sentAt;
    public final long timeoutAt;
    public final Call call;
    /** Not to be written after this instant: what an earlier connect may have done would not be known again. */
    public long sendDeadline = Long.MAX_VALUE;
    public boolean trial;
    public boolean open = true;
    public boolean neverRan;
    /** Whether it went out on a connection that had served others before. */
    public boolean reusedConnection;

    public DeliveryAttempt(Mail mail, Endpoint endpoint, long sentAt, long cutAt, Call call) {
        this.mail = mail;
        this.endpoint = endpoint;
        this.number = mail.attempts.size();
        this.sentAt = sentAt;
        this.timeoutAt = cutAt;
        this.call = call;
    }
}
