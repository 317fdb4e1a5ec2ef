package wrenreach.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Where clients hand in mails. Replies wait for the end of the turn and go out in the order of the requests. */
public final class SubmissionServer {
    public static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_LINE_BYTES = 1024, MAX_READ_BYTES = 16 * 1024, MAX_READS_PER_ITERATION = 16, MAX_ACCEPTS_PER_ITERATION = 32;
    /** What one client's unfinished request may take. */
    public static final int MAX_CLIENT_BYTES = MAX_BODY_BYTES + MAX_READ_BYTES;
    /** A request is whole so soon after its connection or its first byte; a client may stand idle for so long. */
    private static final long REQUEST_TIMEOUT_MS = 2000, IDLE_TIMEOUT_MS = 5000, TIMEOUT_CHECK_INTERVAL_MS = 250;
    /** For how long a client's connection is read on after its last answer, and one in how many may be at once. */
    private static final long LINGER_MS = 250;
    private static final int LINGER_DIVISOR = 16;
    /** For how long a socket to listen on is tried for, and between two tries. */
    private static final long LISTEN_TIMEOUT_MS = 10_000, LISTEN_RETRY_INTERVAL_MS = 50;
    /** Requests that one client may have open: the protocol's clients have one. */
    private static final int MAX_OPEN_REQUESTS = 64;

    /** What the door reports. */
    public interface Host {
        /** A request was read; it is answered by setting its reply before the turn ends. */
        void onRequest(PendingRequest asked);
    }

    /** One request, until it is answered. */
    public static final class PendingRequest implements ReplyHandle {
        public final Request request;
        private final ClientConnection client;
        /** Whether nothing is read after it. */
        private final boolean last;
        private Reply reply;

        PendingRequest(Request request, ClientConnection client, boolean last) {
            this.request = request;
            this.client = client;
            this.last = last;
        }

        /** Whether the client has closed its connection, or at least its sending: the two look alike. */
        @Override public boolean abandoned() {
            return client.inputClosed || !client.ctx.channel().isActive();
        }

        @Override public void reply(Reply answer) {
            reply = answer;
        }
    }

    private final EventLoopGroup group;
    private final ChannelFactory<? extends ServerChannel> serverChannelFactory;
    private final Host host;
    private final int maxClients;
    private final int maxLingering;
    /** Those that never asked for anything, in the order they came. */
    private final Set<ClientConnection> clientsWithoutRequest = new LinkedHashSet<>();
    /** The others, least lately used first. */
    private final Set<ClientConnection> clientsWithRequest = new LinkedHashSet<>();
    private final List<ClientConnection> clientsAwaitingReplies = new ArrayList<>();
    private final ClosedConnections closedConnections = new ClosedConnections();
    private Channel serverChannel;
    private boolean closing;
    /** Connections that have had their last answer and are read on for a while. */
    private int lingeringClients;

    /** limit: client connections kept at once. */
    public SubmissionServer(EventLoopGroup loop, ChannelFactory<? extends ServerChannel> listening, Host host, int limit) {
        this.group = loop;
        this.serverChannelFactory = listening;
        this.host = host;
        maxLingering = Math.max(1, limit / LINGER_DIVISOR);
        this.maxClients = Math.max(1, limit - limit / LINGER_DIVISOR);
    }

    /** Told in tasks of the loop whether the door is open. */
    public interface ListenCallback {
        void opened(InetSocketAddress at);

        /** The address can't be listened on, or no socket could be made for as long as one is tried for. */
        void failed(Throwable why);
    }

    /** Listens on the address; where the machine can't make a socket just now it tries again for some seconds. */
    public void open(InetSocketAddress address, ListenCallback opening) {
        scheduleTimeoutCheck();
        listen(address, opening, nowNanos() + TimeUnit.MILLISECONDS.toNanos(LISTEN_TIMEOUT_MS));
    }

    private void listen(InetSocketAddress address, ListenCallback opening, long until) {
        ChannelFuture bound = bind(address);
        bound.addListener(done -> group.next().execute(() -> {
            if (bound.isSuccess()) {
                serverChannel = bound.channel();
                opening.opened((InetSocketAddress) serverChannel.localAddress());
            } else if (!closing && !(bound.cause() instanceof BindException) && nowNanos() < until) {
                // No descriptors or buffers: that passes, and says nothing of the address.
                group.next().schedule(() -> listen(address, opening, until), LISTEN_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } else {
                opening.failed(bound.cause());
            }
        }));
    }

    /** Why connections were closed. */
    ClosedConnections closedConnections() {
        return closedConnections;
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return new ServerBootstrap().group(group).channelFactory(serverChannelFactory)
                .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                // Guards clients behind a crowd that connects at once: a few looks take in all of them.
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_ITERATION))
                .handler(new AcceptFaults())
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Guards memory: what is read of an unfinished request is kept in the buffers it came in. Reads
                // on until nothing is left, so that a request and its client's closing are seen in one turn.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(256, 1024, MAX_READ_BYTES)
                                .respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_ITERATION))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        if (channel.config() instanceof DuplexChannelConfig socket) {
                            // A client that ends its sending after its requests still hears the answers.
                            socket.setAllowHalfClosure(true);
                        }
                        ClientConnection client = new ClientConnection();
                        channel.pipeline().addLast(client.partialRequestLimiter).addLast(codecs(MAX_BODY_BYTES)).addLast(client);
                    }
                }).bind(address);
    }

    /** By single tasks: what a repeated one throws is told to nobody, and it is not repeated any more. */
    private void scheduleTimeoutCheck() {
        group.next().schedule(() -> {
            scheduleTimeoutCheck();
            closeTimedOut();
        }, TIMEOUT_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Between a client's bytes and requests and replies. */
    static ChannelHandler[] codecs(int bodyLimit) {
        return new ChannelHandler[] {
            new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE, true), new RequestSizeLimiter(bodyLimit),
            new RedisBulkStringAggregator(), new RedisArrayAggregator(RequestSizeLimiter.MAX_WORDS, 1), new RequestDecoder(),
            new RedisEncoder(), new ReplyEncoder()};
    }

    private long nowNanos() {
        return group.next().ticker().nanoTime();
    }

    /**
     * Stops listening and closes each client once it has its answers. Both after one more look at the sockets: guards
     * connections and requests that wait unread while the node is short of its core.
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

    /** Guards descriptors against clients that say nothing, half a request, or stay when they have what they want. */
    private void closeTimedOut() {
        long asksBy = nowNanos() - TimeUnit.MILLISECONDS.toNanos(REQUEST_TIMEOUT_MS);
        long idleSince = nowNanos() - TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MS);
        new ArrayList<>(clientsWithoutRequest).stream().filter(c -> c.lastActivityAt < asksBy).forEach(ClientConnection::requestTimedOut);
        for (ClientConnection client : new ArrayList<>(clientsWithRequest)) {
            if (client.partialRequestLimiter.hasPartialRequest() && client.partialRequestLimiter.firstByteAt() < asksBy) {
                client.requestTimedOut();
            } else if (!client.partialRequestLimiter.hasPartialRequest() && client.lastActivityAt < idleSince) {
                client.scheduleClose(ClosedConnections.Reason.IDLE);
            }
        }
    }

    /** Sends the replies of the turn. */
    public void flush() {
        List<ClientConnection> answered = new ArrayList<>(clientsAwaitingReplies);
        clientsAwaitingReplies.clear();
        answered.forEach(ClientConnection::writeReplies);
        closeSurplus();
    }

    /**
     * Guards the descriptors: surplus connections between requests are closed, those longest unused first. Those that
     * never asked have half of the room at most, so a crowd that says nothing does not push out those that ask.
     */
    private void closeSurplus() {
        closeSurplus(clientsWithoutRequest, Math.max(1, maxClients / 2));
        closeSurplus(clientsWithRequest, maxClients - clientsWithoutRequest.size());
    }

    private static void closeSurplus(Set<ClientConnection> among, int most) {
        if (among.size() > most) {
            Iterator<ClientConnection> oldest = new ArrayList<>(among).iterator();
            while (among.size() > most && oldest.hasNext()) {
                oldest.next().scheduleClose(ClosedConnections.Reason.TOO_MANY_CONNECTIONS);
            }
        }
    }

    private final class ClientConnection extends SimpleChannelInboundHandler<Request> {
        final PartialRequestLimiter partialRequestLimiter = new PartialRequestLimiter(MAX_CLIENT_BYTES);
        private final List<PendingRequest> openRequests = new ArrayList<>(2);
        private ChannelHandlerContext ctx;
        /** When it connected, or its last request was there or answered; by the loop's ticker. */
        private long lastActivityAt = nowNanos();
        private boolean closed;
        private boolean closeScheduled;
        /** It sends nothing any more. */
        private boolean inputClosed;
        private boolean lingering;
        private ClosedConnections.Reason closeReason = ClosedConnections.Reason.CLOSED_BY_CLIENT;

        @Override public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            clientsWithoutRequest.add(this);
            closeSurplus();
            if (closing) {
                // It has not been read from yet.
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
            boolean last = openRequests.size() >= MAX_OPEN_REQUESTS || request instanceof Request.Malformed bad && bad.close();
            if (closed || !openRequests.isEmpty() && openRequests.get(openRequests.size() - 1).last) {
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
            PendingRequest asked = new PendingRequest(last && !(request instanceof Request.Malformed)
                    ? new Request.Malformed("too many requests at once", true) : request, this, last);
            openRequests.add(asked);
            host.onRequest(asked);
        }

        private void writeReplies() {
            boolean close = closing || inputClosed;
            boolean unreadable = false;
            for (PendingRequest asked : openRequests) {
                if (asked.reply != null && !closed) {
                    ctx.write(asked.reply);
                    unreadable |= asked.reply instanceof Reply.Error error && error.close();
                }
            }
            openRequests.clear();
            lastActivityAt = nowNanos();
            if (!closed) {
                ctx.flush();
            }
            if (close || unreadable) {
                closeIfIdle(true, unreadable ? ClosedConnections.Reason.UNREADABLE
                        : inputClosed ? ClosedConnections.Reason.CLOSED_BY_CLIENT : ClosedConnections.Reason.SHUTDOWN);
            }
        }

        /** Half a request, or none, and its time is over. */
        private void requestTimedOut() {
            if (partialRequestLimiter.hasPartialRequest() && openRequests.isEmpty()) {
                ctx.writeAndFlush(new Reply.Error("request took too long", true));
                partialRequestLimiter.requestCompleted();
                closeIfIdle(true, ClosedConnections.Reason.REQUEST_TOO_SLOW);
            } else {
                scheduleClose(ClosedConnections.Reason.REQUEST_TOO_SLOW);
            }
        }

        /**
         * Closes it unless a request has come by now: what is scheduled runs after one more look at the sockets. Guards
         * requests that wait unread while the node is short of its core; answered by a close, they are lost.
         */
        private void scheduleClose(ClosedConnections.Reason why) {
            closeScheduled = true;
            boolean asked = clientsWithRequest.remove(this);
            clientsWithoutRequest.remove(this);
            ctx.executor().schedule(() -> {
                if (closeScheduled && !closed && partialRequestLimiter.hasPartialRequest()) {
                    (asked ? clientsWithRequest : clientsWithoutRequest).add(this);
                } else if (closeScheduled) {
                    closeIfIdle(closing, why);
                }
                closeScheduled = false;
            }, 0, TimeUnit.NANOSECONDS);
        }

        /** answered: it may not have read its last answer yet. */
        private void closeIfIdle(boolean answered, ClosedConnections.Reason why) {
            boolean reads = partialRequestLimiter.hasPartialRequest() && clientsWithRequest.contains(this);
            if (openRequests.isEmpty() && !closed && !reads) {
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
         * Ends the sending and reads on until the client closes too, for a bounded time. Guards answers that it has not read
         * yet: a close with bytes unread resets the connection, which destroys them.
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
                // What is left of half a request shows as an error when its connection closes: the reason stays the first one.
                closeReason = closed ? closeReason : ClosedConnections.Reason.BROKEN;
                context.close();
            }
        }
    }
}
