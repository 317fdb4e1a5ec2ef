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
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Endpoint;
import wrenreach.state.Route;

/**
 * Calls to endpoints and the connections that carry them, one call at a time each. A call is staged until the
 * turn's records are written; what must not go out any more by then never does.
 */
public final class Calls {
    private static final System.Logger LOG = System.getLogger(Calls.class.getName());
    /** Part of the settings' idle time after which a connection is given up, before the other side does. */
    private static final double IDLE_TIMEOUT_FACTOR = 0.9;
    /** The protocol's limit of a body, and how long an answer may take from its first line to its last byte. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final long RESPONSE_BODY_TIMEOUT_MS = 500;
    /** How long one line on answers that can't be read stands for those that follow. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** What the calls report. */
    public interface Host {
        /** The time of the turn. */
        long iterationTime();

        /** How long ago the turn began, in microseconds: what is read now came later than {@link #turn} by this much. */
        long iterationAge();

        /** A connect ended. */
        void attemptEnded(HeldMail held, DeliveryAttempt connect, Outcome outcome, double[] report, boolean over);

        /** Whether the mail's turn is held up by an ending that the platform has not heard yet. */
        boolean isBlocked(HeldMail held);

        /** The call's bytes go out next. */
        void beforeSend(HeldMail held, DeliveryAttempt connect);
    }

    /** Where an endpoint listens and its connections that stand idle, latest used last. */
    private static final class ConnectionPool {
        InetSocketAddress address;
        boolean removed;
        final Deque<Connection> idleConnections = new ArrayDeque<>(4);
    }

    /** One call under way. */
    private static final class PendingCall {
        final HeldMail heldMail;
        final DeliveryAttempt attempt;
        Connection connection;
        DelayedTask timeout;
        boolean ended;

        PendingCall(HeldMail held, DeliveryAttempt connect) {
            this.heldMail = held;
            this.attempt = connect;
        }
    }

    private final EventLoop loop;
    private final Host host;
    private final CallCodec codec;
    private final long idleTimeoutUs;
    private final int maxIdleConnections;
    private final Connector connector;
    private final Map<Endpoint, ConnectionPool> pools = new IdentityHashMap<>();
    private final Map<DeliveryAttempt, PendingCall> inFlightCalls = new LinkedHashMap<>();
    private final Map<Route, Long> retryAfterUntil = new IdentityHashMap<>();
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private List<PendingCall> stagedCalls = new ArrayList<>();
    private final List<PendingCall> preparedCalls = new ArrayList<>();
    private int unreadableResponses;
    private long nextLogAt;

    /** Times in microseconds; idleLimit: connections that may stand idle. */
    public Calls(EventLoop loop, ChannelFactory<? extends Channel> connecting, Host host, List<String> reportNames,
                 long idleFor, long connectTimeout, int idleLimit) {
        this.loop = loop;
        this.host = host;
        this.codec = new CallCodec(reportNames);
        this.idleTimeoutUs = idleFor > 0 ? (long) (idleFor * IDLE_TIMEOUT_FACTOR) : Long.MAX_VALUE;
        this.maxIdleConnections = idleLimit;
        connector = new Connector(loop, new Bootstrap().channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        connectTimeout > 0 ? (int) Math.max(1, connectTimeout / 1000) : 30_000), "attempts");
    }

    /** Where the endpoint listens from now on. */
    public void setAddress(Endpoint endpoint, InetSocketAddress address) {
        ConnectionPool pool = pools.computeIfAbsent(endpoint, e -> new ConnectionPool());
        if (!address.equals(pool.address)) {
            closeIdle(endpoint);
            pool.address = address;
        }
    }

    /** Drops all but these endpoints; their idle connections close, and those in use do so after their call. */
    public void retainOnly(Set<Endpoint> listed) {
        pools.keySet().stream().filter(endpoint -> !listed.contains(endpoint)).toList().forEach(this::remove);
    }

    /** Drops one endpoint: its idle connections close, and those in use do so after their call. */
    public void remove(Endpoint endpoint) {
        ConnectionPool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.removed = true;
            new ArrayList<>(pool.idleConnections).forEach(Connection::close);
        }
    }

    public int inFlight() {
        return inFlightCalls.size();
    }

    /** Makes a connect: over an idle connection, else a new one. */
    public void send(HeldMail held, DeliveryAttempt connect) {
        PendingCall call = new PendingCall(held, connect);
        inFlightCalls.put(connect, call);
        ConnectionPool pool = pools.get(connect.endpoint);
        Connection link = pool == null ? null : pool.idleConnections.pollLast();
        call.timeout = DelayedTask.schedule(loop, connect.timeoutAt - host.iterationTime(), () -> timeOut(call));
        if (link != null) {
            idleConnections.remove(link);
            link.cancelIdleTimeout();
            connect.reusedConnection = true;
            stage(link, call);
        } else if (pool == null || pool.address == null) {
            loop.execute(() -> end(call, new Outcome.ConnectFailed()));
        } else {
            openConnection(pool, call);
        }
    }

    private void openConnection(ConnectionPool pool, PendingCall call) {
        Connection link = new Connection(pool);
        link.call = call;
        call.connection = link;
        link.channel = connector.open(pool.address, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(link.statusDecoder, new HttpObjectAggregator(MAX_BODY_BYTES),
                        new HttpRequestEncoder(), link);
            }
        }, new Connector.Listener() {
            @Override public void connected(Channel channel) {
                if (!call.ended) {
                    host.iterationTime();
                    stage(link, call);
                }
            }

            @Override public void failed(boolean ofThisMachine) {
                end(call, ofThisMachine ? new Outcome.LocalFault() : new Outcome.ConnectFailed());
            }
        });
    }

    private void stage(Connection link, PendingCall call) {
        link.call = call;
        link.written = false;
        call.connection = link;
        stagedCalls.add(call);
    }

    /** The module has heard a told wait: nothing unwritten goes to this route before it is over. */
    private void setRetryAfter(Route route, long until) {
        retryAfterUntil.values().removeIf(passed -> passed <= host.iterationTime());
        retryAfterUntil.merge(route, until, Math::max);
    }

    /**
     * Before the module decides: ends staged calls that must not be written any more. Guards drains and told
     * waits that came in, repeats whose window ended, and addresses that passed to another endpoint, while the connection
     * was being made.
     */
    public void dropDisallowed() {
        long now = host.iterationTime();
        for (PendingCall call : List.copyOf(stagedCalls)) {
            Endpoint endpoint = call.attempt.endpoint;
            if (!endpoint.ready || call.connection.hasFormerAddress() || call.attempt.sendDeadline < now || retryAfterUntil.getOrDefault(endpoint.route, Long.MIN_VALUE) > now) {
                Connection link = call.connection;
                end(call, new Outcome.NotSent(false));
                link.becomeIdle();
            }
        }
    }

    /** Before the turn's records are written: names each call whose bytes go out after them. */
    public void prepareWrites() {
        List<PendingCall> kept = new ArrayList<>();
        for (PendingCall call : stagedCalls) {
            if (host.isBlocked(call.heldMail)) {
                kept.add(call);
            } else {
                host.beforeSend(call.heldMail, call.attempt);
                preparedCalls.add(call);
            }
        }
        stagedCalls = kept;
    }

    /** What was chosen does not go out after all: it is staged again, and each is told to taken. */
    public void undoPreparedWrites(BiConsumer<HeldMail, DeliveryAttempt> taken) {
        List<PendingCall> chosen = List.copyOf(preparedCalls);
        preparedCalls.clear();
        stagedCalls.addAll(0, chosen);
        chosen.forEach(call -> taken.accept(call.heldMail, call.attempt));
    }

    /** Writes the chosen calls. */
    public void flush(long now) {
        // Guards against second copies: whatever happens while they are written, none is written again.
        List<PendingCall> chosen = List.copyOf(preparedCalls);
        preparedCalls.clear();
        for (PendingCall call : chosen) {
            if (!call.ended) {
                write(call, Math.max(0, (call.attempt.timeoutAt - now) / 1000));
            }
        }
    }

    private void write(PendingCall call, long budgetMs) {
        Connection link = call.connection;
        String host = Addresses.format(link.address);
        link.expectResponse();
        link.channel.writeAndFlush(CallCodec.encode(call.heldMail.submission, host, budgetMs)).addListener(done -> {
            link.written = done.isSuccess();
            if (!done.isSuccess()) {
                // Closing a connection fails its unfinished write at once, in the middle of whoever closes it.
                loop.execute(() -> writeFailed(link, call));
            }
        });
    }

    private void writeFailed(Connection link, PendingCall call) {
        link.close();
        end(call, new Outcome.ConnectFailed());
    }

    private void timeOut(PendingCall call) {
        boolean written = call.connection != null && call.connection.written;
        boolean waits = stagedCalls.contains(call);
        detach(call);
        end(call, isRelayed(call) ? new Outcome.Delivered() : written ? new Outcome.TimedOut()
                : waits ? new Outcome.NotSent(false) : new Outcome.ConnectFailed());
    }

    /** Guards against sending again what was relayed: a first line with 200 is true, whatever follows it. */
    private static boolean isRelayed(PendingCall call) {
        return call.connection != null && call.connection.statusDecoder.status() == 200;
    }

    /** Stops waiting for a connect; its outcome is reported in a later turn. */
    public void cancel(DeliveryAttempt connect) {
        PendingCall call = inFlightCalls.get(connect);
        if (call != null) {
            detach(call);
            loop.execute(() -> end(call, isRelayed(call) ? new Outcome.Delivered()
                    : call.connection != null && call.connection.written ? new Outcome.Cancelled() : new Outcome.NotSent(false)));
        }
    }

    private void detach(PendingCall call) {
        stagedCalls.remove(call);
        if (call.connection != null) {
            call.connection.call = null;
            call.connection.close();
        }
    }

    private void end(PendingCall call, Outcome outcome) {
        end(call, new CallResult(outcome, new double[0], outcome instanceof Outcome.Delivered, true));
    }

    private void end(PendingCall call, CallResult answer) {
        if (call.ended) {
            return;
        }
        call.ended = true;
        call.timeout.cancel();
        stagedCalls.remove(call);
        inFlightCalls.remove(call.attempt);
        if (call.connection != null && call.connection.call == call) {
            call.connection.call = null;
        }
        long now = host.iterationTime();
        Outcome outcome = answer.outcome();
        if (outcome instanceof Outcome.Rejected full && full.retryAfter() > 0) {
            // Guards the told wait in a long turn, as at a start: it runs from when the answer came, not from the turn.
            outcome = new Outcome.Rejected(full.retryAfter() + host.iterationAge());
            setRetryAfter(call.attempt.endpoint.route, now + full.retryAfter() + host.iterationAge());
        }
        host.attemptEnded(call.heldMail, call.attempt, outcome, answer.loadReport(), answer.completed());
    }

    /** Gives the idle connections to this endpoint back. */
    public void closeIdle(Endpoint endpoint) {
        ConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            new ArrayList<>(pool.idleConnections).forEach(Connection::close);
        }
    }

    /** Ends every call whose bytes are not out: at a planned stop nothing new goes out. */
    public void dropUnsent() {
        for (PendingCall call : new ArrayList<>(inFlightCalls.values())) {
            if (call.connection == null || !call.connection.written) {
                detach(call);
                end(call, new Outcome.NotSent(false));
            }
        }
    }

    /** Guards the log: an endpoint that spoils many answers makes one line in a while. */
    private void logUnreadable(ConnectionPool pool, String why) {
        unreadableResponses++;
        if (host.iterationTime() >= nextLogAt) {
            nextLogAt = host.iterationTime() + LOG_INTERVAL_US;
            LogEvent.log(LOG, Level.WARNING, "answer.spoilt", "answers that can't be read: {count} so far, last from {address}: {why}",
                    "count", unreadableResponses, "address", Addresses.format(pool.address), "why", why);
        }
    }

    /** One connection. */
    private final class Connection extends SimpleChannelInboundHandler<Object> {
        final ConnectionPool pool;
        final InetSocketAddress address;
        final ResponseStatusDecoder statusDecoder = new ResponseStatusDecoder(this::startBodyTimeout);
        Channel channel;
        PendingCall call;
        boolean written;
        private boolean keepAlive = true;
        private HttpResponseDecoder decoder;
        private DelayedTask bodyTimeout;
        private Future<?> idleTimeout;

        Connection(ConnectionPool pool) {
            this.pool = pool;
            address = pool.address;
        }

        /** Whether its endpoint is listed elsewhere by now: another one may listen here. */
        boolean hasFormerAddress() {
            return !address.equals(pool.address);
        }

        /** Each answer is read by a decoder of its own: what one leaves unread can't get into the next. */
        void expectResponse() {
            decoder = new HttpResponseDecoder();
            channel.pipeline().addAfter(channel.pipeline().context(statusDecoder).name(), null, decoder);
            statusDecoder.expectResponse();
        }

        private void startBodyTimeout() {
            bodyTimeout = DelayedTask.schedule(loop, RESPONSE_BODY_TIMEOUT_MS * 1000, () -> closeUnreadable("it does not end"));
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (!(message instanceof FullHttpResponse response)) {
                closeUnreadable("more than belongs to it");
            } else if (response.decoderResult().isFailure()) {
                closeUnreadable(response.decoderResult().cause().getMessage());
            } else if (call != null) {
                keepAlive = HttpUtil.isKeepAlive(response);
                CallResult answer = codec.decode(response);
                if (!answer.readable()) {
                    logUnreadable(pool, "status " + response.status().code());
                }
                end(call, answer);
                statusDecoder.responseEnded();
                bodyTimeout.cancel();
                // What follows the answer comes out here, and closes the connection.
                channel.pipeline().remove(decoder);
                becomeIdle();
            }
        }

        /** The connection serves no further use. An answer counts only whole, unless its first line says 200. */
        private void closeUnreadable(String why) {
            logUnreadable(pool, why);
            close();
            endBrokenCall();
        }

        private void endBrokenCall() {
            if (call != null) {
                end(call, isRelayed(call) ? new Outcome.Delivered() : written ? new Outcome.ConnectionLost()
                        : new Outcome.ConnectFailed());
            }
        }

        /** Nothing is out on the connection any more. */
        void becomeIdle() {
            call = null;
            if (!keepAlive || !channel.isActive() || maxIdleConnections == 0 || pool.removed || hasFormerAddress()) {
                close();
                return;
            }
            pool.idleConnections.addLast(this);
            idleConnections.addLast(this);
            if (idleTimeoutUs < Long.MAX_VALUE) {
                idleTimeout = loop.schedule(this::close, idleTimeoutUs, TimeUnit.MICROSECONDS);
            }
            if (idleConnections.size() > maxIdleConnections) {
                idleConnections.peekFirst().close();
            }
        }

        void cancelIdleTimeout() {
            if (idleTimeout != null) {
                idleTimeout.cancel(false);
                idleTimeout = null;
            }
        }

        void close() {
            cancelIdleTimeout();
            if (bodyTimeout != null) {
                bodyTimeout.cancel();
            }
            pool.idleConnections.remove(this);
            idleConnections.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            close();
            endBrokenCall();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof CodecException) {
                closeUnreadable(cause.getMessage());
            } else {
                ctx.close();
            }
        }
    }
}
