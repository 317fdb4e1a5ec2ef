package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** On which thread and when the result of an outgoing connection is reported. */
class ConnectorTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<String> events = Collections.synchronizedList(new ArrayList<>());
    private final CompletableFuture<String> reported = new CompletableFuture<>();
    private final ChannelInitializer<Channel> noHandlers = new ChannelInitializer<>() {
        @Override protected void initChannel(Channel channel) { }
    };
    private final Connector.Listener listener = new Connector.Listener() {
        @Override public void connected(Channel channel) {
            report("connected");
            channel.close();
        }

        @Override public void failed(boolean local) {
            report(local ? "this machine" : "the other side");
        }
    };

    @AfterEach void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void report(String result) {
        events.add("reported");
        reported.complete((loop.inEventLoop() ? "on the loop: " : "on " + Thread.currentThread().getName() + ": ") + result);
    }

    private Channel open(Connector connector, int port) throws Exception {
        return loop.submit(() -> {
            Channel channel = connector.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), noHandlers, listener);
            events.add("returned");
            return channel;
        }).get();
    }

    @Test void failureToCreateASocketIsReportedOnTheLoopAfterTheCallHasReturned() throws Exception {
        Connector connector = new Connector(loop, new Bootstrap().channelFactory(() -> {
            throw new ChannelException("Failed to open a socket.", new SocketException("Too many open files in system"));
        }), "test");
        assertThat(open(connector, 1)).as("there is no channel that could be closed").isNull();
        assertThat(reported.get(20, TimeUnit.SECONDS)).isEqualTo("on the loop: this machine");
        assertThat(events).containsExactly("returned", "reported");
    }

    @Test void refusedConnectionIsARemoteFailure() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        open(new Connector(loop, new Bootstrap().channelFactory(NioSocketChannel::new), "test"), port);
        assertThat(reported.get(20, TimeUnit.SECONDS)).isEqualTo("on the loop: the other side");
        assertThat(events).containsExactly("returned", "reported");
    }

    @Test void establishedConnectionIsReportedOnTheLoop() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            open(new Connector(loop, new Bootstrap().channelFactory(NioSocketChannel::new), "test"), server.getLocalPort());
            assertThat(reported.get(20, TimeUnit.SECONDS)).isEqualTo("on the loop: connected");
        }
    }

    @Test void errorsAreClassifiedAsLocalOrRemote() {
        assertThat(Connector.isLocalFailure(new BindException("Cannot assign requested address"))).isTrue();
        assertThat(Connector.isLocalFailure(new SocketException("Network is unreachable"))).isTrue();
        assertThat(Connector.isLocalFailure(new SocketException("No buffer space available"))).isTrue();
        assertThat(Connector.isLocalFailure(new ConnectException("Connection refused"))).isFalse();
        assertThat(Connector.isLocalFailure(new ConnectException("Connection timed out"))).isFalse();
        assertThat(Connector.isLocalFailure(new NoRouteToHostException("No route to host"))).isFalse();
        assertThat(Connector.isLocalFailure(new SocketException("Connection reset by peer"))).isFalse();
        assertThat(Connector.isLocalFailure(new ClosedChannelException())).as("closed by this node").isFalse();
    }
}
