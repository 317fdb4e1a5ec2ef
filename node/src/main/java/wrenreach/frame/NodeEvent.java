package wrenreach.frame;

import wrenreach.api.Outcome;

/**
 * The events of mails that a subsystem receives. Times are in microseconds: at is the time of the iteration, see {@link NodeContext#now}; a deadline is
 * by the wall clock.
 */
public sealed interface NodeEvent {
    /** The id that the mail was submitted under. */
    String id();

    /** A mail was accepted: from now on its ending is due. */
    record MailAccepted(String id, String queueClass, String tenant, int destination, int bytes, long deadline, long at)
            implements NodeEvent { }

    /** The bytes of an attempt are being sent. number: the attempt's number within the mail. */
    record AttemptStarted(String id, long number, String endpoint, long at) implements NodeEvent { }

    /** An attempt ended, also one whose bytes were never sent. */
    record AttemptEnded(String id, long number, String endpoint, Outcome outcome, long at) implements NodeEvent { }

    /** An accepted mail has ended; retryAfterMs: advice to the platform on when to submit it again, in milliseconds; 0: none. */
    record MailEnded(String id, End end, long retryAfterMs, long at) implements NodeEvent { }

    /** How a mail ended: relayed to the receiver, or with a notice to the platform. */
    enum End { RELAYED, DEFERRED, BOUNCED }
}
