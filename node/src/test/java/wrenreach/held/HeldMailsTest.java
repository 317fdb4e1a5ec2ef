package wrenreach.held;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import wrenreach.api.Settings;
import wrenreach.api.SettingsText;
import wrenreach.state.Directory;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.OrderKey;

class HeldMailsTest {
    private static final long NOW_MICROS = 5_000_000_000L;
    private final Settings settings = SettingsText.read("""
            Tick=0.005
            Limits.MaxOpen=9
            FamilyInfo.MaxCalls=2
            Rules.OrderSettle=0.3
            Classes.count=1
            Classes.0.Promise=2
            Classes.0.Deadline=20
            Classes.0.Effect=token
            Classes.0.InTurn=true
            """, 1);
    private final Directory<String> directory = new Directory<>();
    private final HeldMails mails = new HeldMails(settings, List.of("order"), List.of("shop"), directory);
    private final HeldMail held = new HeldMail(
            new Submission("a", "key", "order", "shop", "", 1, new byte[0]), NOW_MICROS + 7000);

    @Test void recoveredMailKeepsRecordedTimesAndAttempts() {
        Endpoint known = directory.endpoint("s-1", () -> new Endpoint(1, directory.destination(1), 0, 0));
        held.attempts.add(new RecordedAttempt(0, "s-1", 0, NOW_MICROS - 500, false));
        held.attempts.add(new RecordedAttempt(1, "gone", 3, NOW_MICROS - 400, true));
        Mail mail = mails.recover(held, NOW_MICROS);
        assertThat(mail.deadline).isEqualTo(NOW_MICROS + 7000);
        assertThat(mail.attempts).extracting(attempt -> attempt.sentAt).containsExactly(NOW_MICROS - 500, NOW_MICROS - 400);
        assertThat(mail.attempts).extracting(attempt -> attempt.neverRan).containsExactly(false, true);
        assertThat(mail.attempts).noneMatch(attempt -> attempt.open);
        assertThat(mail.attempts.get(0).endpoint).isSameAs(known);
        assertThat(mail.attempts.get(1).endpoint.zone).isEqualTo(3);
        assertThat(mails.get(mail)).isSameAs(held);
    }

    /** Times recorded in another boot are wall-clock times, and that clock may have been stepped: no deadline exceeds the lifetime of its class. */
    @Test void timesOfAnotherClockAreBounded() {
        HeldMail late = new HeldMail(held.submission, NOW_MICROS + 3_600_000_000L);
        late.attempts.add(new RecordedAttempt(0, "gone", 3, NOW_MICROS + 3_600_000_000L, false));
        assertThat(mails.recover(late, NOW_MICROS).deadline).as("times of the same clock are kept").isEqualTo(NOW_MICROS + 3_600_000_000L);
        mails.remove(late);
        mails.clockNotContinued();
        Mail mail = mails.recover(late, NOW_MICROS);
        assertThat(mail.deadline).isEqualTo(NOW_MICROS + settings.classes().get(0).lifetime());
        assertThat(mail.attempts).extracting(attempt -> attempt.sentAt).containsExactly(NOW_MICROS);
    }

    /** Nothing records which order keys were blocked before a restart, so after one every key that is used is blocked for the settle time. */
    @Test void orderKeysAreBlockedOnlyAfterARestart() {
        assertThat(mails.add(held, NOW_MICROS).orderKey.blockedUntil).isZero();
        mails.blockRecoveredKeys(NOW_MICROS);
        OrderKey key = mails.add(held, NOW_MICROS).orderKey;
        assertThat(key.blockedUntil).isEqualTo(NOW_MICROS + 300_000);
    }

    @Test void unknownDestinationClassAndTenantAreReported() {
        assertThat(mails.validationError(held.submission)).isEqualTo("unknown destination");
        directory.destination(1).listed = true;
        assertThat(mails.validationError(held.submission)).isNull();
        assertThat(mails.validationError(new Submission("a", "", "other", "shop", "", 1, new byte[0])))
                .isEqualTo("unknown class");
        assertThat(mails.validationError(new Submission("a", "", "order", "other", "", 1, new byte[0])))
                .isEqualTo("unknown tenant");
    }

    @Test void removedMailIsNoLongerHeld() {
        Mail mail = mails.add(held, NOW_MICROS);
        assertThat(mails.contains("a")).isTrue();
        assertThat(mails.isAccepted("a")).isFalse();
        held.accepted = true;
        assertThat(mails.isAccepted("a")).isTrue();
        mails.remove(held);
        assertThat(mails.contains("a")).isFalse();
        assertThat(mails.get(mail)).isNull();
        assertThat(mails.size()).isZero();
    }
}
