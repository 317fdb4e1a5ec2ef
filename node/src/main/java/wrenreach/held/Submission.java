package wrenreach.held;

/**
 * A mail as a client hands it in. key: mails of one key keep their order, empty for none; tag: what reveals a
 * repeat, empty for none. The body is never changed.
 */
public record Submission(String id, String key, String queueClass, String tenant, String tag, int destination,
                         byte[] body) { }
