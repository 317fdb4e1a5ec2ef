package wrenreach.frame;

import java.util.List;
import java.util.concurrent.Executor;
import wrenreach.api.Settings;
import wrenreach.endpoints.ListUpdate;
import wrenreach.held.Submission;
import wrenreach.net.ReplyHandle;

/** What a node offers to its subsystems. Only {@link #loop} and {@link #now} may be used from other threads than the event loop's. */
public interface NodeContext {
    /** The node's name. */
    String name();

    /** The settings that the node was started with. */
    Settings settings();

    /** Runs work on the node's event loop; work that is submitted after the node has stopped is dropped. */
    Executor loop();

    /** Runs work on the event loop after a delay in microseconds. */
    void schedule(Runnable work, long delay);

    /** The time of a clock that only goes forward, in microseconds. */
    long now();

    /**
     * Prepares for endpoints that an update will name for the first time; they are not listed by this. So a large list can be prepared in
     * pieces that don't block the event loop, and still takes effect all at once.
     */
    void prepare(List<ListUpdate.Entry> entries);

    /** Passes an update of the endpoint list to the decisions; it bypasses the {@link ListFilter}. */
    void updateEndpoints(ListUpdate line);

    /**
     * Submits a mail in the same way as the listener port, for subsystems that accept another protocol. The reply comes before the iteration
     * ends.
     *
     * @param lifetimeMs for how long the mail may be delivered, in milliseconds
     */
    void submit(Submission submission, long lifetimeMs, ReplyHandle asker);
}
