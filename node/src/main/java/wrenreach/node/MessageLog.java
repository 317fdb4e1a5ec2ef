package wrenreach.node;

import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Map;
import wrenreach.api.EndReason;
import wrenreach.api.Outcome;
import wrenreach.held.Ending;
import wrenreach.held.HeldMail;
import wrenreach.held.Submission;
import wrenreach.log.LogEvent;
import wrenreach.log.LogRateLimiter;
import wrenreach.state.DeliveryAttempt;

/**
 * Logs what became of single mails, for those who look into an incident: refusals, attempts that did not deliver, endings other than a
 * delivery, and actions that were not carried out, each with its reason.
 *
 * <p>Lines of each kind are rate limited, and suppressed ones are counted in the next line; with the level of {@code wrenreach.message}
 * at DEBUG (FINE) all are written. Used on the node's event loop only.
 */
final class MessageLog {
    private static final System.Logger LOG = System.getLogger("wrenreach.message");
    /** Window of the rate limits, in microseconds. */
    private static final long WINDOW_MICROS = 10_000_000;

    /** Kinds of lines, each with the maximum written per window. Refusals are few: their clients have received the reason. */
    private enum LineKind {
        REFUSED(10), ATTEMPT(60), ENDED(60), DEFECT(60);

        private final int maxLines;

        LineKind(int maxLines) {
            this.maxLines = maxLines;
        }
    }

    private final Map<LineKind, LogRateLimiter> rateLimiters = new EnumMap<>(LineKind.class);

    MessageLog() {
        for (LineKind kind : LineKind.values()) {
            rateLimiters.put(kind, new LogRateLimiter(kind.maxLines, WINDOW_MICROS));
        }
    }

    /** A request was not accepted. */
    void refused(Submission submission, String reason, long now) {
        if (mayLog(LineKind.REFUSED, now)) {
            LogEvent.log(LOG, Level.INFO, "message.refused", "message {id}: refused: {why}{more}", "id", submission.id(), "destination",
                    submission.destination(), "why", reason, "more", suppressedNote(LineKind.REFUSED));
        }
    }

    /** An attempt ended. */
    void attemptEnded(HeldMail mail, DeliveryAttempt attempt, String endpoint, Outcome outcome, long now) {
        if (outcome instanceof Outcome.Delivered) {
            if (LOG.isLoggable(Level.DEBUG)) {
                logAttempt(Level.DEBUG, "delivered", mail, attempt, endpoint, outcome, now);
            }
        } else if (mayLog(LineKind.ATTEMPT, now)) {
            logAttempt(Level.INFO, "failed", mail, attempt, endpoint, outcome, now);
        }
    }

    private void logAttempt(Level level, String result, HeldMail mail, DeliveryAttempt attempt, String endpoint, Outcome outcome, long now) {
        LogEvent.log(LOG, level, "message.attempt", "message {id}: attempt {number} at {endpoint} {result}: {outcome}; {connection_use} connection "
                + "{connection}, {ms} ms after it was decided{more}", "id", mail.submission.id(), "key", mail.submission.key(), "destination",
                mail.submission.destination(), "number", attempt.number, "endpoint", endpoint, "result", result, "outcome", describe(outcome),
                "connection_use", attempt.reusedConnection ? "used" : "new", "connection", attempt.connectionNumber, "ms", (now - attempt.sentAt) / 1000,
                "more", level == Level.DEBUG ? "" : suppressedNote(LineKind.ATTEMPT));
    }

    /** The platform has confirmed the notice of a mail's ending. */
    void noticeConfirmed(HeldMail mail) {
        if (LOG.isLoggable(Level.DEBUG)) {
            LogEvent.log(LOG, Level.DEBUG, "message.confirmed", "message {id}: its notice is confirmed", "id", mail.submission.id());
        }
    }

    /** An accepted mail ended undelivered; the platform has to be notified. */
    void ended(HeldMail mail, Ending ending, EndReason reason, long now) {
        if (mayLog(LineKind.ENDED, now)) {
            LogEvent.log(LOG, Level.INFO, "message.ended", "message {id}: ended {status} after {attempts} attempts: {reason}{more}", "id",
                    mail.submission.id(), "key", mail.submission.key(), "destination", mail.submission.destination(), "status",
                    ending.deferred() ? "deferred" : "undeliverable", "attempts", mail.attempts.size(), "reason", reason,
                    "more", suppressedNote(LineKind.ENDED));
        }
    }

    /** The decisions have finished the mail, but without an action that ends it: its order key has continued without it. */
    void decisionLost(HeldMail mail, long now) {
        if (mayLog(LineKind.DEFECT, now)) {
            LogEvent.log(LOG, Level.ERROR, "message.lost", "a defect, report this line: message {id} of key {key} was ended by the decisions and "
                    + "the node was not told; it ends once its time is over{more}", "id", mail.submission.id(), "key", mail.submission.key(),
                    "destination", mail.submission.destination(), "more", suppressedNote(LineKind.DEFECT));
        }
    }

    private boolean mayLog(LineKind kind, long now) {
        return LOG.isLoggable(Level.DEBUG) || rateLimiters.get(kind).tryAcquire(now);
    }

    private String suppressedNote(LineKind kind) {
        int suppressed = rateLimiters.get(kind).suppressed();
        return suppressed == 0 ? "" : "; " + suppressed + " more before it are not listed";
    }

    private static String describe(Outcome outcome) {
        return outcome instanceof Outcome.Rejected rejected && rejected.retryAfter() > 0 ? "Rejected, retry after " + rejected.retryAfter() / 1000 + " ms"
                : outcome.getClass().getSimpleName();
    }
}
