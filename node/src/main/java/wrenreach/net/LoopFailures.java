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
 * Where a loop tells what its tasks threw. Guards against a process that stays and serves nobody: by itself the loop only logs
 * what a task throws, says nothing of what a delayed one throws, and ends alone where it fails itself.
 */
public final class LoopFailures {
    private volatile Consumer<Throwable> handler = thrown -> { };

    /** Who is told, on the loop's own thread, of each task that ends by a throw and of the loop's own end by one. */
    public void setHandler(Consumer<Throwable> host) {
        handler = host;
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
            // Guards against a process that has no memory left even to be told, and so stays.
            Runtime.getRuntime().halt(1);
        }
    }

    /** A group of one loop that tells its failures here. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()) {
            @Override protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... more) {
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
