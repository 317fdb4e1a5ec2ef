package wrenreach.state;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The objects that ids at the door stand for; I is the kind of id of endpoints and order keys. */
public final class Directory<I> {
    private static final int FIRST_SWEEP = 64;

    private final Map<Integer, Destination> destinations = new HashMap<>();
    private final Map<I, Endpoint> endpoints = new HashMap<>();
    private final Map<I, OrderKey> keys = new HashMap<>();
    private int sweepAt = FIRST_SWEEP;
    private int sweepEndpointsAt = FIRST_SWEEP;

    public Destination destination(int number) {
        return destinations.computeIfAbsent(number, Destination::new);
    }

    /** Whether a destination of this number has been named by a list. */
    public boolean listed(int number) {
        Destination d = destinations.get(number);
        return d != null && d.known;
    }

    /** The number stands for a new destination from now on; whoever knows this one can tell that it is of no use. */
    public void forget(Destination destination) {
        destinations.remove(destination.number, destination);
        destination.known = false;
    }

    /** The endpoint of this id, or null. */
    public Endpoint endpoint(I id) {
        return endpoints.get(id);
    }

    public Endpoint endpoint(I id, Supplier<Endpoint> first) {
        return endpoints.computeIfAbsent(id, i -> first.get());
    }

    /** The id stands for another endpoint from now on. */
    public void drop(I id) {
        endpoints.remove(id);
    }

    public OrderKey key(I id) {
        return keys.computeIfAbsent(id, i -> new OrderKey());
    }

    /**
     * Drops keys that nothing waits for, and endpoints that no list names, once their number has doubled. An endpoint
     * that was gone for a short time only comes back as it was.
     */
    public void sweep(long now) {
        if (keys.size() >= sweepAt) {
            keys.values().removeIf(key -> key.mails.isEmpty() && key.restsUntil <= now);
            sweepAt = 2 * keys.size() + FIRST_SWEEP;
        }
        if (endpoints.size() >= sweepEndpointsAt) {
            endpoints.values().removeIf(e -> !e.listed && e.out == 0);
            sweepEndpointsAt = 2 * endpoints.size() + FIRST_SWEEP;
        }
    }
}
