package wrenreach.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** A disk under a test's control: it fills up, fails, and loses power at any operation, with what was not forced in any order. */
final class MemoryDisk implements Disk {
    /** Power was lost. */
    static final class Lost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private record Undone(int operation, Runnable undo) { }

    final TreeMap<String, byte[]> files;
    private final List<Undone> unforced = new ArrayList<>();
    long room = Long.MAX_VALUE;
    /** The operation at which power is lost, or which fails; counted from one. */
    int lostAt = Integer.MAX_VALUE;
    int failsAt = Integer.MAX_VALUE;
    /** Whether each write tells that it wrote less than all. */
    boolean shortWrites;
    int operations;
    private boolean lost;

    MemoryDisk() {
        this(new TreeMap<>());
    }

    MemoryDisk(TreeMap<String, byte[]> files) {
        this.files = files;
    }

    long used() {
        return files.values().stream().mapToLong(bytes -> (bytes.length + 511L) / 512 * 512).sum();
    }

    /** What the next process finds: all that was done, or with what was not forced lost in part. */
    MemoryDisk after(RandomGenerator random) {
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

    private void operation() throws IOException {
        operations++;
        if (lost || operations >= lostAt) {
            lost = true;
            throw new Lost();
        }
        if (operations == failsAt) {
            throw new IOException("the disk fails");
        }
    }

    @Override public void lock() { }

    @Override public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override public Handle open(String name, boolean create) throws IOException {
        if (create) {
            operation();
            if (files.putIfAbsent(name, new byte[0]) != null) {
                throw new IOException(name + " is there");
            }
            unforced.add(new Undone(operations, () -> files.remove(name)));
        }
        return handle(name);
    }

    @Override public Handle read(String name) {
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
                    operation();
                } catch (Lost e) {
                    // The last write is torn: half of it is there.
                    put(at, from, length / 2);
                    throw e;
                }
                byte[] before = files.get(name);
                long more = (at + length + 511) / 512 * 512 - (before.length + 511) / 512 * 512;
                if (used() + Math.max(0, more) > room) {
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
                unforced.add(new Undone(operations, () -> files.computeIfPresent(name, (n, now) -> {
                    // What was written later behind it stays, over zeros.
                    byte[] without = now.length == at + length ? Arrays.copyOf(now, (int) at) : now.clone();
                    Arrays.fill(without, (int) Math.min(at, without.length), (int) Math.min(at + length, without.length), (byte) 0);
                    return without;
                })));
            }

            @Override public void truncate(long size) throws IOException {
                operation();
                files.put(name, Arrays.copyOf(files.get(name), (int) size));
            }

            @Override public void force() throws IOException {
                operation();
                unforced.clear();
            }

            @Override public void close() { }
        };
    }

    @Override public void delete(String name) throws IOException {
        operation();
        byte[] before = files.remove(name);
        unforced.add(new Undone(operations, () -> files.put(name, before)));
    }

    @Override public void forceDirectory() throws IOException {
        operation();
        unforced.clear();
    }

    @Override public void close() { }
}
