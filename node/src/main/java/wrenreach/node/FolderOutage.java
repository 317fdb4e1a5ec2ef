package wrenreach.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import wrenreach.log.LogEvent;

/**
 * A period in which the state folder can't be written. The write is retried until it succeeds, for as long as the process lives: accepted
 * mails stay outstanding and in memory, and a process that ended and came back would only find the same folder.
 */
final class FolderOutage {
    private static final System.Logger LOG = System.getLogger(FolderOutage.class.getName());
    /** Milliseconds between two retries; short, as a mail's time is counted in seconds. */
    private static final long RETRY_INTERVAL_MS = 50;
    /** Nanoseconds between two log lines while the outage lasts. */
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Writes what is to be recorded. */
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

    /** write: retried until it succeeds; onRecovery: run on the loop then. */
    FolderOutage(EventLoop loop, Write write, Runnable onRecovery) {
        this.loop = loop;
        this.write = write;
        this.onRecovery = onRecovery;
    }

    boolean active() {
        return active;
    }

    /** Begins the outage: a write has failed. */
    void begin(IOException cause) {
        active = true;
        startedAt = lastLoggedAt = loop.ticker().nanoTime();
        logFailure(cause);
        scheduleRetry();
    }

    /** Ends the retries, as the node stops. */
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

    private void logFailure(IOException cause) {
        LogEvent.log(LOG, Level.ERROR, "folder.fails", "the state folder takes no records: new messages are refused, nothing is sent or told, "
                + "what is owed is kept: {why}", "why", cause.getMessage());
    }
}
