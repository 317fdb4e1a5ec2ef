package wrenreach.held;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wrenreach.state.Mail;

/** A mail that the node holds, from the door to its end; times by the clock of the records, see {@link TimeBase}. */
public final class HeldMail {
    public final Submission submission;
    public final long deadline;
    /** What the journal knows of its connects, in order. */
    public final List<RecordedAttempt> attempts = new ArrayList<>(2);
    /** What the module knows it as. */
    public Mail mail;
    /** Whether it is in the journal, and so owed. */
    public boolean accepted;
    /** Found at the start as taken on and never tried, and still so. */
    public boolean untried;
    /** Set once it has ended undelivered; it stays owed until the platform has heard. */
    public Ending ending;
    /** A lost decision about it has been reported. */
    public boolean reported;
    /** What a compacted journal would spend on it. */
    int journalBytes;

    public HeldMail(Submission submission, long endsBy) {
        this.submission = submission;
        this.deadline = endsBy;
    }

    /** Marks one of its connects as never having run; false: there is none of that number, or it was marked before. */
    public boolean markNeverRan(int number) {
        for (int i = 0; i < attempts.size(); i++) {
            RecordedAttempt c = attempts.get(i);
            if (c.number() == number && !c.neverRan()) {
                attempts.set(i, new RecordedAttempt(number, c.endpoint(), c.zone(), c.sentAt(), true));
                return true;
            }
        }
        return false;
    }

    /** One line for who asks what is owed. */
    public String describe() {
        String end = ending == null ? "" : ending.deferred() ? " deferred" : " undeliverable";
        return String.format(Locale.ROOT, "%s class=%s dest=%d until=%s connects=%d bytes=%d%s", submission.id(),
                submission.queueClass(), submission.destination(), Instant.ofEpochMilli(deadline / 1000), attempts.size(),
                submission.body().length, end);
    }
}
