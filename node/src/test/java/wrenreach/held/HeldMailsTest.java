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
    private static final long NOW = 5_000_000_000L;
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
            new Submission("a", "key", "order", "shop", "", 1, new byte[0]), NOW + 7000);

    @Test void recordedTimesHoldAndConnectsComeBack() {
        Endpoint known = directory.endpoint("s-1", () -> new Endpoint(1, directory.destination(1), 0, 0));
        held.connects.add(new PastConnect(0, "s-1", 0, NOW - 500, false));
        held.connects.add(new PastConnect(1, "gone", 3, NOW - 400, true));
        Mail mail = mails.resume(held, NOW);
        assertThat(mail.endsBy).isEqualTo(NOW + 7000);
        assertThat(mail.connects).extracting(c -> c.sentAt).containsExactly(NOW - 500, NOW - 400);
        assertThat(mail.connects).extracting(c -> c.neverRan).containsExactly(false, true);
        assertThat(mail.connects).noneMatch(c -> c.open);
        assertThat(mail.connects.get(0).endpoint).isSameAs(known);
        assertThat(mail.connects.get(1).endpoint.zone).isEqualTo(3);
        assertThat(mails.of(mail)).isSameAs(held);
    }

    /** Times of another boot are the wall's, which may have been stepped: no deadline lies beyond what its class allows. */
    @Test void timesOfAnotherClockAreBounded() {
        HeldMail late = new HeldMail(held.submission, NOW + 3_600_000_000L);
        late.connects.add(new PastConnect(0, "gone", 3, NOW + 3_600_000_000L, false));
        assertThat(mails.resume(late, NOW).endsBy).as("the same clock is believed").isEqualTo(NOW + 3_600_000_000L);
        mails.forget(late);
        mails.clockIsAnother();
        Mail mail = mails.resume(late, NOW);
        assertThat(mail.endsBy).isEqualTo(NOW + settings.classes().get(0).lifetime());
        assertThat(mail.connects).extracting(c -> c.sentAt).containsExactly(NOW);
    }

    /** Guards the rest of keys: after a restart every key that comes up rests, whoever its mails were. */
    @Test void keysRestAfterARestartOnly() {
        assertThat(mails.hold(held, NOW).key.restsUntil).isZero();
        mails.resumes(NOW);
        OrderKey key = mails.hold(held, NOW).key;
        assertThat(key.restsUntil).isEqualTo(NOW + 300_000);
    }

    @Test void whatNoListOrSettingNamesIsObjectedTo() {
        assertThat(mails.objection(held.submission)).isEqualTo("unknown destination");
        directory.destination(1).known = true;
        assertThat(mails.objection(held.submission)).isNull();
        assertThat(mails.objection(new Submission("a", "", "other", "shop", "", 1, new byte[0])))
                .isEqualTo("unknown class");
        assertThat(mails.objection(new Submission("a", "", "order", "other", "", 1, new byte[0])))
                .isEqualTo("unknown tenant");
    }

    @Test void aForgottenMailIsHeldNoMore() {
        Mail mail = mails.hold(held, NOW);
        assertThat(mails.holds("a")).isTrue();
        assertThat(mails.owes("a")).isFalse();
        held.owed = true;
        assertThat(mails.owes("a")).isTrue();
        mails.forget(held);
        assertThat(mails.holds("a")).isFalse();
        assertThat(mails.of(mail)).isNull();
        assertThat(mails.size()).isZero();
    }
}
