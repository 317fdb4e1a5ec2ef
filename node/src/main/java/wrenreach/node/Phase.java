package wrenreach.node;

import java.util.EnumSet;
import java.util.Set;

/** Lifecycle phase of a node, between start and exit. */
enum Phase {
    STARTING, RECOVERING, SERVING, DRAINING, STOPPED;

    private Set<Phase> successors() {
        return switch (this) {
            case STARTING -> EnumSet.of(RECOVERING, STOPPED);
            case RECOVERING -> EnumSet.of(SERVING, STOPPED);
            case SERVING -> EnumSet.of(DRAINING, STOPPED);
            case DRAINING -> EnumSet.of(STOPPED);
            case STOPPED -> EnumSet.noneOf(Phase.class);
        };
    }

    /** Returns the next phase; throws IllegalStateException if it can't follow this one. */
    Phase transitionTo(Phase next) {
        if (!successors().contains(next)) {
            throw new IllegalStateException(this + " can't be followed by " + next);
        }
        return next;
    }
}
