package wrenreach.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {
    /** At any rate of calls no more lines are allowed in a window than the limit, and each line that is not allowed is counted once. */
    @Test void eachLineIsAllowedOrCounted() {
        LogRateLimiter limiter = new LogRateLimiter(3, 10);
        int allowed = 0, counted = 0;
        for (int now = 0; now < 100; now++) {
            int allowedBefore = allowed;
            allowed += limiter.tryAcquire(now) ? 1 : 0;
            if (allowed > allowedBefore) {
                counted += limiter.suppressed();
            }
        }
        assertThat(allowed).isEqualTo(30);
        assertThat(counted + limiter.suppressed()).isEqualTo(70);
        assertThat(limiter.suppressed()).isZero();
    }

    @Test void fewLinesAreAllAllowed() {
        LogRateLimiter limiter = new LogRateLimiter(2, 10);
        for (int now = 0; now < 100; now += 5) {
            assertThat(limiter.tryAcquire(now)).isTrue();
        }
        assertThat(limiter.suppressed()).isZero();
    }
}
