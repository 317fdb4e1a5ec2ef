package wrenreach.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import wrenreach.api.Outcome;
import wrenreach.held.HeldMail;
import wrenreach.log.LogEvent;
import wrenreach.state.Connect;
import wrenreach.state.Endpoint;
import wrenreach.state.Route;

/**
 * Calls to endpoints and the connections that carry them, one call at a time each. A call is staged until the
 * turn's records are written; what must not go out any more by then never does.
 */
public final class Calls {
    private static final System.Logger LOG = System.getLogger(Calls.class.getName());
    /** Part of the settings' idle time after which a connection is given up, before the other side does. */
    private static final double IDLE_PART = 0.9;
    /** The protocol's limit of a body, and how long an answer may take from its first line to its last byte. */
    private static final int BODY_LIMIT = 64 * 1024;
    private static final long ANSWER_MS = 500;
    /** How long one line on answers that can't be read stands for those that follow. */
    private static final long QUIET = 10_000_000;

    /** What the calls report. */
    public interface Host {
        /** The time of the turn. */
        long turn();

        /** How long ago the turn began, in microseconds: what is read now came later than {@link #turn} by this much. */
        long turnAge();

        /** A connect ended. */
        void ended(HeldMail held, Connect connect, Outcome outcome, double[] report, boolean over);

        /** Whether the mail's turn is held up by an ending that the platform has not heard yet. */
        boolean heldBack(HeldMail held);

        /** The call's bytes go out next. */
        void goesOut(HeldMail held, Connect connect);
    }

    /** Where an endpoint listens and its connections that stand idle, latest used last. */
    private static final class Pool {
        InetSocketAddress address;
        boolean gone;
        final Deque<Link> idle = new ArrayDeque<>(4);
    }

    /** One call under way. */
    private static final class Outgoing {
        final HeldMail held;
        final Connect connect;
        Link link;
        Due cut;
        boolean over;

        Outgoing(HeldMail held, Connect connect) {
            this.held = held;
            this.connect = connect;
        }
    }

    private final EventLoop loop;
    private final Host host;
    private final CallCodec codec;
    private final long idleFor;
    private final int idleLimit;
    private final Connector connector;
    private final Map<Endpoint, Pool> pools = new IdentityHashMap<>();
    private final Map<Connect, Outgoing> out = new LinkedHashMap<>();
    private final Map<Route, Long> toldUntil = new IdentityHashMap<>();
    private final Deque<Link> idle = new ArrayDeque<>();
    private List<Outgoing> staged = new ArrayList<>();
    private final List<Outgoing> going = new ArrayList<>();
    private int spoilt;
    private long quietUntil;

    /** Times in microseconds; idleLimit: connections that may stand idle. */
    public Calls(EventLoop loop, ChannelFactory<? extends Channel> connecting, Host host, List<String> reportNames,
                 long idleFor, long connectTimeout, int idleLimit) {
        this.loop = loop;
        this.host = host;
        this.codec = new CallCodec(reportNames);
        this.idleFor = idleFor > 0 ? (long) (idleFor * IDLE_PART) : Long.MAX_VALUE;
        this.idleLimit = idleLimit;
        connector = new Connector(loop, new Bootstrap().channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        connectTimeout > 0 ? (int) Math.max(1, connectTimeout / 1000) : 30_000), "attempts");
    }

    /** Where the endpoint listens from now on. */
    public void locate(Endpoint endpoint, InetSocketAddress address) {
        Pool pool = pools.computeIfAbsent(endpoint, e -> new Pool());
        if (!address.equals(pool.address)) {
            release(endpoint);
            pool.address = address;
        }
    }

    /** Drops all but these endpoints; their idle connections close, and those in use do so after their call. */
    public void keepOnly(Set<Endpoint> listed) {
        pools.keySet().stream().filter(endpoint -> !listed.contains(endpoint)).toList().forEach(this::drop);
    }

    /** Drops one endpoint: its idle connections close, and those in use do so after their call. */
    public void drop(Endpoint endpoint) {
        Pool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.gone = true;
            new ArrayList<>(pool.idle).forEach(Link::close);
        }
    }

    public int underWay() {
        return out.size();
    }

    /** Makes a connect: over an idle connection, else a new one. */
    public void send(HeldMail held, Connect connect) {
        Outgoing call = new Outgoing(held, connect);
        out.put(connect, call);
        Pool pool = pools.get(connect.endpoint);
        Link link = pool == null ? null : pool.idle.pollLast();
        call.cut = Due.after(loop, connect.cutAt - host.turn(), () -> cut(call));
        if (link != null) {
            idle.remove(link);
            link.stopIdling();
            connect.kept = true;
            carry(link, call);
        } else if (pool == null || pool.address == null) {
            loop.execute(() -> end(call, new Outcome.Unreached()));
        } else {
            open(pool, call);
        }
    }

    private void open(Pool pool, Outgoing call) {
        Link link = new Link(pool);
        link.call = call;
        call.link = link;
        link.channel = connector.open(pool.address, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(link.start, new HttpObjectAggregator(BODY_LIMIT),
                        new HttpRequestEncoder(), link);
            }
        }, new Connector.Listener() {
            @Override public void connected(Channel channel) {
                if (!call.over) {
                    host.turn();
                    carry(link, call);
                }
            }

            @Override public void failed(boolean ofThisMachine) {
                end(call, ofThisMachine ? new Outcome.LocalFault() : new Outcome.Unreached());
            }
        });
    }

    private void carry(Link link, Outgoing call) {
        link.call = call;
        link.written = false;
        call.link = link;
        staged.add(call);
    }

    /** The module has heard a told wait: nothing unwritten goes to this route before it is over. */
    private void toldToWait(Route route, long until) {
        toldUntil.values().removeIf(passed -> passed <= host.turn());
        toldUntil.merge(route, until, Math::max);
    }

    /**
     * Before the module decides: ends staged calls that must not be written any more. Guards drains and told
     * waits that came in, repeats whose window ended, and addresses that passed to another endpoint, while the connection
     * was being made.
     */
    public void dropForbidden() {
        long now = host.turn();
        for (Outgoing call : List.copyOf(staged)) {
            Endpoint endpoint = call.connect.endpoint;
            if (!endpoint.ready || call.link.leftBehind() || call.connect.goesBy < now || toldUntil.getOrDefault(endpoint.route, Long.MIN_VALUE) > now) {
                Link link = call.link;
                end(call, new Outcome.NotSent(false));
                link.rest();
            }
        }
    }

    /** Before the turn's records are written: names each call whose bytes go out after them. */
    public void choose() {
        List<Outgoing> kept = new ArrayList<>();
        for (Outgoing call : staged) {
            if (host.heldBack(call.held)) {
                kept.add(call);
            } else {
                host.goesOut(call.held, call.connect);
                going.add(call);
            }
        }
        staged = kept;
    }

    /** What was chosen does not go out after all: it is staged again, and each is told to taken. */
    public void unchoose(BiConsumer<HeldMail, Connect> taken) {
        List<Outgoing> chosen = List.copyOf(going);
        going.clear();
        staged.addAll(0, chosen);
        chosen.forEach(call -> taken.accept(call.held, call.connect));
    }

    /** Writes the chosen calls. */
    public void flush(long now) {
        // Guards against second copies: whatever happens while they are written, none is written again.
        List<Outgoing> chosen = List.copyOf(going);
        going.clear();
        for (Outgoing call : chosen) {
            if (!call.over) {
                write(call, Math.max(0, (call.connect.cutAt - now) / 1000));
            }
        }
    }

    private void write(Outgoing call, long budgetMs) {
        Link link = call.link;
        String host = Addresses.text(link.address);
        link.expect();
        link.channel.writeAndFlush(CallCodec.request(call.held.submission, host, budgetMs)).addListener(done -> {
            link.written = done.isSuccess();
            if (!done.isSuccess()) {
                // Closing a connection fails its unfinished write at once, in the middle of whoever closes it.
                loop.execute(() -> unwritten(link, call));
            }
        });
    }

    private void unwritten(Link link, Outgoing call) {
        link.close();
        end(call, new Outcome.Unreached());
    }

    private void cut(Outgoing call) {
        boolean written = call.link != null && call.link.written;
        boolean waits = staged.contains(call);
        abandon(call);
        end(call, relayed(call) ? new Outcome.Relayed() : written ? new Outcome.TimedOut()
                : waits ? new Outcome.NotSent(false) : new Outcome.Unreached());
    }

    /** Guards against sending again what was relayed: a first line with 200 is true, whatever follows it. */
    private static boolean relayed(Outgoing call) {
        return call.link != null && call.link.start.status() == 200;
    }

    /** Stops waiting for a connect; its outcome is reported in a later turn. */
    public void revoke(Connect connect) {
        Outgoing call = out.get(connect);
        if (call != null) {
            abandon(call);
            loop.execute(() -> end(call, relayed(call) ? new Outcome.Relayed()
                    : call.link != null && call.link.written ? new Outcome.CalledOff() : new Outcome.NotSent(false)));
        }
    }

    private void abandon(Outgoing call) {
        staged.remove(call);
        if (call.link != null) {
            call.link.call = null;
            call.link.close();
        }
    }

    private void end(Outgoing call, Outcome outcome) {
        end(call, new CallAnswer(outcome, new double[0], outcome instanceof Outcome.Relayed, true));
    }

    private void end(Outgoing call, CallAnswer answer) {
        if (call.over) {
            return;
        }
        call.over = true;
        call.cut.cancel();
        staged.remove(call);
        out.remove(call.connect);
        if (call.link != null && call.link.call == call) {
            call.link.call = null;
        }
        long now = host.turn();
        Outcome outcome = answer.outcome();
        if (outcome instanceof Outcome.Full full && full.pause() > 0) {
            // Guards the told wait in a long turn, as at a start: it runs from when the answer came, not from the turn.
            outcome = new Outcome.Full(full.pause() + host.turnAge());
            toldToWait(call.connect.endpoint.route, now + full.pause() + host.turnAge());
        }
        host.ended(call.held, call.connect, outcome, answer.report(), answer.over());
    }

    /** Gives the idle connections to this endpoint back. */
    public void release(Endpoint endpoint) {
        Pool pool = pools.get(endpoint);
        if (pool != null) {
            new ArrayList<>(pool.idle).forEach(Link::close);
        }
    }

    /** Ends every call whose bytes are not out: at a planned stop nothing new goes out. */
    public void dropUnwritten() {
        for (Outgoing call : new ArrayList<>(out.values())) {
            if (call.link == null || !call.link.written) {
                abandon(call);
                end(call, new Outcome.NotSent(false));
            }
        }
    }

    /** Guards the log: an endpoint that spoils many answers makes one line in a while. */
    private void complain(Pool pool, String why) {
        spoilt++;
        if (host.turn() >= quietUntil) {
            quietUntil = host.turn() + QUIET;
            LogEvent.tell(LOG, Level.WARNING, "answer.spoilt", "answers that can't be read: {count} so far, last from {address}: {why}",
                    "count", spoilt, "address", Addresses.text(pool.address), "why", why);
        }
    }

    /** One connection. */
    private final class Link extends SimpleChannelInboundHandler<Object> {
        final Pool pool;
        final InetSocketAddress address;
        final AnswerStart start = new AnswerStart(this::begun);
        Channel channel;
        Outgoing call;
        boolean written;
        private boolean keepAlive = true;
        private HttpResponseDecoder decoder;
        private Due late;
        private Future<?> idleEnd;

        Link(Pool pool) {
            this.pool = pool;
            address = pool.address;
        }

        /** Whether its endpoint is listed elsewhere by now: another one may listen here. */
        boolean leftBehind() {
            return !address.equals(pool.address);
        }

        /** Each answer is read by a decoder of its own: what one leaves unread can't get into the next. */
        void expect() {
            decoder = new HttpResponseDecoder();
            channel.pipeline().addAfter(channel.pipeline().context(start).name(), null, decoder);
            start.expect();
        }

        private void begun() {
            late = Due.after(loop, ANSWER_MS * 1000, () -> spoiltBy("it does not end"));
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof FullHttpResponse response)) {
                spoiltBy("more than belongs to it");
            } else if (response.decoderResult().isFailure()) {
                spoiltBy(response.decoderResult().cause().getMessage());
            } else if (call != null) {
                keepAlive = HttpUtil.isKeepAlive(response);
                CallAnswer answer = codec.answer(response);
                if (!answer.understood()) {
                    complain(pool, "status " + response.status().code());
                }
                end(call, answer);
                start.ended();
                late.cancel();
                // What follows the answer comes out here, and closes the connection.
                channel.pipeline().remove(decoder);
                rest();
            }
        }

        /** The connection serves no further use. An answer counts only whole, unless its first line says 200. */
        private void spoiltBy(String why) {
            complain(pool, why);
            close();
            endBroken();
        }

        private void endBroken() {
            if (call != null) {
                end(call, relayed(call) ? new Outcome.Relayed() : written ? new Outcome.Broken()
                        : new Outcome.Unreached());
            }
        }

        /** Nothing is out on the connection any more. */
        void rest() {
            call = null;
            if (!keepAlive || !channel.isActive() || idleLimit == 0 || pool.gone || leftBehind()) {
                close();
                return;
            }
            pool.idle.addLast(this);
            idle.addLast(this);
            if (idleFor < Long.MAX_VALUE) {
                idleEnd = loop.schedule(this::close, idleFor, TimeUnit.MICROSECONDS);
            }
            if (idle.size() > idleLimit) {
                idle.peekFirst().close();
            }
        }

        void stopIdling() {
            if (idleEnd != null) {
                idleEnd.cancel(false);
                idleEnd = null;
            }
        }

        void close() {
            stopIdling();
            if (late != null) {
                late.cancel();
            }
            pool.idle.remove(this);
            idle.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            close();
            endBroken();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof CodecException) {
                spoiltBy(cause.getMessage());
            } else {
                ctx.close();
            }
        }
    }
}
