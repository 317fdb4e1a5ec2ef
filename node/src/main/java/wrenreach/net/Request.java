package wrenreach.net;

import wrenreach.held.Submission;

/** What a client asks for. */
public sealed interface Request {
    /** Take this mail; lifetimeMs: how long it may still be delivered. */
    record Submit(Submission submission, long lifetimeMs) implements Request { }

    /** Tell whether the node serves. */
    record Ping() implements Request { }

    /** Not understood; the connection is closed where what follows can't be trusted. */
    record Malformed(String reason, boolean close) implements Request { }
}
