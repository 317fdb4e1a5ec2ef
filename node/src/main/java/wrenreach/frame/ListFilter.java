package wrenreach.frame;

import wrenreach.endpoints.ListUpdate;

/** Decides what of discovery's list updates is passed on to the decisions; may add updates of its own ({@link NodeContext#updateEndpoints}). */
public interface ListFilter {
    /** The update that the decisions get in place of discovery's; now: the iteration's time in microseconds. */
    ListUpdate filter(ListUpdate line, long now);

    /** Whether the list in force is one of its own, which holds nothing from discovery: then there is no list of discovery to wait for. */
    default boolean replacesDiscovery() {
        return false;
    }
}
