package wrenreach.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The steps of a graceful shutdown, timed from the signal: the node keeps serving while new connections from clients still arrive
 * (for 0.2 to 0.4 s after SIGTERM), then works on the mails that it holds, then only waits for the calls in flight, and exits well
 * before the kill (3.7 s). No step ends a request or call that was begun before it, so that no mail in progress is lost.
 */
final class GracefulShutdown {
    /** Milliseconds after the signal at which the node stops accepting mails. */
    private static final long STOP_ACCEPTING_MS = 600;
    /** Milliseconds after the signal at which the node stops sending. */
    private static final long STOP_SENDING_MS = 1800;
    /** Milliseconds after the signal at which the node exits, whatever is still in progress. */
    private static final long EXIT_MS = 3200;
    /** Milliseconds between two checks of what is due. */
    private static final long CHECK_INTERVAL_MS = 20;

    /** The node that the steps act on. */
    interface Host {
        /** Accepts no more mails from clients. */
        void stopAccepting();

        /** Sends no more: attempts whose bytes are not out yet are dropped. */
        void stopSending();

        /** Whether nothing is in progress: no call, no unacknowledged notice and no iteration. */
        boolean isIdle();

        /** Whether no mail is held. */
        boolean isEmpty();

        /** Ends the node, after the iteration that is in progress. */
        void finish();
    }

    private final EventLoop loop;
    private final Host host;
    private final Clock clock;
    private final long startedAt;
    private boolean acceptingStopped;
    private boolean sendingStopped;

    GracefulShutdown(EventLoop loop, Host host, Clock clock) {
        this.loop = loop;
        this.host = host;
        this.clock = clock;
        startedAt = clock.now();
    }

    /** Takes the steps that are due, and schedules the next check. */
    void check() {
        long elapsedMs = (clock.now() - startedAt) / 1000;
        if (!acceptingStopped && elapsedMs >= STOP_ACCEPTING_MS) {
            acceptingStopped = true;
            host.stopAccepting();
        }
        if (!sendingStopped && elapsedMs >= STOP_SENDING_MS) {
            sendingStopped = true;
            host.stopSending();
        }
        if (elapsedMs >= EXIT_MS || acceptingStopped && host.isIdle() && (sendingStopped || host.isEmpty())) {
            host.finish();
        } else {
            loop.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
