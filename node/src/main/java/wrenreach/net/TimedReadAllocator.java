package wrenreach.net;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.util.concurrent.Ticker;

/**
 * How much of a connection is read at once, by how long what was read took: small pieces of a long list while its code is
 * new, larger ones later. Guards all else that waits for the loop: each read is one look at the other sockets apart from the
 * next, so none of them waits for all of a long list. It aims at 2 ms a piece; the first ones of a process, and what ends a
 * list, take longer (docs/CAPACITY.md).
 */
final class TimedReadAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 1 << 10, MAX_READ_BYTES = 32 << 10;
    /** Nanoseconds that one piece may take: more halves the next one, under half of it doubles it. */
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
