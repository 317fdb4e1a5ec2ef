package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import wrenreach.api.Action;
import wrenreach.api.Outcome;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.OrderKey;

/** Attempts that this machine could not make: they say nothing about the endpoint and do not count as attempts of the mail. */
class LocalFaultTest {
    /** In microseconds. */
    private static final long TARGET_DELAY = 2_500_000;
    private final NodeFixture setup = new NodeFixture();

    @Test void localFaultsNeitherOpenTheCircuitBreakerNorUseUpAttempts() {
        var endpoint = setup.addEndpoint(1, 0);
        setup.ordered = true;
        var mail = setup.admitMail(new OrderKey());
        int attempts = 0;
        for (int i = 0; i < 200 && attempts < 5 * setup.attemptLimit; i++) {
            for (DeliveryAttempt attempt : setup.runIteration(100)) {
                setup.endAttempt(attempt, new Outcome.LocalFault());
                attempts++;
            }
        }
        assertThat(attempts).as("attempts far above the limit of a mail").isEqualTo(5 * setup.attemptLimit);
        assertThat(endpoint.route.breaker.phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
        assertThat(endpoint.consecutiveFailures).isZero();
        assertThat(mail.attempts).isEmpty();
        assertThat(mail.finished).isFalse();
        assertThat(setup.allActionsOf(Action.LogNote.class)).isEmpty();
    }

    @Test void aLocalFaultOfATrialNeitherClosesNorReopensTheCircuitBreaker() {
        var endpoint = setup.addEndpoint(1, 0);
        setup.failMails(12, new Outcome.ConnectFailed());
        assertThat(endpoint.route.breaker.phase).isNotEqualTo(CircuitBreakerState.Phase.CLOSED);
        endpoint.route.breaker.phase = CircuitBreakerState.Phase.OPEN;
        endpoint.route.breaker.openUntil = setup.now;
        long openUntil = endpoint.route.breaker.openUntil;
        DeliveryAttempt trial = null;
        for (int i = 0; i < 100 && trial == null; i++) {
            trial = setup.runIteration(1000).stream().findFirst().orElse(null);
        }
        assertThat(trial.trial).isTrue();
        setup.endAttempt(trial, new Outcome.LocalFault());
        assertThat(endpoint.route.breaker.trial).isNull();
        assertThat(endpoint.route.breaker.openUntil).as("no new cool-down").isEqualTo(openUntil);
    }

    @Test void delaysAreJitteredAndGrowUpToAMaximum() {
        LocalFaultBackoff backoff = new LocalFaultBackoff(TARGET_DELAY);
        long first = backoff.nextDelay(1);
        assertThat(backoff.nextDelay(0)).as("jitter starts at half of the delay").isEqualTo(first);
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
