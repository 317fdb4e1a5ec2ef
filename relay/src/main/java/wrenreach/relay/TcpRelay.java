package wrenreach.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Connections from one party to another, passed on over loopback as the two ways of their link allow. Where nobody listens
 * behind it, or the link refuses, nobody listens here either; where it is cut, connects never come up. All of it belongs to
 * one loop. Memory: up to {@link #HELD} bytes are held of each way of each connection, then no more is read.
 */
public final class TcpRelay {
    /** Bytes of one way of one connection that are read before they may go on. */
    public static final int BUFFER_BYTES = 1 << 20;
    private static final int TCP_CONNECT_TIMEOUT_MS = 1000, BACKLOG_FILLERS = 4, MAX_LISTEN_RETRIES = 400;
    private static final long LISTEN_RETRY_NANOS = 5_000_000;

    private enum Mode { CLOSED, OPEN, UNRESPONSIVE }

    private final EventLoop loop;
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress sourceAddress;
    private final InetSocketAddress targetAddress;
    private final LinkDirection forward;
    private final LinkDirection reverse;
    private final DoubleSupplier random;
    private final Consumer<String> errorHandler;
    private final Set<RelayedConnection> connections = new LinkedHashSet<>();
    private final List<SocketChannel> backlogFillers = new ArrayList<>();
    private Mode mode = Mode.CLOSED;
    private Channel listener;
    private ServerSocketChannel unresponsiveListener;
    private boolean switching;
    private boolean targetUp = true;
    private boolean stopped = true;
    private int listenFailures;
    private long opened;

    /**
     * at: where it listens; own: the address that it comes from, so that the other side can tell who asks (port 0); to: where
     * it leads; failed: told in one line of what the machine refuses.
     */
    public TcpRelay(EventLoop loop, InetSocketAddress at, InetSocketAddress own, InetSocketAddress to, LinkDirection there, LinkDirection back,
                    DoubleSupplier chance, Consumer<String> failed) {
        this.loop = loop;
        this.listenAddress = at;
        this.sourceAddress = own;
        this.targetAddress = to;
        this.forward = there;
        this.reverse = back;
        this.random = chance;
        this.errorHandler = failed;
    }

    /** A listener of the family in which addresses of loopback are many. */
    public static NioServerSocketChannel listener() {
        return new NioServerSocketChannel(SelectorProvider.provider(), SocketProtocolFamily.INET);
    }

    /** A connection of the same. */
    public static NioSocketChannel connection() {
        return new NioSocketChannel(SelectorProvider.provider(), SocketProtocolFamily.INET);
    }

    /** It begins, or is there again after it died. */
    public void start() {
        stopped = false;
        changed();
    }

    /** It is gone with all its connections, which are reset; nobody listens. */
    public void stop() {
        stopped = true;
        reset();
        changed();
    }

    /** Whether somebody listens where it leads. */
    public void targetUp(boolean up) {
        targetUp = up;
        changed();
    }

    /** Resets every connection that passes through. */
    public void reset() {
        List.copyOf(connections).forEach(RelayedConnection::reset);
    }

    /** Connections that have come up so far. */
    public long opened() {
        return opened;
    }

    /** Connections that pass through now. */
    public int open() {
        return connections.size();
    }

    /** What is wrong with the ways has changed. */
    public void changed() {
        switchMode();
        List.copyOf(connections).forEach(pair -> {
            pair.forward.drain();
            pair.reverse.drain();
        });
    }

    private Mode wantedMode() {
        if (stopped || !targetUp || forward.refuses() || reverse.refuses()) {
            return Mode.CLOSED;
        }
        return forward.isCut() || reverse.isCut() ? Mode.UNRESPONSIVE : Mode.OPEN;
    }

    /** Closes what listens and opens what shall; what is wanted may change meanwhile. */
    private void switchMode() {
        if (switching || mode == wantedMode()) {
            return;
        }
        if (mode == Mode.OPEN) {
            switching = true;
            mode = Mode.CLOSED;
            // The machine has the address back once the loop's selector has let go of it: one look later.
            listener.close().addListener(done -> switchModeLater(0));
            return;
        }
        if (mode == Mode.UNRESPONSIVE) {
            closeUnresponsiveListener();
            mode = Mode.CLOSED;
        }
        if (wantedMode() == Mode.UNRESPONSIVE) {
            openUnresponsiveListener();
        } else if (wantedMode() == Mode.OPEN) {
            listen();
        }
    }

    private void switchModeLater(long nanos) {
        switching = true;
        loop.schedule(() -> {
            switching = false;
            switchMode();
        }, nanos, TimeUnit.NANOSECONDS);
    }

    /** Guards against an address that is in use for a moment more: it is tried again for a bounded time. */
    private void listenFailed(String what, Throwable cause) {
        mode = Mode.CLOSED;
        if (++listenFailures > MAX_LISTEN_RETRIES) {
            stopped = true;
            errorHandler.accept(what + " " + listenAddress + ": " + cause.getMessage());
        } else {
            switchModeLater(LISTEN_RETRY_NANOS);
        }
    }

    private void listen() {
        switching = true;
        mode = Mode.OPEN;
        var binding = new ServerBootstrap().group(loop).channelFactory(TcpRelay::listener)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        connectionAccepted(channel);
                    }
                }).bind(listenAddress);
        listener = binding.channel();
        binding.addListener(done -> {
            switching = false;
            if (!done.isSuccess()) {
                listenFailed("can't listen on", done.cause());
            } else {
                listenFailures = 0;
                switchMode();
            }
        });
    }

    /**
     * A listener whose queue is full and never emptied: the machine drops what asks for a connection, so connects neither come
     * up nor are refused.
     */
    private void openUnresponsiveListener() {
        try {
            unresponsiveListener = ServerSocketChannel.open(StandardProtocolFamily.INET);
            unresponsiveListener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            unresponsiveListener.bind(listenAddress, 1);
            mode = Mode.UNRESPONSIVE;
            for (int i = 0; i < BACKLOG_FILLERS; i++) {
                SocketChannel fill = SocketChannel.open(StandardProtocolFamily.INET);
                backlogFillers.add(fill);
                fill.configureBlocking(false);
                fill.connect(listenAddress);
            }
            listenFailures = 0;
        } catch (IOException e) {
            closeUnresponsiveListener();
            listenFailed("can't wall off", e);
        }
    }

    private void closeUnresponsiveListener() {
        try {
            for (SocketChannel fill : backlogFillers) {
                fill.close();
            }
            backlogFillers.clear();
            unresponsiveListener.close();
        } catch (IOException e) {
            errorHandler.accept("can't take down the wall at " + listenAddress + ": " + e.getMessage());
        }
    }

    private void connectionAccepted(Channel asker) {
        opened++;
        RelayedConnection pair = new RelayedConnection(asker);
        connections.add(pair);
        asker.pipeline().addLast(pair.forward);
        new Bootstrap().group(loop).channelFactory(TcpRelay::connection).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TCP_CONNECT_TIMEOUT_MS)
                .handler(pair.reverse).localAddress(sourceAddress).connect(targetAddress).addListener(done -> {
                    pair.reverse.source = ((ChannelFuture) done).channel();
                    if (done.isSuccess() && connections.contains(pair)) {
                        pair.forward.target = pair.reverse.source;
                        pair.forward.source.config().setAutoRead(true);
                        pair.reverse.source.config().setAutoRead(true);
                        pair.forward.drain();
                    } else {
                        pair.reset();
                    }
                });
    }

    private final class RelayedConnection {
        final Forwarder forward;
        final Forwarder reverse;

        RelayedConnection(Channel asker) {
            forward = new Forwarder(this, TcpRelay.this.forward);
            reverse = new Forwarder(this, TcpRelay.this.reverse);
            forward.source = asker;
            reverse.target = asker;
        }

        void reset() {
            connections.remove(this);
            for (Channel one : new Channel[] {forward.source, reverse.source}) {
                if (one != null && one.isOpen()) {
                    one.config().setOption(ChannelOption.SO_LINGER, 0);
                    one.close();
                }
            }
            forward.releaseQueue();
            reverse.releaseQueue();
        }
    }

    /** What goes one way of one connection, in order. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        /** bytes: null where the sender has closed; first: it is the half that still goes through. */
        private record Chunk(ByteBuf bytes, long dueAt, boolean isFirstHalf) { }

        private final RelayedConnection connection;
        private final LinkDirection direction;
        private final Deque<Chunk> queue = new ArrayDeque<>();
        private Channel source;
        private Channel target;
        private long lastDueAt;
        private int bufferedBytes;
        private boolean drainScheduled;

        Forwarder(RelayedConnection pair, LinkDirection way) {
            this.connection = pair;
            this.direction = way;
        }

        @Override public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            int size = bytes.readableBytes();
            int passes = direction.passedBytes(size);
            if (passes < size) {
                enqueue(bytes.readRetainedSlice(passes), true);
            }
            enqueue(bytes, false);
            bufferedBytes += size;
            if (bufferedBytes > BUFFER_BYTES) {
                context.channel().config().setAutoRead(false);
            }
            drain();
        }

        private void enqueue(ByteBuf bytes, boolean first) {
            long begins = Math.max(System.nanoTime() + direction.delayNanos(random), lastDueAt);
            lastDueAt = begins + (bytes == null ? 0 : direction.transferNanos(bytes.readableBytes()));
            queue.addLast(new Chunk(bytes, lastDueAt, first));
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            if (connections.contains(connection)) {
                enqueue(null, false);
                drain();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The party's side was reset: so is the other, but not across a cut.
            if (!direction.isCut()) {
                connection.reset();
            }
        }

        /** Passes on what may go by now. */
        void drain() {
            boolean wrote = false;
            while (target != null && !queue.isEmpty()) {
                Chunk next = queue.peekFirst();
                long early = next.dueAt - System.nanoTime();
                if (direction.isCut() || direction.isTruncating() && !next.isFirstHalf) {
                    break;
                }
                if (early > 0) {
                    drainLater(early);
                    break;
                }
                queue.pollFirst();
                if (next.bytes == null) {
                    connections.remove(connection);
                    target.writeAndFlush(target.alloc().buffer(0)).addListener(done -> target.close());
                    return;
                }
                bufferedBytes -= next.bytes.readableBytes();
                target.write(next.bytes);
                wrote = true;
            }
            if (wrote) {
                target.flush();
            }
            if (bufferedBytes < BUFFER_BYTES / 2 && source != null && target != null && !source.config().isAutoRead()) {
                source.config().setAutoRead(true);
            }
        }

        private void drainLater(long nanos) {
            if (!drainScheduled) {
                drainScheduled = true;
                loop.schedule(() -> {
                    drainScheduled = false;
                    drain();
                }, nanos, TimeUnit.NANOSECONDS);
            }
        }

        void releaseQueue() {
            queue.forEach(piece -> {
                if (piece.bytes != null) {
                    piece.bytes.release();
                }
            });
            queue.clear();
        }
    }
}
