package wrenreach.lab;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A node's connection over the emulated network, as a Netty channel. Used on the world's thread only. */
final class EmulatedChannel extends AbstractChannel implements Network.End {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private final InMemoryNode node;
    private final ChannelConfig config = new Options(this);
    private final Deque<byte[]> inbound = new ArrayDeque<>();
    private Network.Link link;
    private InetSocketAddress remote;
    private boolean open = true;
    private boolean remoteClosed;
    private boolean readPending;
    private Future<?> connectTimeout;

    /** Accepts the options of real sockets, which have no effect here. */
    static final class Options extends DefaultChannelConfig {
        Options(Channel channel) {
            super(channel);
        }

        @Override public <T> boolean setOption(ChannelOption<T> option, T value) {
            return super.setOption(option, value) || true;
        }
    }

    EmulatedChannel(InMemoryNode node) {
        super(null);
        this.node = node;
    }

    /** A connection that the node's listening socket has accepted. */
    EmulatedChannel(Channel parent, InMemoryNode node, Network.Link link, InetSocketAddress remote) {
        super(parent);
        this.node = node;
        this.link = link;
        this.remote = remote;
    }

    // ---- Called by the network; continues on the node's event loop at the same time ----

    @Override public void received(byte[] bytes) {
        inbound.add(bytes);
        node.run(this::deliver);
    }

    @Override public void closed() {
        remoteClosed = true;
        node.run(this::deliver);
    }

    private void deliver() {
        if (readPending && !inbound.isEmpty() && open) {
            readPending = false;
            while (!inbound.isEmpty()) {
                pipeline().fireChannelRead(Unpooled.wrappedBuffer(inbound.poll()));
            }
            pipeline().fireChannelReadComplete();
        }
        if (remoteClosed && inbound.isEmpty() && open) {
            unsafe().close(unsafe().voidPromise());
        }
    }

    // ---- Called by Netty ----

    @Override protected AbstractUnsafe newUnsafe() {
        return new AbstractUnsafe() {
            @Override public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
                if (!promise.setUncancellable() || !ensureOpen(promise)) {
                    return;
                }
                remote = (InetSocketAddress) to;
                connectTimeout = eventLoop().schedule(() -> {
                    if (link == null && open && promise.tryFailure(new ConnectTimeoutException("timed out: " + to))) {
                        close(voidPromise());
                    }
                }, config.getConnectTimeoutMillis(), TimeUnit.MILLISECONDS);
                node.world.network.connect(node.party, node.address, remote, new Network.ConnectHandler() {
                    @Override public Network.End opened(Network.Link opened) {
                        if (!open) {
                            opened.close(null);
                            return EmulatedChannel.this;
                        }
                        link = opened;
                        node.run(() -> {
                            connectTimeout.cancel(false);
                            if (open && promise.trySuccess()) {
                                pipeline().fireChannelActive();
                            }
                        });
                        return EmulatedChannel.this;
                    }

                    @Override public void refused() {
                        node.run(() -> {
                            connectTimeout.cancel(false);
                            if (promise.tryFailure(new ConnectException("refused: " + to))) {
                                closeIfClosed();
                                close(voidPromise());
                            }
                        });
                    }
                });
            }
        };
    }

    @Override protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override protected SocketAddress localAddress0() {
        return node.address;
    }

    @Override protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override protected void doBind(SocketAddress at) { }

    @Override protected void doDisconnect() {
        doClose();
    }

    @Override protected void doClose() {
        open = false;
        if (connectTimeout != null) {
            connectTimeout.cancel(false);
        }
        if (link != null) {
            link.close(this);
        }
    }

    @Override protected void doBeginRead() {
        readPending = true;
        if (!inbound.isEmpty()) {
            eventLoop().execute(this::deliver);
        }
    }

    @Override protected void doWrite(ChannelOutboundBuffer out) {
        for (Object message = out.current(); message != null; message = out.current()) {
            byte[] bytes = ByteBufUtil.getBytes((ByteBuf) message);
            if (bytes.length > 0 && !remoteClosed) {
                link.send(this, bytes);
            }
            out.remove();
        }
    }

    @Override public ChannelConfig config() {
        return config;
    }

    @Override public boolean isOpen() {
        return open;
    }

    @Override public boolean isActive() {
        return open && link != null;
    }

    @Override public ChannelMetadata metadata() {
        return METADATA;
    }
}
