package wrenreach.held;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import wrenreach.endpoints.ListLog;

/**
 * What the node owes, where it outlasts the process. The node's loop owns it; what is noted in a turn is written by
 * {@link #write}, all of it or nothing.
 */
public interface Ledger extends AutoCloseable {
    /** Before anything else: the node's loop, and what to do when nothing can be promised any more. */
    default void attach(Executor loop, Runnable failed) { }

    /** The clock that the times of its records are by; empty: the wall's, as it was then. */
    default Optional<TimeBase> timeBase() {
        return Optional.empty();
    }

    /** From now on times are by this clock, which is recorded where it is not the one before; micros: its time. */
    default void startClock(TimeBase base, LongSupplier micros) { }

    /** Whether an earlier process left records here. */
    boolean resumed();

    /** What is owed, in the order taken on. */
    List<HeldMail> outstanding();

    /** Whether a mail of this body, its connects and its ending would find room; so many are to come before. */
    boolean fits(int bodyBytes, int before, int tries);

    /** Whether a mail of this id was taken on and has ended, as far as that is remembered. */
    default boolean hasEnded(String id) {
        return false;
    }

    void accepted(HeldMail held);

    void attemptStarted(HeldMail held, RecordedAttempt connect);

    void neverRan(HeldMail held, int number);

    void ended(HeldMail held, Ending ending);

    void completed(HeldMail held);

    /**
     * Whether a write that has failed may be tried again: what was noted is kept, and is written by the next one. Where not, the node
     * has to stop after a failed write.
     */
    default boolean canRetryWrite() {
        return false;
    }

    /** Takes back an acceptance that was noted since the last write that succeeded: it never was. */
    default void retract(HeldMail held) {
        throw new UnsupportedOperationException();
    }

    /** Takes back an attempt that was noted since the last write that succeeded: its bytes have not gone out. */
    default void retractAttempt(HeldMail held, int number) {
        throw new UnsupportedOperationException();
    }

    /**
     * Writes all records noted since the last time, at once. True: they last; false: then is called on the loop once they do,
     * and nothing is to be written before. IOException: they don't, see {@link #writesAgain}.
     */
    boolean write(Runnable then) throws IOException;

    /** Where the list of endpoints is kept for the next process. */
    ListLog listLog();

    /** Bytes that its files hold. */
    long size();

    @Override void close() throws IOException;
}
