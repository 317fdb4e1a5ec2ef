package wrenreach.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The steps of a planned stop, counted from the signal: the node serves on while the front may still send
 * (0.4 s), then works on what it holds, then only lets calls out end, and is gone well before the kill (3.7 s).
 * Guards mails in hand: each step ends no request or call that was begun before.
 */
final class PlannedStop {
    private static final long FRONT_MS = 600, LAST_SEND_MS = 1800, EXIT_MS = 3200, LOOK_MS = 20;

    /** What the steps are carried out on. */
    interface Host {
        void closeDoor();

        void sendNoMore();

        /** Whether nothing is under way. */
        boolean quiet();

        /** Whether nothing is held. */
        boolean empty();

        void finish();
    }

    private final EventLoop loop;
    private final Host host;
    private final Clock clock;
    private final long since;
    private boolean doorClosed;
    private boolean sendsNoMore;

    PlannedStop(EventLoop loop, Host host, Clock clock) {
        this.loop = loop;
        this.host = host;
        this.clock = clock;
        since = clock.now();
    }

    void look() {
        long passed = (clock.now() - since) / 1000;
        if (!doorClosed && passed >= FRONT_MS) {
            doorClosed = true;
            host.closeDoor();
        }
        if (!sendsNoMore && passed >= LAST_SEND_MS) {
            sendsNoMore = true;
            host.sendNoMore();
        }
        if (passed >= EXIT_MS || doorClosed && host.quiet() && (sendsNoMore || host.empty())) {
            host.finish();
        } else {
            loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }
}
