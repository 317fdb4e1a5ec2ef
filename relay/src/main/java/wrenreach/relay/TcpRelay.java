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
 * Relays TCP connections from one party to another over loopback, as the two directions of their link allow. While nobody
 * listens at the target, or the link refuses, the relay doesn't listen either; while the link is cut, TCP connects to it time
 * out. All methods run on one event loop. Memory: each direction of each connection buffers up to {@link #BUFFER_BYTES} bytes
 * and the read that exceeds them, then reading stops.
 */
public final class TcpRelay {
    /** Bytes buffered for one direction of one connection above which reading stops; it goes on below half of them. */
    public static final int BUFFER_BYTES = 1 << 20;
    private static final int TCP_CONNECT_TIMEOUT_MS = 1000;
    /** Connections that fill the backlog of the listener that accepts none. */
    private static final int BACKLOG_FILLERS = 4;
    /** Failures to listen in a row that are retried before the relay gives up. */
    private static final int MAX_LISTEN_RETRIES = 400;
    private static final long LISTEN_RETRY_NANOS = 5_000_000;

    /** CLOSED: nobody listens; OPEN: connections are relayed; UNRESPONSIVE: TCP connects time out. */
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
    /** Whether a change of mode is under way or scheduled. */
    private boolean switching;
    private boolean targetUp = true;
    private boolean stopped = true;
    private int listenFailures;
    private long opened;

    /**
     * sourceAddress: the local address of connections to the target, by which the target can tell which party connects (port
     * 0); forward: towards the target; random: from 0 to below 1; errorHandler: gets a line for each failure of the operating
     * system.
     */
    public TcpRelay(EventLoop loop, InetSocketAddress listenAddress, InetSocketAddress sourceAddress, InetSocketAddress targetAddress,
                    LinkDirection forward, LinkDirection reverse, DoubleSupplier random, Consumer<String> errorHandler) {
        this.loop = loop;
        this.listenAddress = listenAddress;
        this.sourceAddress = sourceAddress;
        this.targetAddress = targetAddress;
        this.forward = forward;
        this.reverse = reverse;
        this.random = random;
        this.errorHandler = errorHandler;
    }

    /** A server channel for IPv4, which has many loopback addresses. */
    public static NioServerSocketChannel listener() {
        return new NioServerSocketChannel(SelectorProvider.provider(), SocketProtocolFamily.INET);
    }

    /** A client channel for IPv4. */
    public static NioSocketChannel connection() {
        return new NioSocketChannel(SelectorProvider.provider(), SocketProtocolFamily.INET);
    }

    /** Starts the relay, also again after {@link #stop}. */
    public void start() {
        stopped = false;
        changed();
    }

    /** Stops listening and resets all connections. */
    public void stop() {
        stopped = true;
        reset();
        changed();
    }

    /** Tells the relay whether somebody listens at the target. */
    public void targetUp(boolean up) {
        targetUp = up;
        changed();
    }

    /** Resets all connections. */
    public void reset() {
        List.copyOf(connections).forEach(RelayedConnection::reset);
    }

    /** The number of connections accepted so far. */
    public long opened() {
        return opened;
    }

    /** The number of connections that are open now. */
    public int open() {
        return connections.size();
    }

    /** Has to be called after each change to the impairments of the two directions. */
    public void changed() {
        switchMode();
        List.copyOf(connections).forEach(connection -> {
            connection.forward.drain();
            connection.reverse.drain();
        });
    }

    private Mode wantedMode() {
        if (stopped || !targetUp || forward.refuses() || reverse.refuses()) {
            return Mode.CLOSED;
        }
        return forward.isCut() || reverse.isCut() ? Mode.UNRESPONSIVE : Mode.OPEN;
    }

    /** Closes the listener of the present mode and opens that of the wanted one, which may change meanwhile. */
    private void switchMode() {
        if (switching || mode == wantedMode()) {
            return;
        }
        if (mode == Mode.OPEN) {
            switching = true;
            mode = Mode.CLOSED;
            // The operating system frees the address only once the loop's selector has released the channel, one select later.
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

    /** The address may be in use for a moment longer, so listening is retried a limited number of times before the relay stops. */
    private void listenFailed(String action, Throwable cause) {
        mode = Mode.CLOSED;
        if (++listenFailures > MAX_LISTEN_RETRIES) {
            stopped = true;
            errorHandler.accept(action + " " + listenAddress + ": " + cause.getMessage());
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
     * Opens a listener whose backlog is full and never accepted from: the operating system drops further SYN packets, so that
     * TCP connects neither succeed nor are refused.
     */
    private void openUnresponsiveListener() {
        try {
            unresponsiveListener = ServerSocketChannel.open(StandardProtocolFamily.INET);
            unresponsiveListener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            unresponsiveListener.bind(listenAddress, 1);
            mode = Mode.UNRESPONSIVE;
            for (int i = 0; i < BACKLOG_FILLERS; i++) {
                SocketChannel filler = SocketChannel.open(StandardProtocolFamily.INET);
                backlogFillers.add(filler);
                filler.configureBlocking(false);
                filler.connect(listenAddress);
            }
            listenFailures = 0;
        } catch (IOException e) {
            closeUnresponsiveListener();
            listenFailed("can't wall off", e);
        }
    }

    private void closeUnresponsiveListener() {
        try {
            for (SocketChannel filler : backlogFillers) {
                filler.close();
            }
            backlogFillers.clear();
            unresponsiveListener.close();
        } catch (IOException e) {
            errorHandler.accept("can't take down the wall at " + listenAddress + ": " + e.getMessage());
        }
    }

    private void connectionAccepted(Channel client) {
        opened++;
        RelayedConnection connection = new RelayedConnection(client);
        connections.add(connection);
        client.pipeline().addLast(connection.forward);
        new Bootstrap().group(loop).channelFactory(TcpRelay::connection).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TCP_CONNECT_TIMEOUT_MS)
                .handler(connection.reverse).localAddress(sourceAddress).connect(targetAddress).addListener(done -> {
                    connection.reverse.source = ((ChannelFuture) done).channel();
                    if (done.isSuccess() && connections.contains(connection)) {
                        connection.forward.target = connection.reverse.source;
                        connection.forward.source.config().setAutoRead(true);
                        connection.reverse.source.config().setAutoRead(true);
                        connection.forward.drain();
                    } else {
                        connection.reset();
                    }
                });
    }

    /** A connection that was accepted, together with the one to the target. */
    private final class RelayedConnection {
        final Forwarder forward;
        final Forwarder reverse;

        RelayedConnection(Channel client) {
            forward = new Forwarder(this, TcpRelay.this.forward);
            reverse = new Forwarder(this, TcpRelay.this.reverse);
            forward.source = client;
            reverse.target = client;
        }

        void reset() {
            connections.remove(this);
            for (Channel channel : new Channel[] {forward.source, reverse.source}) {
                if (channel != null && channel.isOpen()) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                    channel.close();
                }
            }
            forward.releaseQueue();
            reverse.releaseQueue();
        }
    }

    /** Forwards the data of one direction of one connection, in order. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        /** bytes: null where the sender has closed; dueAt: nanoTime; isFirstHalf: it is the half that passes although HALF applies. */
        private record Chunk(ByteBuf bytes, long dueAt, boolean isFirstHalf) { }

        private final RelayedConnection connection;
        private final LinkDirection direction;
        private final Deque<Chunk> queue = new ArrayDeque<>();
        private Channel source;
        private Channel target;
        /** When the last chunk is due (nanoTime): a later one is not sent before it. */
        private long lastDueAt;
        private int bufferedBytes;
        private boolean drainScheduled;

        Forwarder(RelayedConnection connection, LinkDirection direction) {
            this.connection = connection;
            this.direction = direction;
        }

        @Override public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            int size = bytes.readableBytes();
            int passedBytes = direction.passedBytes(size);
            if (passedBytes < size) {
                enqueue(bytes.readRetainedSlice(passedBytes), true);
            }
            enqueue(bytes, false);
            bufferedBytes += size;
            if (bufferedBytes > BUFFER_BYTES) {
                context.channel().config().setAutoRead(false);
            }
            drain();
        }

        private void enqueue(ByteBuf bytes, boolean isFirstHalf) {
            long startsAt = Math.max(System.nanoTime() + direction.delayNanos(random), lastDueAt);
            lastDueAt = startsAt + (bytes == null ? 0 : direction.transferNanos(bytes.readableBytes()));
            queue.addLast(new Chunk(bytes, lastDueAt, isFirstHalf));
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            if (connections.contains(connection)) {
                enqueue(null, false);
                drain();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // One side was reset, so the other is reset too, but a reset doesn't pass a cut.
            if (!direction.isCut()) {
                connection.reset();
            }
        }

        /** Writes the chunks that are due, and resumes reading where there is room again. */
        void drain() {
            boolean written = false;
            while (target != null && !queue.isEmpty()) {
                Chunk next = queue.peekFirst();
                long nanosToWait = next.dueAt - System.nanoTime();
                if (direction.isCut() || direction.isTruncating() && !next.isFirstHalf) {
                    break;
                }
                if (nanosToWait > 0) {
                    drainLater(nanosToWait);
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
                written = true;
            }
            if (written) {
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
            queue.forEach(chunk -> {
                if (chunk.bytes != null) {
                    chunk.bytes.release();
                }
            });
            queue.clear();
        }
    }
}
