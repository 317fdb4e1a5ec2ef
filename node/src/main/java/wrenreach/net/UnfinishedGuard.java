package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Guards memory against requests that never end: it stands first and counts what has come of one that is not whole. */
final class UnfinishedGuard extends ChannelInboundHandlerAdapter {
    private final int limit;
    private int unfinished;
    private long begun;
    private boolean stopped;

    UnfinishedGuard(int limit) {
        this.limit = limit;
    }

    /** Whether part of a request has come. */
    boolean midway() {
        return unfinished > 0;
    }

    /** When its first byte came; by the loop's ticker. */
    long begun() {
        return begun;
    }

    /** A request came out whole. */
    void whole() {
        unfinished = 0;
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
        begun = unfinished == 0 ? ctx.executor().ticker().nanoTime() : begun;
        unfinished += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
        if (unfinished > limit && !stopped) {
            stopped = true;
            // Past the codecs, straight to the door.
            ctx.pipeline().context(RequestDecoder.class)
                    .fireChannelRead(new Request.Unreadable("request too large", true));
        }
    }
}
