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
final class ProcessTrials {
    /** Processes that one machine is asked to bear, and how long they may take to serve. */
    private static final int MAX_NODES = 16;
    private static final long START_TIMEOUT_S = 30;

    private static final int MAX_RECEIVERS = 100, MAX_LOG_LINES = 200_000, FIRST_SLOT = 16, LAST_SLOT = 250, LOCK_PORT = 9999;

    private static final AtomicInteger NEXT_SLOT = new AtomicInteger((int) ProcessHandle.current().pid());

    /** What a process wrote or a link did, and when it was read. */
    private record LogLine(long at, String text) {
        String format() {
            return String.format(Locale.ROOT, "%10.4f s  %s", (at - World.START_NS) / 1e9, text);
        }
    }

    private ProcessTrials() { }

    /** Why it can't be played by processes; empty: it can. */
    static List<String> objections(Experiment experiment) {
        List<String> all = new ArrayList<>(experiment.objections(true));
        for (int value : experiment.sweep().values()) {
            Scenario day = experiment.scenarioAt(value, 0);
            if (day.nodes() > MAX_NODES) {
                all.add(experiment.sweep().figure() + " " + value + ": " + day.nodes() + " nodes are more than the " + MAX_NODES
                        + " that are started on one machine");
            }
            if (day.destinations() * day.endpoints() > MAX_RECEIVERS) {
                all.add(experiment.sweep().figure() + " " + value + ": more than " + MAX_RECEIVERS + " receivers");
            }
        }
        return all.stream().distinct().toList();
    }

    /** In the order of values and seeds; logs: gets a folder a day; done: how many are over. */
    static List<ExperimentRunner.DayResult> play(Experiment experiment, Path logs, IntConsumer done) throws IOException, InterruptedException {
        List<ExperimentRunner.DayResult> all = new ArrayList<>();
        for (int value : experiment.sweep().values()) {
            for (int n = 0; n < experiment.about().seeds(); n++) {
                Scenario day = experiment.scenarioAt(value, n);
                all.add(playDay(day, experiment.setup(), value, Files.createDirectories(logs.resolve(value + "-" + day.seed()))));
                done.accept(all.size());
            }
        }
        return all;
    }

    /** A part of 127.0.0.0/8 that no other run uses at the time. */
    private static ServerSocket reserveSlot(int[] taken) throws IOException {
        int slots = LAST_SLOT - FIRST_SLOT + 1;
        for (int i = 0; i < slots; i++) {
            // Each day takes another one: what the machine still holds of the day before is in nobody's way.
            int slot = FIRST_SLOT + Math.floorMod(NEXT_SLOT.getAndIncrement(), slots);
            ServerSocket lock = new ServerSocket();
            try {
                lock.bind(new InetSocketAddress("127." + slot + ".255.1", LOCK_PORT));
                taken[0] = slot;
                return lock;
            } catch (IOException e) {
                lock.close();
            }
        }
        throw new IOException("no part of 127.0.0.0/8 is free: " + slots + " runs are under way");
    }

    /** Plays one day; logs: the folder for what its processes wrote. */
    static ExperimentRunner.DayResult playDay(Scenario day, Experiment.Setup setup, int value, Path logs) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("wrenreach-load-");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Queue<LogLine> lines = new ConcurrentLinkedQueue<>();
        AtomicInteger kept = new AtomicInteger();
        List<ProcessNode> nodes = new ArrayList<>();
        Thread ends = new Thread(() -> nodes.forEach(ProcessNode::endForGood));
        Runtime.getRuntime().addShutdownHook(ends);
        int[] slot = new int[1];
        long begin = System.nanoTime();
        ServerSocket lock = reserveSlot(slot);
        Relays[] made = new Relays[1];
        try (ProcessReaper keeper = new ProcessReaper()) {
            RealWorld[] world = new RealWorld[1];
            Consumer<String> log = text -> {
                if (world[0] != null && kept.incrementAndGet() <= MAX_LOG_LINES) {
                    lines.add(new LogLine(world[0].now(), text));
                }
            };
            Relays relays = new Relays(loop, slot[0], day.nodes(), () -> world[0].nextUniform(), text -> log.accept("link | " + text));
            made[0] = relays;
            world[0] = new RealWorld(day.seed(), loop, relays);
            ProcessNode.RunContext run = new ProcessNode.RunContext(world[0], loop, relays, keeper, folder, day.seed(), log);
            ScenarioRun play = loop.submit(() -> {
                for (int i = 0; i < day.nodes(); i++) {
                    relays.addNode(i);
                }
                if (setup.datagrams() > 0) {
                    relays.peers(setup.datagrams());
                }
                return new ScenarioRun(day, world[0], relays, (name, config, json, zone) -> {
                    int number = Integer.parseInt(name.substring(1));
                    ProcessNode node = new ProcessNode(run, setup.build(name), name, relays.clientAddress(number), config.listen(), json,
                            setup.operator(name, day, relays), day.faults().stream().anyMatch(fault ->
                            fault.kind().environment == Scenario.Environment.PROCESSES && fault.targetIndexes(day.nodes()).contains(number)));
                    node.setIgnoresTerm(day.faults().stream().anyMatch(fault -> fault.kind() == Scenario.Kind.IGNORES_TERM
                            && fault.targetIndexes(day.nodes()).contains(number)));
                    nodes.add(node);
                    return node;
                });
            }).get();
            long waits = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
            while (!loop.submit(() -> nodes.stream().allMatch(ProcessNode::serves)).get()) {
                if (System.nanoTime() > waits || !relays.failed().isEmpty()) {
                    throw new IOException("nodes don't serve: " + relays.failed() + " " + lines.stream().limit(20).map(LogLine::text).toList());
                }
                Thread.sleep(20);
            }
            long end = loop.submit(() -> {
                world[0].watchLateness();
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
                relays.trafficSummary().forEach(text -> log.accept("link | " + text));
                writeLogs(logs, day, world[0].facts, lines, verdict);
                return new ExperimentRunner.DayResult(value, "wrenreach", day.seed(), DeliveryMetrics.of(world[0].facts, play.settings, verdict.violations().size()),
                        verdict, world[0].facts.stream().filter(fact -> fact instanceof Fact.NeverCame).map(Fact::timelineLine).toList(),
                        world[0].factsHash(), System.nanoTime() - begin, world[0].now());
            }).get(30, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().toString(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("the stand-ins don't answer", e);
        } finally {
            nodes.forEach(ProcessNode::endForGood);
            Runtime.getRuntime().removeShutdownHook(ends);
            if (made[0] != null) {
                loop.submit(made[0]::close).await();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
            // Only now are the addresses free for another run.
            lock.close();
            deleteFolder(folder);
        }
    }

    /** The logs of a day by one clock, that of the stand-ins: one file a process, one of links, and one of all with the facts. */
    private static void writeLogs(Path folder, Scenario day, List<Fact> facts, Collection<LogLine> lines, Rules.Verdict verdict) {
        try {
            List<LogLine> all = new ArrayList<>(lines);
            facts.forEach(fact -> all.add(new LogLine(fact.at(), Fact.timelineLine(fact).substring(14))));
            verdict.violations().forEach(one -> all.add(new LogLine(one.at(), "BROKEN " + one.rule() + ": " + one.what())));
            verdict.inconclusive().forEach(one -> all.add(new LogLine(one.at(), "CAN'T BE TOLD " + one.rule() + ": " + one.what())));
            all.sort(Comparator.comparingLong(LogLine::at));
            Files.write(folder.resolve("timeline.txt"), all.stream().map(LogLine::format).toList());
            Files.write(folder.resolve("links.log"), lines.stream().filter(line -> line.text.startsWith("link |")).map(LogLine::format).toList());
            for (int i = 0; i < day.nodes(); i++) {
                String own = "n" + i + " |";
                Files.write(folder.resolve("n" + i + ".log"), lines.stream().filter(line -> line.text.startsWith(own)).map(LogLine::format).toList());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Removes a folder, if it is there, with all that is in it. */
    static void deleteFolder(Path folder) throws IOException {
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
