package wrenreach.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
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
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListUpdate;
import wrenreach.endpoints.ListReader;
import wrenreach.endpoints.ListSink;
import wrenreach.log.LogEvent;

/** Follows the list of endpoints. While it can't, the node goes on with what it knows. */
public final class Discovery {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final long TCP_CONNECT_TIMEOUT_MS = 1000;
    /** How long one line on lists that can't be read stands for those that follow, in microseconds. */
    private static final long LOG_INTERVAL_US = 10_000_000;
    /** Answers begin, and the whole list is there, at once, or later where many ask for it. */
    private static final long RESPONSE_TIMEOUT_MS = 1000, MAX_RESPONSE_TIMEOUT_MS = 2000;
    /** A list that finds no room finds none a moment later: the next try comes after so many of the longest pauses. */
    private static final int TOO_LARGE_BACKOFF_FACTOR = 30;

    /**
     * Milliseconds: when a watch that says nothing is taken for dead; between a failure and the next try, at first and at
     * most. What waits to be told counts as told within seconds, so they stay short.
     */
    public record Timeouts(long silenceTimeout, long initialBackoff, long maxBackoff) {
        /**
         * A watch says something every 2 s. What a silent one misses counts as told 6 s after it fell silent: this leaves
         * time for a second one that is silent from the start, and a third. What discovery has when it works again counts as
         * told 6 s later: the last call that failed may take the whole silence, and the pause after it leaves a second.
         */
        public static final Timeouts NODE_DEFAULTS = new Timeouts(3500, 250, 1500);
    }

    /** What discovery reports. */
    public interface Host {
        /** Who takes the lists, as they come. */
        ListSink listSink();

        /** A watch or a request that was asked for broke. */
        void listFailed();
    }

    private final EventLoop loop;
    private final Host host;
    private final boolean reopensWatch;
    private final Backoff backoff;
    private final Connector connector;
    private final Timeouts timeouts;
    private InetSocketAddress address;
    private long index;
    /** Whether the version known is one of this address, and no older one has been heard since. */
    private boolean indexValid;
    private boolean following;
    /** Connections in use; those left behind by a move are none of them. */
    private final Set<Channel> openChannels = new LinkedHashSet<>();
    /** The next try after a failure. */
    private Future<?> nextTry;
    private boolean failing;
    private boolean stopped;
    private boolean refuses;
    private boolean unusableLogged;
    private long nextLogAt;
    /** The list that came last found no room. */
    private boolean listTooLarge;

    /**
     * index: the version known, and whether it is one of this address; again: a broken watch is made anew after a pause, not
     * only when asked for; seed: of the pauses.
     */
    public Discovery(EventLoop loop, ChannelFactory<? extends Channel> connecting, Host host, InetSocketAddress address, long index,
                     boolean versionHolds, boolean again, long seed, Timeouts patience) {
        this.indexValid = versionHolds;
        this.timeouts = patience;
        this.loop = loop;
        this.host = host;
        this.address = address;
        this.index = index;
        this.reopensWatch = again;
        backoff = new Backoff(patience.initialBackoff, patience.maxBackoff, seed);
        connector = new Connector(loop, new Bootstrap().channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new TimedReadAllocator(loop.ticker()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TCP_CONNECT_TIMEOUT_MS), "discovery");
    }

    /** Asks for changes from the last known version on, and for the whole list first where that is in doubt. */
    public void follow() {
        following = true;
        if (nextTry != null) {
            // Guards against a second watch where a move comes between a failure and the next try.
            nextTry.cancel(false);
        }
        if (!indexValid) {
            requestSnapshot(true);
            return;
        }
        request("/api/targets?stream=1&index=" + index, true, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new WatchBodyDecoder(), new ListFrameDecoder(), new WatchHandler());
            }
        });
    }

    /** Asks once for the whole list. */
    public void fetchSnapshot() {
        requestSnapshot(false);
    }

    private void requestSnapshot(boolean thenFollow) {
        request("/api/targets", thenFollow, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new SnapshotHandler(thenFollow));
            }
        });
    }

    /**
     * Goes on at another address. Guards against news of the old one coming late, and against versions that mean
     * something else at the new one: what is open is left behind, and the whole list is taken first.
     */
    public void setAddress(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        indexValid = false;
        backoff.reset();
        List<Channel> left = new ArrayList<>(openChannels);
        openChannels.clear();
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

    private void request(String path, boolean watch, ChannelInitializer<Channel> handlers) {
        PendingConnection opening = new PendingConnection(address, path, watch);
        opening.channel = connector.open(address, handlers, opening);
        if (opening.channel != null) {
            openChannels.add(opening.channel);
        }
    }

    /** A connection on its way up, and what is asked on it. */
    private final class PendingConnection implements Connector.Listener {
        private final InetSocketAddress target;
        private final String path;
        private final boolean watch;
        /** Null: its socket can't be made. */
        private Channel channel;

        PendingConnection(InetSocketAddress to, String path, boolean watch) {
            this.target = to;
            this.path = path;
            this.watch = watch;
        }

        @Override public void connected(Channel up) {
            if (!openChannels.contains(up)) {
                up.close();
                return;
            }
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            get.headers().set(HttpHeaderNames.HOST, Addresses.format(target));
            up.writeAndFlush(get);
        }

        @Override public void failed(boolean ofThisMachine) {
            boolean wanted = channel == null ? target.equals(address) : openChannels.remove(channel);
            if (wanted) {
                requestFailed("no connection", watch);
            }
        }
    }

    private void requestFailed(String why, boolean watch) {
        if (stopped) {
            return;
        }
        if (!failing) {
            failing = true;
            LogEvent.log(LOG, Level.WARNING, "discovery.silent", "discovery: {why}; going on with list {index}",
                    "why", why, "index", index);
        }
        if (reopensWatch && watch) {
            long pause = listTooLarge ? TOO_LARGE_BACKOFF_FACTOR * timeouts.maxBackoff : backoff.nextDelay();
            nextTry = loop.schedule(this::follow, pause, TimeUnit.MILLISECONDS);
        } else {
            following &= !watch;
            host.listFailed();
        }
    }

    /** One list on its way from discovery to who takes it. */
    private final class IncomingList implements ListSink {
        private final boolean watch;
        private ListReader reader;
        private ListSink sink;

        IncomingList(boolean watch) {
            this.watch = watch;
        }

        /** More of it has come; true: an entry is among it. */
        boolean feed(ByteBuf bytes) throws IOException {
            if (reader == null) {
                reader = new ListReader(this);
            }
            long before = reader.entryCount();
            byte[] piece = ByteBufUtil.getBytes(bytes);
            reader.feed(piece, 0, piece.length);
            return reader.entryCount() > before;
        }

        /** It has come whole. */
        void finish() throws IOException {
            if (reader == null) {
                throw new IOException("no list");
            }
            ListReader ended = reader;
            reader = null;
            ended.finish();
        }

        @Override public void begin() {
            sink = host.listSink();
            sink.begin();
        }

        @Override public void entry(ListUpdate.Entry entry) throws IOException {
            sink.entry(entry);
        }

        @Override public void end(long version, boolean whole) throws IOException {
            if (watch && version < index) {
                // Guards against news that come late, and drains undone by them: the whole list says what holds.
                indexValid = false;
                throw new IOException("version " + version + " after " + index);
            }
            sink.end(version, whole);
            index = version;
            indexValid = true;
            listTooLarge = false;
            if (failing) {
                failing = false;
                LogEvent.log(LOG, Level.INFO, "discovery.heard", "discovery: heard again, list {index}", "index", index);
            }
        }
    }

    /** A list can't be used: the one before holds on. */
    private void listUnusable(IOException why) {
        listTooLarge = why instanceof EndpointTable.TooLarge;
        if (listTooLarge) {
            LogEvent.log(LOG, Level.ERROR, "discovery.toolarge", "discovery: {why}; list {index} holds on, and what has changed "
                    + "since is not known here; the next try is in {seconds} s", "why", why.getMessage(), "index", index, "seconds",
                    TOO_LARGE_BACKOFF_FACTOR * timeouts.maxBackoff / 1000);
        } else {
            logUnusable(why.getMessage());
        }
    }

    /** Guards the log against lists that can't be read time and again: one line stands for a while. */
    private void logUnusable(String why) {
        long now = loop.ticker().nanoTime() / 1000;
        if (!unusableLogged || now >= nextLogAt) {
            unusableLogged = true;
            nextLogAt = now + LOG_INTERVAL_US;
            LogEvent.log(LOG, Level.WARNING, "discovery.line", "discovery: a list can't be used: {why}", "why",
                    String.valueOf(why).lines().findFirst().orElse(""));
        }
    }

    /** The bytes of a watch's body, as they come. */
    private final class WatchBodyDecoder extends MessageToMessageDecoder<HttpObject> {
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

    private abstract class ResponseHandler<T> extends SimpleChannelInboundHandler<T> {
        private final boolean watch;
        private DelayedTask timeout;

        ResponseHandler(boolean watch) {
            this.watch = watch;
        }

        /** Closes the connection unless this is called again within so long. */
        final void restartTimeout(ChannelHandlerContext ctx, long ms) {
            if (timeout != null) {
                timeout.cancel();
            }
            timeout = DelayedTask.schedule(loop, 1000 * ms, ctx::close);
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            restartTimeout(ctx, backoff.scaledTimeout(RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS));
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (timeout != null) {
                timeout.cancel();
            }
            if (openChannels.remove(ctx.channel())) {
                requestFailed("silent or closed", watch);
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException && openChannels.contains(ctx.channel())) {
                logUnusable(cause.getMessage());
            }
            ctx.close();
        }
    }

    /** Only whole objects and blank lines are signs of life: guards against a watch that dies within one. */
    private final class WatchHandler extends ResponseHandler<ListFrameDecoder.Fragment> {
        /** What it said is not known: a new watch tells all since the last version that is, and nothing after counts. */
        private boolean malformed;
        private final IncomingList incoming = new IncomingList(true);

        WatchHandler() {
            super(true);
        }

        @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof HttpResponse) {
                restartTimeout(ctx, timeouts.silenceTimeout);
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ListFrameDecoder.Fragment piece) {
            if (malformed || !openChannels.contains(ctx.channel())) {
                return;
            }
            if (!piece.content().isReadable()) {
                restartTimeout(ctx, timeouts.silenceTimeout);
                // Not at each list: one that is followed by a spoilt one is no reason to ask faster.
                backoff.reset();
                return;
            }
            try {
                if (incoming.feed(piece.content()) || piece.last) {
                    restartTimeout(ctx, timeouts.silenceTimeout);
                }
                if (piece.last) {
                    incoming.finish();
                }
            } catch (IOException e) {
                malformed = true;
                listUnusable(e);
                ctx.close();
            }
        }
    }

    private final class SnapshotHandler extends ResponseHandler<HttpObject> {
        private final boolean thenFollow;
        private final IncomingList incoming = new IncomingList(false);
        private boolean consumed;

        SnapshotHandler(boolean thenFollow) {
            super(thenFollow);
            this.thenFollow = thenFollow;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (consumed || !openChannels.contains(ctx.channel())) {
                return;
            }
            boolean sound = message.decoderResult().isSuccess()
                    && !(message instanceof HttpResponse response && response.status().code() != 200);
            try {
                if (sound && message instanceof HttpContent content && content.content().isReadable()
                        && incoming.feed(content.content())) {
                    restartTimeout(ctx, backoff.scaledTimeout(RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS));
                }
                if (sound && message instanceof LastHttpContent) {
                    consumed = true;
                    incoming.finish();
                    if (openChannels.remove(ctx.channel()) && thenFollow) {
                        follow();
                    }
                }
            } catch (IOException e) {
                consumed = true;
                listUnusable(e);
            }
            if (!sound || consumed) {
                ctx.close();
            }
        }
    }
}
