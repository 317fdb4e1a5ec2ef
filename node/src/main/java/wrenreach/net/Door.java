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
public final class Door {
    public static final int BODY_LIMIT = 64 * 1024;
    private static final int LINE_LIMIT = 1024, READ_LIMIT = 16 * 1024, READS = 16, ACCEPTS = 32;
    /** What one client's unfinished request may take. */
    public static final int CLIENT_BYTES = BODY_LIMIT + READ_LIMIT;
    /** A request is whole so soon after its connection or its first byte; a client may stand idle for so long. */
    private static final long REQUEST_MS = 2000, IDLE_MS = 5000, LOOK_MS = 250;
    /** For how long a client's connection is read on after its last answer, and one in how many may be at once. */
    private static final long LINGER_MS = 250;
    private static final int LINGER_PART = 16;
    /** For how long a socket to listen on is tried for, and between two tries. */
    private static final long LISTEN_PATIENCE_MS = 10_000, LISTEN_AGAIN_MS = 50;
    /** Requests that one client may have open: the protocol's clients have one. */
    private static final int OPEN_LIMIT = 64;

    /** What the door reports. */
    public interface Host {
        /** A request was read; it is answered by setting its reply before the turn ends. */
        void asked(Asked asked);
    }

    /** One request, until it is answered. */
    public static final class Asked implements Asker {
        public final Request request;
        private final Client client;
        /** Whether nothing is read after it. */
        private final boolean last;
        private Reply reply;

        Asked(Request request, Client client, boolean last) {
            this.request = request;
            this.client = client;
            this.last = last;
        }

        /** Whether the client has closed its connection, or at least its sending: the two look alike. */
        @Override public boolean abandoned() {
            return client.left || !client.ctx.channel().isActive();
        }

        @Override public void answer(Reply answer) {
            reply = answer;
        }
    }

    private final EventLoopGroup loop;
    private final ChannelFactory<? extends ServerChannel> listening;
    private final Host host;
    private final int limit;
    private final int lingerLimit;
    /** Those that never asked for anything, in the order they came. */
    private final Set<Client> silent = new LinkedHashSet<>();
    /** The others, least lately used first. */
    private final Set<Client> clients = new LinkedHashSet<>();
    private final List<Client> asking = new ArrayList<>();
    private final ClosedConnections closed = new ClosedConnections();
    private Channel listener;
    private boolean closing;
    /** Connections that have had their last answer and are read on for a while. */
    private int lingering;

    /** limit: client connections kept at once. */
    public Door(EventLoopGroup loop, ChannelFactory<? extends ServerChannel> listening, Host host, int limit) {
        this.loop = loop;
        this.listening = listening;
        this.host = host;
        lingerLimit = Math.max(1, limit / LINGER_PART);
        this.limit = Math.max(1, limit - limit / LINGER_PART);
    }

    /** Told in tasks of the loop whether the door is open. */
    public interface Opening {
        void opened(InetSocketAddress at);

        /** The address can't be listened on, or no socket could be made for as long as one is tried for. */
        void failed(Throwable why);
    }

    /** Listens on the address; where the machine can't make a socket just now it tries again for some seconds. */
    public void open(InetSocketAddress address, Opening opening) {
        closeOverdueLater();
        listen(address, opening, nanos() + TimeUnit.MILLISECONDS.toNanos(LISTEN_PATIENCE_MS));
    }

    private void listen(InetSocketAddress address, Opening opening, long until) {
        ChannelFuture bound = bind(address);
        bound.addListener(done -> loop.next().execute(() -> {
            if (bound.isSuccess()) {
                listener = bound.channel();
                opening.opened((InetSocketAddress) listener.localAddress());
            } else if (!closing && !(bound.cause() instanceof BindException) && nanos() < until) {
                // No descriptors or buffers: that passes, and says nothing of the address.
                loop.next().schedule(() -> listen(address, opening, until), LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
            } else {
                opening.failed(bound.cause());
            }
        }));
    }

    /** Why connections were closed. */
    ClosedConnections closed() {
        return closed;
    }

    private ChannelFuture bind(InetSocketAddress address) {
        return new ServerBootstrap().group(loop).channelFactory(listening)
                .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                // Guards clients behind a crowd that connects at once: a few looks take in all of them.
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS))
                .handler(new AcceptFaults())
                .childOption(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Guards memory: what is read of an unfinished request is kept in the buffers it came in. Reads
                // on until nothing is left, so that a request and its client's closing are seen in one turn.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(256, 1024, READ_LIMIT)
                                .respectMaybeMoreData(false).maxMessagesPerRead(READS))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        if (channel.config() instanceof DuplexChannelConfig socket) {
                            // A client that ends its sending after its requests still hears the answers.
                            socket.setAllowHalfClosure(true);
                        }
                        Client client = new Client();
                        channel.pipeline().addLast(client.guard).addLast(codecs(BODY_LIMIT)).addLast(client);
                    }
                }).bind(address);
    }

    /** By single tasks: what a repeated one throws is told to nobody, and it is not repeated any more. */
    private void closeOverdueLater() {
        loop.next().schedule(() -> {
            closeOverdueLater();
            closeOverdue();
        }, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Between a client's bytes and requests and replies. */
    static ChannelHandler[] codecs(int bodyLimit) {
        return new ChannelHandler[] {
            new RedisDecoder(LINE_LIMIT, FixedRedisMessagePool.INSTANCE, true), new SizeGuard(bodyLimit),
            new RedisBulkStringAggregator(), new RedisArrayAggregator(SizeGuard.WORDS, 1), new RequestDecoder(),
            new RedisEncoder(), new ReplyEncoder()};
    }

    private long nanos() {
        return loop.next().ticker().nanoTime();
    }

    /**
     * Stops listening and closes each client once it has its answers. Both after one more look at the sockets: guards
     * connections and requests that wait unread while the node is short of its core.
     */
    public void close() {
        closing = true;
        Due.after(loop.next(), 0, () -> {
            if (listener != null) {
                listener.close();
            }
            new ArrayList<>(silent).forEach(client -> client.retire(ClosedConnections.Reason.SHUTDOWN));
            new ArrayList<>(clients).forEach(client -> client.retire(ClosedConnections.Reason.SHUTDOWN));
        });
    }

    /** Guards descriptors against clients that say nothing, half a request, or stay when they have what they want. */
    private void closeOverdue() {
        long asksBy = nanos() - TimeUnit.MILLISECONDS.toNanos(REQUEST_MS);
        long idleSince = nanos() - TimeUnit.MILLISECONDS.toNanos(IDLE_MS);
        new ArrayList<>(silent).stream().filter(c -> c.since < asksBy).forEach(Client::giveUp);
        for (Client client : new ArrayList<>(clients)) {
            if (client.guard.midway() && client.guard.begun() < asksBy) {
                client.giveUp();
            } else if (!client.guard.midway() && client.since < idleSince) {
                client.retire(ClosedConnections.Reason.IDLE);
            }
        }
    }

    /** Sends the replies of the turn. */
    public void flush() {
        List<Client> answered = new ArrayList<>(asking);
        asking.clear();
        answered.forEach(Client::flushReplies);
        makeRoom();
    }

    /**
     * Guards the descriptors: surplus connections between requests are closed, those longest unused first. Those that
     * never asked have half of the room at most, so a crowd that says nothing does not push out those that ask.
     */
    private void makeRoom() {
        makeRoom(silent, Math.max(1, limit / 2));
        makeRoom(clients, limit - silent.size());
    }

    private static void makeRoom(Set<Client> among, int most) {
        if (among.size() > most) {
            Iterator<Client> oldest = new ArrayList<>(among).iterator();
            while (among.size() > most && oldest.hasNext()) {
                oldest.next().retire(ClosedConnections.Reason.TOO_MANY_CONNECTIONS);
            }
        }
    }

    private final class Client extends SimpleChannelInboundHandler<Request> {
        final UnfinishedGuard guard = new UnfinishedGuard(CLIENT_BYTES);
        private final List<Asked> open = new ArrayList<>(2);
        private ChannelHandlerContext ctx;
        /** When it connected, or its last request was there or answered; by the loop's ticker. */
        private long since = nanos();
        private boolean closed;
        private boolean retiring;
        /** It sends nothing any more. */
        private boolean left;
        private boolean lingers;
        private ClosedConnections.Reason reason = ClosedConnections.Reason.CLOSED_BY_CLIENT;

        @Override public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            silent.add(this);
            makeRoom();
            if (closing) {
                // It has not been read from yet.
                Due.after(loop.next(), 0, () -> retire(ClosedConnections.Reason.SHUTDOWN));
            }
        }

        @Override public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                left = true;
                if (closed || open.isEmpty()) {
                    context.close();
                }
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext context, Request request) {
            guard.whole();
            boolean last = open.size() >= OPEN_LIMIT || request instanceof Request.Unreadable bad && bad.close();
            if (closed || !open.isEmpty() && open.get(open.size() - 1).last) {
                return;
            }
            if (last) {
                guard.stop();
            }
            since = nanos();
            retiring = false;
            silent.remove(this);
            clients.remove(this);
            clients.add(this);
            if (open.isEmpty()) {
                asking.add(this);
            }
            Asked asked = new Asked(last && !(request instanceof Request.Unreadable)
                    ? new Request.Unreadable("too many requests at once", true) : request, this, last);
            open.add(asked);
            host.asked(asked);
        }

        private void flushReplies() {
            boolean close = closing || left;
            boolean unreadable = false;
            for (Asked asked : open) {
                if (asked.reply != null && !closed) {
                    ctx.write(asked.reply);
                    unreadable |= asked.reply instanceof Reply.Error error && error.close();
                }
            }
            open.clear();
            since = nanos();
            if (!closed) {
                ctx.flush();
            }
            if (close || unreadable) {
                closeIfIdle(true, unreadable ? ClosedConnections.Reason.UNREADABLE
                        : left ? ClosedConnections.Reason.CLOSED_BY_CLIENT : ClosedConnections.Reason.SHUTDOWN);
            }
        }

        /** Half a request, or none, and its time is over. */
        private void giveUp() {
            if (guard.midway() && open.isEmpty()) {
                ctx.writeAndFlush(new Reply.Error("request took too long", true));
                guard.whole();
                closeIfIdle(true, ClosedConnections.Reason.REQUEST_TOO_SLOW);
            } else {
                retire(ClosedConnections.Reason.REQUEST_TOO_SLOW);
            }
        }

        /**
         * Closes it unless a request has come by now: what is scheduled runs after one more look at the sockets. Guards
         * requests that wait unread while the node is short of its core; answered by a close, they are lost.
         */
        private void retire(ClosedConnections.Reason why) {
            retiring = true;
            boolean asked = clients.remove(this);
            silent.remove(this);
            ctx.executor().schedule(() -> {
                if (retiring && !closed && guard.midway()) {
                    (asked ? clients : silent).add(this);
                } else if (retiring) {
                    closeIfIdle(closing, why);
                }
                retiring = false;
            }, 0, TimeUnit.NANOSECONDS);
        }

        /** answered: it may not have read its last answer yet. */
        private void closeIfIdle(boolean answered, ClosedConnections.Reason why) {
            boolean reads = guard.midway() && clients.contains(this);
            if (open.isEmpty() && !closed && !reads) {
                closed = true;
                reason = why;
                guard.stop();
                silent.remove(this);
                clients.remove(this);
                if (answered && !left && lingering < lingerLimit && ctx.channel() instanceof DuplexChannel duplex) {
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
            lingers = true;
            lingering++;
            channel.shutdownOutput();
            ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            Door.this.closed.count(reason, open.size(), nanos() / 1000);
            closed = true;
            lingering -= lingers ? 1 : 0;
            lingers = false;
            silent.remove(this);
            clients.remove(this);
            open.clear();
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException && !closed) {
                channelRead0(context, new Request.Unreadable("malformed request", true));
            } else {
                // What is left of half a request shows as an error when its connection closes: the reason stays the first one.
                reason = closed ? reason : ClosedConnections.Reason.BROKEN;
                context.close();
            }
        }
    }
}
