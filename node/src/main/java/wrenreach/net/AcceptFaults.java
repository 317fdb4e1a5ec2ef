package wrenreach.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import wrenreach.log.LogEvent;
import wrenreach.log.LogRateLimiter;

/**
 * Resumes accepting connections a few milliseconds after an accept has failed. By itself Netty suspends a listener for a second then,
 * in which waiting clients are not served; without any pause a shortage of descriptors would make the loop spin.
 */
final class AcceptFaults extends ChannelInboundHandlerAdapter {
    private static final System.Logger LOG = System.getLogger(AcceptFaults.class.getName());
    /** How long accepting is suspended after a failure. */
    private static final long ACCEPT_PAUSE_MS = 5;
    /** Log lines in each window; further failures are only counted. */
    private static final int MAX_LOG_LINES = 3;
    /** Length of that window, in microseconds. */
    private static final long LOG_WINDOW_US = 10_000_000;

    private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LOG_LINES, LOG_WINDOW_US);
    private boolean paused;

    /** Doesn't pass the failure on: the next handler is Netty's, which suspends the listener for a second. */
    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        long now = context.channel().eventLoop().ticker().nanoTime() / 1000;
        if (logLimiter.tryAcquire(now)) {
            int suppressed = logLimiter.suppressed();
            LogEvent.log(LOG, Level.WARNING, "accept.failed", "a connection of a client can't be accepted: {why}{more}", "why",
                    cause.getMessage(), "more", suppressed == 0 ? "" : "; " + suppressed + " more before it are not listed");
        }
        if (paused) {
            return;
        }
        paused = true;
        context.channel().config().setAutoRead(false);
        context.channel().eventLoop().schedule(() -> {
            paused = false;
            context.channel().config().setAutoRead(true);
        }, ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
    }
}
