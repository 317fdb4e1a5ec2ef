package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BackoffTest {
    @Test void delaysDoubleUpToTheMaximumWithJitterAndRestartAfterSuccess() {
        Backoff pauses = new Backoff(250, 2000, 1);
        for (long whole : new long[] {250, 500, 1000, 2000, 2000}) {
            assertThat(pauses.nextDelay()).isBetween(whole / 2, whole);
        }
        pauses.reset();
        assertThat(pauses.nextDelay()).isBetween(125L, 250L);
        assertThat(new Backoff(250, 2000, 2).nextDelay()).isNotEqualTo(new Backoff(250, 2000, 1).nextDelay());
    }
}
