package wrenreach.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageEncoder;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import java.util.List;

/** Encodes a reply as a RESP message. */
final class ReplyEncoder extends MessageToMessageEncoder<Reply> {
    @Override protected void encode(ChannelHandlerContext ctx, Reply reply, List<Object> out) {
        if (reply instanceof Reply.Accepted) {
            out.add(new SimpleStringRedisMessage("OK"));
        } else if (reply instanceof Reply.Pong) {
            out.add(new SimpleStringRedisMessage("PONG"));
        } else if (reply instanceof Reply.Busy busy) {
            out.add(new ErrorRedisMessage(busy.retryAfterMs() > 0 ? "BUSY " + busy.retryAfterMs() : "BUSY"));
        } else if (reply instanceof Reply.Error error) {
            out.add(new ErrorRedisMessage("ERR " + error.reason()));
        }
    }
}
