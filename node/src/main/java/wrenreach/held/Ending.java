package wrenreach.held;

/** How a mail that was taken on ended undelivered; retryAfterMs 0: no advice. */
public record Ending(boolean deferred, long retryAfterMs) { }
