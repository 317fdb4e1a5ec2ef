package wrenreach.net;

/** What a client is told. */
public sealed interface Reply {
    /** The mail is taken on. */
    record Accepted() implements Reply { }

    /** Not taken, handing it in again is harmless; retryAfterMs 0: no advice. */
    record Busy(long retryAfterMs) implements Reply { }

    /** The node serves. */
    record Pong() implements Reply { }

    /** Not done; close: nothing more is read from this client. */
    record Error(String reason, boolean close) implements Reply { }
}
