package wrenreach.api;

import java.util.List;
import wrenreach.state.Endpoint;

/** News of the list of endpoints. */
public record EndpointUpdate(Scope scope, List<Entry> entries) {
    /** How much of the list it is. */
    public enum Scope { CHANGES, WHOLE, CACHED, FAILED }

    /** Whether an endpoint may get work. */
    public enum State { READY, DRAINING, GONE }

    /** One endpoint as listed. */
    public record Entry(Endpoint endpoint, State state, double weight) { }
}
