package wrenreach.held;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wrenreach.state.Mail;

/**
 * A mail that the node has in memory, from its submission until nothing is outstanding for it. Times are microseconds by the clock of the
 * records, see {@link TimeBase}.
 */
public final class HeldMail {
    public final Submission submission;
    /** End of its lifetime. */
    public final long deadline;
    /** Its attempts as the ledger records them, in order. */
    public final List<RecordedAttempt> attempts = new ArrayList<>(2);
    /** The mail as the decisions know it. */
    public Mail mail;
    /** Whether it is recorded in the ledger, so that an ending is due. */
    public boolean accepted;
    /** Recovered at the start without any recorded attempt, and not attempted since. */
    public boolean untried;
    /** Set once it has ended undelivered; it stays outstanding until the platform has confirmed the notice. */
    public Ending ending;
    /** Whether a lost decision about it has been reported. */
    public boolean reported;
    /** Bytes of its records in a compacted journal. */
    int journalBytes;

    public HeldMail(Submission submission, long deadline) {
        this.submission = submission;
        this.deadline = deadline;
    }

    /** Marks one of its attempts as never run by the receiver. False: there is none of that number, or it was marked before. */
    public boolean markNeverRan(int number) {
        for (int i = 0; i < attempts.size(); i++) {
            RecordedAttempt attempt = attempts.get(i);
            if (attempt.number() == number && !attempt.neverRan()) {
                attempts.set(i, new RecordedAttempt(number, attempt.endpoint(), attempt.zone(), attempt.sentAt(), true));
                return true;
            }
        }
        return false;
    }

    /** Whether a receiver may have run it: unless it was deferred, which says that it did not. */
    boolean mayHaveRun() {
        return ending == null || !ending.deferred();
    }

    /** The mail as one line of the listing of outstanding mails. */
    public String describe() {
        String outcome = ending == null ? "" : ending.deferred() ? " deferred" : " undeliverable";
        return String.format(Locale.ROOT, "%s class=%s dest=%d until=%s connects=%d bytes=%d%s", submission.id(),
                submission.queueClass(), submission.destination(), Instant.ofEpochMilli(deadline / 1000), attempts.size(),
                submission.body().length, outcome);
    }
}
