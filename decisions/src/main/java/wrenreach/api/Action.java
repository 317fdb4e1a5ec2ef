package wrenreach.api;

import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/** What the module wants done. */
public sealed interface Action {
    /** Make this connect; it is cut off at its own cutAt. */
    record Send(DeliveryAttempt attempt) implements Action { }

    /** Stop waiting for this connect. */
    record Cancel(DeliveryAttempt attempt) implements Action { }

    /** End the mail undelivered; handing it in again is harmless. retryAfter 0: no advice. */
    record Defer(Mail mail, long retryAfter, EndReason reason) implements Action {
        public Defer(Mail mail, long retryAfter) {
            this(mail, retryAfter, EndReason.UNKNOWN);
        }
    }

    /** End the mail for good. */
    record Bounce(Mail mail, EndReason reason) implements Action {
        public Bounce(Mail mail) {
            this(mail, EndReason.UNKNOWN);
        }
    }

    /** Call next() again after this long. */
    record WakeUp(long delay) implements Action { }

    /** Give idle connections to this endpoint back. */
    record ReleaseConnections(Endpoint endpoint) implements Action { }

    /** Follow changes of the list of endpoints. */
    record SubscribeToList() implements Action { }

    /** Ask once for the whole list of endpoints. */
    record FetchList() implements Action { }

    /** A line for the node's log. */
    record LogNote(String text) implements Action { }
}
