package wrenreach.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Drops interim responses (1xx), which any number of may come ahead of a response: they neither confirm nor refuse a request. */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {
    private boolean interim;

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        if (!interim) {
            ctx.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        if (message instanceof LastHttpContent) {
            interim = false;
        }
    }
}
