package wrenreach.endpoints;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * The list of endpoints in packed form: rows in chunks of flat arrays, found by name and by destination. What a list tells
 * is staged entry by entry and takes effect at one stroke, whole or not at all: each row has a status that holds and one
 * that is to hold, and {@link #commit} swaps the two. A whole list costs room only for what differs from the one in force.
 *
 * <p>Costs some 56 bytes an endpoint and its name; bounded in bytes by what it is made with. Owned by one thread.
 */
public final class EndpointTable {
    /** No row. */
    public static final int NONE = -1;
    /** A row's status: it is free or not in the list, serves, drains. */
    public static final byte ABSENT = 0, SERVING = 1, DRAINING = 2;

    private static final int SHIFT = 10, CHUNK = 1 << SHIFT, MASK = CHUNK - 1;
    /** Parts of each index, so that one grows in a fraction of a millisecond; a power of two. */
    private static final int PARTS = 64;
    /** Bytes of a row beside its name: its columns, and its part of the buckets of both indices. */
    private static final int ROW_BYTES = 56;
    /** Zones and types that differ; more are a fault of the list. */
    private static final int WORDS = 4096;

    /** The list can't be held; the message names the figure. */
    public static final class TooLarge extends IOException {
        private static final long serialVersionUID = 1;

        TooLarge(String message) {
            super(message);
        }
    }

    /** So many rows, column by column, and their names, one behind the other. */
    private static final class Chunk {
        final int[] group = new int[CHUNK];
        final int[] nextByName = new int[CHUNK];
        final int[] nextByGroup = new int[CHUNK];
        final double[] weight = new double[CHUNK];
        final short[] zone = new short[CHUNK];
        final short[] type = new short[CHUNK];
        final byte[][] status = {new byte[CHUNK], new byte[CHUNK]};
        final boolean[] linked = new boolean[CHUNK];
        /** Packed, or the length of its text, negative, which follows the name. */
        final long[] address = new long[CHUNK];
        final int[] textAt = new int[CHUNK];
        final short[] nameLength = new short[CHUNK];
        byte[] text = new byte[0];
        private int used;
        private int erased;

        int textLength(int place) {
            return nameLength[place] + (int) Math.max(0, -1 - address[place]);
        }

        int write(byte[] name, byte[] behind) {
            int needed = name.length + behind.length;
            if (used + needed > text.length) {
                if (erased > used / 2) {
                    compact();
                }
                text = Arrays.copyOf(text, Math.max(used + needed, Math.min(used + used / 8 + 256, used + needed + 4096)));
            }
            System.arraycopy(name, 0, text, used, name.length);
            System.arraycopy(behind, 0, text, used + name.length, behind.length);
            used += needed;
            return used - needed;
        }

        void erase(int place) {
            erased += textLength(place);
            nameLength[place] = 0;
            address[place] = 0;
        }

        private void compact() {
            byte[] kept = new byte[used - erased];
            int at = 0;
            for (int place = 0; place < CHUNK; place++) {
                if (linked[place]) {
                    int length = textLength(place);
                    System.arraycopy(text, textAt[place], kept, at, length);
                    textAt[place] = at;
                    at += length;
                }
            }
            text = kept;
            used = at;
            erased = 0;
        }
    }

    private final List<Chunk> chunks = new ArrayList<>();
    private final Index byName = new Index() {
        @Override int key(Chunk chunk, int place) {
            return hash(chunk.text, chunk.textAt[place], chunk.nameLength[place]);
        }

        @Override int[] next(Chunk chunk) {
            return chunk.nextByName;
        }
    };
    private final Index byGroup = new Index() {
        @Override int key(Chunk chunk, int place) {
            return chunk.group[place];
        }

        @Override int[] next(Chunk chunk) {
            return chunk.nextByGroup;
        }
    };
    /** Zones and types as lists word them. */
    private final List<String> words = new ArrayList<>();
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Numbers free = new Numbers();
    private final long limit;
    private final String limitFrom;
    private int rows;
    private long textBytes;
    /** Which of the two statuses holds. */
    private int current;
    private int size;
    private int stagedSize;
    private long index = -1;
    /** Rows that the staged list names or takes out, in its order; a row may stand there twice. */
    private final Numbers touched = new Numbers();
    /** Rows whose address or weight the staged list changes, and to what. */
    private final Numbers amended = new Numbers();
    private long[] amendments = new long[0];
    private final BitSet named = new BitSet();
    private int settled;
    private int leftFrom;
    private long lists;

    /** limit: the most bytes that it may take; limitFrom: where that figure comes from, for whoever has to raise it. */
    public EndpointTable(long limit, String limitFrom) {
        this.limit = limit;
        this.limitFrom = limitFrom;
    }

    /** Endpoints in force. */
    public int size() {
        return size;
    }

    /** The version in force; -1: none has been taken. */
    public long index() {
        return index;
    }

    /** Bytes that its rows take, worked out: those in force and those staged. */
    public long bytes() {
        return (long) (rows - free.size()) * ROW_BYTES + textBytes;
    }

    // ---- Staging ----

    /** Takes a line at once, whole or not at all. */
    public void take(ListLine line) throws IOException {
        ListSink sink = sink();
        sink.begin();
        for (ListLine.Entry entry : line.entries()) {
            sink.entry(entry);
        }
        sink.end(line.index(), line.whole());
    }

    /** All that is in force, as one line. */
    public ListLine whole() {
        List<ListLine.Entry> entries = new ArrayList<>(size);
        for (int row = 0; row < rows; row++) {
            if (status(row) != ABSENT) {
                entries.add(entry(row));
            }
        }
        return new ListLine(Math.max(0, index), true, entries);
    }

    /** What the last list named or took out, as one line. */
    public ListLine changes() {
        List<ListLine.Entry> entries = new ArrayList<>(touched.size());
        for (int i = 0; i < touched.size(); i++) {
            entries.add(entry(touched.get(i)));
        }
        return new ListLine(index, false, entries);
    }

    /** Another one with nothing in it, of the same bound. */
    public EndpointTable empty() {
        return new EndpointTable(limit, limitFrom);
    }

    /** Stages one list as it is read, and puts it in force at its end. */
    public ListSink sink() {
        return sink(entry -> { });
    }

    /** The same; changes: hears of each entry that differs from what is in force. */
    public ListSink sink(Consumer<ListLine.Entry> changes) {
        return new ListSink() {
            private long mine;

            @Override public void begin() {
                EndpointTable.this.begin();
                mine = lists;
            }

            @Override public void entry(ListLine.Entry entry) throws IOException {
                check();
                if (put(entry)) {
                    changes.accept(entry);
                }
            }

            @Override public void end(long version, boolean whole) throws IOException {
                check();
                commit(version, whole);
            }

            /** Guards against a mixture of two lists that come at the same time. */
            private void check() throws IOException {
                if (mine != lists) {
                    throw new IOException("another list began before it had ended");
                }
            }
        };
    }

    /** Begins a list; what was staged and not put in force is given up. */
    public void begin() {
        lists++;
        settle(Integer.MAX_VALUE);
        touched.clear();
        amended.clear();
        amendments = new long[0];
        named.clear();
        settled = 0;
        stagedSize = size;
    }

    /** Stages an entry of the list that was begun; false: it is in force as it is. */
    public boolean put(ListLine.Entry entry) throws TooLarge {
        if (touched.size() > 2 * (limit / ROW_BYTES)) {
            throw tooLarge("a list that names and takes out more than " + touched.size() + " endpoints");
        }
        byte[] name = entry.name().getBytes(StandardCharsets.UTF_8);
        int next = 1 - current;
        int row = find(name, next);
        byte status = entry.status().equals("DELETED") ? ABSENT : entry.status().equals("DRAINING") ? DRAINING : SERVING;
        long address = pack(entry.address());
        if (row != NONE && (status == ABSENT || !remains(row, entry, address))) {
            set(row, next, ABSENT);
            stagedSize--;
            touched.add(row);
            row = NONE;
        }
        boolean changes = true;
        if (status == ABSENT) {
            return changes;
        }
        if (row == NONE) {
            row = add(name, entry, address);
            stagedSize++;
        } else {
            boolean amends = amend(row, address, entry.weight());
            changes = amends || at(row).status[next][row & MASK] != status || named.get(row);
        }
        set(row, next, status);
        named.set(row);
        touched.add(row);
        return changes;
    }

    /** Puts the staged list in force: all at once. whole: what it does not name is out of the list. */
    public void commit(long version, boolean whole) {
        int next = 1 - current;
        leftFrom = touched.size();
        for (int row = named.nextClearBit(0); whole && row < rows; row = named.nextClearBit(row + 1)) {
            if (at(row).status[next][row & MASK] != ABSENT) {
                set(row, next, ABSENT);
                stagedSize--;
                touched.add(row);
            }
        }
        for (int i = 0; i < amended.size(); i++) {
            Chunk chunk = at(amended.get(i));
            chunk.address[amended.get(i) & MASK] = amendments[2 * i];
            chunk.weight[amended.get(i) & MASK] = Double.longBitsToDouble(amendments[2 * i + 1]);
        }
        amended.clear();
        current = next;
        size = stagedSize;
        index = version;
    }

    /** How many rows the last list named or took out; they can be read until they are settled. */
    public int touched() {
        return touched.size();
    }

    /** One of them, in the list's order. */
    public int touched(int i) {
        return touched.get(i);
    }

    /** From where on they are those that the last list, a whole one, took out by not naming them. */
    public int leftFrom() {
        return leftFrom;
    }

    /**
     * Gives room back that the last list has left, or one that was given up: so many rows at most. True: all is done.
     * {@link #begin} does what is left.
     */
    public boolean settle(int most) {
        int until = (int) Math.min(touched.size(), (long) settled + most);
        for (; settled < until; settled++) {
            int row = touched.get(settled);
            Chunk chunk = at(row);
            int place = row & MASK;
            if (chunk.linked[place] && chunk.status[current][place] == ABSENT) {
                release(row);
            }
            chunk.status[1 - current][place] = chunk.status[current][place];
        }
        return settled == touched.size();
    }

    // ---- Reading what is in force ----

    /** The row in force of this name, or NONE. */
    public int find(String name) {
        return find(name.getBytes(StandardCharsets.UTF_8), current);
    }

    /** The rows in force of a destination, by their numbers. */
    public int[] rowsOf(int group) {
        return rowsOf(group, row -> status(row) != ABSENT);
    }

    /** The rows of a destination that the last list named or took out, by their numbers; until they are settled. */
    public int[] touchedOf(int group) {
        return rowsOf(group, row -> status(row) == ABSENT ? at(row).status[1 - current][row & MASK] != ABSENT : named.get(row));
    }

    private int[] rowsOf(int group, IntPredicate which) {
        Numbers found = new Numbers();
        for (int row = byGroup.first(group); row != NONE; row = at(row).nextByGroup[row & MASK]) {
            if (at(row).group[row & MASK] == group && which.test(row)) {
                found.add(row);
            }
        }
        int[] sorted = Arrays.copyOf(found.numbers, found.count);
        Arrays.sort(sorted);
        return sorted;
    }

    /** Rows are numbered from 0 to below this; some of them are free. */
    public int rows() {
        return rows;
    }

    /** What holds for the row: ABSENT, SERVING, DRAINING. */
    public byte status(int row) {
        return at(row).status[current][row & MASK];
    }

    public int group(int row) {
        return at(row).group[row & MASK];
    }

    public String name(int row) {
        Chunk chunk = at(row);
        int place = row & MASK;
        return new String(chunk.text, chunk.textAt[place], chunk.nameLength[place], StandardCharsets.UTF_8);
    }

    /** The row as discovery words it; out of the list: DELETED. */
    public ListLine.Entry entry(int row) {
        Chunk chunk = at(row);
        int place = row & MASK;
        String status = switch (status(row)) {
            case SERVING -> "SERVING";
            case DRAINING -> "DRAINING";
            default -> "DELETED";
        };
        return new ListLine.Entry(name(row), address(row), words.get(chunk.zone[place]), words.get(chunk.type[place]),
                chunk.group[place], status, chunk.weight[place]);
    }

    // ---- Rows ----

    private Chunk at(int row) {
        return chunks.get(row >> SHIFT);
    }

    private void set(int row, int view, byte status) {
        at(row).status[view][row & MASK] = status;
    }

    /** Whether the row can stand for the entry: all but status, packed address and weight is as it was. */
    private boolean remains(int row, ListLine.Entry entry, long address) {
        Chunk chunk = at(row);
        int place = row & MASK;
        return chunk.group[place] == entry.group() && words.get(chunk.zone[place]).equals(entry.zone())
                && words.get(chunk.type[place]).equals(entry.type())
                && (address >= 0 && chunk.address[place] >= 0 || address(row).equals(entry.address()));
    }

    private boolean amend(int row, long address, double weight) {
        Chunk chunk = at(row);
        int place = row & MASK;
        long packed = chunk.address[place] >= 0 ? address : chunk.address[place];
        boolean differs = chunk.address[place] != packed || chunk.weight[place] != weight;
        // Named before by this list: what it said then no longer counts.
        if (differs || named.get(row) && amended.size() > 0) {
            if (2 * amended.size() == amendments.length) {
                amendments = Arrays.copyOf(amendments, Math.max(16, 3 * amendments.length));
            }
            amendments[2 * amended.size()] = packed;
            amendments[2 * amended.size() + 1] = Double.doubleToRawLongBits(weight);
            amended.add(row);
        }
        return differs;
    }

    private String address(int row) {
        Chunk chunk = at(row);
        int place = row & MASK;
        long packed = chunk.address[place];
        return packed >= 0 ? unpack(packed)
                : new String(chunk.text, chunk.textAt[place] + chunk.nameLength[place], (int) (-packed - 1), StandardCharsets.UTF_8);
    }

    private int find(byte[] name, int view) {
        for (int row = byName.first(hash(name, 0, name.length)); row != NONE; row = at(row).nextByName[row & MASK]) {
            Chunk chunk = at(row);
            int place = row & MASK;
            int from = chunk.textAt[place];
            if (chunk.status[view][place] != ABSENT
                    && Arrays.equals(chunk.text, from, from + chunk.nameLength[place], name, 0, name.length)) {
                return row;
            }
        }
        return NONE;
    }

    private int add(byte[] name, ListLine.Entry entry, long packed) throws TooLarge {
        byte[] address = packed >= 0 ? new byte[0] : entry.address().getBytes(StandardCharsets.UTF_8);
        if (name.length > Short.MAX_VALUE) {
            throw new TooLarge("an endpoint's name of " + name.length + " bytes");
        }
        if (bytes() + ROW_BYTES + name.length + address.length > limit) {
            throw tooLarge("a list of more than " + stagedSize + " endpoints");
        }
        short zone = number(entry.zone()), type = number(entry.type());
        int row = free.size() == 0 ? rows++ : free.removeLast();
        if (row >> SHIFT == chunks.size()) {
            chunks.add(new Chunk());
        }
        Chunk chunk = at(row);
        int place = row & MASK;
        chunk.textAt[place] = chunk.write(name, address);
        chunk.nameLength[place] = (short) name.length;
        chunk.address[place] = packed >= 0 ? packed : -1 - address.length;
        textBytes += name.length + address.length;
        chunk.group[place] = entry.group();
        chunk.weight[place] = entry.weight();
        chunk.zone[place] = zone;
        chunk.type[place] = type;
        chunk.linked[place] = true;
        byName.link(row);
        byGroup.link(row);
        return row;
    }

    private void release(int row) {
        Chunk chunk = at(row);
        int place = row & MASK;
        int length = chunk.textLength(place);
        byName.unlink(row);
        byGroup.unlink(row);
        chunk.linked[place] = false;
        chunk.erase(place);
        textBytes -= length;
        free.add(row);
    }

    private TooLarge tooLarge(String what) {
        return new TooLarge(what + " needs more than the " + limit + " bytes that a list may take here (" + limitFrom + ")");
    }

    private short number(String word) throws TooLarge {
        Integer known = numbers.get(word);
        if (known == null) {
            if (words.size() >= WORDS) {
                throw new TooLarge("a list of more than " + WORDS + " different zones and types");
            }
            known = words.size();
            words.add(word);
            numbers.put(word, known);
        }
        return known.shortValue();
    }

    // ---- Indices ----

    private static int hash(byte[] text, int from, int length) {
        int hash = 0;
        for (int i = from; i < from + length; i++) {
            hash = 31 * hash + text[i];
        }
        return hash;
    }

    /**
     * Rows by a key of theirs: buckets that hold a first row, and from there chains through the rows. Chains that stand in
     * the rows anyway make it half as large as a map of keys to rows.
     */
    private abstract class Index {
        private final int[][] first = new int[PARTS][];
        private final int[] linked = new int[PARTS];

        abstract int key(Chunk chunk, int place);

        abstract int[] next(Chunk chunk);

        /** The first row of the key's bucket; others may stand there too. */
        final int first(int key) {
            int hash = mixed(key);
            int[] buckets = first[hash & PARTS - 1];
            return buckets == null ? NONE : buckets[hash >>> 6 & buckets.length - 1];
        }

        final void link(int row) {
            int hash = hashOf(row);
            int part = hash & PARTS - 1;
            if (first[part] == null || linked[part] == first[part].length) {
                grow(part);
            }
            linked[part]++;
            put(first[part], row);
        }

        final void unlink(int row) {
            int hash = hashOf(row);
            int[] buckets = first[hash & PARTS - 1];
            int bucket = hash >>> 6 & buckets.length - 1;
            int after = next(at(row))[row & MASK];
            linked[hash & PARTS - 1]--;
            if (buckets[bucket] == row) {
                buckets[bucket] = after;
                return;
            }
            int before = buckets[bucket];
            while (next(at(before))[before & MASK] != row) {
                before = next(at(before))[before & MASK];
            }
            next(at(before))[before & MASK] = after;
        }

        private int hashOf(int row) {
            return mixed(key(at(row), row & MASK));
        }

        private int mixed(int key) {
            int hash = key * 0x9E3779B9;
            return hash ^ hash >>> 15;
        }

        private void put(int[] buckets, int row) {
            int bucket = hashOf(row) >>> 6 & buckets.length - 1;
            next(at(row))[row & MASK] = buckets[bucket];
            buckets[bucket] = row;
        }

        private void grow(int part) {
            int[] before = first[part];
            int[] buckets = new int[before == null ? 8 : 2 * before.length];
            Arrays.fill(buckets, NONE);
            for (int i = 0; before != null && i < before.length; i++) {
                for (int row = before[i]; row != NONE;) {
                    int after = next(at(row))[row & MASK];
                    put(buckets, row);
                    row = after;
                }
            }
            first[part] = buckets;
        }
    }

    /** Numbers in a row. */
    private static final class Numbers {
        int[] numbers = new int[0];
        int count;

        int size() {
            return count;
        }

        int get(int i) {
            return numbers[i];
        }

        void add(int number) {
            if (count == numbers.length) {
                numbers = Arrays.copyOf(numbers, Math.max(16, count + count / 2));
            }
            numbers[count++] = number;
        }

        int removeLast() {
            return numbers[--count];
        }

        /** Room for many is given back. */
        void clear() {
            count = 0;
            numbers = numbers.length > CHUNK ? new int[0] : numbers;
        }
    }

    // ---- Addresses: four numbers below 256 and a port, written as usual, take no text ----

    private static long pack(String address) {
        long packed = 0;
        int number = -1;
        int dots = 0;
        boolean port = false;
        for (int i = 0; i < address.length(); i++) {
            char c = address.charAt(i);
            if (c >= '0' && c <= '9' && number != 0 && number < 10_000) {
                number = Math.max(0, number) * 10 + c - '0';
            } else if ((c == '.' && dots < 3 || c == ':' && dots == 3) && !port && number >= 0 && number < 256) {
                packed = packed << 8 | number;
                number = -1;
                port = c == ':';
                dots += port ? 0 : 1;
            } else {
                return -1;
            }
        }
        return port && number >= 0 && number < 65_536 ? packed << 16 | number : -1;
    }

    private static String unpack(long packed) {
        return (packed >> 40 & 255) + "." + (packed >> 32 & 255) + "." + (packed >> 24 & 255) + "." + (packed >> 16 & 255)
                + ":" + (packed & 65_535);
    }
}
