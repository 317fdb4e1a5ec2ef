package wrenreach.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The I/O and clocks of a node, which the lab replaces by its own.
 *
 * @param group one event loop, whose ticker is the only monotonic time of the node
 * @param serverChannelFactory makes channels that listen
 * @param clientChannelFactory makes channels that connect
 * @param clocks the clocks of the machine
 */
public record Sockets(EventLoopGroup group, ChannelFactory<? extends ServerChannel> serverChannelFactory,
                      ChannelFactory<? extends Channel> clientChannelFactory, MachineClocks clocks) {
    /** The sockets and clocks of the machine; failures: receives the exceptions of the loop's tasks. */
    public static Sockets real(LoopFailures failures) {
        return new Sockets(failures.group(), NioServerSocketChannel::new, NioSocketChannel::new, MachineClocks.real());
    }
}
