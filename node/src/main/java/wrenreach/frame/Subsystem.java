package wrenreach.frame;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import wrenreach.held.Ledger;
import wrenreach.operator.Section;

/**
 * A part of the node that the operator's file switches on: found by ServiceLoader, one implementation a subsystem, with
 * a public constructor without arguments. The implementation is only a description; what the subsystem is made of is
 * loaded by {@link #start}, and so never in a node where it is off.
 */
public interface Subsystem<S extends Record> {
    /** The subsystem can't be started; the message is one line for the one who starts the node. */
    final class StartException extends Exception {
        private static final long serialVersionUID = 1;

        public StartException(String message) {
            super(message);
        }
    }

    /** Its table in the operator's file; the name is the subsystem's. */
    Section<S> section();

    /** Starts it before the node's loop does anything; it may block for a bounded time. */
    RunningSubsystem<S> start(S section, NodeContext host) throws StartException;

    /**
     * A home for what is owed in place of the journal, on the node's state folder; limit: bytes that it may hold. Called before
     * the node is made; at most one subsystem brings one.
     */
    default Optional<Ledger> ledger(S section, Path state, long limit) throws StartException {
        return Optional.empty();
    }

    /**
     * Whether the lab can play it in virtual time: it goes by nothing but its host's loop, clock and settings, has no threads
     * and no files of its own.
     */
    default boolean inVirtualTime() {
        return false;
    }

    /** What it brings to the command line, also where it is off. */
    default List<Command> commands() {
        return List.of();
    }
}
