package wrenreach.state;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The objects that ids at the door stand for; I is the kind of id of endpoints and order keys. */
public final class Directory<I> {
    private static final int MIN_SWEEP_SIZE = 64;

    private final Map<Integer, Destination> destinations = new HashMap<>();
    private final Map<I, Endpoint> endpoints = new HashMap<>();
    private final Map<I, OrderKey> orderKeys = new HashMap<>();
    private int keySweepSize = MIN_SWEEP_SIZE;
    private int endpointSweepSize = MIN_SWEEP_SIZE;

    public Destination destination(int number) {
        return destinations.computeIfAbsent(number, Destination::new);
    }

    /** Whether a destination of this number has been named by a list. */
    public boolean listed(int number) {
        Destination d = destinations.get(number);
        return d != null && d.listed;
    }

    /** The number stands for a new destination from now on; whoever knows this one can tell that it is of no use. */
    public void removeDestination(Destination destination) {
        destinations.remove(destination.number, destination);
        destination.listed = false;
    }

    /** The endpoint of this id, or null. */
    public Endpoint endpoint(I id) {
        return endpoints.get(id);
    }

    public Endpoint endpoint(I id, Supplier<Endpoint> first) {
        return endpoints.computeIfAbsent(id, i -> first.get());
    }

    /** The id stands for another endpoint from now on. */
    public void removeEndpoint(I id) {
        endpoints.remove(id);
    }

    public OrderKey orderKey(I id) {
        return orderKeys.computeIfAbsent(id, i -> new OrderKey());
    }

    /**
     * Drops keys that nothing waits for, and endpoints that no list names, once their number has doubled. An endpoint
     * that was gone for a short time only comes back as it was.
     */
    public void sweep(long now) {
        if (orderKeys.size() >= keySweepSize) {
            orderKeys.values().removeIf(key -> key.mails.isEmpty() && key.blockedUntil <= now);
            keySweepSize = 2 * orderKeys.size() + MIN_SWEEP_SIZE;
        }
        if (endpoints.size() >= endpointSweepSize) {
            endpoints.values().removeIf(e -> !e.listed && e.inFlight == 0);
            endpointSweepSize = 2 * endpoints.size() + MIN_SWEEP_SIZE;
        }
    }
}
