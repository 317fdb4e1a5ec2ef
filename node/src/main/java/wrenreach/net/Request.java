package wrenreach.net;

import wrenreach.held.Submission;

/** A request of a client. */
public sealed interface Request {
    /** Submits a mail; lifetimeMs: how long from now it may be delivered. */
    record Submit(Submission submission, long lifetimeMs) implements Request { }

    /** Asks whether the node serves. */
    record Ping() implements Request { }

    /** A request that can't be read; close: the bytes after it can't be trusted, so the connection is closed. */
    record Malformed(String reason, boolean close) implements Request { }
}
