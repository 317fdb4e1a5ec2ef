package wrenreach.held;

import java.util.ArrayList;
import java.util.List;
import wrenreach.state.Mail;

/** A mail that the node holds, from the door to its end; times in wall microseconds. */
public final class HeldMail {
    public final Submission submission;
    public final long endsBy;
    /** What the journal knows of its connects, in order. */
    public final List<PastConnect> connects = new ArrayList<>(2);
    /** What the module knows it as. */
    public Mail mail;
    /** Whether it is in the journal, and so owed. */
    public boolean owed;
    /** Set once it has ended undelivered; it stays owed until the platform has heard. */
    public Ending ending;
    /** What a compacted journal would spend on it. */
    int bytes;

    public HeldMail(Submission submission, long endsBy) {
        this.submission = submission;
        this.endsBy = endsBy;
    }
}
