package wrenreach.frame;

import wrenreach.endpoints.ListUpdate;

/** Decides what of discovery's news goes on to the module, and may add lists of its own ({@link Host#listed}). */
public interface ListFilter {
    /** What the module is told instead of the line; now: the turn's time in microseconds. */
    ListUpdate filter(ListUpdate line, long now);
}
