package wrenreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import wrenreach.store.Batch;
import wrenreach.store.FolderDisk;
import wrenreach.store.Store;

/** Throughput of a store of 8 MB that cleans all the time: writes of one batch, and reads of one value. */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class StoreAppend {
    /** Distinct keys in the store. */
    private static final int KEYS = 4000;

    /** Records in a batch. */
    @Param({"1", "10", "100"})
    public int records;

    private final byte[] value = new byte[200];
    private Path folder;
    private Store store;
    private int next;

    /** Creates a store that holds 4,000 records. */
    @Setup(Level.Iteration)
    public void open() throws IOException {
        folder = Files.createTempDirectory("wrenreach-bench-");
        store = Store.open(new FolderDisk(folder), 8_000_000, false, 1);
        for (int i = 0; i < KEYS; i++) {
            store.write(new Batch().put("k" + i, value));
        }
    }

    /** Deletes the store. */
    @TearDown(Level.Iteration)
    public void close() throws IOException {
        store.close();
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Batches per second; each record replaces an older one. */
    @Benchmark
    public long write() throws IOException {
        Batch batch = new Batch();
        for (int i = 0; i < records; i++) {
            batch.put("k" + next++ % KEYS, value);
        }
        return store.write(batch);
    }

    /** Reads per second. */
    @Benchmark
    public byte[] read() throws IOException {
        return store.get("k" + next++ % KEYS);
    }
}
