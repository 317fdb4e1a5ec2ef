package wrenreach.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import wrenreach.log.LogEvent;
import wrenreach.log.LogRateLimiter;

/**
 * Accepts again within milliseconds after an accept has failed. Netty by itself lets a listener rest for a second then, in which
 * clients that wait are not served; without any pause a shortage of descriptors would spin the loop.
 */
final class AcceptFaults extends ChannelInboundHandlerAdapter {
    private static final System.Logger LOG = System.getLogger(AcceptFaults.class.getName());
    private static final long ACCEPT_PAUSE_MS = 5;
    /** Lines in that time, in microseconds; the rest is counted. */
    private static final int MAX_LOG_LINES = 3;
    private static final long LOG_WINDOW_US = 10_000_000;

    private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LOG_LINES, LOG_WINDOW_US);
    private boolean paused;

    /** Not passed on: the handler behind this one is the one that rests for a second. */
    @Override public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        long now = context.channel().eventLoop().ticker().nanoTime() / 1000;
        if (logLimiter.tryAcquire(now)) {
            int unlisted = logLimiter.suppressed();
            LogEvent.log(LOG, Level.WARNING, "accept.failed", "a connection of a client can't be accepted: {why}{more}", "why",
                    cause.getMessage(), "more", unlisted == 0 ? "" : "; " + unlisted + " more before it are not listed");
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
