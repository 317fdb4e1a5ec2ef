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

/**
 * What became of single messages, for those who look into an incident: refusals, attempts that did not deliver, endings other than a
 * delivery, and decisions that were not carried out, each with its reason.
 *
 * <p>Lines of each kind are rationed, and those left out are counted in the next one; with the level of {@code wrenreach.message} at
 * DEBUG (FINE) all are written. Used on the node's event loop only.
 */
final class MessageLog {
    private static final System.Logger LOG = System.getLogger("wrenreach.message");
    /** The time for which lines are rationed, in microseconds. */
    private static final long WINDOW_MICROS = 10_000_000;

    /** Kinds of lines, with how many are written in the window. Refusals are few: their clients have heard the reason. */
    private enum LineKind {
        REFUSED(10), ATTEMPT(60), ENDED(60), DEFECT(60);

        private final int maxLines;

        LineKind(int lines) {
            this.maxLines = lines;
        }
    }

    private final Map<LineKind, LogRateLimiter> rateLimiters = new EnumMap<>(LineKind.class);

    MessageLog() {
        for (LineKind kind : LineKind.values()) {
            rateLimiters.put(kind, new LogRateLimiter(kind.maxLines, WINDOW_MICROS));
        }
    }

    /** A request was not accepted. */
    void refused(Submission submission, String why, long now) {
        if (mayLog(LineKind.REFUSED, now)) {
            LogEvent.log(LOG, Level.INFO, "message.refused", "message {id}: refused: {why}{more}", "id", submission.id(), "destination",
                    submission.destination(), "why", why, "more", suppressedNote(LineKind.REFUSED));
        }
    }

    /** An attempt ended and did not deliver the message. */
    void attemptFailed(HeldMail message, int number, String endpoint, Outcome outcome, long now) {
        if (mayLog(LineKind.ATTEMPT, now)) {
            LogEvent.log(LOG, Level.INFO, "message.attempt", "message {id}: attempt {number} at {endpoint} failed: {outcome}{more}", "id",
                    message.submission.id(), "key", message.submission.key(), "destination", message.submission.destination(), "number",
                    number, "endpoint", endpoint, "outcome", describe(outcome), "more", suppressedNote(LineKind.ATTEMPT));
        }
    }

    /** An accepted message ended undelivered; the platform is to be told. */
    void ended(HeldMail message, Ending ending, EndReason reason, long now) {
        if (mayLog(LineKind.ENDED, now)) {
            LogEvent.log(LOG, Level.INFO, "message.ended", "message {id}: ended {status} after {attempts} attempts: {reason}{more}", "id",
                    message.submission.id(), "key", message.submission.key(), "destination", message.submission.destination(), "status",
                    ending.deferred() ? "deferred" : "undeliverable", "attempts", message.attempts.size(), "reason", reason,
                    "more", suppressedNote(LineKind.ENDED));
        }
    }

    /** The decisions take the message for ended, and the node was never told: its key has gone on without it. */
    void decisionLost(HeldMail message, long now) {
        if (mayLog(LineKind.DEFECT, now)) {
            LogEvent.log(LOG, Level.ERROR, "message.lost", "a defect, report this line: message {id} of key {key} was ended by the decisions and "
                    + "the node was not told; it ends once its time is over{more}", "id", message.submission.id(), "key", message.submission.key(),
                    "destination", message.submission.destination(), "more", suppressedNote(LineKind.DEFECT));
        }
    }

    private boolean mayLog(LineKind kind, long now) {
        return LOG.isLoggable(Level.DEBUG) || rateLimiters.get(kind).tryAcquire(now);
    }

    private String suppressedNote(LineKind kind) {
        int unlisted = rateLimiters.get(kind).suppressed();
        return unlisted == 0 ? "" : "; " + unlisted + " more before it are not listed";
    }

    private static String describe(Outcome outcome) {
        return outcome instanceof Outcome.Rejected full && full.retryAfter() > 0 ? "Rejected, retry after " + full.retryAfter() / 1000 + " ms"
                : outcome.getClass().getSimpleName();
    }
}
