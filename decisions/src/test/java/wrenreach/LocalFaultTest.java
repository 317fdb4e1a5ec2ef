package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import wrenreach.api.Action;
import wrenreach.api.Outcome;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.OrderKey;

/** Attempts that this machine could not make: they say nothing of the endpoint and cost the message nothing. */
class LocalFaultTest {
    private static final long TARGET_DELAY = 2_500_000;
    private final NodeFixture setup = new NodeFixture();

    @Test void localFaultsNeitherOpenTheCircuitBreakerNorUseUpAttempts() {
        var endpoint = setup.addEndpoint(1, 0);
        setup.ordered = true;
        var message = setup.admitMail(new OrderKey());
        int made = 0;
        for (int i = 0; i < 200 && made < 5 * setup.attemptLimit; i++) {
            for (DeliveryAttempt connect : setup.runIteration(100)) {
                setup.endAttempt(connect, new Outcome.LocalFault());
                made++;
            }
        }
        assertThat(made).as("it is tried far more often than attempts may be made").isEqualTo(5 * setup.attemptLimit);
        assertThat(endpoint.route.breaker.phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
        assertThat(endpoint.consecutiveFailures).isZero();
        assertThat(message.attempts).isEmpty();
        assertThat(message.finished).isFalse();
        assertThat(setup.allActionsOf(Action.LogNote.class)).isEmpty();
    }

    @Test void aLocalFaultOfATrialNeitherClosesNorReopensTheCircuitBreaker() {
        var endpoint = setup.addEndpoint(1, 0);
        setup.failMails(12, new Outcome.ConnectFailed());
        assertThat(endpoint.route.breaker.phase).isNotEqualTo(CircuitBreakerState.Phase.CLOSED);
        endpoint.route.breaker.phase = CircuitBreakerState.Phase.OPEN;
        endpoint.route.breaker.openUntil = setup.now;
        long rests = endpoint.route.breaker.openUntil;
        DeliveryAttempt trial = null;
        for (int i = 0; i < 100 && trial == null; i++) {
            trial = setup.runIteration(1000).stream().findFirst().orElse(null);
        }
        assertThat(trial.trial).isTrue();
        setup.endAttempt(trial, new Outcome.LocalFault());
        assertThat(endpoint.route.breaker.trial).isNull();
        assertThat(endpoint.route.breaker.openUntil).as("it does not rest anew").isEqualTo(rests);
    }

    @Test void delaysAreJitteredAndGrowUpToAMaximum() {
        LocalFaultBackoff backoff = new LocalFaultBackoff(TARGET_DELAY);
        long first = backoff.nextDelay(1);
        assertThat(backoff.nextDelay(0)).as("drawn: from half of the wait on").isEqualTo(first);
        long longest = 0;
        for (int i = 0; i < 100; i++) {
            longest = Math.max(longest, backoff.nextDelay(1));
        }
        assertThat(first).isBetween(TARGET_DELAY / 1000, TARGET_DELAY / 100);
        assertThat(longest).isBetween(4 * first, TARGET_DELAY / 10);
        backoff.reset();
        assertThat(backoff.nextDelay(1)).isEqualTo(first);
    }
}
