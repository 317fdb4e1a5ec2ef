package wrenreach.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import wrenreach.log.LogEvent;

/** Follows the list of endpoints. While it can't, the node goes on with what it knows. */
public final class Discovery {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final int LINE_LIMIT = 4 << 20;
    /** A watch says something every 2 s: two lines missed, and it is made anew. */
    private static final long SILENCE_MS = 4500, CONNECT_MS = 1000;
    /** Between a failure and the next try. What waits to be told counts as told within seconds, so they stay short. */
    private static final long FIRST_PAUSE_MS = 250, LONGEST_PAUSE_MS = 2000;
    /** The whole list is answered at once, or later where many ask for it. */
    private static final long WHOLE_MS = 1000;

    /** What discovery reports. */
    public interface Host {
        void discovered(ListLine line);

        /** A watch or a request that was asked for broke. */
        void listFailed();
    }

    private final EventLoop loop;
    private final Host host;
    private final boolean again;
    private final Pauses pauses;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private long index;
    /** Whether the version known is one of this address. */
    private boolean versionHolds = true;
    private boolean following;
    /** Connections in use; those left behind by a move are none of them. */
    private final Set<Channel> open = new LinkedHashSet<>();
    /** The next try after a failure. */
    private Future<?> next;
    private boolean silent;
    private boolean stopped;

    /** again: a broken watch is made anew after a pause, not only when asked for; seed: of the pauses. */
    public Discovery(EventLoop loop, ChannelFactory<? extends Channel> connecting, Host host, InetSocketAddress address, long index, boolean again,
                     long seed) {
        this.loop = loop;
        this.host = host;
        this.address = address;
        this.index = index;
        this.again = again;
        pauses = new Pauses(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, seed);
        bootstrap = new Bootstrap().group(loop).channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_MS);
    }

    /** Asks for changes from the last known version on, and for the whole list first where that is in doubt. */
    public void follow() {
        following = true;
        if (next != null) {
            // Guards against a second watch where a move comes between a failure and the next try.
            next.cancel(false);
        }
        if (!versionHolds) {
            whole(true);
            return;
        }
        ask("/api/targets?stream=1&index=" + index, true, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReadTimeoutHandler(SILENCE_MS, TimeUnit.MILLISECONDS),
                        new HttpClientCodec(), new Contents(), new LineBasedFrameDecoder(LINE_LIMIT), new Lines());
            }
        });
    }

    /** Asks once for the whole list. */
    public void fetch() {
        whole(false);
    }

    private void whole(boolean thenFollow) {
        ask("/api/targets", thenFollow, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReadTimeoutHandler(pauses.stretched(WHOLE_MS), TimeUnit.MILLISECONDS),
                        new HttpClientCodec(), new HttpObjectAggregator(LINE_LIMIT), new Whole(thenFollow));
            }
        });
    }

    /**
     * Goes on at another address. Guards against news of the old one coming late, and against versions that mean
     * something else at the new one: what is open is left behind, and the whole list is taken first.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        versionHolds = false;
        pauses.over();
        List<Channel> left = new ArrayList<>(open);
        open.clear();
        left.forEach(Channel::close);
        if (following && !stopped) {
            follow();
        }
    }

    /** Whether the last try has failed and nothing was heard since. */
    public boolean silent() {
        return silent;
    }

    public void stop() {
        stopped = true;
    }

    private void ask(String path, boolean watch, ChannelInitializer<Channel> handlers) {
        ChannelFuture opening = bootstrap.clone().handler(handlers).connect(address);
        Channel channel = opening.channel();
        open.add(channel);
        opening.addListener(done -> {
            if (!open.contains(channel)) {
                channel.close();
            } else if (!done.isSuccess()) {
                open.remove(channel);
                broken("no connection", watch);
            } else {
                DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                get.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
                channel.writeAndFlush(get);
            }
        });
    }

    private void broken(String why, boolean watch) {
        if (stopped) {
            return;
        }
        if (!silent) {
            silent = true;
            LogEvent.tell(LOG, Level.WARNING, "discovery.silent", "discovery: {why}; going on with list {index}",
                    "why", why, "index", index);
        }
        if (again && watch) {
            next = loop.schedule(this::follow, pauses.next(), TimeUnit.MILLISECONDS);
        } else {
            following &= !watch;
            host.listFailed();
        }
    }

    private void read(Channel from, ByteBuf text) {
        byte[] line = ByteBufUtil.getBytes(text);
        if (!open.contains(from) || new String(line, StandardCharsets.ISO_8859_1).isBlank()) {
            return;
        }
        try {
            ListLine list = ListReader.read(line);
            index = list.index();
            versionHolds = true;
            pauses.over();
            if (silent) {
                silent = false;
                LogEvent.tell(LOG, Level.INFO, "discovery.heard", "discovery: heard again, list {index}", "index", index);
            }
            host.discovered(list);
        } catch (IOException e) {
            LogEvent.tell(LOG, Level.WARNING, "discovery.line", "discovery: a line can't be read: {why}", "why", e.getMessage());
        }
    }

    /** The bytes of a watch's body, as they come. */
    private static final class Contents extends MessageToMessageDecoder<HttpObject> {
        @Override protected void decode(ChannelHandlerContext ctx, HttpObject message, List<Object> out) {
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse response && response.status().code() != 200) {
                ctx.close();
                return;
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }
    }

    private abstract class Answers<T> extends SimpleChannelInboundHandler<T> {
        private final boolean watch;

        Answers(boolean watch) {
            this.watch = watch;
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (open.remove(ctx.channel())) {
                broken("silent or closed", watch);
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class Lines extends Answers<ByteBuf> {
        Lines() {
            super(true);
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            read(ctx.channel(), line);
        }
    }

    private final class Whole extends Answers<FullHttpResponse> {
        private final boolean thenFollow;

        Whole(boolean thenFollow) {
            super(thenFollow);
            this.thenFollow = thenFollow;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().code() == 200 && response.decoderResult().isSuccess()) {
                read(ctx.channel(), response.content());
                if (open.remove(ctx.channel()) && thenFollow) {
                    follow();
                }
            }
            ctx.close();
        }
    }
}
