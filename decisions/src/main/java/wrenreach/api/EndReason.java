package wrenreach.api;

/** Why a message ends undelivered, for those who read the log. */
public enum EndReason {
    /** Those ahead of it would take longer than it may wait. */
    QUEUE_TOO_LONG,
    /** Others were given the room that it held. */
    NO_ROOM,
    /** Its time is over. */
    DEADLINE,
    /** It has been attempted as often as it may be. */
    ATTEMPTS_USED_UP,
    /** It may have taken effect, and a repeat would no longer be known as one. */
    REPEAT_WINDOW_OVER,
    /** The decisions ended it and the node did not carry that out: a defect. */
    DECISION_LOST,
    /** The settings do not name its class any more. */
    UNKNOWN_CLASS,
    /** Not told. */
    UNKNOWN
}
