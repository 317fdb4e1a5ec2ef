package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The size of reads follows the time that processing them takes. */
class TimedReadAllocatorTest {
    private final MockTicker ticker = Ticker.newMockTicker();
    private final RecvByteBufAllocator.Handle handle = new TimedReadAllocator(ticker).newHandle();

    /** Reads some bytes that take the given microseconds to process; returns the size of the next read. */
    private int read(int bytes, long micros) {
        handle.attemptedBytesRead(handle.guess());
        handle.lastBytesRead(bytes);
        ticker.advance(micros, TimeUnit.MICROSECONDS);
        handle.readComplete();
        return handle.guess();
    }

    @Test void fastReadsGrowAndSlowReadsShrink() {
        assertThat(handle.guess()).isEqualTo(1024);
        assertThat(read(1024, 5000)).as("slow, at the minimum").isEqualTo(1024);
        assertThat(read(1024, 900)).isEqualTo(2048);
        assertThat(read(2048, 1500)).as("within the target time").isEqualTo(2048);
        assertThat(read(100, 10)).as("fast, but the buffer was not filled").isEqualTo(2048);
        for (int size = 4096; size <= 32_768; size *= 2) {
            assertThat(read(size / 2, 0)).isEqualTo(size);
        }
        assertThat(read(32_768, 0)).as("at the maximum").isEqualTo(32_768);
        assertThat(read(32_768, 2100)).isEqualTo(16_384);
    }
}
