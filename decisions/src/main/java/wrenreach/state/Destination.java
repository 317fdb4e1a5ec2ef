package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A receiver, the endpoints that reach it and the mails that wait for it. */
public final class Destination {
    public final int number;
    public final List<Endpoint> endpoints = new ArrayList<>(4);
    public final List<Route> routes = new ArrayList<>(4);
    public final List<Mail> queue = new ArrayList<>();
    public int inFlight;
    public boolean listed;
    public boolean busy;

    public Destination(int number) {
        this.number = number;
    }

    /** Whether mails, calls or a wait hang on what stands here: it can't be forgotten. */
    public boolean hasPendingWork(long now) {
        return busy || inFlight > 0 || !queue.isEmpty() || routes.stream().anyMatch(r -> r.backoffUntil > now || !r.calls.isEmpty());
    }

    /** Whether something that its receivers did still bears on what is decided: it is not as new. */
    public boolean hasLearnedState(long now) {
        return hasPendingWork(now) || routes.stream().anyMatch(r -> r.inSlowStart || r.breaker.phase != CircuitBreakerState.Phase.CLOSED
                || r.breaker.consecutiveFailures > 0);
    }
}
