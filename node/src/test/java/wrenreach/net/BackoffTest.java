package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Delays between retries. */
class BackoffTest {
    @Test void delaysDoubleUpToTheMaximumWithJitterAndRestartAfterSuccess() {
        Backoff backoff = new Backoff(250, 2000, 1);
        for (long delay : new long[] {250, 500, 1000, 2000, 2000}) {
            assertThat(backoff.nextDelay()).isBetween(delay / 2, delay);
        }
        backoff.reset();
        assertThat(backoff.nextDelay()).isBetween(125L, 250L);
        assertThat(new Backoff(250, 2000, 2).nextDelay()).isNotEqualTo(new Backoff(250, 2000, 1).nextDelay());
    }
}
