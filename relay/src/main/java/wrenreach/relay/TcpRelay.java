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
    private static final int CONNECT_MS = 1000, FILLS = 4, TRIES = 400;
    private static final long TRY_AGAIN = 5_000_000;

    private enum Mode { CLOSED, OPEN, WALL }

    private final EventLoop loop;
    private final InetSocketAddress at;
    private final InetSocketAddress own;
    private final InetSocketAddress to;
    private final LinkDirection there;
    private final LinkDirection back;
    private final DoubleSupplier chance;
    private final Consumer<String> failed;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private final List<SocketChannel> fills = new ArrayList<>();
    private Mode mode = Mode.CLOSED;
    private Channel listener;
    private ServerSocketChannel wall;
    private boolean shifting;
    private boolean targetUp = true;
    private boolean dead = true;
    private int refusals;
    private long opened;

    /**
     * at: where it listens; own: the address that it comes from, so that the other side can tell who asks (port 0); to: where
     * it leads; failed: told in one line of what the machine refuses.
     */
    public TcpRelay(EventLoop loop, InetSocketAddress at, InetSocketAddress own, InetSocketAddress to, LinkDirection there, LinkDirection back,
                    DoubleSupplier chance, Consumer<String> failed) {
        this.loop = loop;
        this.at = at;
        this.own = own;
        this.to = to;
        this.there = there;
        this.back = back;
        this.chance = chance;
        this.failed = failed;
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
        dead = false;
        changed();
    }

    /** It is gone with all its connections, which are reset; nobody listens. */
    public void stop() {
        dead = true;
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
        List.copyOf(pairs).forEach(Pair::reset);
    }

    /** Connections that have come up so far. */
    public long opened() {
        return opened;
    }

    /** Connections that pass through now. */
    public int open() {
        return pairs.size();
    }

    /** What is wrong with the ways has changed. */
    public void changed() {
        shift();
        List.copyOf(pairs).forEach(pair -> {
            pair.there.drain();
            pair.back.drain();
        });
    }

    private Mode wanted() {
        if (dead || !targetUp || there.refuses() || back.refuses()) {
            return Mode.CLOSED;
        }
        return there.isCut() || back.isCut() ? Mode.WALL : Mode.OPEN;
    }

    /** Closes what listens and opens what shall; what is wanted may change meanwhile. */
    private void shift() {
        if (shifting || mode == wanted()) {
            return;
        }
        if (mode == Mode.OPEN) {
            shifting = true;
            mode = Mode.CLOSED;
            // The machine has the address back once the loop's selector has let go of it: one look later.
            listener.close().addListener(done -> again(0));
            return;
        }
        if (mode == Mode.WALL) {
            takeDownWall();
            mode = Mode.CLOSED;
        }
        if (wanted() == Mode.WALL) {
            buildWall();
        } else if (wanted() == Mode.OPEN) {
            listen();
        }
    }

    private void again(long nanos) {
        shifting = true;
        loop.schedule(() -> {
            shifting = false;
            shift();
        }, nanos, TimeUnit.NANOSECONDS);
    }

    /** Guards against an address that is in use for a moment more: it is tried again for a bounded time. */
    private void refused(String what, Throwable cause) {
        mode = Mode.CLOSED;
        if (++refusals > TRIES) {
            dead = true;
            failed.accept(what + " " + at + ": " + cause.getMessage());
        } else {
            again(TRY_AGAIN);
        }
    }

    private void listen() {
        shifting = true;
        mode = Mode.OPEN;
        var binding = new ServerBootstrap().group(loop).channelFactory(TcpRelay::listener)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                }).bind(at);
        listener = binding.channel();
        binding.addListener(done -> {
            shifting = false;
            if (!done.isSuccess()) {
                refused("can't listen on", done.cause());
            } else {
                refusals = 0;
                shift();
            }
        });
    }

    /**
     * A listener whose queue is full and never emptied: the machine drops what asks for a connection, so connects neither come
     * up nor are refused.
     */
    private void buildWall() {
        try {
            wall = ServerSocketChannel.open(StandardProtocolFamily.INET);
            wall.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            wall.bind(at, 1);
            mode = Mode.WALL;
            for (int i = 0; i < FILLS; i++) {
                SocketChannel fill = SocketChannel.open(StandardProtocolFamily.INET);
                fills.add(fill);
                fill.configureBlocking(false);
                fill.connect(at);
            }
            refusals = 0;
        } catch (IOException e) {
            takeDownWall();
            refused("can't wall off", e);
        }
    }

    private void takeDownWall() {
        try {
            for (SocketChannel fill : fills) {
                fill.close();
            }
            fills.clear();
            wall.close();
        } catch (IOException e) {
            failed.accept("can't take down the wall at " + at + ": " + e.getMessage());
        }
    }

    private void accepted(Channel asker) {
        opened++;
        Pair pair = new Pair(asker);
        pairs.add(pair);
        asker.pipeline().addLast(pair.there);
        new Bootstrap().group(loop).channelFactory(TcpRelay::connection).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(pair.back).localAddress(own).connect(to).addListener(done -> {
                    pair.back.from = ((ChannelFuture) done).channel();
                    if (done.isSuccess() && pairs.contains(pair)) {
                        pair.there.to = pair.back.from;
                        pair.there.from.config().setAutoRead(true);
                        pair.back.from.config().setAutoRead(true);
                        pair.there.drain();
                    } else {
                        pair.reset();
                    }
                });
    }

    private final class Pair {
        final Pump there;
        final Pump back;

        Pair(Channel asker) {
            there = new Pump(this, TcpRelay.this.there);
            back = new Pump(this, TcpRelay.this.back);
            there.from = asker;
            back.to = asker;
        }

        void reset() {
            pairs.remove(this);
            for (Channel one : new Channel[] {there.from, back.from}) {
                if (one != null && one.isOpen()) {
                    one.config().setOption(ChannelOption.SO_LINGER, 0);
                    one.close();
                }
            }
            there.drop();
            back.drop();
        }
    }

    /** What goes one way of one connection, in order. */
    private final class Pump extends ChannelInboundHandlerAdapter {
        /** bytes: null where the sender has closed; first: it is the half that still goes through. */
        private record Piece(ByteBuf bytes, long at, boolean first) { }

        private final Pair pair;
        private final LinkDirection way;
        private final Deque<Piece> line = new ArrayDeque<>();
        private Channel from;
        private Channel to;
        private long last;
        private int held;
        private boolean waits;

        Pump(Pair pair, LinkDirection way) {
            this.pair = pair;
            this.way = way;
        }

        @Override public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            int size = bytes.readableBytes();
            int passes = way.passedBytes(size);
            if (passes < size) {
                add(bytes.readRetainedSlice(passes), true);
            }
            add(bytes, false);
            held += size;
            if (held > BUFFER_BYTES) {
                context.channel().config().setAutoRead(false);
            }
            drain();
        }

        private void add(ByteBuf bytes, boolean first) {
            long begins = Math.max(System.nanoTime() + way.delayNanos(chance), last);
            last = begins + (bytes == null ? 0 : way.transferNanos(bytes.readableBytes()));
            line.addLast(new Piece(bytes, last, first));
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            if (pairs.contains(pair)) {
                add(null, false);
                drain();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The party's side was reset: so is the other, but not across a cut.
            if (!way.isCut()) {
                pair.reset();
            }
        }

        /** Passes on what may go by now. */
        void drain() {
            boolean wrote = false;
            while (to != null && !line.isEmpty()) {
                Piece next = line.peekFirst();
                long early = next.at - System.nanoTime();
                if (way.isCut() || way.isTruncating() && !next.first) {
                    break;
                }
                if (early > 0) {
                    later(early);
                    break;
                }
                line.pollFirst();
                if (next.bytes == null) {
                    pairs.remove(pair);
                    to.writeAndFlush(to.alloc().buffer(0)).addListener(done -> to.close());
                    return;
                }
                held -= next.bytes.readableBytes();
                to.write(next.bytes);
                wrote = true;
            }
            if (wrote) {
                to.flush();
            }
            if (held < BUFFER_BYTES / 2 && from != null && to != null && !from.config().isAutoRead()) {
                from.config().setAutoRead(true);
            }
        }

        private void later(long nanos) {
            if (!waits) {
                waits = true;
                loop.schedule(() -> {
                    waits = false;
                    drain();
                }, nanos, TimeUnit.NANOSECONDS);
            }
        }

        void drop() {
            line.forEach(piece -> {
                if (piece.bytes != null) {
                    piece.bytes.release();
                }
            });
            line.clear();
        }
    }
}
