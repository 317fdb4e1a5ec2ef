package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import wrenreach.api.Answer;
import wrenreach.api.Outcome;
import wrenreach.state.Breaker;
import wrenreach.state.Connect;
import wrenreach.state.OrderKey;

/** Attempts that this machine could not make: they say nothing of the endpoint and cost the message nothing. */
class LocalFaultTest {
    private static final long TARGET = 2_500_000;
    private final Setup s = new Setup();

    @Test void theBreakerOfAHealthyEndpointStaysClosedAndNoAttemptIsSpent() {
        var endpoint = s.endpoint(1, 0);
        s.inOrder = true;
        var message = s.mail(new OrderKey());
        int made = 0;
        for (int i = 0; i < 200 && made < 5 * s.tries; i++) {
            for (Connect connect : s.turn(100)) {
                s.end(connect, new Outcome.LocalFault());
                made++;
            }
        }
        assertThat(made).as("it is tried far more often than attempts may be made").isEqualTo(5 * s.tries);
        assertThat(endpoint.route.breaker.phase).isEqualTo(Breaker.Phase.CLOSED);
        assertThat(endpoint.failedRun).isZero();
        assertThat(message.connects).isEmpty();
        assertThat(message.over).isFalse();
        assertThat(s.ever(Answer.Note.class)).isEmpty();
    }

    @Test void aTrialThatCouldNotBeMadeIsNoVerdict() {
        var endpoint = s.endpoint(1, 0);
        s.fail(12, new Outcome.ConnectFailed());
        assertThat(endpoint.route.breaker.phase).isNotEqualTo(Breaker.Phase.CLOSED);
        endpoint.route.breaker.phase = Breaker.Phase.OPEN;
        endpoint.route.breaker.restsUntil = s.now;
        long rests = endpoint.route.breaker.restsUntil;
        Connect trial = null;
        for (int i = 0; i < 100 && trial == null; i++) {
            trial = s.turn(1000).stream().findFirst().orElse(null);
        }
        assertThat(trial.trial).isTrue();
        s.end(trial, new Outcome.LocalFault());
        assertThat(endpoint.route.breaker.trial).isNull();
        assertThat(endpoint.route.breaker.restsUntil).as("it does not rest anew").isEqualTo(rests);
    }

    @Test void waitsAreDrawnAndGrowUpToABound() {
        LocalFaultBackoff backoff = new LocalFaultBackoff(TARGET);
        long first = backoff.failed(1);
        assertThat(backoff.failed(0)).as("drawn: from half of the wait on").isEqualTo(first);
        long longest = 0;
        for (int i = 0; i < 100; i++) {
            longest = Math.max(longest, backoff.failed(1));
        }
        assertThat(first).isBetween(TARGET / 1000, TARGET / 100);
        assertThat(longest).isBetween(4 * first, TARGET / 10);
        backoff.worked();
        assertThat(backoff.failed(1)).isEqualTo(first);
    }
}
