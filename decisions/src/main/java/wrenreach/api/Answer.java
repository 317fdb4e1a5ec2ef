package wrenreach.api;

import wrenreach.state.Connect;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/** What the module wants done. */
public sealed interface Answer {
    /** Make this connect; it is cut off at its own cutAt. */
    record Send(Connect connect) implements Answer { }

    /** Stop waiting for this connect. */
    record Revoke(Connect connect) implements Answer { }

    /** End the mail undelivered; handing it in again is harmless. retryAfter 0: no advice. */
    record Defer(Mail mail, long retryAfter, EndReason reason) implements Answer {
        public Defer(Mail mail, long retryAfter) {
            this(mail, retryAfter, EndReason.UNKNOWN);
        }
    }

    /** End the mail for good. */
    record Bounce(Mail mail, EndReason reason) implements Answer {
        public Bounce(Mail mail) {
            this(mail, EndReason.UNKNOWN);
        }
    }

    /** Call next() again after this long. */
    record Wake(long delay) implements Answer { }

    /** Give idle connections to this endpoint back. */
    record Release(Endpoint endpoint) implements Answer { }

    /** Follow changes of the list of endpoints. */
    record FollowList() implements Answer { }

    /** Ask once for the whole list of endpoints. */
    record AskList() implements Answer { }

    /** A line for the node's log. */
    record Note(String text) implements Answer { }
}
