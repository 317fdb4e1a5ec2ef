package wrenreach.lab;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

/**
 * Plays an experiment's traffic against real nodes: processes of their own on loopback, in real time, one day after the other.
 * The clients, receivers and the platform are those of the emulated world.
 */
final class Load {
    /** Processes that one machine is asked to bear, and how long they may take to serve. */
    private static final int MOST_NODES = 16;
    private static final long STARTS_WITHIN_S = 30;

    private Load() { }

    /** Why it can't be played on real sockets; empty: it can. */
    static List<String> objections(Experiment experiment) {
        List<String> all = new ArrayList<>();
        for (int value : experiment.sweep().values()) {
            Scenario day = experiment.at(value, 0);
            if (day.nodes() > MOST_NODES) {
                all.add(experiment.sweep().figure() + " " + value + ": " + day.nodes() + " nodes are more than the " + MOST_NODES
                        + " that are started on one machine");
            }
            day.faults().stream().map(Scenario.Fault::kind).filter(kind -> !kind.real).distinct()
                    .forEach(kind -> all.add("fault " + kind.name().toLowerCase(Locale.ROOT) + " is played in virtual time only"));
        }
        return all.stream().distinct().toList();
    }

    /** In the order of values and seeds; done: how many are over. */
    static List<Trials.Trial> play(Experiment experiment, IntConsumer done) throws IOException, InterruptedException {
        List<Trials.Trial> all = new ArrayList<>();
        for (int value : experiment.sweep().values()) {
            for (int n = 0; n < experiment.about().seeds(); n++) {
                all.add(day(experiment.at(value, n), value));
                done.accept(all.size());
            }
        }
        return all;
    }

    private static Trials.Trial day(Scenario day, int value) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("wrenreach-load-");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        RealWorld world = new RealWorld(day.seed(), loop);
        List<ProcessNode> nodes = new ArrayList<>();
        Thread ends = new Thread(() -> nodes.forEach(ProcessNode::end));
        Runtime.getRuntime().addShutdownHook(ends);
        long begin = System.nanoTime();
        try {
            Play play = loop.submit(() -> new Play(day, world, (name, config, json, zone) -> {
                ProcessNode node = new ProcessNode(world, loop, name, config.listen(), json, day.store(), folder.resolve(name));
                nodes.add(node);
                return node;
            })).get();
            long waits = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTS_WITHIN_S);
            while (!loop.submit(() -> nodes.stream().allMatch(ProcessNode::serves)).get()) {
                if (System.nanoTime() > waits) {
                    throw new IOException("nodes don't serve; the first says: " + log(folder));
                }
                Thread.sleep(20);
            }
            long end = loop.submit(play::begin).get();
            while (world.now() < end && world.failed() == null) {
                Thread.sleep(100);
            }
            if (world.failed() != null) {
                throw new IOException("a stand-in failed: " + world.failed(), world.failed());
            }
            return loop.submit(() -> {
                List<Rules.Break> breaks = Rules.judge(day, world.facts, play.settings, world.now());
                return new Trials.Trial(value, "wrenreach", day.seed(), Figures.of(world.facts, play.settings, breaks.size()), breaks,
                        world.print(), System.nanoTime() - begin, world.now());
            }).get(10, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().toString(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("the stand-ins don't answer", e);
        } finally {
            nodes.forEach(ProcessNode::end);
            Runtime.getRuntime().removeShutdownHook(ends);
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
            remove(folder);
        }
    }

    private static String log(Path folder) throws IOException {
        Path log = folder.resolve("n0").resolve("log");
        return Files.exists(log) ? String.join(" | ", Files.readAllLines(log)) : "nothing";
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(one);
            }
        }
    }
}
