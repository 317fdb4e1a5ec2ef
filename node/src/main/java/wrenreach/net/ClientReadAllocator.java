package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Sizes the reads from clients' sockets and bounds them over all clients: each time that the loop looks at its sockets, every client is
 * read once, and what goes beyond that shares two budgets, of bytes and of requests. What clients send beyond it stays in their
 * sockets, so that neither the memory nor the length of an iteration grows with what many clients send at full speed. A read that
 * did not fill its buffer is always followed by another one, so that a short request and the close of its client are seen in one
 * iteration. Owned by the event loop.
 */
final class ClientReadAllocator extends AdaptiveRecvByteBufAllocator {
    /** The least size of a read: small buffers bound the memory, as the bytes of an unfinished request stay in the buffers they were read to. */
    private static final int MIN_READ_BYTES = 256;
    /** The size of the first read of a connection. */
    private static final int INITIAL_READ_BYTES = 1024;
    /** The largest size of a read. */
    static final int MAX_READ_BYTES = 16 * 1024;
    /** Reads from one client's socket each time that the loop looks at its sockets. */
    private static final int MAX_READS_PER_CLIENT = 16;
    /** Bytes read from all clients each time that the loop looks at its sockets, beyond which no client is read more than once. */
    static final int SHARED_BYTES = 1024 * 1024;
    /** Requests read from all clients in that time, beyond which clients that send many short ones are read in small pieces. */
    static final int SHARED_REQUESTS = 1024;
    /** Requests whose average is below this are short. */
    static final int SHORT_REQUEST_BYTES = 256;
    /** The size of a read beyond the budget of requests, where the read before it held short ones: a few of them. */
    static final int SMALL_READ_BYTES = 512;

    private final Executor loop;
    private final BooleanSupplier memoryShort;
    private final Runnable onMemoryShort;
    private int bytesInPass;
    private int requestsInPass;
    private boolean passEndScheduled;

    /** loop: runs tasks once it has looked at all of its sockets. */
    ClientReadAllocator(Executor loop) {
        this(loop, () -> false, () -> { });
    }

    /**
     * Reads in small pieces while memory is short.
     *
     * @param memoryShort whether the bytes read from clients take more memory than they should
     * @param onMemoryShort run where that is so once the loop has looked at all of its sockets
     */
    ClientReadAllocator(Executor loop, BooleanSupplier memoryShort, Runnable onMemoryShort) {
        super(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        this.loop = loop;
        this.memoryShort = memoryShort;
        this.onMemoryShort = onMemoryShort;
        respectMaybeMoreData(false);
        maxMessagesPerRead(MAX_READS_PER_CLIENT);
    }

    @Override public ClientHandle newHandle() {
        return new ClientHandle(super.newHandle());
    }

    /** Counts a request that was read from this client. */
    static void requestRead(Channel client) {
        if (client.unsafe().recvBufAllocHandle() instanceof ClientHandle handle) {
            handle.countRequest();
        }
    }

    private void countBytes(int bytes) {
        bytesInPass += bytes;
        if (!passEndScheduled) {
            passEndScheduled = true;
            loop.execute(this::endPass);
        }
    }

    private void endPass() {
        bytesInPass = 0;
        requestsInPass = 0;
        passEndScheduled = false;
        if (memoryShort.getAsBoolean()) {
            onMemoryShort.run();
        }
    }

    /** Sizes the reads from one client. */
    final class ClientHandle extends RecvByteBufAllocator.DelegatingHandle {
        /** Requests that the last read has completed. */
        private int requestsInRead;

        ClientHandle(RecvByteBufAllocator.Handle delegate) {
            super(delegate);
        }

        void countRequest() {
            requestsInPass++;
            requestsInRead++;
        }

        private boolean sendsShortRequests() {
            return requestsInRead * SHORT_REQUEST_BYTES > lastBytesRead();
        }

        private boolean exceedsRequestBudget() {
            return requestsInPass >= SHARED_REQUESTS && sendsShortRequests();
        }

        @Override public int guess() {
            return exceedsRequestBudget() || memoryShort.getAsBoolean() ? SMALL_READ_BYTES : super.guess();
        }

        @Override public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            requestsInRead = 0;
            if (bytes > 0) {
                countBytes(bytes);
            }
        }

        @Override public boolean continueReading() {
            boolean bufferFilled = lastBytesRead() == attemptedBytesRead();
            boolean budgetLeft = bytesInPass < SHARED_BYTES && !exceedsRequestBudget();
            return delegate().continueReading() && (budgetLeft || !bufferFilled);
        }
    }
}
