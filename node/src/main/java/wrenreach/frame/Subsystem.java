package wrenreach.frame;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import wrenreach.held.Ledger;
import wrenreach.operator.Section;

/**
 * A part of the node that is enabled in the operator's file. Found by ServiceLoader: one implementation for each subsystem, with a public
 * constructor without arguments. The implementation is only a description; the subsystem's own classes are loaded by {@link #start}, and
 * so never in a node where it is off.
 */
public interface Subsystem<S extends Record> {
    /** The subsystem can't be started; the message is one line for the person who starts the node. */
    final class StartException extends Exception {
        private static final long serialVersionUID = 1;

        public StartException(String message) {
            super(message);
        }
    }

    /** Its table in the operator's file; the table's name is the subsystem's name. */
    Section<S> section();

    /** Starts it before the node's event loop does anything; may block for a bounded time. */
    RunningSubsystem<S> start(S section, NodeContext node) throws StartException;

    /**
     * A ledger that takes the place of the journal, in the node's state folder. Called before the node is created; at most one subsystem
     * provides one.
     *
     * @param state the state folder
     * @param limit bytes that the folder may hold
     */
    default Optional<Ledger> ledger(S section, Path state, long limit) throws StartException {
        return Optional.empty();
    }

    /**
     * Whether the lab can run it in virtual time: it depends on nothing but its node's event loop, clock and settings, and has no threads and
     * no files of its own.
     */
    default boolean inVirtualTime() {
        return false;
    }

    /** The commands that it adds to the command line, also where it is off. */
    default List<Command> commands() {
        return List.of();
    }
}
