package wrenreach;

import java.util.List;
import wrenreach.api.Settings;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/**
 * Which attempts and which endings what a message's earlier attempts may have done still allows: a message that is idempotent by key may
 * be sent again in the window in which its receivers know a repeat as one, a message for at most one effect never.
 *
 * <p>Times in microseconds. Holds no state of its own.
 */
final class RetryPolicy {
    private final List<Settings.QueueClass> classes;
    private final long tick;

    /** tick: how late a process may be; a repeat has to come so much before its window ends. */
    RetryPolicy(List<Settings.QueueClass> classes, long tick) {
        this.classes = classes;
        this.tick = tick;
    }

    /** Whether what the earlier attempts may have done allows one to this endpoint. */
    boolean mayAttempt(Mail message, Endpoint endpoint, long now) {
        Settings.QueueClass kind = classes.get(message.queueClass);
        if (kind.effect() == Settings.Effect.REDELIVERABLE) {
            return true;
        }
        for (DeliveryAttempt earlier : message.attempts) {
            if (earlier.neverRan) {
                continue;
            }
            boolean atMostOnce = kind.effect() == Settings.Effect.ONCE_ONLY;
            if (atMostOnce || now > deduplicatedUntil(message, earlier) || !inSameScope(kind, earlier.endpoint, endpoint)) {
                return false;
            }
        }
        return true;
    }

    /** Until when a repeat of what this attempt may have done is known as one. */
    long deduplicatedUntil(Mail message, DeliveryAttempt attempt) {
        return attempt.sentAt + classes.get(message.queueClass).deduplicationWindow() - 2 * tick;
    }

    private static boolean inSameScope(Settings.QueueClass kind, Endpoint a, Endpoint b) {
        return a == b || kind.deduplicationScope() == Settings.DeduplicationScope.ALL
                || kind.deduplicationScope() == Settings.DeduplicationScope.ZONE && a.zone == b.zone;
    }

    /** Whether one of its attempts may have taken effect. */
    static boolean mayHaveRun(Mail message) {
        for (DeliveryAttempt attempt : message.attempts) {
            if (!attempt.neverRan) {
                return true;
            }
        }
        return false;
    }

    /** Whether the message may end as one whose client may hand it in again without harm. */
    boolean mayDefer(Mail message, long now) {
        Settings.QueueClass kind = classes.get(message.queueClass);
        if (kind.effect() == Settings.Effect.REDELIVERABLE || !mayHaveRun(message)) {
            return true;
        }
        if (kind.effect() == Settings.Effect.ONCE_ONLY || kind.deduplicationScope() != Settings.DeduplicationScope.ALL) {
            return false;
        }
        return message.attempts.stream().allMatch(attempt -> attempt.neverRan || now <= attempt.sentAt + kind.deduplicationWindow());
    }
}
