package wrenreach.api;

/** Why a mail ended undelivered; for the log. */
public enum EndReason {
    /** Sending the mails ahead of it in the queue would take longer than it may wait. */
    QUEUE_TOO_LONG,
    /** It was shed to make room for others when the node held too many mails. */
    NO_ROOM,
    /** It could not be delivered before its deadline. */
    DEADLINE,
    /** The maximum number of attempts is reached. */
    ATTEMPTS_USED_UP,
    /** It may have taken effect, and receivers would no longer recognize a repeat. */
    REPEAT_WINDOW_OVER,
    /** The dispatcher ended it, but the node did not carry that out; a defect. */
    DECISION_LOST,
    /** The settings no longer contain its queue class. */
    UNKNOWN_CLASS,
    /** No reason was given. */
    UNKNOWN
}
