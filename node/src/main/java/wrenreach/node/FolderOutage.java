package wrenreach.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import wrenreach.log.LogEvent;

/**
 * A time in which the state folder records nothing. The write is tried again until it succeeds, for as long as the process lives:
 * what was accepted stays owed and in memory, and a process that ended would only find the same folder.
 */
final class FolderOutage {
    private static final System.Logger LOG = System.getLogger(FolderOutage.class.getName());
    /** Between two tries: a message's time is counted in seconds. */
    private static final long RETRY_INTERVAL_MS = 50;
    /** Between two lines while it lasts. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A write of what is to be recorded. */
    interface Write {
        void run() throws IOException;
    }

    private final EventLoop loop;
    private final Write write;
    private final Runnable onRecovery;
    private boolean active;
    private boolean stopped;
    private long startedAt;
    private long lastLoggedAt;

    /** write: tried until it succeeds; over: done on the loop then. */
    FolderOutage(EventLoop loop, Write write, Runnable over) {
        this.loop = loop;
        this.write = write;
        this.onRecovery = over;
    }

    boolean active() {
        return active;
    }

    /** A write has failed. */
    void begin(IOException why) {
        active = true;
        startedAt = lastLoggedAt = loop.ticker().nanoTime();
        logFailure(why);
        scheduleRetry();
    }

    /** The node stops: nothing is tried any more. */
    void stop() {
        stopped = true;
    }

    private void scheduleRetry() {
        loop.schedule(this::retry, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void retry() {
        if (stopped) {
            return;
        }
        try {
            write.run();
        } catch (IOException e) {
            if (loop.ticker().nanoTime() - lastLoggedAt > LOG_INTERVAL_NANOS) {
                lastLoggedAt = loop.ticker().nanoTime();
                logFailure(e);
            }
            scheduleRetry();
            return;
        }
        active = false;
        LogEvent.log(LOG, Level.WARNING, "folder.works", "the state folder takes records again, after {ms} ms", "ms",
                TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - startedAt));
        onRecovery.run();
    }

    private void logFailure(IOException why) {
        LogEvent.log(LOG, Level.ERROR, "folder.fails", "the state folder takes no records: new messages are refused, nothing is sent or told, "
                + "what is owed is kept: {why}", "why", why.getMessage());
    }
}
