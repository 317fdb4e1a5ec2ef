package wrenreach.api;

import java.util.List;
import wrenreach.state.Endpoint;

/** An update of the endpoint list: the entries that it contains, and how much of the list they are. */
public record EndpointUpdate(Scope scope, List<Entry> entries) {
    /**
     * How much of the list the entries are: only what changed; the whole list, so that endpoints without an entry are gone; the same from
     * the list that the node stored; or nothing, because the list could not be read. The wire protocol uses the order of the constants.
     */
    public enum Scope { CHANGES, WHOLE, CACHED, FAILED }

    /** Whether an endpoint may be sent mails; only those that are READY may. */
    public enum State { READY, DRAINING, GONE }

    /**
     * One endpoint of the list.
     *
     * @param weight the rate limit of the route in messages per second, if the settings say that the list provides weights; 0: not known
     */
    public record Entry(Endpoint endpoint, State state, double weight) { }
}
