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
import wrenreach.endpoints.ListLine;
import wrenreach.endpoints.ListReader;
import wrenreach.endpoints.ListSink;
import wrenreach.log.LogEvent;

/** Follows the list of endpoints. While it can't, the node goes on with what it knows. */
public final class Discovery {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final long CONNECT_MS = 1000;
    /** How long one line on lists that can't be read stands for those that follow, in microseconds. */
    private static final long QUIET = 10_000_000;
    /** Answers begin, and the whole list is there, at once, or later where many ask for it. */
    private static final long ANSWER_MS = 1000, LONGEST_ANSWER_MS = 2000;
    /** A list that finds no room finds none a moment later: the next try comes after so many of the longest pauses. */
    private static final int NO_ROOM_PAUSES = 30;

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
        /** Who takes the lists, as they come. */
        ListSink list();

        /** A watch or a request that was asked for broke. */
        void listFailed();
    }

    private final EventLoop loop;
    private final Host host;
    private final boolean again;
    private final Pauses pauses;
    private final Connector connector;
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
    /** The list that came last found no room. */
    private boolean noRoom;

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
        connector = new Connector(loop, new Bootstrap().channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new PacedReads(loop.ticker()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_MS), "discovery");
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
                channel.pipeline().addLast(new HttpClientCodec(), new Contents(), new ListFrames(), new Lines());
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
                channel.pipeline().addLast(new HttpClientCodec(), new Whole(thenFollow));
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
        Opening opening = new Opening(address, path, watch);
        opening.channel = connector.open(address, handlers, opening);
        if (opening.channel != null) {
            open.add(opening.channel);
        }
    }

    /** A connection on its way up, and what is asked on it. */
    private final class Opening implements Connector.Listener {
        private final InetSocketAddress to;
        private final String path;
        private final boolean watch;
        /** Null: its socket can't be made. */
        private Channel channel;

        Opening(InetSocketAddress to, String path, boolean watch) {
            this.to = to;
            this.path = path;
            this.watch = watch;
        }

        @Override public void connected(Channel up) {
            if (!open.contains(up)) {
                up.close();
                return;
            }
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            get.headers().set(HttpHeaderNames.HOST, Addresses.text(to));
            up.writeAndFlush(get);
        }

        @Override public void failed(boolean ofThisMachine) {
            boolean wanted = channel == null ? to.equals(address) : open.remove(channel);
            if (wanted) {
                broken("no connection", watch);
            }
        }
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
            long pause = noRoom ? NO_ROOM_PAUSES * patience.longestPause : pauses.next();
            next = loop.schedule(this::follow, pause, TimeUnit.MILLISECONDS);
        } else {
            following &= !watch;
            host.listFailed();
        }
    }

    /** One list on its way from discovery to who takes it. */
    private final class Incoming implements ListSink {
        private final boolean watch;
        private ListReader reader;
        private ListSink to;

        Incoming(boolean watch) {
            this.watch = watch;
        }

        /** More of it has come; true: an entry is among it. */
        boolean read(ByteBuf bytes) throws IOException {
            if (reader == null) {
                reader = new ListReader(this);
            }
            long before = reader.entries();
            byte[] piece = ByteBufUtil.getBytes(bytes);
            reader.piece(piece, 0, piece.length);
            return reader.entries() > before;
        }

        /** It has come whole. */
        void over() throws IOException {
            if (reader == null) {
                throw new IOException("no list");
            }
            ListReader ended = reader;
            reader = null;
            ended.over();
        }

        @Override public void begin() {
            to = host.list();
            to.begin();
        }

        @Override public void entry(ListLine.Entry entry) throws IOException {
            to.entry(entry);
        }

        @Override public void end(long version, boolean whole) throws IOException {
            if (watch && version < index) {
                // Guards against news that come late, and drains undone by them: the whole list says what holds.
                versionHolds = false;
                throw new IOException("version " + version + " after " + index);
            }
            to.end(version, whole);
            index = version;
            versionHolds = true;
            noRoom = false;
            if (silent) {
                silent = false;
                LogEvent.tell(LOG, Level.INFO, "discovery.heard", "discovery: heard again, list {index}", "index", index);
            }
        }
    }

    /** A list can't be used: the one before holds on. */
    private void unusable(IOException why) {
        noRoom = why instanceof EndpointTable.TooLarge;
        if (noRoom) {
            LogEvent.tell(LOG, Level.ERROR, "discovery.toolarge", "discovery: {why}; list {index} holds on, and what has changed "
                    + "since is not known here; the next try is in {seconds} s", "why", why.getMessage(), "index", index, "seconds",
                    NO_ROOM_PAUSES * patience.longestPause / 1000);
        } else {
            complain(why.getMessage());
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
    private final class Lines extends Answers<ListFrames.Piece> {
        /** What it said is not known: a new watch tells all since the last version that is, and nothing after counts. */
        private boolean spoilt;
        private final Incoming incoming = new Incoming(true);

        Lines() {
            super(true);
        }

        @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof HttpResponse) {
                within(ctx, patience.silence);
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ListFrames.Piece piece) {
            if (spoilt || !open.contains(ctx.channel())) {
                return;
            }
            if (!piece.content().isReadable()) {
                within(ctx, patience.silence);
                // Not at each list: one that is followed by a spoilt one is no reason to ask faster.
                pauses.over();
                return;
            }
            try {
                if (incoming.read(piece.content()) || piece.last) {
                    within(ctx, patience.silence);
                }
                if (piece.last) {
                    incoming.over();
                }
            } catch (IOException e) {
                spoilt = true;
                unusable(e);
                ctx.close();
            }
        }
    }

    private final class Whole extends Answers<HttpObject> {
        private final boolean thenFollow;
        private final Incoming incoming = new Incoming(false);
        private boolean used;

        Whole(boolean thenFollow) {
            super(thenFollow);
            this.thenFollow = thenFollow;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (used || !open.contains(ctx.channel())) {
                return;
            }
            boolean sound = message.decoderResult().isSuccess()
                    && !(message instanceof HttpResponse response && response.status().code() != 200);
            try {
                if (sound && message instanceof HttpContent content && content.content().isReadable()
                        && incoming.read(content.content())) {
                    within(ctx, pauses.stretched(ANSWER_MS, LONGEST_ANSWER_MS));
                }
                if (sound && message instanceof LastHttpContent) {
                    used = true;
                    incoming.over();
                    if (open.remove(ctx.channel()) && thenFollow) {
                        follow();
                    }
                }
            } catch (IOException e) {
                used = true;
                unusable(e);
            }
            if (!sound || used) {
                ctx.close();
            }
        }
    }
}
