package wrenreach.frame;

import wrenreach.endpoints.ListLine;

/** Decides what of discovery's news goes on to the module, and may add lists of its own ({@link Host#listed}). */
public interface ListGate {
    /** What the module is told instead of the line; now: the turn's time in microseconds. */
    ListLine discovered(ListLine line, long now);
}
