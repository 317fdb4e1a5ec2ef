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
 * Runs the days of an experiment against real nodes: processes of their own on loopback, in real time, one day after the other. The clients,
 * receivers and the platform are the stand-ins of the emulated world; relays lie between them and the nodes.
 */
final class ProcessTrials {
    /** Limit of the processes that are started on one machine. */
    private static final int MAX_NODES = 16;
    /** How long the nodes may take to serve, in seconds. */
    private static final long START_TIMEOUT_S = 30;

    /** Limit of the receivers of a day. */
    private static final int MAX_RECEIVERS = 100;
    /** Number of log lines that are kept of a day; further ones are dropped. */
    private static final int MAX_LOG_LINES = 200_000;
    /** The second byte of the addresses of a run, its slot, is at least this. */
    private static final int FIRST_SLOT = 16;
    /** The highest slot. */
    private static final int LAST_SLOT = 250;
    /** Port that a run binds at an address of its slot, to reserve the slot. */
    private static final int LOCK_PORT = 9999;

    /** Counts the slots that were tried; starts at the process id. */
    private static final AtomicInteger NEXT_SLOT = new AtomicInteger((int) ProcessHandle.current().pid());

    /** A line that a process wrote or that tells of a link, and when it was read (in nanoseconds of the world's clock). */
    private record LogLine(long at, String text) {
        String format() {
            return String.format(Locale.ROOT, "%10.4f s  %s", (at - World.START_NS) / 1e9, text);
        }
    }

    private ProcessTrials() { }

    /** Why the experiment can't be run with processes; empty if it can. */
    static List<String> objections(Experiment experiment) {
        List<String> objections = new ArrayList<>(experiment.objections(true));
        for (int value : experiment.sweep().values()) {
            Scenario day = experiment.scenarioAt(value, 0);
            if (day.nodes() > MAX_NODES) {
                objections.add(experiment.sweep().figure() + " " + value + ": " + day.nodes() + " nodes are more than the " + MAX_NODES
                        + " that are started on one machine");
            }
            if (day.destinations() * day.endpoints() > MAX_RECEIVERS) {
                objections.add(experiment.sweep().figure() + " " + value + ": more than " + MAX_RECEIVERS + " receivers");
            }
        }
        return objections.stream().distinct().toList();
    }

    /** Runs all days, in the order of values and seeds. logs: folder that gets a subfolder per day; done: is told the number of finished days. */
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

    /** Reserves a part of 127.0.0.0/8 that no other run uses; taken[0] receives its number. It is free again when the returned socket is closed. */
    private static ServerSocket reserveSlot(int[] taken) throws IOException {
        int slots = LAST_SLOT - FIRST_SLOT + 1;
        for (int i = 0; i < slots; i++) {
            // Each day takes another slot, so that sockets which the machine still holds of the day before don't conflict.
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

    /** Runs one day. logs: the folder for the logs of its processes. IOException if the nodes don't serve or a stand-in fails. */
    static ExperimentRunner.DayResult playDay(Scenario day, Experiment.Setup setup, int value, Path logs) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("wrenreach-load-");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Queue<LogLine> lines = new ConcurrentLinkedQueue<>();
        AtomicInteger lineCount = new AtomicInteger();
        List<ProcessNode> nodes = new ArrayList<>();
        Thread endNodes = new Thread(() -> nodes.forEach(ProcessNode::endForGood));
        Runtime.getRuntime().addShutdownHook(endNodes);
        int[] slot = new int[1];
        long startedAt = System.nanoTime();
        ServerSocket lock = reserveSlot(slot);
        Relays[] createdRelays = new Relays[1];
        try (ProcessReaper keeper = new ProcessReaper()) {
            RealWorld[] world = new RealWorld[1];
            Consumer<String> log = text -> {
                if (world[0] != null && lineCount.incrementAndGet() <= MAX_LOG_LINES) {
                    lines.add(new LogLine(world[0].now(), text));
                }
            };
            Relays relays = new Relays(loop, slot[0], day.nodes(), () -> world[0].nextUniform(), text -> log.accept("link | " + text));
            createdRelays[0] = relays;
            world[0] = new RealWorld(day.seed(), loop, relays);
            ProcessNode.RunContext run = new ProcessNode.RunContext(world[0], loop, relays, keeper, folder, day.seed(), log);
            ScenarioRun dayRun = loop.submit(() -> {
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
                            fault.kind().environment == FaultKind.Environment.PROCESSES && fault.targetIndexes(day.nodes()).contains(number)));
                    node.setIgnoresTerm(day.faults().stream().anyMatch(fault -> fault.kind() == FaultKind.IGNORES_TERM
                            && fault.targetIndexes(day.nodes()).contains(number)));
                    nodes.add(node);
                    return node;
                });
            }).get();
            long startDeadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
            while (!loop.submit(() -> nodes.stream().allMatch(ProcessNode::serves)).get()) {
                if (System.nanoTime() > startDeadline || !relays.failed().isEmpty()) {
                    throw new IOException("nodes don't serve: " + relays.failed() + " " + lines.stream().limit(20).map(LogLine::text).toList());
                }
                Thread.sleep(20);
            }
            long end = loop.submit(() -> {
                world[0].watchLateness();
                return dayRun.begin();
            }).get();
            while (world[0].now() < end && world[0].failed() == null && keeper.alive()) {
                Thread.sleep(100);
            }
            if (world[0].failed() != null || !keeper.alive() || !relays.failed().isEmpty()) {
                throw new IOException("a stand-in failed: " + (keeper.alive() ? relays.failed() + " " + world[0].failed()
                        : "the keeper is gone"), world[0].failed());
            }
            return loop.submit(() -> {
                Rules.Verdict verdict = Rules.verdict(day, world[0].facts, dayRun.settings, world[0].now());
                relays.trafficSummary().forEach(text -> log.accept("link | " + text));
                writeLogs(logs, day, world[0].facts, lines, verdict);
                return new ExperimentRunner.DayResult(value, "wrenreach", day.seed(), DeliveryMetrics.of(world[0].facts, dayRun.settings, verdict.violations().size()),
                        verdict, world[0].facts.stream().filter(fact -> fact instanceof Fact.NeverCame).map(Fact::timelineLine).toList(),
                        world[0].factsHash(), System.nanoTime() - startedAt, world[0].now());
            }).get(30, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().toString(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("the stand-ins don't answer", e);
        } finally {
            nodes.forEach(ProcessNode::endForGood);
            Runtime.getRuntime().removeShutdownHook(endNodes);
            if (createdRelays[0] != null) {
                loop.submit(createdRelays[0]::close).await();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
            // The slot is released last: only now are its addresses unused.
            lock.close();
            deleteFolder(folder);
        }
    }

    /** Writes the logs of a day, all by the clock of the stand-ins: one file per process, one for the links, and one of all lines together with the facts. */
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
                String prefix = "n" + i + " |";
                Files.write(folder.resolve("n" + i + ".log"), lines.stream().filter(line -> line.text.startsWith(prefix)).map(LogLine::format).toList());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Deletes a folder with its content, if it exists. */
    static void deleteFolder(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
