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
import io.netty.handler.codec.DecoderException;
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
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
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
    private static final long CONNECT_MS = 1000;
    /** How long one line on lists that can't be read stands for those that follow, in microseconds. */
    private static final long QUIET = 10_000_000;
    /** Answers begin, and the whole list is there, at once, or later where many ask for it. */
    private static final long ANSWER_MS = 1000, LONGEST_ANSWER_MS = 2000;

    /**
     * Milliseconds: when a watch that says nothing is taken for dead; between a failure and the next try, at first and at
     * most. What waits to be told counts as told within seconds, so they stay short.
     */
    public record Patience(long silence, long firstPause, long longestPause) {
        /**
         * A watch says something every 2 s. What a silent one misses counts as told 6 s after it fell silent: this leaves
         * time for a second one that is silent from the start, and a third. What discovery has when it works again counts as
         * told 6 s later: the last call that failed may take the whole silence, and the pause after it leaves a second.
         */
        public static final Patience OF_NODES = new Patience(3500, 250, 1500);
    }

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
    private final Patience patience;
    private InetSocketAddress address;
    private long index;
    /** Whether the version known is one of this address, and no older one has been heard since. */
    private boolean versionHolds;
    private boolean following;
    /** Connections in use; those left behind by a move are none of them. */
    private final Set<Channel> open = new LinkedHashSet<>();
    /** The next try after a failure. */
    private Future<?> next;
    private boolean silent;
    private boolean stopped;
    private boolean refuses;
    private boolean told;
    private long quietUntil;

    /**
     * index: the version known, and whether it is one of this address; again: a broken watch is made anew after a pause, not
     * only when asked for; seed: of the pauses.
     */
    public Discovery(EventLoop loop, ChannelFactory<? extends Channel> connecting, Host host, InetSocketAddress address, long index,
                     boolean versionHolds, boolean again, long seed, Patience patience) {
        this.versionHolds = versionHolds;
        this.patience = patience;
        this.loop = loop;
        this.host = host;
        this.address = address;
        this.index = index;
        this.again = again;
        pauses = new Pauses(patience.firstPause, patience.longestPause, seed);
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
                channel.pipeline().addLast(new HttpClientCodec(), new Contents(), new ListFrames(LINE_LIMIT), new Lines());
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
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LINE_LIMIT), new Whole(thenFollow));
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

    /** Whether it has answered a watch that it has no list to tell: that is no silence. */
    public boolean refuses() {
        return refuses;
    }

    /** Where the list comes from. */
    public InetSocketAddress address() {
        return address;
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

    /** Reads one list; false: it can't be used, and its connection serves no further use. */
    private boolean read(ByteBuf text, boolean watch) {
        try {
            ListLine list = ListReader.read(ByteBufUtil.getBytes(text));
            if (watch && list.index() < index) {
                // Guards against news that come late, and drains undone by them: the whole list says what holds.
                versionHolds = false;
                complain("version " + list.index() + " after " + index);
                return false;
            }
            index = list.index();
            versionHolds = true;
            if (silent) {
                silent = false;
                LogEvent.tell(LOG, Level.INFO, "discovery.heard", "discovery: heard again, list {index}", "index", index);
            }
            host.discovered(list);
            return true;
        } catch (IOException e) {
            complain(e.getMessage());
            return false;
        }
    }

    /** Guards the log against lists that can't be read time and again: one line stands for a while. */
    private void complain(String why) {
        long now = loop.ticker().nanoTime() / 1000;
        if (!told || now >= quietUntil) {
            told = true;
            quietUntil = now + QUIET;
            LogEvent.tell(LOG, Level.WARNING, "discovery.line", "discovery: a list can't be used: {why}", "why",
                    String.valueOf(why).lines().findFirst().orElse(""));
        }
    }

    /** The bytes of a watch's body, as they come. */
    private final class Contents extends MessageToMessageDecoder<HttpObject> {
        @Override protected void decode(ChannelHandlerContext ctx, HttpObject message, List<Object> out) {
            boolean refused = message instanceof HttpResponse response && response.status().code() != 200;
            if (message.decoderResult().isFailure() || refused) {
                refuses |= refused && message.decoderResult().isSuccess();
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse) {
                ctx.fireUserEventTriggered(message);
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
        private Due overdue;

        Answers(boolean watch) {
            this.watch = watch;
        }

        /** Closes the connection unless this is called again within so long. */
        final void within(ChannelHandlerContext ctx, long ms) {
            if (overdue != null) {
                overdue.cancel();
            }
            overdue = Due.after(loop, 1000 * ms, ctx::close);
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            within(ctx, pauses.stretched(ANSWER_MS, LONGEST_ANSWER_MS));
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (overdue != null) {
                overdue.cancel();
            }
            if (open.remove(ctx.channel())) {
                broken("silent or closed", watch);
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException && open.contains(ctx.channel())) {
                complain(cause.getMessage());
            }
            ctx.close();
        }
    }

    /** Only whole objects and blank lines are signs of life: guards against a watch that dies within one. */
    private final class Lines extends Answers<ByteBuf> {
        /** What it said is not known: a new watch tells all since the last version that is, and nothing after counts. */
        private boolean spoilt;

        Lines() {
            super(true);
        }

        @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof HttpResponse) {
                within(ctx, patience.silence);
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            if (spoilt || !open.contains(ctx.channel())) {
                return;
            }
            within(ctx, patience.silence);
            if (!line.isReadable()) {
                // Not at each list: one that is followed by a spoilt one is no reason to ask faster.
                pauses.over();
            } else if (!read(line, true)) {
                spoilt = true;
                ctx.close();
            }
        }
    }

    private final class Whole extends Answers<FullHttpResponse> {
        private final boolean thenFollow;

        Whole(boolean thenFollow) {
            super(thenFollow);
            this.thenFollow = thenFollow;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (open.contains(ctx.channel()) && response.status().code() == 200 && response.decoderResult().isSuccess()
                    && read(response.content(), false) && open.remove(ctx.channel()) && thenFollow) {
                follow();
            }
            ctx.close();
        }
    }
}
