package wrenreach.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reports exceptions of an event loop and its tasks to a handler. By itself the loop only logs what a task throws, ignores what a
 * delayed one throws, and where it fails itself only the loop ends: the process would keep running without serving anyone.
 */
public final class LoopFailures {
    private volatile Consumer<Throwable> handler = thrown -> { };

    /** Sets the handler, which is called on the loop's thread for each exception of a task, and for one that ends the loop itself. */
    public void setHandler(Consumer<Throwable> handler) {
        this.handler = handler;
    }

    private Runnable reportingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                reportFailure(e);
            }
        };
    }

    private void reportFailure(Throwable thrown) {
        try {
            handler.accept(thrown);
        } catch (RuntimeException | Error e) {
            // With no memory left even for the handler, the process would keep running without serving anyone.
            Runtime.getRuntime().halt(1);
        }
    }

    /** A group of one loop that reports its failures here. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) {
            @Override protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
                return new ReportingLoop(this, executor, handlers);
            }
        };
    }

    private final class ReportingLoop extends SingleThreadIoEventLoop {
        ReportingLoop(MultiThreadIoEventLoopGroup group, Executor executor, IoHandlerFactory handlers) {
            super(group, executor, handlers);
        }

        @Override protected void run() {
            try {
                super.run();
            } catch (RuntimeException | Error e) {
                reportFailure(e);
                throw e;
            }
        }

        @Override public void execute(Runnable task) {
            super.execute(reportingFailures(task));
        }

        @Override public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(reportingFailures(task), delay, unit);
        }
    }
}
