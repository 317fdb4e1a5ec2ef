package wrenreach.api;

import java.util.List;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Mail;

/**
 * Makes the decisions of one delivery node. The host reports each event with one call, then calls {@link #nextActions} once per iteration
 * of its event loop. All calls of an iteration pass the same time, {@code now}, in microseconds. The host carries out the returned actions
 * in their order. It creates the objects of wrenreach.state and maps its own ids to them. Not thread-safe: all calls come from the thread
 * of the event loop.
 */
public interface Dispatcher {
    /** A mail was submitted. From here on the dispatcher has to end it exactly once. */
    List<Action> admit(Mail mail, long now);

    /**
     * An attempt ended.
     *
     * @param report the load figures that came with the response, in the order of the settings; empty if there were none
     * @param done whether the mail needs no further attempt, whatever the outcome
     */
    List<Action> attemptEnded(DeliveryAttempt attempt, Outcome outcome, double[] report, boolean done, long now);

    /** The mail is not wanted any more: it gets no further attempt and no ending. */
    List<Action> withdrawn(Mail mail, long now);

    /** The endpoint list changed, or it could not be read. */
    List<Action> endpointsUpdated(EndpointUpdate update, long now);

    /** Called at the end of an iteration or at a wake-up: what to send now, what to end, when to call again. */
    List<Action> nextActions(long now);
}
