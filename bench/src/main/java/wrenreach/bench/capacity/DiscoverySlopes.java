package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Measures how long a change takes from discovery until it is in force at the last of several delivery nodes, which all watch one
 * discovery stub: a single change, and a burst of changes. The nodes are real processes, as many as one machine can start.
 */
final class DiscoverySlopes {
    /** How long a node may take to serve, in seconds. */
    private static final int START_TIMEOUT_S = 60;
    /** Destinations that discovery lists at the start. */
    private static final int LISTED_DESTINATIONS = 1000;
    /** Rounds of which the median is taken; odd. */
    private static final int ROUNDS = 9;

    private DiscoverySlopes() { }

    static void measure(SizeFile size, String build, Path checkout, Path folder, int nodes, Consumer<Measurement> taker)
            throws IOException, InterruptedException {
        List<NodeProcess> all = new ArrayList<>();
        try (DiscoveryStub agent = new DiscoveryStub()) {
            agent.wholeList(SampleConfig.line(1, 1, LISTED_DESTINATIONS + 1, true));
            for (int i = 0; i < nodes; i++) {
                Path own = Files.createDirectories(folder.resolve("discovery-" + nodes + "-" + i));
                Path config = SampleConfig.write(own.resolve("config.json"), size, LISTED_DESTINATIONS, SampleConfig::unreachable, agent.port());
                all.add(new NodeProcess(checkout, config, own.resolve("state"), own.resolve("log")));
            }
            for (NodeProcess node : all) {
                if (Double.isNaN(node.serves(START_TIMEOUT_S))) {
                    taker.accept(new Measurement(build, "nodes.change", nodes, Double.NaN, "ms", "a node does not serve"));
                    return;
                }
            }
            for (int i = 0; i < 500 && agent.watchCount() < nodes; i++) {
                Thread.sleep(10);
            }
            int burst = size.count("burst");
            int[] next = {LISTED_DESTINATIONS + 1};
            double[] single = measureRounds(agent, all, 1, next);
            double[] bursts = measureRounds(agent, all, burst, next);
            taker.accept(new Measurement(build, "nodes.change", nodes, single[ROUNDS / 2], "ms", spread(single)));
            taker.accept(new Measurement(build, "nodes.burst", nodes, bursts[ROUNDS / 2], "ms", spread(bursts) + ", " + burst + " changes"));
        } finally {
            for (NodeProcess node : all) {
                node.close();
            }
        }
    }

    /** Milliseconds until the last of the changes is in force at the last node, for each round in ascending order; NaN: not in time. */
    private static double[] measureRounds(DiscoveryStub agent, List<NodeProcess> nodes, int changes, int[] next) throws IOException, InterruptedException {
        double[] took = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(100);
            long from = System.nanoTime();
            for (int i = 0; i < changes; i++, next[0]++) {
                agent.send(SampleConfig.line(next[0], next[0], next[0] + 1, false));
            }
            for (NodeProcess node : nodes) {
                took[round] = Math.max(took[round], 1000 * ListSlopes.inForce(node, next[0] - 1, from, "d" + round));
            }
        }
        Arrays.sort(took);
        return took;
    }

    private static String spread(double[] sorted) {
        return String.format(Locale.ROOT, "median of %d; %.1f to %.1f", sorted.length, sorted[0], sorted[sorted.length - 1]);
    }
}
