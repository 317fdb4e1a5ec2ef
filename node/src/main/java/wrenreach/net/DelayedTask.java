package wrenreach.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A task of an event loop that runs after a delay and one more select. While a process stands still (a stopped process, a frozen
 * machine, a starved core) data may arrive: a selector that wakes from a stop reports nothing as ready, so timeouts that expired
 * meanwhile would run first and take the data for not arrived. A task scheduled by another task runs after the next select.
 */
public final class DelayedTask {
    private final EventLoop loop;
    private final Runnable task;
    private Future<?> scheduled;

    private DelayedTask(EventLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Runs a task on the loop after a delay in microseconds (below 0: none) and one more select. */
    public static DelayedTask schedule(EventLoop loop, long delay, Runnable task) {
        DelayedTask delayed = new DelayedTask(loop, task);
        delayed.scheduled = loop.schedule(delayed::runAfterNextSelect, delay, TimeUnit.MICROSECONDS);
        return delayed;
    }

    private void runAfterNextSelect() {
        scheduled = loop.schedule(task, 0, TimeUnit.MICROSECONDS);
    }

    /** Cancels the task if it has not run yet; on the loop only. */
    public void cancel() {
        scheduled.cancel(false);
    }
}
