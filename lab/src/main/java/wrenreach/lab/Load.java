package wrenreach.lab;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

/**
 * Plays an experiment's traffic against real nodes: processes of their own on loopback, in real time, one day after the other.
 * The clients, receivers and the platform are those of the emulated world; relays lie between them and the nodes.
 */
final class Load {
    /** Processes that one machine is asked to bear, and how long they may take to serve. */
    private static final int MOST_NODES = 16;
    private static final long STARTS_WITHIN_S = 30;

    private static final int MOST_RECEIVERS = 100, MOST_LINES = 200_000, FIRST_SLOT = 16, LAST_SLOT = 250, LOCK = 9999;

    private static final AtomicInteger NEXT_SLOT = new AtomicInteger((int) ProcessHandle.current().pid());

    /** What a process wrote or a link did, and when it was read. */
    private record Line(long at, String text) {
        String written() {
            return String.format(Locale.ROOT, "%10.4f s  %s", (at - World.BEGIN) / 1e9, text);
        }
    }

    private Load() { }

    /** Why it can't be played by processes; empty: it can. */
    static List<String> objections(Experiment experiment) {
        List<String> all = new ArrayList<>(experiment.objections(true));
        for (int value : experiment.sweep().values()) {
            Scenario day = experiment.at(value, 0);
            if (day.nodes() > MOST_NODES) {
                all.add(experiment.sweep().figure() + " " + value + ": " + day.nodes() + " nodes are more than the " + MOST_NODES
                        + " that are started on one machine");
            }
            if (day.destinations() * day.endpoints() > MOST_RECEIVERS) {
                all.add(experiment.sweep().figure() + " " + value + ": more than " + MOST_RECEIVERS + " receivers");
            }
        }
        return all.stream().distinct().toList();
    }

    /** In the order of values and seeds; logs: gets a folder a day; done: how many are over. */
    static List<Trials.Trial> play(Experiment experiment, Path logs, IntConsumer done) throws IOException, InterruptedException {
        List<Trials.Trial> all = new ArrayList<>();
        for (int value : experiment.sweep().values()) {
            for (int n = 0; n < experiment.about().seeds(); n++) {
                Scenario day = experiment.at(value, n);
                all.add(day(day, experiment.setup(), value, Files.createDirectories(logs.resolve(value + "-" + day.seed()))));
                done.accept(all.size());
            }
        }
        return all;
    }

    /** A part of 127.0.0.0/8 that no other run uses at the time. */
    private static ServerSocket slot(int[] taken) throws IOException {
        int slots = LAST_SLOT - FIRST_SLOT + 1;
        for (int i = 0; i < slots; i++) {
            // Each day takes another one: what the machine still holds of the day before is in nobody's way.
            int slot = FIRST_SLOT + Math.floorMod(NEXT_SLOT.getAndIncrement(), slots);
            ServerSocket lock = new ServerSocket();
            try {
                lock.bind(new InetSocketAddress("127." + slot + ".255.1", LOCK));
                taken[0] = slot;
                return lock;
            } catch (IOException e) {
                lock.close();
            }
        }
        throw new IOException("no part of 127.0.0.0/8 is free: " + slots + " runs are under way");
    }

    /** Plays one day; logs: the folder for what its processes wrote. */
    static Trials.Trial day(Scenario day, Experiment.Setup setup, int value, Path logs) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("wrenreach-load-");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Queue<Line> lines = new ConcurrentLinkedQueue<>();
        AtomicInteger kept = new AtomicInteger();
        List<ProcessNode> nodes = new ArrayList<>();
        Thread ends = new Thread(() -> nodes.forEach(ProcessNode::end));
        Runtime.getRuntime().addShutdownHook(ends);
        int[] slot = new int[1];
        long begin = System.nanoTime();
        ServerSocket lock = slot(slot);
        Relays[] made = new Relays[1];
        try (Keeper keeper = new Keeper()) {
            RealWorld[] world = new RealWorld[1];
            Consumer<String> log = text -> {
                if (world[0] != null && kept.incrementAndGet() <= MOST_LINES) {
                    lines.add(new Line(world[0].now(), text));
                }
            };
            Relays relays = new Relays(loop, slot[0], day.nodes(), () -> world[0].share(), text -> log.accept("link | " + text));
            made[0] = relays;
            world[0] = new RealWorld(day.seed(), loop, relays);
            ProcessNode.Run run = new ProcessNode.Run(world[0], loop, relays, keeper, folder, day.seed(), log);
            Play play = loop.submit(() -> {
                for (int i = 0; i < day.nodes(); i++) {
                    relays.node(i);
                }
                if (setup.datagrams() > 0) {
                    relays.peers(setup.datagrams());
                }
                return new Play(day, world[0], relays, (name, config, json, zone) -> {
                    int number = Integer.parseInt(name.substring(1));
                    ProcessNode node = new ProcessNode(run, setup.build(name), name, relays.front(number), config.listen(), json,
                            setup.operator(name, day, relays), day.faults().stream().anyMatch(fault ->
                            fault.kind().where == Scenario.Where.PROCESSES && fault.which(day.nodes()).contains(number)));
                    node.deafToTerm(day.faults().stream().anyMatch(fault -> fault.kind() == Scenario.Kind.IGNORES_TERM
                            && fault.which(day.nodes()).contains(number)));
                    nodes.add(node);
                    return node;
                });
            }).get();
            long waits = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTS_WITHIN_S);
            while (!loop.submit(() -> nodes.stream().allMatch(ProcessNode::serves)).get()) {
                if (System.nanoTime() > waits || !relays.failed().isEmpty()) {
                    throw new IOException("nodes don't serve: " + relays.failed() + " " + lines.stream().limit(20).map(Line::text).toList());
                }
                Thread.sleep(20);
            }
            long end = loop.submit(() -> {
                world[0].watchItself();
                return play.begin();
            }).get();
            while (world[0].now() < end && world[0].failed() == null && keeper.alive()) {
                Thread.sleep(100);
            }
            if (world[0].failed() != null || !keeper.alive() || !relays.failed().isEmpty()) {
                throw new IOException("a stand-in failed: " + (keeper.alive() ? relays.failed() + " " + world[0].failed()
                        : "the keeper is gone"), world[0].failed());
            }
            return loop.submit(() -> {
                Rules.Verdict verdict = Rules.verdict(day, world[0].facts, play.settings, world[0].now());
                relays.carried().forEach(text -> log.accept("link | " + text));
                write(logs, day, world[0].facts, lines, verdict);
                return new Trials.Trial(value, "wrenreach", day.seed(), Figures.of(world[0].facts, play.settings, verdict.breaks().size()),
                        verdict, world[0].facts.stream().filter(fact -> fact instanceof Fact.NeverCame).map(Fact::line).toList(),
                        world[0].print(), System.nanoTime() - begin, world[0].now());
            }).get(30, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().toString(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("the stand-ins don't answer", e);
        } finally {
            nodes.forEach(ProcessNode::end);
            Runtime.getRuntime().removeShutdownHook(ends);
            if (made[0] != null) {
                loop.submit(made[0]::close).await();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
            // Only now are the addresses free for another run.
            lock.close();
            remove(folder);
        }
    }

    /** The logs of a day by one clock, that of the stand-ins: one file a process, one of links, and one of all with the facts. */
    private static void write(Path folder, Scenario day, List<Fact> facts, Collection<Line> lines, Rules.Verdict verdict) {
        try {
            List<Line> all = new ArrayList<>(lines);
            facts.forEach(fact -> all.add(new Line(fact.at(), Fact.line(fact).substring(14))));
            verdict.breaks().forEach(one -> all.add(new Line(one.at(), "BROKEN " + one.rule() + ": " + one.what())));
            verdict.unjudged().forEach(one -> all.add(new Line(one.at(), "CAN'T BE TOLD " + one.rule() + ": " + one.what())));
            all.sort(Comparator.comparingLong(Line::at));
            Files.write(folder.resolve("timeline.txt"), all.stream().map(Line::written).toList());
            Files.write(folder.resolve("links.log"), lines.stream().filter(line -> line.text.startsWith("link |")).map(Line::written).toList());
            for (int i = 0; i < day.nodes(); i++) {
                String own = "n" + i + " |";
                Files.write(folder.resolve("n" + i + ".log"), lines.stream().filter(line -> line.text.startsWith(own)).map(Line::written).toList());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Removes a folder, if it is there, with all that is in it. */
    static void remove(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(one);
            }
        }
    }
}
