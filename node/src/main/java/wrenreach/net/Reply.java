package wrenreach.net;

/** A reply to a client. */
public sealed interface Reply {
    /** The mail is accepted. */
    record Accepted() implements Reply { }

    /** The mail is not accepted, and submitting it again is harmless; retryAfterMs 0: no advice. */
    record Busy(long retryAfterMs) implements Reply { }

    /** The answer to a ping: the node serves. */
    record Pong() implements Reply { }

    /** The request failed; close: nothing more is read from this client. */
    record Error(String reason, boolean close) implements Reply { }
}
