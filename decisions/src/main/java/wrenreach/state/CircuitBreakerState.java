package wrenreach.state;

/** The state of the circuit breaker of one route. Times are in microseconds. The rules are those of wrenreach.CircuitBreaker. */
public final class CircuitBreakerState {
    /** CLOSED: mails are sent; OPEN: they stay in the queue; HALF_OPEN: one trial is sent at a time. */
    public enum Phase { CLOSED, OPEN, HALF_OPEN }

    public Phase phase = Phase.CLOSED;
    /** Failed calls since the last relayed mail, counted while the breaker is closed. */
    public int consecutiveFailures;
    /** Trials relayed since the breaker opened. */
    public int successfulTrials;
    /** When it last opened. */
    public long openedAt;
    /** End of the cool-down, after which a trial may be sent. */
    public long openUntil;
    /** When it last closed. Failures of attempts sent before that do not count. */
    public long closedAt;
    /** The trial in flight, or null. */
    public DeliveryAttempt trial;
}
