package wrenreach.api;

import java.util.List;
import wrenreach.state.Endpoint;

/**
 * An update of the endpoint list: the entries that it contains, and how much of the list they are.
 *
 * @param age where the list is unconfirmed: the time in microseconds since the earlier process was at work; Long.MAX_VALUE: not known
 */
public record EndpointUpdate(Scope scope, List<Entry> entries, long age) {
    /** An update of a list that a process has had itself. */
    public EndpointUpdate(Scope scope, List<Entry> entries) {
        this(scope, entries, 0);
    }

    /**
     * How much of the list the entries are: only what changed; the whole list, so that endpoints without an entry are gone; the same from
     * the list that the node stored; or nothing: because the list could not be read, because the known list is of an earlier process and may
     * be outdated, or because discovery has confirmed it. The wire protocol uses the order of the first four constants.
     */
    public enum Scope { CHANGES, WHOLE, CACHED, FAILED, UNCONFIRMED, CONFIRMED }

    /** Whether an endpoint may be sent mails; only those that are READY may. */
    public enum State { READY, DRAINING, GONE }

    /**
     * One endpoint of the list.
     *
     * @param weight the rate limit of the route in messages per second, if the settings say that the list provides weights; 0: not known
     */
    public record Entry(Endpoint endpoint, State state, double weight) { }
}
