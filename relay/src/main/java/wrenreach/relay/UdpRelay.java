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
 * Datagrams between two parties, passed on as the two ways of their link allow. Each party knows the other by an address of
 * the relay's: what one sends there comes to the other from the address by which that one knows the sender. All of it belongs
 * to one loop. Memory: at most {@link #UNDER_WAY} datagrams are held, more are lost.
 */
public final class UdpRelay {
    /** Datagrams of both ways that are held at once. */
    public static final int MAX_QUEUED_DATAGRAMS = 4096;
    private static final int MAX_DATAGRAM_BYTES = 65_535;

    /** One party: where it is, and the address by which it knows the other. */
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

    /** there: from a to b. */
    public UdpRelay(EventLoop loop, Side a, Side b, LinkDirection there, LinkDirection back, DoubleSupplier chance) {
        this.loop = loop;
        this.a = a;
        this.b = b;
        this.aToB = there;
        this.bToA = back;
        this.random = chance;
    }

    /** Binds both addresses; the future of the later one. */
    public ChannelFuture start() {
        ChannelFuture first = bind(a, aToB, b);
        channelA = first.channel();
        ChannelFuture second = bind(b, bToA, a);
        channelB = second.channel();
        return second;
    }

    /** It is gone: what comes to its addresses is lost. */
    public void stop() {
        channelA.close();
        channelB.close();
    }

    /** Datagrams passed on so far, and lost here. */
    public long passed() {
        return passed;
    }

    public long lost() {
        return lost;
    }

    private ChannelFuture bind(Side from, LinkDirection way, Side to) {
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        if (packet.sender().equals(from.party)) {
                            forward(packet, way, to);
                        }
                    }

                    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // The other party has no socket just now: its datagrams are lost, as on any network.
                        lost++;
                    }
                }).bind(from.peerAddress);
    }

    private void forward(DatagramPacket packet, LinkDirection way, Side to) {
        int copies = queuedDatagrams >= MAX_QUEUED_DATAGRAMS ? 0 : way.copies(random);
        lost += copies == 0 ? 1 : 0;
        for (int i = 0; i < copies; i++) {
            DatagramPacket copy = new DatagramPacket(packet.content().copy(), to.party);
            long late = way.delayNanos(random) + way.reorderingDelayNanos(random) + way.transferNanos(copy.content().readableBytes());
            if (late == 0) {
                send(copy, to);
            } else {
                queuedDatagrams++;
                loop.schedule(() -> {
                    queuedDatagrams--;
                    send(copy, to);
                }, late, TimeUnit.NANOSECONDS);
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
