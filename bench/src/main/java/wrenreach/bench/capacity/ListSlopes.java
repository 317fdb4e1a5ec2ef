package wrenreach.bench.capacity;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Measures what a list of destinations with one endpoint each costs a delivery node, in real processes with the shipped options. */
final class ListSlopes {
    /** How long the node may take to serve, in seconds. */
    private static final int START_TIMEOUT_S = 30;
    /** How long a list may take to be in force, in seconds. */
    private static final int IN_FORCE_TIMEOUT_S = 12;

    private final SizeFile size;
    private final String build;
    private final Path checkout;
    private final Path folder;
    private final Consumer<Measurement> taker;

    ListSlopes(SizeFile size, String build, Path checkout, Path folder, Consumer<Measurement> taker) {
        this.size = size;
        this.build = build;
        this.checkout = checkout;
        this.folder = folder;
        this.taker = taker;
    }

    void measure(int count) throws IOException, InterruptedException {
        fromTheConfig(count);
        fromDiscovery(count);
    }

    private void report(String slope, long at, double value, String unit, String note) {
        taker.accept(new Measurement(build, slope, at, value, unit, note));
    }

    private Path config(int known, int agent) throws IOException {
        return SampleConfig.write(folder.resolve("config.json"), size, known, SampleConfig::unreachable, agent);
    }

    private Path state() throws IOException {
        Path state = folder.resolve("state");
        if (Files.exists(state)) {
            try (Stream<Path> all = Files.walk(state)) {
                for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        return state;
    }

    /** Measures start, memory and idle processor time with the list in the configuration. */
    private void fromTheConfig(int count) throws IOException, InterruptedException {
        try (DiscoveryStub agent = new DiscoveryStub();
                NodeProcess node = new NodeProcess(checkout, config(count, agent.port()), state(), folder.resolve("log"))) {
            double seconds = node.serves(START_TIMEOUT_S);
            String why = Double.isNaN(seconds) ? node.alive() ? "the process stays and serves nobody" : "exit " + node.exitCode() : "";
            report("config.start", count, seconds, "s", why);
            if (Double.isNaN(seconds)) {
                return;
            }
            report("config.start.cpu", count, node.processorSeconds(), "s", "");
            report("config.resident", count, node.residentBytes(), "bytes", "");
            report("config.live", count, node.liveBytes(), "bytes", "");
            int idle = size.count("idle_seconds");
            Map<String, Long> before = node.threadNanos();
            Thread.sleep(1000L * idle);
            report("config.idle", count, node.secondsSince(before) / idle, "cores", "");
        }
    }

    /** Measures a whole list sent on the watch, changes of one endpoint, and a restart from the kept list. */
    private void fromDiscovery(int count) throws IOException, InterruptedException {
        Path state = state();
        int fresh = count + 1;
        byte[] whole = SampleConfig.line(2, 1, count + 1, true);
        report("list.bytes", count, whole.length, "bytes", "");
        boolean inForce;
        try (DiscoveryStub agent = new DiscoveryStub();
                NodeProcess node = new NodeProcess(checkout, config(1, agent.port()), state, folder.resolve("log"))) {
            agent.wholeList(SampleConfig.line(1, 1, 2, true));
            if (Double.isNaN(node.serves(START_TIMEOUT_S)) || !watched(agent)) {
                report("list.inforce", count, Double.NaN, "s", "no watch");
                return;
            }
            Thread.sleep(300);
            agent.wholeList(whole);
            double before = node.processorSeconds();
            long from = System.nanoTime();
            double longest;
            double seconds;
            try (Pings pings = new Pings(node)) {
                agent.send(whole);
                seconds = inForce(node, count, from, "w");
                longest = pings.longest();
            }
            inForce = !Double.isNaN(seconds);
            report("list.inforce", count, seconds, "s", inForce ? "" : "not in " + IN_FORCE_TIMEOUT_S + " s; asked " + agent.requests() + " times");
            report("list.cpu", count, inForce ? node.processorSeconds() - before : Double.NaN, "s", "");
            report("list.longest", count, inForce ? 1000 * longest : Double.NaN, "ms", inForce ? "longest time until a PING is answered"
                    : "the list was not taken");
            if (!inForce) {
                return;
            }
            Thread.sleep(2500);
            report("list.live", count, node.liveBytes(), "bytes", "");
            report("list.resident", count, node.residentBytes(), "bytes", "");
            int changes = size.count("changes");
            double[] times = new double[changes];
            for (int i = 0; i < changes; i++) {
                from = System.nanoTime();
                agent.send(SampleConfig.line(3 + i, fresh + i, fresh + i + 1, false));
                times[i] = inForce(node, fresh + i, from, "c");
            }
            java.util.Arrays.sort(times);
            report("change.inforce", count, 1000 * times[changes / 2], "ms", "median of " + changes + "; largest "
                    + String.format(Locale.ROOT, "%.1f", 1000 * times[changes - 1]));
            // Without probe mails between the changes, since these cost more than the changes, and after the earlier probe mails have ended.
            Thread.sleep(2500);
            int many = 10 * changes;
            before = node.processorSeconds();
            for (int i = changes; i < changes + many; i++) {
                agent.send(SampleConfig.line(3 + i, fresh + i, fresh + i + 1, false));
                Thread.sleep(5);
            }
            boolean last = !Double.isNaN(inForce(node, fresh + changes + many - 1, System.nanoTime(), "l"));
            report("change.cpu", count, last ? 1000 * (node.processorSeconds() - before) / many : Double.NaN, "ms", "mean of " + many);
        }
        restart(count, fresh, state);
    }

    /** Measures a restart without discovery, so that the node knows only the kept list. */
    private void restart(int count, int fresh, Path state) throws IOException, InterruptedException {
        try (Stream<Path> files = Files.list(state)) {
            report("kept.bytes", count, files.filter(f -> f.getFileName().toString().startsWith("list")).mapToLong(f -> f.toFile().length())
                    .sum(), "bytes", "");
        }
        int gone;
        try (DiscoveryStub agent = new DiscoveryStub()) {
            gone = agent.port();
        }
        try (NodeProcess node = new NodeProcess(checkout, config(1, gone), state, folder.resolve("log"))) {
            double seconds = node.serves(START_TIMEOUT_S);
            boolean known = !Double.isNaN(seconds) && node.knows(count, "r1") && node.knows(fresh, "r2");
            report("restart.start", count, known ? seconds : Double.NaN, "s", known ? "" : "what was told is not known any more");
        }
    }

    private static boolean watched(DiscoveryStub agent) throws InterruptedException {
        for (int i = 0; i < 500 && agent.watchCount() == 0; i++) {
            Thread.sleep(10);
        }
        return agent.watchCount() > 0;
    }

    /** Seconds since the given instant until the node knows the destination; NaN: not in time. */
    static double inForce(NodeProcess node, int destination, long from, String id) throws IOException, InterruptedException {
        for (int i = 0; System.nanoTime() - from < IN_FORCE_TIMEOUT_S * 1_000_000_000L && node.alive(); i++) {
            try {
                if (node.knows(destination, id + destination + "-" + i)) {
                    return (System.nanoTime() - from) / 1e9;
                }
            } catch (IOException e) {
                Thread.sleep(5);
            }
            Thread.sleep(2);
        }
        return Double.NaN;
    }

    /** A client that sends one PING after another; the longest response time is an upper bound of the longest iteration of the event loop. */
    private static final class Pings implements AutoCloseable {
        private final AtomicBoolean over = new AtomicBoolean();
        private final AtomicLong longest = new AtomicLong();
        private final Thread thread;

        Pings(NodeProcess node) throws IOException {
            Socket socket = node.open();
            thread = new Thread(() -> {
                try (socket; OutputStream out = socket.getOutputStream()) {
                    while (!over.get()) {
                        long from = System.nanoTime();
                        NodeProcess.ask(socket, "PING\r\n");
                        longest.accumulateAndGet(System.nanoTime() - from, Math::max);
                        Thread.sleep(1);
                    }
                } catch (IOException e) {
                    longest.set(Long.MAX_VALUE);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, "pings");
            thread.start();
        }

        double longest() {
            return longest.get() / 1e9;
        }

        @Override public void close() throws InterruptedException {
            over.set(true);
            thread.join(30_000);
        }
    }
}
