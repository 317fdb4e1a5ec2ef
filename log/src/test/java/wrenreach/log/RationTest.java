package wrenreach.log;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RationTest {
    /** Whatever comes: no more lines than granted in a window, and each one that is not said is counted once. */
    @Test void eachLineIsSaidOrCounted() {
        Ration ration = new Ration(3, 10);
        int said = 0, counted = 0;
        for (int now = 0; now < 100; now++) {
            int before = said;
            said += ration.may(now) ? 1 : 0;
            if (said > before) {
                counted += ration.leftOut();
            }
        }
        assertThat(said).isEqualTo(30);
        assertThat(counted + ration.leftOut()).isEqualTo(70);
        assertThat(ration.leftOut()).isZero();
    }

    @Test void fewLinesAreAllSaid() {
        Ration ration = new Ration(2, 10);
        for (int now = 0; now < 100; now += 5) {
            assertThat(ration.may(now)).isTrue();
        }
        assertThat(ration.leftOut()).isZero();
    }
}
