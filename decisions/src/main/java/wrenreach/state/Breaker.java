package wrenreach.state;

/** What a breaker remembers. */
public final class Breaker {
    /** Closed lets mails pass, open parks them, half-open lets single trials pass. */
    public enum Phase { CLOSED, OPEN, HALF_OPEN }

    public Phase phase = Phase.CLOSED;
    public int failedRun;
    public int trialRun;
    public long openedAt;
    public long restsUntil;
    public long closedAt;
    public Connect trial;
}
