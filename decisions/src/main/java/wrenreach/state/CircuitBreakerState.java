package wrenreach.state;

/** What a breaker remembers. */
public final class CircuitBreakerState {
    /** Closed lets mails pass, open parks them, half-open lets single trials pass. */
    public enum Phase { CLOSED, OPEN, HALF_OPEN }

    public Phase phase = Phase.CLOSED;
    public int consecutiveFailures;
    public int successfulTrials;
    public long openedAt;
    public long openUntil;
    public long closedAt;
    public DeliveryAttempt trial;
}
