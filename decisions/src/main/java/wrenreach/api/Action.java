package wrenreach.api;

import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/** An action that the dispatcher wants the host to carry out. Durations are in microseconds. */
public sealed interface Action {
    /** Make this attempt. It times out at its own {@link DeliveryAttempt#timeoutAt}. */
    record Send(DeliveryAttempt attempt) implements Action { }

    /** Stop waiting for this attempt. */
    record Cancel(DeliveryAttempt attempt) implements Action { }

    /**
     * End the mail undelivered, in a way that lets the client submit it again without harm.
     *
     * @param retryAfter how long the client is advised to wait before that, in microseconds; 0: no advice
     */
    record Defer(Mail mail, long retryAfter, EndReason reason) implements Action {
        public Defer(Mail mail, long retryAfter) {
            this(mail, retryAfter, EndReason.UNKNOWN);
        }
    }

    /** End the mail undelivered and for good: it may have taken effect, so submitting it again may do harm. */
    record Bounce(Mail mail, EndReason reason) implements Action {
        public Bounce(Mail mail) {
            this(mail, EndReason.UNKNOWN);
        }
    }

    /** Call {@link Dispatcher#nextActions} again after this delay, in microseconds. */
    record WakeUp(long delay) implements Action { }

    /** Close the idle connections to this endpoint. */
    record ReleaseConnections(Endpoint endpoint) implements Action { }

    /** Subscribe to changes of the endpoint list. */
    record SubscribeToList() implements Action { }

    /** Request the whole endpoint list once. */
    record FetchList() implements Action { }

    /** Write a line to the node's log. */
    record LogNote(String text) implements Action { }
}
