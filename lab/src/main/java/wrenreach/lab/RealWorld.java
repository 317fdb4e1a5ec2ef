package wrenreach.lab;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** The same stand-ins in real time, on one event loop and the machine's loopback. All but {@link #stop} is the loop's. */
final class RealWorld extends World {
    private final EventLoop loop;
    private final long origin = System.nanoTime() - BEGIN;
    /** Which node each mail went to: calls all come from the same host. */
    private final Map<String, Network.Party> nodeOf = new HashMap<>();
    private final Map<String, Network.Party> parties = new HashMap<>();
    private final Network.Party unknown = new Network.Party("?");
    private volatile Throwable failed;

    RealWorld(long seed, EventLoop loop) {
        super(seed, world -> new SocketNetwork(loop));
        this.loop = loop;
    }

    @Override long now() {
        return System.nanoTime() - origin;
    }

    @Override void at(long when, Runnable work) {
        try {
            loop.schedule(() -> {
                try {
                    work.run();
                } catch (RuntimeException | Error e) {
                    // What a stand-in can't bear would make the figures wrong: it ends the play.
                    failed = e;
                }
            }, when - now(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            // The play is over.
            return;
        }
    }

    @Override void record(Fact fact) {
        super.record(fact);
        if (fact instanceof Fact.HandedIn in) {
            nodeOf.put(in.id(), parties.computeIfAbsent(in.node(), Network.Party::new));
        }
    }

    @Override Network.Party asker(Network.Link link, String call) {
        return nodeOf.getOrDefault(call, unknown);
    }

    /** What went wrong with a stand-in; null: nothing. */
    Throwable failed() {
        return failed;
    }
}
