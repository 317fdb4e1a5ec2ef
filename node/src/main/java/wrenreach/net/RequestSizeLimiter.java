package wrenreach.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.util.ReferenceCountUtil;

/**
 * Rejects a request whose announced lengths exceed what a request may hold. It precedes the aggregators, which would allocate memory
 * for it.
 */
final class RequestSizeLimiter extends ChannelInboundHandlerAdapter {
    /** The most words in a request; more than any command has. */
    static final int MAX_WORDS = 16;

    private final int maxBodyBytes;
    private boolean rejected;

    RequestSizeLimiter(int bodyLimit) {
        this.maxBodyBytes = bodyLimit;
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        boolean large = message instanceof BulkStringHeaderRedisMessage bulk && bulk.bulkStringLength() > maxBodyBytes
                || message instanceof ArrayHeaderRedisMessage array && array.length() > MAX_WORDS;
        if (rejected) {
            ReferenceCountUtil.release(message);
        } else if (large) {
            rejected = true;
            ReferenceCountUtil.release(message);
            // Bypasses the aggregators and goes straight to the server.
            ctx.pipeline().context(RequestDecoder.class)
                    .fireChannelRead(new Request.Malformed("request too large", true));
        } else {
            ctx.fireChannelRead(message);
        }
    }
}
