package wrenreach.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * What a node's connections and times are made of: a group of one loop, whose ticker is the node's one monotonic time,
 * the channels that listen and connect, and the machine's clocks.
 */
public record Sockets(EventLoopGroup group, ChannelFactory<? extends ServerChannel> serverChannelFactory,
                      ChannelFactory<? extends Channel> clientChannelFactory, MachineClocks clocks) {
    /** The machine's sockets and clocks; failures: told what the loop's tasks throw. */
    public static Sockets real(LoopFailures failures) {
        return new Sockets(failures.group(), NioServerSocketChannel::new, NioSocketChannel::new, MachineClocks.real());
    }
}
