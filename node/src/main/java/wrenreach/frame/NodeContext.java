package wrenreach.frame;

import java.util.List;
import java.util.concurrent.Executor;
import wrenreach.api.Settings;
import wrenreach.held.Submission;
import wrenreach.net.ReplyHandle;
import wrenreach.endpoints.ListUpdate;

/** What a subsystem may ask of its node. Only {@link #loop} and {@link #now} may be used from another thread. */
public interface NodeContext {
    /** The node's name. */
    String name();

    /** What the node was told at its start. */
    Settings settings();

    /** Runs work on the node's loop; what comes after the node has stopped is dropped. */
    Executor loop();

    /** Has work run on the loop after so many microseconds. */
    void schedule(Runnable work, long delay);

    /** One time that only goes forward, in microseconds. */
    long now();

    /**
     * Makes ready what a line to come will name for the first time; nothing is listed by it. Guards the loop: a large
     * list can be made ready in pieces, and takes effect at one stroke.
     */
    void prepare(List<ListUpdate.Entry> entries);

    /** Tells the module news of the list of endpoints; it bypasses the {@link ListGate}. */
    void updateEndpoints(ListUpdate line);

    /**
     * Hands in a mail as the door does: for a front of another protocol. The answer comes before the turn ends;
     * lifetimeMs: how long it may still be delivered.
     */
    void submit(Submission submission, long lifetimeMs, ReplyHandle asker);
}
