package wrenreach.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.DuplexChannelConfig;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.redis.FixedRedisMessagePool;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The listener for clients, which submit mails in RESP (the Redis protocol). Replies wait for the end of the iteration that sets them and
 * go out in the order of the requests. Owned by the event loop.
 */
public final class SubmissionServer {
    /** The protocol's limit for the body of a mail. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** The longest inline message of RESP, such as an inline command. */
    private static final int MAX_LINE_BYTES = 1024;
    /** Connections accepted each time that the loop looks at its sockets. */
    private static final int MAX_ACCEPTS_PER_ITERATION = 32;
    /** Memory that one client's unfinished request may take. */
    public static final int MAX_CLIENT_BYTES = MAX_BODY_BYTES + ClientReadAllocator.MAX_READ_BYTES;
    /** The part of the memory for unfinished requests beyond which the oldest are refused; the rest is for what one look at the sockets reads. */
    private static final double PARTIAL_REQUESTS_SHARE = 0.75;
    /** Pieces that a word of a request may be held in before they are put together: each occupies the buffer that it was read to. */
    private static final int MAX_WORD_PIECES = 16;
    /** Time for a whole request, from its first byte; for the first request of a connection, from the accept. */
    private static final long REQUEST_TIMEOUT_MS = 2000;
    /** How long a client's connection may be idle between requests. */
    private static final long IDLE_TIMEOUT_MS = 5000;
    /** Interval at which connections are checked for these timeouts. */
    private static final long TIMEOUT_CHECK_INTERVAL_MS = 250;
    /** How long a connection is still read after its last reply, before it is closed. */
    private static final long LINGER_MS = 250;
    /** One in so many of the connections may linger at a time. */
    private static final int LINGER_DIVISOR = 16;
    /** How long the server tries to create the socket that it listens on. */
    private static final long LISTEN_TIMEOUT_MS = 10_000;
    /** Time between two of these tries. */
    private static final long LISTEN_RETRY_INTERVAL_MS = 50;
    /** Unanswered requests that one client may have; the protocol's clients have one. */
    private static final int MAX_OPEN_REQUESTS = 64;

    /** Receives the requests of clients, on the event loop. */
    public interface Host {
        /** A request was read; it is answered by the first {@link #flush} after its reply is set. */
        void onRequest(Request request, PendingRequest pending);
    }

    /**
     * A request that has not been answered yet. It does not keep the request: a refused one would hold its body until the iteration ends,
     * and nothing bounds how many are refused in one iteration.
     */
    public static final class PendingRequest implements ReplyHandle {
        private final ClientConnection client;
        /** Whether nothing more is read from the client after this request. */
        private final boolean last;
        private Reply reply;

        PendingRequest(ClientConnection client, boolean last) {
            this.client = client;
            this.last = last;
        }

        /** Whether the client has closed its connection or only its sending side: the two look alike. */
        @Override public boolean abandoned() {
            return client.inputClosed || !client.ctx.channel().isActive();
        }

        @Override public void reply(Reply newReply) {
            reply = newReply;
        }
    }

    private final EventLoopGroup group;
    private final ChannelFactory<? extends ServerChannel> serverChannelFactory;
    private final Host host;
    private final int maxClients;
    private final int maxLingering;
    /** Bytes that buffers for clients may take before the oldest unfinished requests are refused. */
    private final long maxBufferBytes;
    /** Clients that have sent no request so far, in the order in which they connected. */
    private final Set<ClientConnection> clientsWithoutRequest = new LinkedHashSet<>();
    /** The other clients, the least recently used first. */
    private final Set<ClientConnection> clientsWithRequest = new LinkedHashSet<>();
    private final List<ClientConnection> clientsAwaitingReplies = new ArrayList<>();
    private final ClosedConnections closedConnections = new ClosedConnections();
    private Channel serverChannel;
    private boolean closing;
    /** Connections that have had their last reply and are still read for a short time. */
    private int lingeringClients;

    /** maxConnections: client connections kept open at a time, those that linger included. */
    public SubmissionServer(EventLoopGroup group, ChannelFactory<? extends ServerChannel> serverChannelFactory, Host host, int maxConnections) {
        this(group, serverChannelFactory, host, maxConnections, (long) maxConnections * MAX_CLIENT_BYTES);
    }

    /** The same; memoryBytes: for the unfinished requests of all clients. */
    public SubmissionServer(EventLoopGroup group, ChannelFactory<? extends ServerChannel> serverChannelFactory, Host host, int maxConnections,
            long memoryBytes) {
        maxBufferBytes = (long) (memoryBytes * PARTIAL_REQUESTS_SHARE);
        this.group = group;
        this.serverChannelFactory = serverChannelFactory;
        this.host = host;
        maxLingering = Math.max(1, maxConnections / LINGER_DIVISOR);
        this.maxClients = Math.max(1, maxConnections - maxConnections / LINGER_DIVISOR);
    }

    /** Receives the result of {@link #open}, in a task of the loop. */
    public interface ListenCallback {
        void opened(InetSocketAddress at);

        /** The address can't be listened on, or no socket could be created for 10 s. */
        void failed(Throwable why);
    }

    /** Listens on the address. Where the machine can't create a socket at the moment, tries again for 10 s. */
    public void open(InetSocketAddress address, ListenCallback callback) {
        scheduleTimeoutCheck();
        listen(address, callback, nowNanos() + TimeUnit.MILLISECONDS.toNanos(LISTEN_TIMEOUT_MS));
    }

    private void listen(InetSocketAddress address, ListenCallback callback, long deadline) {
        ChannelFuture bound = bind(address);
        bound.addListener(done -> group.next().execute(() -> {
            if (bound.isSuccess()) {
                serverChannel = bound.channel();
                callback.opened((InetSocketAddress) serverChannel.localAddress());
            } else if (!closing && !(bound.cause() instanceof BindException) && nowNanos() < deadline) {
                // No descriptors or buffers: a temporary shortage that says nothing of the address.
                group.next().schedule(() -> listen(address, callback, deadline), LISTEN_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } else {
                callback.failed(bound.cause());
            }
        }));
    }

    /** Counts of closed connections by reason. */
    ClosedConnections closedConnections() {
        return closedConnections;
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return new ServerBootstrap().group(group).channelFactory(serverChannelFactory)
                .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                // Many accepts at a time: clients that connect behind many others would otherwise wait for many iterations.
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_ITERATION))
                .handler(new AcceptFaults())
                .childOption(ChannelOption.ALLOCATOR, Buffers.CLIENT_ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new ClientReadAllocator(group.next(), () -> excessBytes() > 0, this::refuseOldestPartialRequests))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        if (channel.config() instanceof DuplexChannelConfig socket) {
                            // A client that closes its sending side after its requests still gets the replies.
                            socket.setAllowHalfClosure(true);
                        }
                        ClientConnection client = new ClientConnection();
                        channel.pipeline().addLast(client.partialRequestLimiter).addLast(codecs(MAX_BODY_BYTES)).addLast(client);
                    }
                }).bind(address);
    }

    /** Schedules single tasks: an exception in a repeated one would be reported to nobody and would end the repetition. */
    private void scheduleTimeoutCheck() {
        group.next().schedule(() -> {
            scheduleTimeoutCheck();
            closeTimedOut();
        }, TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** The handlers between the bytes of a client and its requests and replies. */
    static ChannelHandler[] codecs(int bodyLimit) {
        RedisBulkStringAggregator wordAggregator = new RedisBulkStringAggregator();
        wordAggregator.setMaxCumulationBufferComponents(MAX_WORD_PIECES);
        return new ChannelHandler[] {
            new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE, true), new RequestSizeLimiter(bodyLimit),
            wordAggregator, new RedisArrayAggregator(RequestSizeLimiter.MAX_WORDS, 1), new RequestDecoder(),
            new RedisEncoder(), new ReplyEncoder()};
    }

    private long nowNanos() {
        return group.next().ticker().nanoTime();
    }

    /**
     * Stops listening and closes each client once it has its replies. Both happen after one more select, so that connections and
     * requests that wait unread because the node is short of CPU are not lost.
     */
    public void close() {
        closing = true;
        DelayedTask.schedule(group.next(), 0, () -> {
            if (serverChannel != null) {
                serverChannel.close();
            }
            new ArrayList<>(clientsWithoutRequest).forEach(client -> client.scheduleClose(ClosedConnections.Reason.SHUTDOWN));
            new ArrayList<>(clientsWithRequest).forEach(client -> client.scheduleClose(ClosedConnections.Reason.SHUTDOWN));
        });
    }

    /** Closes connections that exceed a timeout: clients that send nothing or an incomplete request, or stay idle, would use up the descriptors. */
    private void closeTimedOut() {
        long requestCutoff = nowNanos() - TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MS);
        long idleCutoff = nowNanos() - TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MS);
        new ArrayList<>(clientsWithoutRequest).stream().filter(client -> client.lastActivityAt < requestCutoff).forEach(ClientConnection::requestTimedOut);
        for (ClientConnection client : new ArrayList<>(clientsWithRequest)) {
            if (client.partialRequestLimiter.hasPartialRequest() && client.partialRequestLimiter.firstByteAt() < requestCutoff) {
                client.requestTimedOut();
            } else if (!client.partialRequestLimiter.hasPartialRequest() && client.lastActivityAt < idleCutoff) {
                client.scheduleClose(ClosedConnections.Reason.IDLE);
            }
        }
    }

    private long excessBytes() {
        return Buffers.CLIENT_ALLOCATOR.metric().usedDirectMemory() - maxBufferBytes;
    }

    /**
     * Frees memory: without it the next read would wait for memory and hold up all clients. Clients that are slow to send, or stop half way,
     * have the oldest unfinished requests.
     */
    private void refuseOldestPartialRequests() {
        List<ClientConnection> oldest = new ArrayList<>();
        Stream.concat(clientsWithoutRequest.stream(), clientsWithRequest.stream())
                .filter(client -> client.partialRequestLimiter.hasPartialRequest() && client.openRequests.isEmpty()).forEach(oldest::add);
        oldest.sort(Comparator.comparingLong(client -> client.partialRequestLimiter.firstByteAt()));
        long excess = excessBytes();
        for (ClientConnection client : oldest) {
            if (excess <= 0) {
                return;
            }
            excess -= client.partialRequestLimiter.partialBytes();
            client.refusePartialRequest();
        }
    }

    /** Sends the replies that are set. */
    public void flush() {
        List<ClientConnection> answered = new ArrayList<>(clientsAwaitingReplies);
        clientsAwaitingReplies.clear();
        answered.forEach(ClientConnection::writeReplies);
        closeSurplus();
    }

    /**
     * Closes surplus connections that are between requests, the longest unused first, to bound the descriptors. Clients that have
     * sent no request get at most half of the places, so that many idle ones don't displace those that send requests.
     */
    private void closeSurplus() {
        closeSurplus(clientsWithoutRequest, Math.max(1, maxClients / 2));
        closeSurplus(clientsWithRequest, maxClients - clientsWithoutRequest.size());
    }

    private static void closeSurplus(Set<ClientConnection> connections, int max) {
        if (connections.size() > max) {
            Iterator<ClientConnection> oldest = new ArrayList<>(connections).iterator();
            while (connections.size() > max && oldest.hasNext()) {
                oldest.next().scheduleClose(ClosedConnections.Reason.TOO_MANY_CONNECTIONS);
            }
        }
    }

    private final class ClientConnection extends SimpleChannelInboundHandler<Request> {
        final PartialRequestLimiter partialRequestLimiter = new PartialRequestLimiter(MAX_CLIENT_BYTES);
        /** Requests without a reply, in the order in which they were read. */
        private final Deque<PendingRequest> openRequests = new ArrayDeque<>(2);
        private ChannelHandlerContext ctx;
        /** When it connected, or its last request was read or answered; nanoseconds of the loop's ticker. */
        private long lastActivityAt = nowNanos();
        private boolean closed;
        private boolean closeScheduled;
        /** The client has closed its sending side. */
        private boolean inputClosed;
        private boolean lingering;
        private ClosedConnections.Reason closeReason = ClosedConnections.Reason.CLOSED_BY_CLIENT;

        @Override public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            clientsWithoutRequest.add(this);
            closeSurplus();
            if (closing) {
                // Nothing has been read from it yet: its first request may be waiting.
                DelayedTask.schedule(group.next(), 0, () -> scheduleClose(ClosedConnections.Reason.SHUTDOWN));
            }
        }

        @Override public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                inputClosed = true;
                if (closed || openRequests.isEmpty()) {
                    context.close();
                }
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext context, Request request) {
            partialRequestLimiter.requestCompleted();
            ClientReadAllocator.requestRead(context.channel());
            boolean last = openRequests.size() >= MAX_OPEN_REQUESTS || request instanceof Request.Malformed malformed && malformed.close();
            if (closed || !openRequests.isEmpty() && openRequests.getLast().last) {
                return;
            }
            if (last) {
                partialRequestLimiter.stop();
            }
            lastActivityAt = nowNanos();
            closeScheduled = false;
            clientsWithoutRequest.remove(this);
            clientsWithRequest.remove(this);
            clientsWithRequest.add(this);
            if (openRequests.isEmpty()) {
                clientsAwaitingReplies.add(this);
            }
            PendingRequest pending = new PendingRequest(this, last);
            openRequests.add(pending);
            host.onRequest(last && !(request instanceof Request.Malformed) ? new Request.Malformed("too many requests at once", true) : request,
                    pending);
        }

        /**
         * Writes the replies that are set, in the order of the requests. Those behind a request without a reply wait with it: it was read while
         * the records of the iteration were being written, and belongs to the next one.
         */
        private void writeReplies() {
            boolean malformed = false;
            while (!openRequests.isEmpty() && openRequests.getFirst().reply != null) {
                Reply reply = openRequests.removeFirst().reply;
                if (!closed) {
                    ctx.write(reply);
                    malformed |= reply instanceof Reply.Error error && error.close();
                }
            }
            if (!openRequests.isEmpty()) {
                clientsAwaitingReplies.add(this);
            }
            lastActivityAt = nowNanos();
            if (!closed) {
                ctx.flush();
            }
            if (closing || inputClosed || malformed) {
                closeIfIdle(true, malformed ? ClosedConnections.Reason.UNREADABLE
                        : inputClosed ? ClosedConnections.Reason.CLOSED_BY_CLIENT : ClosedConnections.Reason.SHUTDOWN);
            }
        }

        /** The time for a request is over, and only a part of it or nothing has arrived. */
        private void requestTimedOut() {
            if (partialRequestLimiter.hasPartialRequest() && openRequests.isEmpty()) {
                ctx.writeAndFlush(new Reply.Error("request took too long", true));
                partialRequestLimiter.requestCompleted();
                closeIfIdle(true, ClosedConnections.Reason.REQUEST_TOO_SLOW);
            } else {
                scheduleClose(ClosedConnections.Reason.REQUEST_TOO_SLOW);
            }
        }

        /** Answers a request that has come in part by a refusal, closes the connection, and frees what has been read. */
        private void refusePartialRequest() {
            ctx.writeAndFlush(new Reply.Busy(0));
            partialRequestLimiter.requestCompleted();
            closeIfIdle(true, ClosedConnections.Reason.TOO_MANY_CONNECTIONS);
            if (ctx.pipeline().get(RedisBulkStringAggregator.class) != null) {
                ctx.pipeline().remove(RedisBulkStringAggregator.class);
            }
        }

        /**
         * Closes the connection unless a request comes with the next select, which the scheduled task runs after. Otherwise
         * requests that wait unread because the node is short of CPU would be answered by a close, and so be lost.
         */
        private void scheduleClose(ClosedConnections.Reason why) {
            closeScheduled = true;
            boolean hadRequest = clientsWithRequest.remove(this);
            clientsWithoutRequest.remove(this);
            ctx.executor().schedule(() -> {
                if (closeScheduled && !closed && (partialRequestLimiter.hasPartialRequest() || !openRequests.isEmpty())) {
                    // Not closed now, so it is still counted, and closed when it is due again.
                    (hadRequest ? clientsWithRequest : clientsWithoutRequest).add(this);
                } else if (closeScheduled) {
                    closeIfIdle(closing, why);
                }
                closeScheduled = false;
            }, 0, TimeUnit.NANOSECONDS);
        }

        /** Closes the connection if no request is open; answered: the client may not have read its last reply yet. */
        private void closeIfIdle(boolean answered, ClosedConnections.Reason why) {
            boolean requestArriving = partialRequestLimiter.hasPartialRequest() && clientsWithRequest.contains(this);
            if (openRequests.isEmpty() && !closed && !requestArriving) {
                closed = true;
                closeReason = why;
                partialRequestLimiter.stop();
                clientsWithoutRequest.remove(this);
                clientsWithRequest.remove(this);
                if (answered && !inputClosed && lingeringClients < maxLingering && ctx.channel() instanceof DuplexChannel duplex) {
                    linger(duplex);
                } else {
                    ctx.close();
                }
            }
        }

        /**
         * Closes the sending side and reads on until the client closes too, for a bounded time. A close with unread bytes resets
         * the connection, which would destroy replies that the client has not read yet.
         */
        private void linger(DuplexChannel channel) {
            lingering = true;
            lingeringClients++;
            channel.shutdownOutput();
            ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            SubmissionServer.this.closedConnections.count(closeReason, openRequests.size(), nowNanos() / 1000);
            closed = true;
            lingeringClients -= lingering ? 1 : 0;
            lingering = false;
            clientsWithoutRequest.remove(this);
            clientsWithRequest.remove(this);
            openRequests.clear();
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException && !closed) {
                channelRead0(context, new Request.Malformed("malformed request", true));
            } else {
                // The remainder of an incomplete request shows up as an error when its connection closes: the first reason is kept.
                closeReason = closed ? closeReason : ClosedConnections.Reason.BROKEN;
                context.close();
            }
        }
    }
}
