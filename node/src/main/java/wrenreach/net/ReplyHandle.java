package wrenreach.net;

/** Who handed in a mail and waits for the answer. */
public interface ReplyHandle {
    /** Whether nobody waits any more. */
    boolean abandoned();

    /** Sets the answer; the last one of the turn counts. */
    void reply(Reply answer);
}
