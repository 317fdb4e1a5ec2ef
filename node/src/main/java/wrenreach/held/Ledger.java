package wrenreach.held;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import wrenreach.endpoints.ListLog;

/**
 * The durable record of accepted mails: each is recorded until nothing is outstanding for it, so that a later process completes it. Owned by
 * the node's event loop. What is recorded during an iteration is written by {@link #write}, all of it or nothing.
 */
public interface Ledger extends AutoCloseable {
    /**
     * Called before anything else.
     *
     * @param loop the node's event loop
     * @param failed what to do when nothing can be recorded any more
     */
    default void attach(Executor loop, Runnable failed) { }

    /** The clock that the times of its records are measured by; empty: the wall clock, as it was set at the time. */
    default Optional<TimeBase> timeBase() {
        return Optional.empty();
    }

    /**
     * From now on times are measured by this clock; it is recorded if it differs from the previous one.
     *
     * @param micros the clock's time in microseconds
     */
    default void startClock(TimeBase base, LongSupplier micros) { }

    /** Whether an earlier process left records. */
    boolean resumed();

    /** When an earlier process last wrote to it, in milliseconds of the wall clock; empty: not known. */
    default OptionalLong lastWrittenMillis() {
        return OptionalLong.empty();
    }

    /** The accepted mails that are not completed, in the order they were accepted. */
    List<HeldMail> outstanding();

    /**
     * Whether there is space for another mail with its attempts and its ending.
     *
     * @param before how many such mails are to be recorded before it
     * @param attempts how many attempts of each mail are reckoned with
     */
    boolean fits(int bodyBytes, int before, int attempts);

    /** Whether a mail of this id was accepted and has ended; ids of ended mails are remembered for a limited time, or not at all. */
    default boolean hasEnded(String id) {
        return false;
    }

    /** Records that the mail is accepted. */
    void accepted(HeldMail held);

    /** Records an attempt whose bytes are about to be sent. */
    void attemptStarted(HeldMail held, RecordedAttempt attempt);

    /** Records that the receiver is known not to have run the attempt of this number. */
    void neverRan(HeldMail held, int number);

    /** Records that the mail ended undelivered; it stays outstanding until the platform has confirmed the notice. */
    void ended(HeldMail held, Ending ending);

    /** Records that nothing is outstanding for the mail any more. */
    void completed(HeldMail held);

    /**
     * Whether a failed write may be retried: what was recorded is kept, and the next write includes it. If not, the node has to stop after
     * a failed write.
     */
    default boolean canRetryWrite() {
        return false;
    }

    /** Takes back an acceptance that was recorded since the last successful write, as if it had never been. */
    default void retract(HeldMail held) {
        throw new UnsupportedOperationException();
    }

    /** Takes back an attempt that was recorded since the last successful write; its bytes have not been sent. */
    default void retractAttempt(HeldMail held, int number) {
        throw new UnsupportedOperationException();
    }

    /**
     * Writes all records since the last write, at once.
     *
     * @param then called on the event loop once the records are durable, where the result is false
     * @return true: the records are durable; false: they will be once then is called, and nothing is to be written before that
     * @throws IOException if the records are not durable, see {@link #canRetryWrite}
     */
    boolean write(Runnable then) throws IOException;

    /** Where the endpoint list is stored for the next process. */
    ListLog listLog();

    /** Size of its files in bytes. */
    long size();

    @Override void close() throws IOException;
}
