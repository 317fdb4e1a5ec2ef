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

    private static final int CHUNK_SHIFT = 10, CHUNK_ROWS = 1 << CHUNK_SHIFT, CHUNK_MASK = CHUNK_ROWS - 1;
    /** Parts of each index, so that one grows in a fraction of a millisecond; a power of two. */
    private static final int INDEX_PARTS = 64;
    /** Bytes of a row beside its name: its columns, and its part of the buckets of both indices. */
    private static final int ROW_BYTES = 56;
    /** Zones and types that differ; more are a fault of the list. */
    private static final int MAX_ZONES_AND_TYPES = 4096;

    /** The list can't be held; the message names the figure. */
    public static final class TooLarge extends IOException {
        private static final long serialVersionUID = 1;

        TooLarge(String message) {
            super(message);
        }
    }

    /** So many rows, column by column, and their names, one behind the other. */
    private static final class Chunk {
        final int[] group = new int[CHUNK_ROWS];
        final int[] nextByName = new int[CHUNK_ROWS];
        final int[] nextByGroup = new int[CHUNK_ROWS];
        final double[] weight = new double[CHUNK_ROWS];
        final short[] zone = new short[CHUNK_ROWS];
        final short[] type = new short[CHUNK_ROWS];
        final byte[][] status = {new byte[CHUNK_ROWS], new byte[CHUNK_ROWS]};
        final boolean[] linked = new boolean[CHUNK_ROWS];
        /** Packed, or the length of its text, negative, which follows the name. */
        final long[] address = new long[CHUNK_ROWS];
        final int[] textOffset = new int[CHUNK_ROWS];
        final short[] nameLength = new short[CHUNK_ROWS];
        byte[] text = new byte[0];
        private int usedBytes;
        private int erasedBytes;

        int textLength(int place) {
            return nameLength[place] + (int) Math.max(0, -1 - address[place]);
        }

        int appendText(byte[] name, byte[] behind) {
            int needed = name.length + behind.length;
            if (usedBytes + needed > text.length) {
                if (erasedBytes > usedBytes / 2) {
                    compact();
                }
                text = Arrays.copyOf(text, Math.max(usedBytes + needed, Math.min(usedBytes + usedBytes / 8 + 256, usedBytes + needed + 4096)));
            }
            System.arraycopy(name, 0, text, usedBytes, name.length);
            System.arraycopy(behind, 0, text, usedBytes + name.length, behind.length);
            usedBytes += needed;
            return usedBytes - needed;
        }

        void eraseText(int place) {
            erasedBytes += textLength(place);
            nameLength[place] = 0;
            address[place] = 0;
        }

        private void compact() {
            byte[] kept = new byte[usedBytes - erasedBytes];
            int at = 0;
            for (int place = 0; place < CHUNK_ROWS; place++) {
                if (linked[place]) {
                    int length = textLength(place);
                    System.arraycopy(text, textOffset[place], kept, at, length);
                    textOffset[place] = at;
                    at += length;
                }
            }
            text = kept;
            usedBytes = at;
            erasedBytes = 0;
        }
    }

    private final List<Chunk> chunks = new ArrayList<>();
    private final RowIndex byName = new RowIndex() {
        @Override int key(Chunk chunk, int place) {
            return hash(chunk.text, chunk.textOffset[place], chunk.nameLength[place]);
        }

        @Override int[] next(Chunk chunk) {
            return chunk.nextByName;
        }
    };
    private final RowIndex byGroup = new RowIndex() {
        @Override int key(Chunk chunk, int place) {
            return chunk.group[place];
        }

        @Override int[] next(Chunk chunk) {
            return chunk.nextByGroup;
        }
    };
    /** Zones and types as lists word them. */
    private final List<String> zonesAndTypes = new ArrayList<>();
    private final Map<String, Integer> zoneAndTypeNumbers = new HashMap<>();
    private final IntList freeRows = new IntList();
    private final long maxBytes;
    private final String limitSource;
    private int rows;
    private long textBytes;
    /** Which of the two statuses holds. */
    private int currentView;
    private int size;
    private int stagedSize;
    private long index = -1;
    /** Rows that the staged list names or takes out, in its order; a row may stand there twice. */
    private final IntList changedRows = new IntList();
    /** Rows whose address or weight the staged list changes, and to what. */
    private final IntList amendedRows = new IntList();
    private long[] amendments = new long[0];
    private final BitSet namedRows = new BitSet();
    private int reclaimedCount;
    private boolean staging;
    private int implicitRemovalsFrom;
    private long listsBegun;

    /** limit: the most bytes that it may take; limitFrom: where that figure comes from, for whoever has to raise it. */
    public EndpointTable(long limit, String limitFrom) {
        this.maxBytes = limit;
        this.limitSource = limitFrom;
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
        return (long) (rows - freeRows.size()) * ROW_BYTES + textBytes;
    }

    // ---- Staging ----

    /** Takes a line at once, whole or not at all. */
    public void apply(ListUpdate line) throws IOException {
        ListSink sink = sink();
        sink.begin();
        for (ListUpdate.Entry entry : line.entries()) {
            sink.entry(entry);
        }
        sink.end(line.index(), line.whole());
    }

    /** All that is in force, as one line. */
    public ListUpdate snapshot() {
        List<ListUpdate.Entry> entries = new ArrayList<>(size);
        for (int row = 0; row < rows; row++) {
            if (status(row) != ABSENT) {
                entries.add(entry(row));
            }
        }
        return new ListUpdate(Math.max(0, index), true, entries);
    }

    /** What the last list named or took out, as one line. */
    public ListUpdate delta() {
        List<ListUpdate.Entry> entries = new ArrayList<>(changedRows.size());
        for (int i = 0; i < changedRows.size(); i++) {
            entries.add(entry(changedRows.get(i)));
        }
        return new ListUpdate(index, false, entries);
    }

    /** Another one with nothing in it, of the same bound. */
    public EndpointTable newEmpty() {
        return new EndpointTable(maxBytes, limitSource);
    }

    /** Stages one list as it is read, and puts it in force at its end. */
    public ListSink sink() {
        return sink(entry -> { });
    }

    /** The same; changes: hears of each entry that differs from what is in force. */
    public ListSink sink(Consumer<ListUpdate.Entry> changes) {
        return new ListSink() {
            private long mine;

            @Override public void begin() {
                EndpointTable.this.begin();
                mine = listsBegun;
            }

            @Override public void entry(ListUpdate.Entry entry) throws IOException {
                check();
                if (stage(entry)) {
                    changes.accept(entry);
                }
            }

            @Override public void end(long version, boolean whole) throws IOException {
                check();
                commit(version, whole);
            }

            /** Guards against a mixture of two lists that come at the same time. */
            private void check() throws IOException {
                if (mine != listsBegun) {
                    throw new IOException("another list began before it had ended");
                }
            }
        };
    }

    /** Begins a list; what was staged and not put in force is given up. */
    public void begin() {
        listsBegun++;
        staging = false;
        reclaim(Integer.MAX_VALUE);
        staging = true;
        changedRows.clear();
        amendedRows.clear();
        amendments = new long[0];
        namedRows.clear();
        reclaimedCount = 0;
        stagedSize = size;
    }

    /** Stages an entry of the list that was begun; false: it is in force as it is. */
    public boolean stage(ListUpdate.Entry entry) throws TooLarge {
        if (changedRows.size() > 2 * (maxBytes / ROW_BYTES)) {
            throw tooLarge("a list that names and takes out more than " + changedRows.size() + " endpoints");
        }
        byte[] name = entry.name().getBytes(StandardCharsets.UTF_8);
        int next = 1 - currentView;
        int row = find(name, next);
        byte status = entry.status().equals("DELETED") ? ABSENT : entry.status().equals("DRAINING") ? DRAINING : SERVING;
        long address = packAddress(entry.address());
        if (row != NONE && (status == ABSENT || !canRepresent(row, entry, address))) {
            setStatus(row, next, ABSENT);
            stagedSize--;
            changedRows.add(row);
            row = NONE;
        }
        boolean changes = true;
        if (status == ABSENT) {
            return changes;
        }
        if (row == NONE) {
            row = addRow(name, entry, address);
            stagedSize++;
        } else {
            boolean amends = stageAmendment(row, address, entry.weight());
            changes = amends || chunkOf(row).status[next][row & CHUNK_MASK] != status || namedRows.get(row);
        }
        setStatus(row, next, status);
        namedRows.set(row);
        changedRows.add(row);
        return changes;
    }

    /** Puts the staged list in force: all at once. whole: what it does not name is out of the list. */
    public void commit(long version, boolean whole) {
        int next = 1 - currentView;
        implicitRemovalsFrom = changedRows.size();
        for (int row = namedRows.nextClearBit(0); whole && row < rows; row = namedRows.nextClearBit(row + 1)) {
            if (chunkOf(row).status[next][row & CHUNK_MASK] != ABSENT) {
                setStatus(row, next, ABSENT);
                stagedSize--;
                changedRows.add(row);
            }
        }
        for (int i = 0; i < amendedRows.size(); i++) {
            Chunk chunk = chunkOf(amendedRows.get(i));
            chunk.address[amendedRows.get(i) & CHUNK_MASK] = amendments[2 * i];
            chunk.weight[amendedRows.get(i) & CHUNK_MASK] = Double.longBitsToDouble(amendments[2 * i + 1]);
        }
        amendedRows.clear();
        staging = false;
        currentView = next;
        size = stagedSize;
        index = version;
    }

    /** How many rows the last list named or took out; they can be read until they are settled. */
    public int changedRows() {
        return changedRows.size();
    }

    /** One of them, in the list's order. */
    public int changedRows(int i) {
        return changedRows.get(i);
    }

    /** From where on they are those that the last list, a whole one, took out by not naming them. */
    public int implicitRemovalsFrom() {
        return implicitRemovalsFrom;
    }

    /**
     * Gives room back that the last list has left: so many rows at most. True: all is done. {@link #begin} does what is left, of a
     * list that was given up too: what is staged has room until then.
     */
    public boolean reclaim(int most) {
        if (staging) {
            // Guards drains: its pieces come with other work of the loop between them.
            return true;
        }
        int until = (int) Math.min(changedRows.size(), (long) reclaimedCount + most);
        for (; reclaimedCount < until; reclaimedCount++) {
            int row = changedRows.get(reclaimedCount);
            Chunk chunk = chunkOf(row);
            int place = row & CHUNK_MASK;
            if (chunk.linked[place] && chunk.status[currentView][place] == ABSENT) {
                freeRow(row);
            }
            chunk.status[1 - currentView][place] = chunk.status[currentView][place];
        }
        return reclaimedCount == changedRows.size();
    }

    // ---- Reading what is in force ----

    /** The row in force of this name, or NONE. */
    public int find(String name) {
        return find(name.getBytes(StandardCharsets.UTF_8), currentView);
    }

    /** The rows in force of a destination, by their numbers. */
    public int[] rowsOf(int group) {
        return rowsOf(group, row -> status(row) != ABSENT);
    }

    /** The rows of a destination that the last list named or took out, by their numbers; until they are settled. */
    public int[] changedRowsOf(int group) {
        return rowsOf(group, row -> status(row) == ABSENT ? chunkOf(row).status[1 - currentView][row & CHUNK_MASK] != ABSENT : namedRows.get(row));
    }

    private int[] rowsOf(int group, IntPredicate which) {
        IntList found = new IntList();
        for (int row = byGroup.first(group); row != NONE; row = chunkOf(row).nextByGroup[row & CHUNK_MASK]) {
            if (chunkOf(row).group[row & CHUNK_MASK] == group && which.test(row)) {
                found.add(row);
            }
        }
        int[] sorted = Arrays.copyOf(found.values, found.count);
        Arrays.sort(sorted);
        return sorted;
    }

    /** Rows are numbered from 0 to below this; some of them are free. */
    public int rows() {
        return rows;
    }

    /** What holds for the row: ABSENT, SERVING, DRAINING. */
    public byte status(int row) {
        return chunkOf(row).status[currentView][row & CHUNK_MASK];
    }

    public int group(int row) {
        return chunkOf(row).group[row & CHUNK_MASK];
    }

    public String name(int row) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        return new String(chunk.text, chunk.textOffset[place], chunk.nameLength[place], StandardCharsets.UTF_8);
    }

    /** The row as discovery words it; out of the list: DELETED. */
    public ListUpdate.Entry entry(int row) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        String status = switch (status(row)) {
            case SERVING -> "SERVING";
            case DRAINING -> "DRAINING";
            default -> "DELETED";
        };
        return new ListUpdate.Entry(name(row), address(row), zonesAndTypes.get(chunk.zone[place]), zonesAndTypes.get(chunk.type[place]),
                chunk.group[place], status, chunk.weight[place]);
    }

    // ---- Rows ----

    private Chunk chunkOf(int row) {
        return chunks.get(row >> CHUNK_SHIFT);
    }

    private void setStatus(int row, int view, byte status) {
        chunkOf(row).status[view][row & CHUNK_MASK] = status;
    }

    /** Whether the row can stand for the entry: all but status, packed address and weight is as it was. */
    private boolean canRepresent(int row, ListUpdate.Entry entry, long address) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        return chunk.group[place] == entry.group() && zonesAndTypes.get(chunk.zone[place]).equals(entry.zone())
                && zonesAndTypes.get(chunk.type[place]).equals(entry.type())
                && (address >= 0 && chunk.address[place] >= 0 || address(row).equals(entry.address()));
    }

    private boolean stageAmendment(int row, long address, double weight) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        long packed = chunk.address[place] >= 0 ? address : chunk.address[place];
        boolean differs = chunk.address[place] != packed || chunk.weight[place] != weight;
        // Named before by this list: what it said then no longer counts.
        if (differs || namedRows.get(row) && amendedRows.size() > 0) {
            if (2 * amendedRows.size() == amendments.length) {
                amendments = Arrays.copyOf(amendments, Math.max(16, 3 * amendments.length));
            }
            amendments[2 * amendedRows.size()] = packed;
            amendments[2 * amendedRows.size() + 1] = Double.doubleToRawLongBits(weight);
            amendedRows.add(row);
        }
        return differs;
    }

    private String address(int row) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        long packed = chunk.address[place];
        return packed >= 0 ? unpackAddress(packed)
                : new String(chunk.text, chunk.textOffset[place] + chunk.nameLength[place], (int) (-packed - 1), StandardCharsets.UTF_8);
    }

    private int find(byte[] name, int view) {
        for (int row = byName.first(hash(name, 0, name.length)); row != NONE; row = chunkOf(row).nextByName[row & CHUNK_MASK]) {
            Chunk chunk = chunkOf(row);
            int place = row & CHUNK_MASK;
            int from = chunk.textOffset[place];
            if (chunk.status[view][place] != ABSENT
                    && Arrays.equals(chunk.text, from, from + chunk.nameLength[place], name, 0, name.length)) {
                return row;
            }
        }
        return NONE;
    }

    private int addRow(byte[] name, ListUpdate.Entry entry, long packed) throws TooLarge {
        byte[] address = packed >= 0 ? new byte[0] : entry.address().getBytes(StandardCharsets.UTF_8);
        if (name.length > Short.MAX_VALUE) {
            throw new TooLarge("an endpoint's name of " + name.length + " bytes");
        }
        if (bytes() + ROW_BYTES + name.length + address.length > maxBytes) {
            throw tooLarge("a list of more than " + stagedSize + " endpoints");
        }
        short zone = numberOf(entry.zone()), type = numberOf(entry.type());
        int row = freeRows.size() == 0 ? rows++ : freeRows.removeLast();
        if (row >> CHUNK_SHIFT == chunks.size()) {
            chunks.add(new Chunk());
        }
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        chunk.textOffset[place] = chunk.appendText(name, address);
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

    private void freeRow(int row) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        int length = chunk.textLength(place);
        byName.unlink(row);
        byGroup.unlink(row);
        chunk.linked[place] = false;
        chunk.eraseText(place);
        textBytes -= length;
        freeRows.add(row);
    }

    private TooLarge tooLarge(String what) {
        return new TooLarge(what + " needs more than the " + maxBytes + " bytes that a list may take here (" + limitSource + ")");
    }

    private short numberOf(String word) throws TooLarge {
        Integer known = zoneAndTypeNumbers.get(word);
        if (known == null) {
            if (zonesAndTypes.size() >= MAX_ZONES_AND_TYPES) {
                throw new TooLarge("a list of more than " + MAX_ZONES_AND_TYPES + " different zones and types");
            }
            known = zonesAndTypes.size();
            zonesAndTypes.add(word);
            zoneAndTypeNumbers.put(word, known);
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
    private abstract class RowIndex {
        private final int[][] first = new int[INDEX_PARTS][];
        private final int[] linkedRows = new int[INDEX_PARTS];

        abstract int key(Chunk chunk, int place);

        abstract int[] next(Chunk chunk);

        /** The first row of the key's bucket; others may stand there too. */
        final int first(int key) {
            int hash = mix(key);
            int[] buckets = first[hash & INDEX_PARTS - 1];
            return buckets == null ? NONE : buckets[hash >>> 6 & buckets.length - 1];
        }

        final void link(int row) {
            int hash = hashOf(row);
            int part = hash & INDEX_PARTS - 1;
            if (first[part] == null || linkedRows[part] == first[part].length) {
                grow(part);
            }
            linkedRows[part]++;
            insert(first[part], row);
        }

        final void unlink(int row) {
            int hash = hashOf(row);
            int[] buckets = first[hash & INDEX_PARTS - 1];
            int bucket = hash >>> 6 & buckets.length - 1;
            int after = next(chunkOf(row))[row & CHUNK_MASK];
            linkedRows[hash & INDEX_PARTS - 1]--;
            if (buckets[bucket] == row) {
                buckets[bucket] = after;
                return;
            }
            int before = buckets[bucket];
            while (next(chunkOf(before))[before & CHUNK_MASK] != row) {
                before = next(chunkOf(before))[before & CHUNK_MASK];
            }
            next(chunkOf(before))[before & CHUNK_MASK] = after;
        }

        private int hashOf(int row) {
            return mix(key(chunkOf(row), row & CHUNK_MASK));
        }

        private int mix(int key) {
            int hash = key * 0x9E3779B9;
            return hash ^ hash >>> 15;
        }

        private void insert(int[] buckets, int row) {
            int bucket = hashOf(row) >>> 6 & buckets.length - 1;
            next(chunkOf(row))[row & CHUNK_MASK] = buckets[bucket];
            buckets[bucket] = row;
        }

        private void grow(int part) {
            int[] before = first[part];
            int[] buckets = new int[before == null ? 8 : 2 * before.length];
            Arrays.fill(buckets, NONE);
            for (int i = 0; before != null && i < before.length; i++) {
                for (int row = before[i]; row != NONE;) {
                    int after = next(chunkOf(row))[row & CHUNK_MASK];
                    insert(buckets, row);
                    row = after;
                }
            }
            first[part] = buckets;
        }
    }

    /** Numbers in a row. */
    private static final class IntList {
        int[] values = new int[0];
        int count;

        int size() {
            return count;
        }

        int get(int i) {
            return values[i];
        }

        void add(int number) {
            if (count == values.length) {
                values = Arrays.copyOf(values, Math.max(16, count + count / 2));
            }
            values[count++] = number;
        }

        int removeLast() {
            return values[--count];
        }

        /** Room for many is given back. */
        void clear() {
            count = 0;
            values = values.length > CHUNK_ROWS ? new int[0] : values;
        }
    }

    // ---- Addresses: four numbers below 256 and a port, written as usual, take no text ----

    private static long packAddress(String address) {
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

    private static String unpackAddress(long packed) {
        return (packed >> 40 & 255) + "." + (packed >> 32 & 255) + "." + (packed >> 24 & 255) + "." + (packed >> 16 & 255)
                + ":" + (packed & 65_535);
    }
}
