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
import io.netty.handler.codec.CorruptedFrameException;
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
import wrenreach.ConnectionReusePolicy;
import wrenreach.api.Outcome;
import wrenreach.held.HeldMail;
import wrenreach.log.LogEvent;
import wrenreach.state.ConnectionHistory;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Endpoint;
import wrenreach.state.ResponseFingerprint;
import wrenreach.state.ResponseVariety;
import wrenreach.state.Route;

/**
 * HTTP calls to endpoints and their pooled connections; a connection carries one call at a time. A call is staged until the
 * records of its iteration are written; one that may no longer be sent by then is dropped. Owned by the event loop.
 */
public final class Calls {
    private static final System.Logger LOG = System.getLogger(Calls.class.getName());
    /** Share of the idle time in the settings after which a connection is closed, so that it closes before the receiver does it. */
    private static final double IDLE_TIMEOUT_FACTOR = 0.9;
    /** The protocol's limit for the body of a response. */
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** How long a response may take from its status line to its last byte. */
    private static final long RESPONSE_BODY_TIMEOUT_MS = 500;
    /** The same of a response that asks to wait, which has to be heeded soon, whole or not. */
    private static final long WAIT_BODY_TIMEOUT_MS = 50;
    private static final int TOO_MANY_REQUESTS = 429;
    /** Least time between two log lines on unreadable responses, in microseconds; those in between are only counted. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** Provides the time of the iteration and receives the outcomes of attempts. All methods run on the event loop. */
    public interface Host {
        /** Begins an iteration if none is running; its time in microseconds. */
        long iterationTime();

        /** Microseconds since the iteration began: data read now arrived later than {@link #iterationTime} by this much. */
        long iterationAge();

        /**
         * An attempt ended.
         *
         * @param report the values of the load report in the order of the settings, empty where there is none
         * @param completed whether nothing is outstanding for the mail any more
         */
        void attemptEnded(HeldMail held, DeliveryAttempt attempt, Outcome outcome, double[] report, boolean completed);

        /** Whether the mail has to wait for an earlier one whose ending the platform hasn't acknowledged yet. */
        boolean isBlocked(HeldMail held);

        /** The bytes of the attempt are written next: its record has to be written before them. */
        void beforeSend(HeldMail held, DeliveryAttempt attempt);
    }

    /** The address of an endpoint and its idle connections, the most recently used last. */
    private static final class ConnectionPool {
        final ResponseVariety variety = new ResponseVariety();
        InetSocketAddress address;
        boolean removed;
        final Deque<Connection> idleConnections = new ArrayDeque<>(4);
    }

    /** A call in flight. */
    private static final class PendingCall {
        final HeldMail heldMail;
        final DeliveryAttempt attempt;
        Connection connection;
        DelayedTask timeout;
        boolean ended;

        PendingCall(HeldMail heldMail, DeliveryAttempt attempt) {
            this.heldMail = heldMail;
            this.attempt = attempt;
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
    private final ConnectionReusePolicy reusePolicy;
    private final StrayResponses strayResponses = new StrayResponses();
    private int connectionsOpened;
    private int unreadableResponses;
    private long nextLogAt;

    /**
     * Times in microseconds.
     *
     * @param idleTimeout 0: idle connections are not closed by time
     * @param tcpConnectTimeout 0: the default of 30 s
     * @param maxIdleConnections idle connections kept open, over all endpoints
     * @param reusePolicy decides which connections carry another call, and which responses count
     */
    public Calls(EventLoop loop, ChannelFactory<? extends Channel> channelFactory, Host host, List<String> reportNames,
                 long idleTimeout, long tcpConnectTimeout, int maxIdleConnections, ConnectionReusePolicy reusePolicy) {
        this.loop = loop;
        this.reusePolicy = reusePolicy;
        this.host = host;
        this.codec = new CallCodec(reportNames);
        this.idleTimeoutUs = idleTimeout > 0 ? (long) (idleTimeout * IDLE_TIMEOUT_FACTOR) : Long.MAX_VALUE;
        this.maxIdleConnections = maxIdleConnections;
        connector = new Connector(loop, new Bootstrap().channelFactory(channelFactory)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        tcpConnectTimeout > 0 ? (int) Math.max(1, tcpConnectTimeout / 1000) : 30_000), "attempts");
    }

    /** Sets the address that the endpoint listens on. Idle connections to a former one are closed. */
    public void setAddress(Endpoint endpoint, InetSocketAddress address) {
        ConnectionPool pool = pools.computeIfAbsent(endpoint, e -> new ConnectionPool());
        if (!address.equals(pool.address)) {
            closeIdle(endpoint);
            pool.address = address;
        }
    }

    /** Removes all endpoints but these; idle connections of the others close at once, those in use after their call. */
    public void retainOnly(Set<Endpoint> listed) {
        pools.keySet().stream().filter(endpoint -> !listed.contains(endpoint)).toList().forEach(this::remove);
    }

    /** Removes an endpoint: its idle connections close at once, those in use after their call. */
    public void remove(Endpoint endpoint) {
        ConnectionPool pool = pools.remove(endpoint);
        if (pool != null) {
            pool.removed = true;
            new ArrayList<>(pool.idleConnections).forEach(Connection::close);
        }
    }

    /** How many calls have begun and not ended. */
    public int inFlight() {
        return inFlightCalls.size();
    }

    /** Begins an attempt: on an idle connection, or else on a new one. Its bytes are written by a later {@link #flush}. */
    public void send(HeldMail held, DeliveryAttempt attempt) {
        PendingCall call = new PendingCall(held, attempt);
        inFlightCalls.put(attempt, call);
        ConnectionPool pool = pools.get(attempt.endpoint);
        Connection connection = pool == null ? null : takeIdle(pool);
        call.timeout = DelayedTask.schedule(loop, attempt.timeoutAt - host.iterationTime(), () -> timeOut(call));
        if (connection != null) {
            attempt.reusedConnection = true;
            stage(connection, call);
        } else if (pool == null || pool.address == null) {
            loop.execute(() -> end(call, new Outcome.ConnectFailed()));
        } else {
            openConnection(pool, call);
        }
    }

    /** An idle connection that may be reused, or null; those found on the way that may not are closed. */
    private Connection takeIdle(ConnectionPool pool) {
        for (Connection connection = pool.idleConnections.peekLast(); connection != null; connection = pool.idleConnections.peekLast()) {
            if (connection.isReusable()) {
                pool.idleConnections.removeLast();
                idleConnections.remove(connection);
                connection.cancelIdleTimeout();
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void openConnection(ConnectionPool pool, PendingCall call) {
        Connection connection = new Connection(pool);
        connection.call = call;
        call.connection = connection;
        connection.channel = connector.open(pool.address, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.statusDecoder, new HttpObjectAggregator(MAX_BODY_BYTES),
                        new HttpRequestEncoder(), connection);
            }
        }, new Connector.Listener() {
            @Override public void connected(Channel channel) {
                if (!call.ended) {
                    host.iterationTime();
                    stage(connection, call);
                }
            }

            @Override public void failed(boolean local) {
                end(call, local ? new Outcome.LocalFault() : new Outcome.ConnectFailed());
            }
        });
    }

    private void stage(Connection connection, PendingCall call) {
        connection.call = call;
        connection.written = false;
        call.connection = connection;
        call.attempt.connectionNumber = connection.number;
        stagedCalls.add(call);
    }

    /** The receiver has asked to wait: no unsent call goes to this route before the wait is over. */
    private void setRetryAfter(Route route, long until) {
        retryAfterUntil.values().removeIf(instant -> instant <= host.iterationTime());
        retryAfterUntil.merge(route, until, Math::max);
    }

    /**
     * Before the decisions run: ends staged calls that may no longer be written. While their connection was being made, their
     * endpoint may have begun to drain, its receiver may have asked to wait, the deduplication window of a repeat may have
     * ended, or the address may have passed to another endpoint.
     */
    public void dropDisallowed() {
        long now = host.iterationTime();
        for (PendingCall call : List.copyOf(stagedCalls)) {
            Endpoint endpoint = call.attempt.endpoint;
            if (!endpoint.ready || call.connection.hasFormerAddress() || call.attempt.sendDeadline < now
                    || retryAfterUntil.getOrDefault(endpoint.route, Long.MIN_VALUE) > now) {
                Connection connection = call.connection;
                end(call, new Outcome.NotSent(false));
                connection.becomeIdle();
            }
        }
    }

    /** Before the records of the iteration are written: picks the calls whose bytes are sent after them and reports each to the host. */
    public void prepareWrites() {
        List<PendingCall> blocked = new ArrayList<>();
        for (PendingCall call : stagedCalls) {
            if (host.isBlocked(call.heldMail)) {
                blocked.add(call);
            } else {
                host.beforeSend(call.heldMail, call.attempt);
                preparedCalls.add(call);
            }
        }
        stagedCalls = blocked;
    }

    /** Stages the prepared calls again, as they don't go out after all, and passes each to the given consumer. */
    public void undoPreparedWrites(BiConsumer<HeldMail, DeliveryAttempt> onUndone) {
        List<PendingCall> prepared = List.copyOf(preparedCalls);
        preparedCalls.clear();
        stagedCalls.addAll(0, prepared);
        prepared.forEach(call -> onUndone.accept(call.heldMail, call.attempt));
    }

    /** Writes the prepared calls; now: the time in microseconds that their remaining time is counted from. */
    public void flush(long now) {
        // The list is cleared before the writes, so that nothing that happens during them makes a call go out twice.
        List<PendingCall> prepared = List.copyOf(preparedCalls);
        preparedCalls.clear();
        for (PendingCall call : prepared) {
            if (!call.ended) {
                write(call, Math.max(0, (call.attempt.timeoutAt - now) / 1000));
            }
        }
    }

    private void write(PendingCall call, long budgetMs) {
        Connection connection = call.connection;
        String hostHeader = Addresses.format(connection.address);
        connection.expectResponse();
        connection.channel.writeAndFlush(CallCodec.encode(call.heldMail.submission, hostHeader, budgetMs)).addListener(done -> {
            connection.written = done.isSuccess();
            if (!done.isSuccess()) {
                // Closing a connection fails its unfinished write at once, from within the code that closes it: handled in a task of its own.
                loop.execute(() -> writeFailed(connection, call));
            }
        });
    }

    private void writeFailed(Connection connection, PendingCall call) {
        connection.close();
        end(call, new Outcome.ConnectFailed());
    }

    private void timeOut(PendingCall call) {
        boolean written = call.connection != null && call.connection.written;
        boolean unsent = stagedCalls.contains(call);
        detach(call);
        end(call, isRelayed(call) ? new Outcome.Delivered() : written ? new Outcome.TimedOut()
                : unsent ? new Outcome.NotSent(false) : new Outcome.ConnectFailed());
    }

    /**
     * Whether the response began with status 200, which holds whatever follows it if it is certain to be this call's: without this a
     * relayed mail would be sent again.
     */
    private boolean isRelayed(PendingCall call) {
        return call.connection != null && call.connection.statusDecoder.status() == 200
                && reusePolicy.statusLineCounts(call.connection.history);
    }

    /** Stops waiting for an attempt; its outcome is reported by a later task of the loop. */
    public void cancel(DeliveryAttempt attempt) {
        PendingCall call = inFlightCalls.get(attempt);
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

    private void end(PendingCall call, CallResult result) {
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
        Outcome outcome = result.outcome();
        if (outcome.retryAfter() > 0) {
            // The wait runs from when the response came. Counted from the start of a long iteration, as at a start, it would end too early.
            long retryAfter = outcome.retryAfter() + host.iterationAge();
            outcome = outcome instanceof Outcome.Rejected ? new Outcome.Rejected(retryAfter) : new Outcome.ConnectionLost(retryAfter);
            setRetryAfter(call.attempt.endpoint.route, now + retryAfter);
        }
        host.attemptEnded(call.heldMail, call.attempt, outcome, result.loadReport(), result.completed());
    }

    /** Closes the idle connections to this endpoint. */
    public void closeIdle(Endpoint endpoint) {
        ConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            new ArrayList<>(pool.idleConnections).forEach(Connection::close);
        }
    }

    /** Ends every call whose bytes are not written: during a graceful shutdown nothing new is sent. */
    public void dropUnsent() {
        for (PendingCall call : new ArrayList<>(inFlightCalls.values())) {
            if (call.connection == null || !call.connection.written) {
                detach(call);
                end(call, new Outcome.NotSent(false));
            }
        }
    }

    /** Logs unreadable responses at a limited rate, so that an endpoint that sends many of them doesn't flood the log. */
    private void logUnreadable(ConnectionPool pool, String why) {
        unreadableResponses++;
        if (host.iterationTime() >= nextLogAt) {
            nextLogAt = host.iterationTime() + LOG_INTERVAL_US;
            LogEvent.log(LOG, Level.WARNING, "answer.spoilt", "answers that can't be read: {count} so far, last from {address}: {why}",
                    "count", unreadableResponses, "address", Addresses.format(pool.address), "why", why);
        }
    }

    /** A connection to an endpoint. It is either idle, or carries one call. */
    private final class Connection extends SimpleChannelInboundHandler<Object> {
        final ConnectionPool pool;
        final InetSocketAddress address;
        final int number = ++connectionsOpened;
        final ConnectionHistory history = new ConnectionHistory();
        final ResponseStatusDecoder statusDecoder = new ResponseStatusDecoder(this::finalResponseBegins);
        Channel channel;
        PendingCall call;
        boolean written;
        private boolean keepAlive = true;
        private HttpResponseDecoder decoder;
        private DelayedTask bodyTimeout;
        private Future<?> idleTimeout;
        private String lastMessage = "";
        /** The node has closed it, or it broke: what its handlers still report is of the close itself. */
        private boolean closed;

        Connection(ConnectionPool pool) {
            this.pool = pool;
            address = pool.address;
        }

        /** Whether its endpoint has another address by now: another endpoint may listen here. */
        boolean hasFormerAddress() {
            return !address.equals(pool.address);
        }

        /** Adds a new decoder for each response, so that bytes that one leaves unread do not get into the next response. */
        void expectResponse() {
            decoder = new HttpResponseDecoder();
            channel.pipeline().addAfter(channel.pipeline().context(statusDecoder).name(), null, decoder);
            statusDecoder.expectResponse();
        }

        private void finalResponseBegins(int status) {
            if (!written) {
                throw new CorruptedFrameException("a response before its request was written");
            }
            long timeoutMs = status == TOO_MANY_REQUESTS ? WAIT_BODY_TIMEOUT_MS : RESPONSE_BODY_TIMEOUT_MS;
            bodyTimeout = DelayedTask.schedule(loop, timeoutMs * 1000, () -> closeUnreadable("it does not end"));
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            if (closed) {
                return;
            }
            if (!(message instanceof FullHttpResponse response)) {
                closeUnreadable("more than belongs to it");
            } else if (response.decoderResult().isFailure()) {
                closeUnreadable(response.decoderResult().cause().getMessage());
            } else if (call != null) {
                responseReceived(response);
            }
        }

        private void responseReceived(FullHttpResponse response) {
            ResponseFingerprint fingerprint = CallCodec.fingerprint(response);
            if (!reusePolicy.counts(history, fingerprint)) {
                closeStray(fingerprint.merged() ? StrayResponses.Kind.MERGED : StrayResponses.Kind.REPEATED,
                        "status " + response.status().code(), reusePolicy.provesStray(fingerprint));
                end(call, lostOutcome());
                return;
            }
            CallResult result = codec.decode(response);
            if (!result.readable()) {
                logUnreadable(pool, "status " + response.status().code());
            }
            keepAlive = HttpUtil.isKeepAlive(response) && result.readable();
            reusePolicy.responseCounted(pool.variety, history, fingerprint);
            lastMessage = call.heldMail.submission.id();
            end(call, result);
            statusDecoder.responseEnded();
            bodyTimeout.cancel();
            // Removing the decoder passes on the bytes after the response, if any, and those close the connection.
            channel.pipeline().remove(decoder);
            becomeIdle();
        }

        /** Closes a connection after a malformed response. A response counts only whole, unless its status line says 200. */
        private void closeUnreadable(String why) {
            logUnreadable(pool, why);
            if (call == null) {
                closeStray(StrayResponses.Kind.IDLE, why, true);
            } else if (!written) {
                closeStray(StrayResponses.Kind.EARLY, why, true);
            } else if (history.size() > 0) {
                closeStray(StrayResponses.Kind.UNREADABLE, why, false);
            } else {
                close();
            }
            endBrokenCall();
        }

        /**
         * Closes the connection on which a response came that belongs to no call, or may belong to none.
         *
         * @param proven whether it is certain, so that connections to the address are not reused for some time
         */
        private void closeStray(StrayResponses.Kind kind, String detail, boolean proven) {
            strayResponses.found(kind, address, number, lastMessage, call == null ? "" : call.heldMail.submission.id(), detail, host.iterationTime());
            close();
            if (proven) {
                reusePolicy.strayResponse(address, host.iterationTime());
                pool.idleConnections.stream().filter(idle -> !idle.isReusable()).toList().forEach(Connection::close);
            }
        }

        boolean isReusable() {
            return reusePolicy.mayReuse(address, pool.variety, history, host.iterationTime());
        }

        private void endBrokenCall() {
            if (call != null) {
                end(call, isRelayed(call) ? new Outcome.Delivered() : written ? lostOutcome() : new Outcome.ConnectFailed());
            }
        }

        /** The outcome of a call that nothing certain has answered. What came may be another's, but a wait that it asks for is heeded. */
        private Outcome lostOutcome() {
            return new Outcome.ConnectionLost(CallCodec.longestRetryAfter(statusDecoder.received()));
        }

        /** The connection carries no call any more: it is pooled, or closed where it may not be reused. */
        void becomeIdle() {
            call = null;
            if (!keepAlive || !channel.isActive() || maxIdleConnections == 0 || pool.removed || hasFormerAddress()
                    || !isReusable()) {
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
            closed = true;
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
            if (cause instanceof CodecException && !closed) {
                closeUnreadable(cause.getMessage());
            } else {
                ctx.close();
            }
        }
    }
}
