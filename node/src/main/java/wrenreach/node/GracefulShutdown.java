package wrenreach.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The steps of a planned stop, counted from the signal: the node serves on while the front may still send
 * (0.4 s), then works on what it holds, then only lets calls out end, and is gone well before the kill (3.7 s).
 * Guards mails in hand: each step ends no request or call that was begun before.
 */
final class GracefulShutdown {
    private static final long STOP_ACCEPTING_MS = 600, STOP_SENDING_MS = 1800, EXIT_MS = 3200, CHECK_INTERVAL_MS = 20;

    /** What the steps are carried out on. */
    interface Host {
        void stopAccepting();

        void stopSending();

        /** Whether nothing is under way. */
        boolean isIdle();

        /** Whether nothing is held. */
        boolean isEmpty();

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

    void check() {
        long passed = (clock.now() - startedAt) / 1000;
        if (!acceptingStopped && passed >= STOP_ACCEPTING_MS) {
            acceptingStopped = true;
            host.stopAccepting();
        }
        if (!sendingStopped && passed >= STOP_SENDING_MS) {
            sendingStopped = true;
            host.stopSending();
        }
        if (passed >= EXIT_MS || acceptingStopped && host.isIdle() && (sendingStopped || host.isEmpty())) {
            host.finish();
        } else {
            loop.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
