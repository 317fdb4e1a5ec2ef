package wrenreach.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Relays datagrams between two parties, as the two directions of their link allow. Each party knows the other by an address
 * of the relay: what it sends there reaches the other party from the address by which that one knows the sender. All methods
 * run on one event loop. Memory: about {@link #MAX_QUEUED_DATAGRAMS} delayed datagrams are held, more are lost.
 */
public final class UdpRelay {
    /** Delayed datagrams of both directions together; while so many are held, others are lost. */
    public static final int MAX_QUEUED_DATAGRAMS = 4096;
    private static final int MAX_DATAGRAM_BYTES = 65_535;

    /** One party: its own address, and the address of the relay by which it knows the other party. */
    public record Side(InetSocketAddress party, InetSocketAddress peerAddress) { }

    private final EventLoop loop;
    private final Side a;
    private final Side b;
    private final LinkDirection aToB;
    private final LinkDirection bToA;
    private final DoubleSupplier random;
    private Channel channelA;
    private Channel channelB;
    private int queuedDatagrams;
    private long passed;
    private long lost;

    /** aToB: the direction from a to b; random: from 0 to below 1. */
    public UdpRelay(EventLoop loop, Side a, Side b, LinkDirection aToB, LinkDirection bToA, DoubleSupplier random) {
        this.loop = loop;
        this.a = a;
        this.b = b;
        this.aToB = aToB;
        this.bToA = bToA;
        this.random = random;
    }

    /** Binds both addresses; returns the future of the second one. */
    public ChannelFuture start() {
        ChannelFuture bindingA = bind(a, aToB, b);
        channelA = bindingA.channel();
        ChannelFuture bindingB = bind(b, bToA, a);
        channelB = bindingB.channel();
        return bindingB;
    }

    /** Closes both addresses: what is sent to them from here on is lost. */
    public void stop() {
        channelA.close();
        channelB.close();
    }

    /** The number of datagrams forwarded so far, copies included. */
    public long passed() {
        return passed;
    }

    /** The number of datagrams lost so far to impairments, to the limit, or because a party had no socket. */
    public long lost() {
        return lost;
    }

    private ChannelFuture bind(Side from, LinkDirection direction, Side to) {
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        if (packet.sender().equals(from.party)) {
                            forward(packet, direction, to);
                        }
                    }

                    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // A party has no socket at present: datagrams to it are lost, as on any network.
                        lost++;
                    }
                }).bind(from.peerAddress);
    }

    private void forward(DatagramPacket packet, LinkDirection direction, Side to) {
        int copies = queuedDatagrams >= MAX_QUEUED_DATAGRAMS ? 0 : direction.copies(random);
        lost += copies == 0 ? 1 : 0;
        for (int i = 0; i < copies; i++) {
            DatagramPacket copy = new DatagramPacket(packet.content().copy(), to.party);
            long delayNanos = direction.delayNanos(random) + direction.reorderingDelayNanos(random) + direction.transferNanos(copy.content().readableBytes());
            if (delayNanos == 0) {
                send(copy, to);
            } else {
                queuedDatagrams++;
                loop.schedule(() -> {
                    queuedDatagrams--;
                    send(copy, to);
                }, delayNanos, TimeUnit.NANOSECONDS);
            }
        }
    }

    private void send(DatagramPacket packet, Side to) {
        Channel out = to == b ? channelB : channelA;
        if (out.isActive()) {
            passed++;
            out.writeAndFlush(packet);
        } else {
            packet.release();
        }
    }
}
