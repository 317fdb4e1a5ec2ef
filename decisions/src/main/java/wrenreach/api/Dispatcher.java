package wrenreach.api;

import java.util.List;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Mail;

/**
 * The decisions of one delivery node. The host tells it what happened, one call an event, then asks
 * next() once a turn for what is to be done. All calls of a turn carry the same time. Answers are
 * carried out in their order. The host makes the objects of wrenreach.state and keeps their ids.
 */
public interface Dispatcher {
    /** A mail was handed in; the module owes it one ending. */
    List<Action> admit(Mail mail, long now);

    /** A connect ended. report: load figures as the settings place them; done: nothing is owed any more. */
    List<Action> attemptEnded(DeliveryAttempt connect, Outcome outcome, double[] report, boolean done, long now);

    /** Nobody wants the mail any more. */
    List<Action> withdrawn(Mail mail, long now);

    /** News of the list of endpoints. */
    List<Action> endpointsUpdated(EndpointUpdate listing, long now);

    /** End of a turn, or a wake-up: what goes out now, what ends, when to ask again. */
    List<Action> nextActions(long now);
}
