package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Pieces of a long list by the time that they take. */
class TimedReadAllocatorTest {
    private final MockTicker ticker = Ticker.newMockTicker();
    private final RecvByteBufAllocator.Handle handle = new TimedReadAllocator(ticker).newHandle();

    /** One read that brings so many bytes, which take so many microseconds; the size of the next. */
    private int read(int bytes, long micros) {
        handle.attemptedBytesRead(handle.guess());
        handle.lastBytesRead(bytes);
        ticker.advance(micros, TimeUnit.MICROSECONDS);
        handle.readComplete();
        return handle.guess();
    }

    @Test void fastReadsGrowAndSlowReadsShrink() {
        assertThat(handle.guess()).isEqualTo(1024);
        assertThat(read(1024, 5000)).as("slow, but the least").isEqualTo(1024);
        assertThat(read(1024, 900)).isEqualTo(2048);
        assertThat(read(2048, 1500)).as("as long as it should").isEqualTo(2048);
        assertThat(read(100, 10)).as("quick, as there was little").isEqualTo(2048);
        for (int size = 4096; size <= 32_768; size *= 2) {
            assertThat(read(size / 2, 0)).isEqualTo(size);
        }
        assertThat(read(32_768, 0)).as("the most").isEqualTo(32_768);
        assertThat(read(32_768, 2100)).isEqualTo(16_384);
    }
}
