package wrenreach.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;

/** The buffers of all sockets: on the heap and not pooled, since a node is small and its mails are few and short. */
final class Buffers {
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

    private Buffers() { }
}
