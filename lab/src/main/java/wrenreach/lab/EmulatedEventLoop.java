package wrenreach.lab;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.Ticker;

/** A node's event loop, which the world runs whenever a task is due. */
final class EmulatedEventLoop extends ManualIoEventLoop {
    EmulatedEventLoop(Ticker ticker) {
        super(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
    }

    /** When its next scheduled task is due, in the ticker's nanoseconds; -1 if there is none. */
    long nextTaskAt() {
        return nextScheduledTaskDeadlineNanos();
    }
}
