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
 * Opens outgoing connections and reports what came of each on the event loop, never from within the call that asked; a failure in a
 * task of its own.
 *
 * <p>Netty reports a connection whose socket can't be made (ENFILE, ENOBUFS) on a thread that is not the loop's, and may report other
 * failures before the call that asked has returned. Either way state that the loop owns would be changed in the middle of an
 * iteration. Nothing but this class may listen to the future of a connect.
 */
final class Connector {
    private static final System.Logger LOG = System.getLogger(Connector.class.getName());
    /** Lines on failures of the own machine in that time, in microseconds; the rest is counted. */
    private static final int MAX_LOG_LINES = 3;
    private static final long LOG_WINDOW_US = 10_000_000;

    /** Told on the loop what came of one connection. */
    interface Listener {
        void connected(Channel channel);

        /** ofThisMachine: the machine could not even try, which says nothing of the other side. */
        void failed(boolean ofThisMachine);
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final String purpose;
    private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LOG_LINES, LOG_WINDOW_US);

    /** bootstrap: group, channels and options of the connections; purpose: what they are for, as the log names it. */
    Connector(EventLoop loop, Bootstrap bootstrap, String purpose) {
        this.loop = loop;
        this.bootstrap = bootstrap.group(loop);
        this.purpose = purpose;
    }

    /** Begins a connection; the channel, so that it can be closed before it is up, or null where there is none. */
    Channel open(InetSocketAddress to, ChannelInitializer<Channel> handlers, Listener listener) {
        ChannelFuture opening = bootstrap.clone().handler(handlers).connect(to);
        boolean overAtOnce = opening.isDone();
        opening.addListener(done -> {
            // A connection comes up while the loop looks at its sockets: what it brings joins that iteration. A failure may come in the
            // middle of whoever closes the connection.
            if (done.isSuccess() && !overAtOnce && loop.inEventLoop()) {
                reportInIteration(to, opening, listener);
            } else {
                loop.execute(() -> report(to, opening, listener));
            }
        });
        // What Netty hands out in place of a channel that can't be made throws when it is closed.
        return opening.channel().isRegistered() ? opening.channel() : null;
    }

    /** What a listener of a future throws is only logged: it goes on in a task, whose throws the node is told. */
    private void reportInIteration(InetSocketAddress to, Future<?> opening, Listener listener) {
        try {
            report(to, opening, listener);
        } catch (RuntimeException | Error e) {
            loop.execute(() -> {
                throw e;
            });
        }
    }

    private void report(InetSocketAddress to, Future<?> opening, Listener listener) {
        ChannelFuture over = (ChannelFuture) opening;
        if (over.isSuccess()) {
            listener.connected(over.channel());
            return;
        }
        boolean ofThisMachine = isLocalFailure(over.cause());
        if (ofThisMachine && logLimiter.tryAcquire(loop.ticker().nanoTime() / 1000)) {
            int unlisted = logLimiter.suppressed();
            LogEvent.log(LOG, Level.WARNING, "connection.local", "{purpose}: this machine can't connect to {address}: {why}{more}", "purpose",
                    purpose, "address", Addresses.format(to), "why", rootCauseMessage(over.cause()), "more",
                    unlisted == 0 ? "" : "; " + unlisted + " more before it are not listed");
        }
        listener.failed(ofThisMachine);
    }

    /**
     * Refused, no route and no answer are of the other side or the way there. The rest (no descriptors, no buffers, no free port, no
     * network) is told by the own machine about itself.
     */
    static boolean isLocalFailure(Throwable cause) {
        boolean ofTheOther = cause instanceof ConnectException || cause instanceof NoRouteToHostException
                || cause instanceof ConnectTimeoutException || rootCauseMessage(cause).contains("reset");
        // The node has given the connection up itself before it was there.
        boolean closedHere = cause instanceof ClosedChannelException;
        return !ofTheOther && !closedHere;
    }

    private static String rootCauseMessage(Throwable cause) {
        Throwable root = cause;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return String.valueOf(root.getMessage());
    }
}
