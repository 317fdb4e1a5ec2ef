package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A receiver, the endpoints that reach it and the mails that wait for it. */
public final class Destination {
    public final int number;
    public final List<Endpoint> endpoints = new ArrayList<>(4);
    public final List<Route> routes = new ArrayList<>(4);
    public final List<Mail> line = new ArrayList<>();
    public int out;
    public boolean known;
    public boolean busy;

    public Destination(int number) {
        this.number = number;
    }

    /** Whether mails, calls or a wait hang on what stands here: it can't be forgotten. */
    public boolean owes(long now) {
        return busy || out > 0 || !line.isEmpty() || routes.stream().anyMatch(r -> r.heldUntil > now || !r.calls.isEmpty());
    }

    /** Whether something that its receivers did still bears on what is decided: it is not as new. */
    public boolean remembers(long now) {
        return owes(now) || routes.stream().anyMatch(r -> r.cold || r.breaker.phase != Breaker.Phase.CLOSED
                || r.breaker.failedRun > 0);
    }
}
