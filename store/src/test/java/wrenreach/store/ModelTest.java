package wrenreach.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares the store with a plain map over random steps and crashes; jqwik shrinks the steps where they differ. */
class ModelTest {
    private static final long LIMIT = 30_000;

    /** One step. CRASH: power is lost after some more operations of the disk, derived from the size; SYNC: everything is forced. */
    record Step(What what, int key, int size) {
        enum What { PUT, DELETE, BOTH, REOPEN, CRASH, SYNC }
    }

    @Provide Arbitrary<List<Step>> steps() {
        Arbitrary<Step> one = Combinators.combine(Arbitraries.of(Step.What.values()), Arbitraries.integers().between(0, 7),
                Arbitraries.integers().between(0, 900)).as(Step::new);
        return one.list().ofMinSize(1).ofMaxSize(150);
    }

    @Property(tries = 400, seed = "20261201") void contentIsOneOfTheStatesSinceTheLastForce(@ForAll("steps") List<Step> steps,
            @ForAll boolean sync) throws IOException {
        MemoryDisk disk = new MemoryDisk();
        Store store = Store.open(disk, LIMIT, sync, 3);
        Map<String, String> model = new TreeMap<>();
        // The states since the last point that is sure to be durable; a crash leaves one of them.
        List<Map<String, String>> states = new ArrayList<>(List.of(Map.of()));
        for (Step step : steps) {
            try {
                switch (step.what) {
                    case PUT, DELETE, BOTH -> {
                        Map<String, String> next = new TreeMap<>(model);
                        Batch batch = batch(step, next);
                        states.add(next);
                        store.write(batch);
                        model = next;
                        if (!sync) {
                            states = new ArrayList<>(List.of(model));
                        }
                    }
                    case SYNC -> {
                        Store.Sync all = store.sync();
                        all.force();
                        store.forced(all);
                        states = new ArrayList<>(List.of(model));
                    }
                    case REOPEN -> {
                        store = reopen(disk, sync);
                        states = new ArrayList<>(List.of(model));
                    }
                    default -> disk.powerLostAt = Math.min(disk.powerLostAt, disk.operations + 1 + step.size % 12);
                }
            } catch (Store.Full e) {
                // The batch was refused as a whole: nothing of it was written.
                states.remove(states.size() - 1);
            } catch (MemoryDisk.PowerLost e) {
                disk = disk.afterRestart(sync ? new java.util.SplittableRandom(step.size) : null);
                store = reopen(disk, sync);
                Map<String, String> found = content(store);
                assertThat(states).contains(found);
                model = found;
                states = new ArrayList<>(List.of(found));
            }
            assertThat(disk.usedBytes()).isLessThanOrEqualTo(LIMIT);
            assertThat(content(store)).isEqualTo(model);
        }
    }

    private static Store reopen(MemoryDisk disk, boolean sync) throws IOException {
        return Store.open(disk, LIMIT, sync, 3);
    }

    private static Batch batch(Step step, Map<String, String> next) {
        Batch batch = new Batch();
        if (step.what != Step.What.DELETE) {
            String value = "v".repeat(step.size) + next.size();
            batch.put("k" + step.key, value.getBytes(StandardCharsets.UTF_8));
            next.put("k" + step.key, value);
        }
        if (step.what != Step.What.PUT) {
            String other = "k" + (step.what == Step.What.BOTH ? step.key + 1 : step.key);
            batch.delete(other);
            next.remove(other);
        }
        return batch;
    }

    private static Map<String, String> content(Store store) throws IOException {
        Map<String, String> all = new TreeMap<>();
        store.forEach((key, value) -> all.put(key, new String(value, StandardCharsets.UTF_8)));
        return all;
    }
}
