package wrenreach.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogRateLimiterTest {
    /** Whatever comes: no more lines than granted in a window, and each one that is not said is counted once. */
    @Test void eachLineIsAllowedOrCounted() {
        LogRateLimiter ration = new LogRateLimiter(3, 10);
        int said = 0, counted = 0;
        for (int now = 0; now < 100; now++) {
            int before = said;
            said += ration.tryAcquire(now) ? 1 : 0;
            if (said > before) {
                counted += ration.suppressed();
            }
        }
        assertThat(said).isEqualTo(30);
        assertThat(counted + ration.suppressed()).isEqualTo(70);
        assertThat(ration.suppressed()).isZero();
    }

    @Test void fewLinesAreAllAllowed() {
        LogRateLimiter ration = new LogRateLimiter(2, 10);
        for (int now = 0; now < 100; now += 5) {
            assertThat(ration.tryAcquire(now)).isTrue();
        }
        assertThat(ration.suppressed()).isZero();
    }
}
