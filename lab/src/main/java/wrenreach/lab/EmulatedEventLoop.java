package wrenreach.lab;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.Ticker;

/** A node's loop, run by the world at the instants that it is due. */
final class EmulatedEventLoop extends ManualIoEventLoop {
    EmulatedEventLoop(Ticker ticker) {
        super(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
    }

    /** When its next task is due, in the ticker's nanoseconds; -1: none is waiting. */
    long nextTaskAt() {
        return nextScheduledTaskDeadlineNanos();
    }
}
