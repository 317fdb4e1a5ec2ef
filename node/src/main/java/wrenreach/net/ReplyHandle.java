package wrenreach.net;

/** The submitter of a mail, who waits for the reply. */
public interface ReplyHandle {
    /** Whether nobody waits for the reply any more. */
    boolean abandoned();

    /** Sets the reply; the last one set in the iteration counts. */
    void reply(Reply reply);
}
