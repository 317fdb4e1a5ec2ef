package wrenreach.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** An in-memory disk that can be full, fail, or lose power at any operation; of what was not forced any part may be lost then. */
final class MemoryDisk implements Disk {
    /** Power was lost. */
    static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private record UnforcedOperation(int operation, Runnable undo) { }

    final TreeMap<String, byte[]> files;
    private final List<UnforcedOperation> unforced = new ArrayList<>();
    /** Bytes that fit on the disk. */
    long capacity = Long.MAX_VALUE;
    /** The operation at which power is lost; counted from 1. */
    int powerLostAt = Integer.MAX_VALUE;
    /** The operation that fails with an IOException; counted from 1. */
    int failingOperation = Integer.MAX_VALUE;
    /** Whether each write writes only a part of the bytes. */
    boolean shortWrites;
    int operations;
    private boolean powerLost;

    MemoryDisk() {
        this(new TreeMap<>());
    }

    MemoryDisk(TreeMap<String, byte[]> files) {
        this.files = files;
    }

    long usedBytes() {
        return files.values().stream().mapToLong(bytes -> (bytes.length + 511L) / 512 * 512).sum();
    }

    /** The disk that the next process finds: with random, a part of what was not forced is lost; with null, nothing is. */
    MemoryDisk afterRestart(RandomGenerator random) {
        if (random != null) {
            for (int i = unforced.size() - 1; i >= 0; i--) {
                if (random.nextBoolean()) {
                    unforced.get(i).undo.run();
                }
            }
        }
        TreeMap<String, byte[]> copy = new TreeMap<>();
        files.forEach((name, bytes) -> copy.put(name, bytes.clone()));
        return new MemoryDisk(copy);
    }

    private void countOperation() throws IOException {
        operations++;
        if (powerLost || operations >= powerLostAt) {
            powerLost = true;
            throw new PowerLost();
        }
        if (operations == failingOperation) {
            throw new IOException("the disk fails");
        }
    }

    @Override public void lock() { }

    @Override public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override public Handle open(String name, boolean create) throws IOException {
        if (create) {
            countOperation();
            if (files.putIfAbsent(name, new byte[0]) != null) {
                throw new IOException(name + " is there");
            }
            unforced.add(new UnforcedOperation(operations, () -> files.remove(name)));
        }
        return handle(name);
    }

    @Override public Handle openReadOnly(String name) {
        return handle(name);
    }

    private Handle handle(String name) {
        return new Handle() {
            @Override public long size() {
                return files.get(name).length;
            }

            @Override public int read(long at, ByteBuffer to) {
                byte[] bytes = files.get(name);
                int length = (int) Math.max(0, Math.min(to.remaining(), bytes.length - at));
                to.put(bytes, (int) at, length);
                return length;
            }

            @Override public int write(long at, ByteBuffer from) throws IOException {
                int length = shortWrites ? (from.remaining() + 1) / 2 : from.remaining();
                try {
                    countOperation();
                } catch (PowerLost e) {
                    // The last write is torn: only half of it is on the disk.
                    put(at, from, length / 2);
                    throw e;
                }
                byte[] before = files.get(name);
                long more = (at + length + 511) / 512 * 512 - (before.length + 511) / 512 * 512;
                if (usedBytes() + Math.max(0, more) > capacity) {
                    throw new IOException("no space left");
                }
                put(at, from, length);
                return length;
            }

            private void put(long at, ByteBuffer from, int length) {
                byte[] before = files.get(name);
                byte[] bytes = Arrays.copyOf(before, (int) Math.max(before.length, at + length));
                from.get(bytes, (int) at, length);
                files.put(name, bytes);
                unforced.add(new UnforcedOperation(operations, () -> files.computeIfPresent(name, (n, now) -> {
                    // Bytes that were written later behind it stay; the lost ones read as zeros.
                    byte[] without = now.length == at + length ? Arrays.copyOf(now, (int) at) : now.clone();
                    Arrays.fill(without, (int) Math.min(at, without.length), (int) Math.min(at + length, without.length), (byte) 0);
                    return without;
                })));
            }

            @Override public void truncate(long size) throws IOException {
                countOperation();
                files.put(name, Arrays.copyOf(files.get(name), (int) size));
            }

            @Override public void force() throws IOException {
                countOperation();
                unforced.clear();
            }

            @Override public void close() { }
        };
    }

    @Override public void delete(String name) throws IOException {
        countOperation();
        byte[] before = files.remove(name);
        unforced.add(new UnforcedOperation(operations, () -> files.put(name, before)));
    }

    @Override public void forceDirectory() throws IOException {
        countOperation();
        unforced.clear();
    }

    @Override public void close() { }
}
