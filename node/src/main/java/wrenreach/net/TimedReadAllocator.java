package wrenreach.net;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.util.concurrent.Ticker;

/**
 * Sizes the reads of a connection by how long the processing of the last one took: a long list is read in small pieces while the code
 * that takes it is new to the process, and in larger ones later. The loop looks at its other sockets between two reads, so that
 * nothing else waits for the whole of a long list. The aim is 2 ms per read; the first reads of a process, and the end of a list,
 * take longer (docs/CAPACITY.md).
 */
final class TimedReadAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    /** The size of the first read of a connection, and the least. */
    private static final int MIN_READ_BYTES = 1 << 10;
    /** The largest size of a read. */
    private static final int MAX_READ_BYTES = 32 << 10;
    /** Time that processing one read may take: a longer one halves the next read, one under half of it doubles it. */
    private static final long MAX_PROCESSING_NANOS = 2_000_000;

    private final Ticker ticker;

    TimedReadAllocator(Ticker ticker) {
        super(1);
        this.ticker = ticker;
    }

    @Override public Handle newHandle() {
        return new TimedHandle();
    }

    private final class TimedHandle extends MaxMessageHandle {
        private int nextReadBytes = MIN_READ_BYTES;
        private long readAtNanos;
        private boolean bufferFilled;

        @Override public int guess() {
            return nextReadBytes;
        }

        @Override public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            readAtNanos = ticker.nanoTime();
            bufferFilled = bytes == attemptedBytesRead();
        }

        @Override public void readComplete() {
            long took = ticker.nanoTime() - readAtNanos;
            if (took > MAX_PROCESSING_NANOS) {
                nextReadBytes = Math.max(MIN_READ_BYTES, nextReadBytes / 2);
            } else if (bufferFilled && took < MAX_PROCESSING_NANOS / 2) {
                nextReadBytes = Math.min(MAX_READ_BYTES, 2 * nextReadBytes);
            }
        }
    }
}
