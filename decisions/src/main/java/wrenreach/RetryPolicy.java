package wrenreach;

import java.util.List;
import wrenreach.api.Settings;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/**
 * Decides which further attempts and which endings are allowed after earlier attempts of a mail, which may have taken effect. A mail that receivers recognize
 * by its tag may be repeated within its deduplication window, a mail that may take effect only once is never repeated.
 *
 * <p>Times are in microseconds. Stateless.
 */
final class RetryPolicy {
    private final List<Settings.QueueClass> classes;
    private final long tick;

    /** tick: by how much a process may be late; a repeat has to be sent so much before its window ends. */
    RetryPolicy(List<Settings.QueueClass> classes, long tick) {
        this.classes = classes;
        this.tick = tick;
    }

    /** Whether an attempt at this endpoint is allowed, given what the earlier attempts may have done. */
    boolean mayAttempt(Mail mail, Endpoint endpoint, long now) {
        Settings.QueueClass queueClass = classes.get(mail.queueClass);
        if (queueClass.effect() == Settings.Effect.REDELIVERABLE) {
            return true;
        }
        for (DeliveryAttempt earlier : mail.attempts) {
            if (earlier.neverRan) {
                continue;
            }
            boolean atMostOnce = queueClass.effect() == Settings.Effect.ONCE_ONLY;
            if (atMostOnce || now > deduplicatedUntil(mail, earlier) || !inSameScope(queueClass, earlier.endpoint, endpoint)) {
                return false;
            }
        }
        return true;
    }

    /** Until when receivers recognize a repeat of this attempt, in case that it took effect. */
    long deduplicatedUntil(Mail mail, DeliveryAttempt attempt) {
        return attempt.sentAt + classes.get(mail.queueClass).deduplicationWindow() - 2 * tick;
    }

    /** Whether the second endpoint recognizes a repeat of what the first one was sent. */
    private static boolean inSameScope(Settings.QueueClass queueClass, Endpoint a, Endpoint b) {
        return a == b || queueClass.deduplicationScope() == Settings.DeduplicationScope.ALL
                || queueClass.deduplicationScope() == Settings.DeduplicationScope.ZONE && a.zone == b.zone && a.zone != Endpoint.UNKNOWN_ZONE;
    }

    /** Whether any attempt for the mail may have taken effect. */
    static boolean mayHaveRun(Mail mail) {
        for (DeliveryAttempt attempt : mail.attempts) {
            if (!attempt.neverRan) {
                return true;
            }
        }
        return false;
    }

    /** Whether the mail may end as deferred, that is, whether its client may submit it again without harm. */
    boolean mayDefer(Mail mail, long now) {
        Settings.QueueClass queueClass = classes.get(mail.queueClass);
        if (queueClass.effect() == Settings.Effect.REDELIVERABLE || !mayHaveRun(mail)) {
            return true;
        }
        if (queueClass.effect() == Settings.Effect.ONCE_ONLY || queueClass.deduplicationScope() != Settings.DeduplicationScope.ALL) {
            return false;
        }
        return mail.attempts.stream().allMatch(attempt -> attempt.neverRan || now <= attempt.sentAt + queueClass.deduplicationWindow());
    }
}
