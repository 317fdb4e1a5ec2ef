package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.api.Settings;
import wrenreach.state.Call;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

class RetryPolicyTest {
    private static final long SECOND_US = 1_000_000;
    private final Destination destination = new Destination(1);

    /** Guards against a repeat in another zone than the first attempt's, where only its own zone's endpoints recognize it. */
    @ParameterizedTest
    @CsvSource({"0, 0, true", "0, 1, false", "-2, -2, true", "-2, -3, false", "-1, -1, false", "-1, 0, false"})
    void repeatGoesToTheSameKnownZoneOnly(int first, int second, boolean allowed) {
        RetryPolicy policy = new RetryPolicy(List.of(new Settings.QueueClass(SECOND_US, 10 * SECOND_US, 1, 0, false, Settings.Effect.TAGGED,
                Settings.DeduplicationScope.ZONE, 5 * SECOND_US, false)), 5000);
        Mail mail = new Mail(1, destination, null, 0, 0, 0, 10 * SECOND_US);
        Endpoint attempted = new Endpoint(1, destination, 0, first);
        mail.attempts.add(new DeliveryAttempt(mail, attempted, 0, SECOND_US, new Call(0)));
        assertThat(policy.mayAttempt(mail, new Endpoint(2, destination, 0, second), SECOND_US)).isEqualTo(allowed);
        assertThat(policy.mayAttempt(mail, attempted, SECOND_US)).isTrue();
    }
}
