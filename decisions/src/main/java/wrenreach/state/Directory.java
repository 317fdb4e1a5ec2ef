package wrenreach.state;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Maps the ids of the host to the objects of this package.
 *
 * @param <I> the type of the ids of endpoints and order keys
 */
public final class Directory<I> {
    /** Number of entries from which on a map is swept, and the number by which it has to grow beyond twice its size after a sweep. */
    private static final int MIN_SWEEP_SIZE = 64;

    private final Map<Integer, Destination> destinations = new HashMap<>();
    private final Map<I, Endpoint> endpoints = new HashMap<>();
    private final Map<I, OrderKey> orderKeys = new HashMap<>();
    /** Number of order keys at which the next sweep takes place. */
    private int keySweepSize = MIN_SWEEP_SIZE;
    /** Number of endpoints at which the next sweep takes place. */
    private int endpointSweepSize = MIN_SWEEP_SIZE;

    /** The destination of this number; created if there is none. */
    public Destination destination(int number) {
        return destinations.computeIfAbsent(number, Destination::new);
    }

    /** Whether the endpoint list has named a destination of this number. */
    public boolean listed(int number) {
        Destination destination = destinations.get(number);
        return destination != null && destination.listed;
    }

    /** Removes a destination; its number then stands for a new one. Code that still refers to the old object can detect this by {@link Destination#listed}. */
    public void removeDestination(Destination destination) {
        destinations.remove(destination.number, destination);
        destination.listed = false;
    }

    /** The endpoint of this id, or null. */
    public Endpoint endpoint(I id) {
        return endpoints.get(id);
    }

    /** The endpoint of this id; created by the supplier if there is none. */
    public Endpoint endpoint(I id, Supplier<Endpoint> factory) {
        return endpoints.computeIfAbsent(id, i -> factory.get());
    }

    /** Removes the endpoint of this id; the id may then stand for another one. */
    public void removeEndpoint(I id) {
        endpoints.remove(id);
    }

    /** The order key of this id; created if there is none. */
    public OrderKey orderKey(I id) {
        return orderKeys.computeIfAbsent(id, i -> new OrderKey());
    }

    /**
     * Removes order keys that nothing waits for, and endpoints that are not listed and have no calls in flight, once the number of entries
     * has doubled since the last sweep. An endpoint that was gone for a short time only thus keeps its state.
     */
    public void sweep(long now) {
        if (orderKeys.size() >= keySweepSize) {
            orderKeys.values().removeIf(key -> key.mails.isEmpty() && key.blockedUntil <= now);
            keySweepSize = 2 * orderKeys.size() + MIN_SWEEP_SIZE;
        }
        if (endpoints.size() >= endpointSweepSize) {
            endpoints.values().removeIf(endpoint -> !endpoint.listed && endpoint.inFlight == 0);
            endpointSweepSize = 2 * endpoints.size() + MIN_SWEEP_SIZE;
        }
    }
}
