package wrenreach.held;

/**
 * How an accepted mail ended undelivered.
 *
 * @param deferred true: the mail is deferred; false: it is bounced
 * @param retryAfterMs advice to the platform on how long to wait before it submits the mail again, in milliseconds; 0: none
 */
public record Ending(boolean deferred, long retryAfterMs) { }
