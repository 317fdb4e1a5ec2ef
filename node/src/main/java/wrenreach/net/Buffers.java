package wrenreach.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;

/** The buffers of sockets: not pooled, since a node is small and its mails are few and short. */
final class Buffers {
    /** For connections that the node opens: on the heap, but for what sockets read to. */
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);
    /** For clients: outside the heap, also where pieces of a request are put together, as all clients may send a request in part. */
    static final UnpooledByteBufAllocator CLIENT_ALLOCATOR = new UnpooledByteBufAllocator(true);

    private Buffers() { }
}
