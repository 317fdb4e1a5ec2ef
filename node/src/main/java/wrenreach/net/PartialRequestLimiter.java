package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Bounds the memory of requests that never end. It is the first handler and counts the bytes of a request that is not complete. */
final class PartialRequestLimiter extends ChannelInboundHandlerAdapter {
    private final int maxBytes;
    private int partialBytes;
    private long firstByteAt;
    private boolean stopped;

    PartialRequestLimiter(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Whether a request has come in part. */
    boolean hasPartialRequest() {
        return partialBytes > 0;
    }

    /** How many bytes of it have come. */
    int partialBytes() {
        return partialBytes;
    }

    /** When the first byte of that request came, in nanoseconds of the loop's ticker. */
    long firstByteAt() {
        return firstByteAt;
    }

    /** A complete request was decoded. */
    void requestCompleted() {
        partialBytes = 0;
    }

    /** Discards all further input. */
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
            // Bypasses the codecs and goes straight to the server.
            ctx.pipeline().context(RequestDecoder.class)
                    .fireChannelRead(new Request.Malformed("request too large", true));
        }
    }
}
