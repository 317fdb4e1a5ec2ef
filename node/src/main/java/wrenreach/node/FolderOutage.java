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
    private static final long AGAIN_MS = 50;
    /** Between two lines while it lasts. */
    private static final long LINE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A write of what is to be recorded. */
    interface Write {
        void run() throws IOException;
    }

    private final EventLoop loop;
    private final Write write;
    private final Runnable over;
    private boolean lasts;
    private boolean ended;
    private long since;
    private long saidAt;

    /** write: tried until it succeeds; over: done on the loop then. */
    FolderOutage(EventLoop loop, Write write, Runnable over) {
        this.loop = loop;
        this.write = write;
        this.over = over;
    }

    boolean lasts() {
        return lasts;
    }

    /** A write has failed. */
    void begin(IOException why) {
        lasts = true;
        since = saidAt = loop.ticker().nanoTime();
        say(why);
        later();
    }

    /** The node stops: nothing is tried any more. */
    void end() {
        ended = true;
    }

    private void later() {
        loop.schedule(this::again, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void again() {
        if (ended) {
            return;
        }
        try {
            write.run();
        } catch (IOException e) {
            if (loop.ticker().nanoTime() - saidAt > LINE_NANOS) {
                saidAt = loop.ticker().nanoTime();
                say(e);
            }
            later();
            return;
        }
        lasts = false;
        LogEvent.tell(LOG, Level.WARNING, "folder.works", "the state folder takes records again, after {ms} ms", "ms",
                TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - since));
        over.run();
    }

    private void say(IOException why) {
        LogEvent.tell(LOG, Level.ERROR, "folder.fails", "the state folder takes no records: new messages are refused, nothing is sent or told, "
                + "what is owed is kept: {why}", "why", why.getMessage());
    }
}
