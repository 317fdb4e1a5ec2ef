package wrenreach.frame;

import wrenreach.api.Outcome;

/** What a subsystem may hear of mails; times in microseconds of the turn, endsBy of the wall's clock. */
public sealed interface NodeEvent {
    /** The id that the mail was handed in under. */
    String id();

    /** A mail was taken on: from now on it is owed its end. */
    record MailAccepted(String id, String queueClass, String tenant, int destination, int bytes, long deadline, long at)
            implements NodeEvent { }

    /** A connect's bytes go out. number: counted within the mail. */
    record AttemptStarted(String id, long number, String endpoint, long at) implements NodeEvent { }

    /** A connect ended, also one whose bytes never went out. */
    record AttemptEnded(String id, long number, String endpoint, Outcome outcome, long at) implements NodeEvent { }

    /** A mail that was taken on has its end; retryAfterMs 0: no advice. */
    record MailEnded(String id, End end, long retryAfterMs, long at) implements NodeEvent { }

    /** How a mail ended: with the receiver, or with a notice to the platform. */
    enum End { RELAYED, DEFERRED, BOUNCED }
}
