package wrenreach.frame;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A subsystem that runs in a node. All calls are made on the node's event loop, which they must not block: slow work belongs on a bounded thread of the
 * subsystem's own. The calls follow the node's phases: {@link #serving}, {@link #stopping}, {@link #stopped}.
 * A subsystem that throws is not called again, and the node goes on without it.
 */
public interface RunningSubsystem<S extends Record> {
    /** The node serves: its listener port is open. */
    default void serving() { }

    /** A graceful shutdown has begun and the listener port closes: nothing new is submitted from now on. */
    default void stopping() { }

    /** The node has stopped: the subsystem closes what it has open. */
    default void stopped() { }

    /** The section as it is in the operator's file now; only changes of keys that are marked live may take effect. */
    default void reloaded(S section) { }

    /** The listener for events of mails; an event is delivered once what it reports is recorded in the ledger. */
    default Optional<Consumer<NodeEvent>> eventListener() {
        return Optional.empty();
    }

    /** The filter between discovery and the decisions; at most one subsystem provides one. */
    default Optional<ListFilter> listFilter() {
        return Optional.empty();
    }
}
