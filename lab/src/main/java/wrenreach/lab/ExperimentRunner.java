package wrenreach.lab;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;

/** Plays every day of an experiment in virtual time, several in parallel; the results don't depend on how many. */
final class ExperimentRunner {
    /**
     * The result of one day at one value of the sweep. unmetConditions: the faults whose trigger was never met; fingerprint: a hash of
     * the day's facts; tookNanos: real time; emulatedNanos: time in the played world.
     */
    record DayResult(int value, String dispatcher, long seed, DeliveryMetrics metrics, Rules.Verdict verdict, List<String> unmetConditions, String fingerprint,
                 long tookNanos, long emulatedNanos) {
        List<Rules.Violation> violations() {
            return verdict.violations();
        }
    }

    private ExperimentRunner() { }

    /** The results in the order of values, dispatchers, seeds; done gets the number of results collected so far. */
    static List<DayResult> play(Experiment experiment, int jobs, IntConsumer done) throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<DayResult>> pending = new ArrayList<>();
            for (int value : experiment.sweep().values()) {
                for (String dispatcher : experiment.about().dispatchers()) {
                    for (int n = 0; n < experiment.about().seeds(); n++) {
                        Scenario day = experiment.scenarioAt(value, n);
                        pending.add(pool.submit(() -> play(day, experiment.setup(), value, dispatcher)));
                    }
                }
            }
            List<DayResult> all = new ArrayList<>();
            for (Future<DayResult> one : pending) {
                all.add(one.get());
                done.accept(all.size());
            }
            return all;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private static DayResult play(Scenario day, Experiment.Setup setup, int value, String dispatcher) {
        long begin = System.nanoTime();
        ScenarioRun play = ScenarioRun.of(day, Baseline.byName().get(dispatcher), setup, world -> { });
        long took = System.nanoTime() - begin;
        Rules.Verdict verdict = Rules.verdict(day, play.world.facts, play.settings, play.world.now());
        return new DayResult(value, dispatcher, day.seed(), DeliveryMetrics.of(play.world.facts, play.settings, verdict.violations().size()), verdict,
                play.world.facts.stream().filter(fact -> fact instanceof Fact.NeverCame).map(Fact::timelineLine).toList(),
                play.world.factsHash(), took, play.world.now());
    }

    /** A hash over the fingerprints of all days, in their order. */
    static String fingerprint(List<DayResult> all) {
        try {
            MessageDigest hash = MessageDigest.getInstance("SHA-256");
            all.forEach(trial -> hash.update((trial.fingerprint + "\n").getBytes(StandardCharsets.US_ASCII)));
            return HexFormat.of().formatHex(hash.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** The metrics of the days of each value and dispatcher, merged; in the order of the results. */
    static Map<Integer, Map<String, DeliveryMetrics>> mergeDays(List<DayResult> all) {
        Map<Integer, Map<String, List<DeliveryMetrics>>> days = new LinkedHashMap<>();
        all.forEach(trial -> days.computeIfAbsent(trial.value, v -> new LinkedHashMap<>())
                .computeIfAbsent(trial.dispatcher, d -> new ArrayList<>()).add(trial.metrics));
        Map<Integer, Map<String, DeliveryMetrics>> merged = new LinkedHashMap<>();
        days.forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, figures) -> merged
                .computeIfAbsent(value, v -> new LinkedHashMap<>()).put(dispatcher, DeliveryMetrics.merge(figures))));
        return merged;
    }
}
