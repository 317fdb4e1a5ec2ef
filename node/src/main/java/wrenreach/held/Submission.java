package wrenreach.held;

/**
 * A mail as a client submits it. The body is never changed.
 *
 * @param key the order key: mails of one key keep their order; empty for none
 * @param tag what lets a receiver recognize a repeat of the mail; empty for none
 */
public record Submission(String id, String key, String queueClass, String tenant, String tag, int destination,
                         byte[] body) { }
