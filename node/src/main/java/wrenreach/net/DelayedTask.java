package wrenreach.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Work of a loop that is due after a time, and is done after one more look at the loop's sockets. Guards what came while the
 * process stood still (a stopped process, a frozen machine, a starved core) against being judged as not come: a selector
 * that wakes from a stop says that nothing is ready, and the time-outs that have run out meanwhile would go first. What is
 * scheduled by a task runs after the sockets have been looked at again.
 */
public final class DelayedTask {
    private final EventLoop loop;
    private final Runnable task;
    private Future<?> scheduled;

    private DelayedTask(EventLoop loop, Runnable work) {
        this.loop = loop;
        this.task = work;
    }

    /** Does work on the loop after so many microseconds (at once where below 0) and one more look at the sockets. */
    public static DelayedTask schedule(EventLoop loop, long delay, Runnable work) {
        DelayedTask due = new DelayedTask(loop, work);
        due.scheduled = loop.schedule(due::runAfterNextSelect, delay, TimeUnit.MICROSECONDS);
        return due;
    }

    private void runAfterNextSelect() {
        scheduled = loop.schedule(task, 0, TimeUnit.MICROSECONDS);
    }

    /** What has not been done yet never is; on the loop only. */
    public void cancel() {
        scheduled.cancel(false);
    }
}
