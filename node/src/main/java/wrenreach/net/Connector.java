package wrenreach.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.Future;
import wrenreach.log.LogEvent;
import wrenreach.log.LogRateLimiter;

/**
 * Opens outgoing connections and reports the result of each on the event loop, never from within {@link #open}; a failure always in
 * a task of its own.
 *
 * <p>Netty reports a connection whose socket can't be created (ENFILE, ENOBUFS) on a thread other than the loop's, and may report other
 * failures before {@link #open} has returned. Either way state that the loop owns would change in the middle of
 * an iteration. Nothing but this class may listen to the future of a TCP connect.
 */
final class Connector {
    private static final System.Logger LOG = System.getLogger(Connector.class.getName());
    /** Log lines on local failures in each window; further ones are only counted. */
    private static final int MAX_LOG_LINES = 3;
    /** Length of that window, in microseconds. */
    private static final long LOG_WINDOW_US = 10_000_000;

    /** Receives the result of one connection, on the event loop. */
    interface Listener {
        void connected(Channel channel);

        /** local: this machine could not even try, which says nothing of the remote side. */
        void failed(boolean local);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final String purpose;
    private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LOG_LINES, LOG_WINDOW_US);

    /** bootstrap: channel factory and options of the connections; purpose: what they are for, as the log names it. */
    Connector(EventLoop loop, Bootstrap bootstrap, String purpose) {
        this.loop = loop;
        this.bootstrap = bootstrap.group(loop);
        this.purpose = purpose;
    }

    /** Begins to connect. Returns the channel, which can be closed before it is connected, or null where its socket could not be created. */
    Channel open(InetSocketAddress address, ChannelInitializer<Channel> handlers, Listener listener) {
        ChannelFuture connecting = bootstrap.clone().handler(handlers).connect(address);
        boolean doneAtOnce = connecting.isDone();
        connecting.addListener(done -> {
            // Success is seen while the loop processes its sockets, and joins the iteration that this begins. A failure may be reported
            // from within the code that closes the connection, so it gets a task of its own.
            if (done.isSuccess() && !doneAtOnce && loop.inEventLoop()) {
                reportInIteration(address, connecting, listener);
            } else {
                loop.execute(() -> report(address, connecting, listener));
            }
        });
        // The placeholder that Netty returns for a channel that can't be created throws when it is closed.
        return connecting.channel().isRegistered() ? connecting.channel() : null;
    }

    /** Rethrows in a task, whose failures reach the node: what a listener of a future throws is only logged by Netty. */
    private void reportInIteration(InetSocketAddress address, Future<?> connecting, Listener listener) {
        try {
            report(address, connecting, listener);
        } catch (RuntimeException | Error e) {
            loop.execute(() -> {
                throw e;
            });
        }
    }

    private void report(InetSocketAddress address, Future<?> connecting, Listener listener) {
        ChannelFuture future = (ChannelFuture) connecting;
        if (future.isSuccess()) {
            listener.connected(future.channel());
            return;
        }
        boolean local = isLocalFailure(future.cause());
        if (local && logLimiter.tryAcquire(loop.ticker().nanoTime() / 1000)) {
            int suppressed = logLimiter.suppressed();
            LogEvent.log(LOG, Level.WARNING, "connection.local", "{purpose}: this machine can't connect to {address}: {why}{more}", "purpose",
                    purpose, "address", Addresses.format(address), "why", rootCauseMessage(future.cause()), "more",
                    suppressed == 0 ? "" : "; " + suppressed + " more before it are not listed");
        }
        listener.failed(local);
    }

    /**
     * Whether this machine caused the failure. Refused, reset, no route and no answer come from the remote side or the network path;
     * all other errors (no descriptors, no buffers, no free port, no network) come from this machine.
     */
    static boolean isLocalFailure(Throwable cause) {
        boolean remote = cause instanceof ConnectException || cause instanceof NoRouteToHostException
                || cause instanceof ConnectTimeoutException || rootCauseMessage(cause).contains("reset");
        // The node itself closed the connection before it was established.
        boolean closedHere = cause instanceof ClosedChannelException;
        return !remote && !closedHere;
    }

    private static String rootCauseMessage(Throwable cause) {
        Throwable root = cause;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return String.valueOf(root.getMessage());
    }
}
