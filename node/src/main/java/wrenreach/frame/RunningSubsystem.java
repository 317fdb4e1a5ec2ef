package wrenreach.frame;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A subsystem that runs in a node. All calls come on the node's loop, which they must not block: slow work goes to a
 * bounded thread of the subsystem's own. In the order of the node's phases: {@link #serving}, {@link #stopping},
 * {@link #stopped}. One that throws is not called again, and the node goes on without it.
 */
public interface RunningSubsystem<S extends Record> {
    /** The node serves: its door is open. */
    default void serving() { }

    /** A planned stop has begun and the door closes: nothing new is handed in from now on. */
    default void stopping() { }

    /** The node has stopped; what is open is closed. */
    default void stopped() { }

    /** The section as the operator's file now has it; only what is marked live may differ in effect. */
    default void reloaded(S section) { }

    /** Who hears of mails; events come once what they tell is in the journal. */
    default Optional<Consumer<NodeEvent>> eventListener() {
        return Optional.empty();
    }

    /** What stands between discovery and the module; at most one subsystem brings one. */
    default Optional<ListFilter> listFilter() {
        return Optional.empty();
    }
}
