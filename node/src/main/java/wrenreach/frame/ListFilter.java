package wrenreach.frame;

import wrenreach.endpoints.ListUpdate;

/** Decides what of discovery's list updates is passed on to the decisions; may add updates of its own ({@link NodeContext#updateEndpoints}). */
public interface ListFilter {
    /** The update that the decisions get in place of discovery's; now: the iteration's time in microseconds. */
    ListUpdate filter(ListUpdate line, long now);
}
