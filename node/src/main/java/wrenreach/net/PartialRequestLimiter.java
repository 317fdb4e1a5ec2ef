package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Guards memory against requests that never end: it stands first and counts what has come of one that is not whole. */
final class PartialRequestLimiter extends ChannelInboundHandlerAdapter {
    private final int maxBytes;
    private int partialBytes;
    private long firstByteAt;
    private boolean stopped;

    PartialRequestLimiter(int limit) {
        this.maxBytes = limit;
    }

    /** Whether part of a request has come. */
    boolean hasPartialRequest() {
        return partialBytes > 0;
    }

    /** When its first byte came; by the loop's ticker. */
    long firstByteAt() {
        return firstByteAt;
    }

    /** A request came out whole. */
    void requestCompleted() {
        partialBytes = 0;
    }

    /** Nothing more is read. */
    void stop() {
        stopped = true;
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (stopped) {
            ReferenceCountUtil.release(message);
            return;
        }
        firstByteAt = partialBytes == 0 ? ctx.executor().ticker().nanoTime() : firstByteAt;
        partialBytes += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
        if (partialBytes > maxBytes && !stopped) {
            stopped = true;
            // Past the codecs, straight to the door.
            ctx.pipeline().context(RequestDecoder.class)
                    .fireChannelRead(new Request.Malformed("request too large", true));
        }
    }
}
