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
 * How long a change takes from discovery to in force at the last of several delivery nodes that watch one stand-in: one change
 * by itself, and a burst of them. Real processes, as many as one machine starts.
 */
final class DiscoverySlopes {
    private static final int START_TIMEOUT_S = 60, LISTED_DESTINATIONS = 1000, ROUNDS = 9;

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
            double[] one = measureRounds(agent, all, 1, next);
            double[] many = measureRounds(agent, all, burst, next);
            taker.accept(new Measurement(build, "nodes.change", nodes, one[ROUNDS / 2], "ms", spread(one)));
            taker.accept(new Measurement(build, "nodes.burst", nodes, many[ROUNDS / 2], "ms", spread(many) + ", " + burst + " changes"));
        } finally {
            for (NodeProcess node : all) {
                node.close();
            }
        }
    }

    /** Milliseconds until the last of so many changes holds at the last node, in order; NaN: never. */
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
