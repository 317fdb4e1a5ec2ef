package wrenreach.held;

import java.util.stream.Stream;

/**
 * A mail as a client submits it. The body is never changed.
 *
 * @param key the order key: mails of one key keep their order; empty for none
 * @param tag what lets a receiver recognize a repeat of the mail; empty for none
 */
public record Submission(String id, String key, String queueClass, String tenant, String tag, int destination,
                         byte[] body) {
    /** The longest id, order key, queue class, tenant or tag, in characters. */
    public static final int MAX_WORD_LENGTH = 128;

    /** Whether one of the texts is longer than {@link #MAX_WORD_LENGTH}, or the body longer than a record can hold. */
    public boolean tooLong() {
        return Stream.of(id, key, queueClass, tenant, tag).anyMatch(text -> text.length() > MAX_WORD_LENGTH)
                || body.length > Entry.MAX_BODY_BYTES;
    }
}
