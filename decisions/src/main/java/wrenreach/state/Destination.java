package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A destination of mails, with its endpoints and the queue of mails that wait for it. */
public final class Destination {
    public final int number;
    /** Those that the endpoint list contains. */
    public final List<Endpoint> endpoints = new ArrayList<>(4);
    public final List<Route> routes = new ArrayList<>(4);
    /** Mails that wait for an attempt, in the order of their admission. */
    public final List<Mail> queue = new ArrayList<>();
    /** Number of calls in flight. */
    public int inFlight;
    /** Whether the endpoint list has named it and the dispatcher knows it. */
    public boolean listed;
    /** Whether the dispatcher visits it in each iteration. */
    public boolean busy;

    public Destination(int number) {
        this.number = number;
    }

    /** Whether it has mails, calls in flight or a backoff that is not over, so that its state must be kept. */
    public boolean hasPendingWork(long now) {
        return busy || inFlight > 0 || !queue.isEmpty() || routes.stream().anyMatch(route -> route.backoffUntil > now || !route.calls.isEmpty());
    }

    /** Whether it has pending work, or past outcomes still affect decisions, so that it differs from a new destination. */
    public boolean hasLearnedState(long now) {
        return hasPendingWork(now) || routes.stream().anyMatch(route -> route.inSlowStart || route.breaker.phase != CircuitBreakerState.Phase.CLOSED
                || route.breaker.consecutiveFailures > 0);
    }
}
