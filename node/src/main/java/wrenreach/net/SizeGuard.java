package wrenreach.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.util.ReferenceCountUtil;

/** Guards memory against a client that announces more than a request may hold; it stands before the aggregators. */
final class SizeGuard extends ChannelInboundHandlerAdapter {
    static final int WORDS = 16;

    private final int bodyLimit;
    private boolean refused;

    SizeGuard(int bodyLimit) {
        this.bodyLimit = bodyLimit;
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        boolean large = message instanceof BulkStringHeaderRedisMessage bulk && bulk.bulkStringLength() > bodyLimit
                || message instanceof ArrayHeaderRedisMessage array && array.length() > WORDS;
        if (refused) {
            ReferenceCountUtil.release(message);
        } else if (large) {
            refused = true;
            ReferenceCountUtil.release(message);
            // Past the aggregators, straight to the door.
            ctx.pipeline().context(RequestDecoder.class)
                    .fireChannelRead(new Request.Unreadable("request too large", true));
        } else {
            ctx.fireChannelRead(message);
        }
    }
}
