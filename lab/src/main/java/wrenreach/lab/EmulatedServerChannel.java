package wrenreach.lab;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** A node's listening socket on the emulated network, as a Netty channel. */
final class EmulatedServerChannel extends AbstractServerChannel implements Network.Listener {
    private final InMemoryNode node;
    private final ChannelConfig config = new EmulatedChannel.Options(this);
    private InetSocketAddress bound;
    private boolean open = true;

    EmulatedServerChannel(InMemoryNode node) {
        this.node = node;
    }

    @Override public Network.Party party() {
        return node.party;
    }

    @Override public Network.End accepted(Network.Link link, InetSocketAddress from) {
        EmulatedChannel child = new EmulatedChannel(this, node, link, from);
        node.run(() -> {
            if (open) {
                pipeline().fireChannelRead(child);
                pipeline().fireChannelReadComplete();
            } else {
                link.close(child);
            }
        });
        return child;
    }

    @Override protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override protected SocketAddress localAddress0() {
        return bound;
    }

    @Override protected void doBind(SocketAddress at) {
        bound = (InetSocketAddress) at;
        node.world.network.listen(bound, this);
    }

    @Override protected void doClose() {
        open = false;
        if (bound != null) {
            node.world.network.unlisten(bound, this);
        }
    }

    @Override protected void doBeginRead() { }

    @Override public ChannelConfig config() {
        return config;
    }

    @Override public boolean isOpen() {
        return open;
    }

    @Override public boolean isActive() {
        return open && bound != null;
    }
}
