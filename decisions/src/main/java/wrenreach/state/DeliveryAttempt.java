package wrenreach.state;

/** One attempt to deliver a mail to an endpoint. Times are in microseconds. */
public final class DeliveryAttempt {
    public final Mail mail;
    public final Endpoint endpoint;
    /** Its number among the attempts of the mail, from 0. */
    public final int number;
    public final long sentAt;
    /** When the host stops waiting for the response. */
    public final long timeoutAt;
    public final Call call;
    /** It must not be written after this time: receivers might no longer recognize it as a repeat of an earlier attempt. */
    public long sendDeadline = Long.MAX_VALUE;
    /** Whether it is or was a trial of the route's circuit breaker. */
    public boolean trial;
    /** Whether it has not ended. */
    public boolean open = true;
    /** Whether its outcome proved that it had no effect at the receiver; false while it is open. */
    public boolean neverRan;
    /** Whether it was sent over a connection that had carried other calls before. */
    public boolean reusedConnection;
    /** The host's number of the connection that carries it, for the log; 0: none yet. */
    public int connectionNumber;

    public DeliveryAttempt(Mail mail, Endpoint endpoint, long sentAt, long timeoutAt, Call call) {
        this.mail = mail;
        this.endpoint = endpoint;
        this.number = mail.attempts.size();
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
        this.call = call;
    }
}
