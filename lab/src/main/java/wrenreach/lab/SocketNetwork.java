package wrenreach.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wrenreach.relay.TcpRelay;
import wrenreach.relay.LinkDirection;

/**
 * Connections of the stand-ins over the machine's loopback. Relays lie between them and the nodes: by their addresses it is known who opened a
 * connection, and they apply the impairments of a link.
 */
final class SocketNetwork extends Network {
    /** Timeout of a TCP connect, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private static final class ListeningSocket {
        final Listener listener;
        Channel channel;

        ListeningSocket(Listener listener) {
            this.listener = listener;
        }
    }

    private final EventLoop loop;
    private final Map<InetSocketAddress, ListeningSocket> listeningSockets = new LinkedHashMap<>();
    private final Relays relays;

    SocketNetwork(EventLoop loop, Relays relays) {
        this.loop = loop;
        this.relays = relays;
    }

    private static final class SocketLink extends Link {
        private final Channel channel;
        private End end;

        private SocketLink(Party a, Party b, Channel channel) {
            super(a, b);
            this.channel = channel;
        }

        @Override void send(End from, byte[] bytes) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        }

        @Override void close(End from) {
            channel.close();
        }

        @Override boolean closedByInitiator() {
            return !channel.isActive();
        }
    }

    /** Passes inbound events to the end that the link has at the time. */
    private static final class InboundHandler extends ChannelInboundHandlerAdapter {
        private final SocketLink link;

        InboundHandler(SocketLink link) {
            this.link = link;
        }

        @Override public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                if (link.end != null) {
                    link.end.received(ByteBufUtil.getBytes(bytes));
                }
            } finally {
                bytes.release();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext context) {
            link.initiator.links.remove(link);
            link.acceptor.links.remove(link);
            if (link.end != null) {
                link.end.closed();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The other process is gone; channelInactive follows the close.
            context.close();
        }
    }

    @Override void listen(InetSocketAddress at, Listener listener) {
        ListeningSocket socket = new ListeningSocket(listener);
        listeningSockets.put(at, socket);
        open(at, socket);
    }

    private void open(InetSocketAddress at, ListeningSocket socket) {
        ServerBootstrap server = new ServerBootstrap().group(loop).channelFactory(TcpRelay::listener)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        InetSocketAddress from = (InetSocketAddress) channel.remoteAddress();
                        SocketLink link = new SocketLink(relays.partyAt(from.getAddress()), socket.listener.party(), channel);
                        link.acceptor.links.add(link);
                        link.end = socket.listener.accepted(link, from);
                        channel.pipeline().addLast(new InboundHandler(link));
                    }
                });
        ChannelFuture bound = server.bind(at);
        socket.channel = bound.channel();
        bound.addListener(done -> {
            if (!done.isSuccess()) {
                relays.failed("can't listen on " + at + ": " + done.cause().getMessage());
            }
        });
    }

    @Override void unlisten(InetSocketAddress at, Listener listener) {
        ListeningSocket socket = listeningSockets.remove(at);
        if (socket != null) {
            socket.channel.close();
        }
    }

    @Override void connect(Party from, InetSocketAddress own, InetSocketAddress to, ConnectHandler handler) {
        SocketLink[] link = new SocketLink[1];
        new Bootstrap().group(loop).channelFactory(TcpRelay::connection).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS).handler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        link[0] = new SocketLink(from, new Party(to.toString()), channel);
                        channel.pipeline().addLast(new InboundHandler(link[0]));
                    }
                }).connect(to).addListener(done -> {
                    if (done.isSuccess()) {
                        from.links.add(link[0]);
                        link[0].end = handler.opened(link[0]);
                    } else {
                        handler.refused();
                    }
                });
    }

    @Override LinkDirection direction(String from, String to) {
        return relays.direction(from, to);
    }

    @Override void impairmentsChanged(String a, String b) {
        relays.impairmentsChanged(a, b);
    }

    @Override void reset(String a, String b) {
        relays.reset(a, b);
    }

    @Override void setRelayDead(String a, String b, boolean dead) {
        relays.setDead(a, b, dead);
    }

    @Override void die(Party party, boolean takeBack) {
        party.up = false;
        relays.setListening(party.name, false);
        party.foundGoneBy.addAll(relays.allNodes());
        listeningSockets.values().stream().filter(socket -> socket.listener.party() == party).forEach(socket -> socket.channel.close());
        List.copyOf(party.links).forEach(link -> ((SocketLink) link).channel.close());
        party.links.clear();
    }

    @Override void vanish(Party party) {
        // The listening socket stays open, but nothing passes to or from the party, and its connections are dropped.
        party.up = false;
        party.vanished = true;
        relays.isolate(party.name, true);
        party.foundGoneBy.addAll(relays.allNodes());
        List.copyOf(party.links).forEach(link -> ((SocketLink) link).channel.close());
        party.links.clear();
    }

    @Override void revive(Party party) {
        party.up = true;
        if (party.vanished) {
            party.vanished = false;
            relays.isolate(party.name, false);
            return;
        }
        listeningSockets.forEach((at, socket) -> {
            if (socket.listener.party() == party) {
                open(at, socket);
            }
        });
        relays.setListening(party.name, true);
    }
}
