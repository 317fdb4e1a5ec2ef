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
 * The endpoint list in compact form: rows in chunks of flat arrays, found by name and by destination. A list is staged entry by entry and
 * takes effect atomically, whole or not at all: each row has a status in force and a staged one, and {@link #commit} swaps the two. A
 * snapshot takes memory only for what differs from the list in force.
 *
 * <p>An endpoint takes some 56 bytes and its name; the total is bounded by the limit in bytes that the table is created with. Owned by one
 * thread.
 */
public final class EndpointTable {
    /** No row. */
    public static final int NONE = -1;
    /** Status of a row that is free or not in the list. */
    public static final byte ABSENT = 0;
    /** Status of a row whose endpoint serves. */
    public static final byte SERVING = 1;
    /** Status of a row whose endpoint drains. */
    public static final byte DRAINING = 2;

    /** A row's number shifted right by this is the number of its chunk. */
    private static final int CHUNK_SHIFT = 10;
    /** Rows of a chunk. */
    private static final int CHUNK_ROWS = 1 << CHUNK_SHIFT;
    /** Mask of a row's place within its chunk. */
    private static final int CHUNK_MASK = CHUNK_ROWS - 1;
    /** Parts that each index is divided into, so that growing one takes a fraction of a millisecond; a power of two. */
    private static final int INDEX_PARTS = 64;
    /** Bytes of a row without its name: its columns and its share of the buckets of both indexes. */
    private static final int ROW_BYTES = 56;
    /** Different zones and types together; more of them are an error of the list. */
    private static final int MAX_ZONES_AND_TYPES = 4096;

    /** The list does not fit; the message names the limit. */
    public static final class TooLarge extends IOException {
        private static final long serialVersionUID = 1;

        TooLarge(String message) {
            super(message);
        }
    }

    /** {@link #CHUNK_ROWS} rows, column by column, and their names, one after the other. */
    private static final class Chunk {
        /** The number of the endpoint's destination. */
        final int[] group = new int[CHUNK_ROWS];
        /** The next row in the chain of the name's bucket. */
        final int[] nextByName = new int[CHUNK_ROWS];
        /** The next row in the chain of the destination's bucket. */
        final int[] nextByGroup = new int[CHUNK_ROWS];
        final double[] weight = new double[CHUNK_ROWS];
        final short[] zone = new short[CHUNK_ROWS];
        final short[] type = new short[CHUNK_ROWS];
        /** Two views, one of which is in force. */
        final byte[][] status = {new byte[CHUNK_ROWS], new byte[CHUNK_ROWS]};
        /** Whether the row is used and in the indexes. */
        final boolean[] linked = new boolean[CHUNK_ROWS];
        /** The packed address, or -1 minus the length of its text, which follows the name. */
        final long[] address = new long[CHUNK_ROWS];
        final int[] textOffset = new int[CHUNK_ROWS];
        final short[] nameLength = new short[CHUNK_ROWS];
        /** Names and unpacked addresses; those of freed rows stay until the next compaction. */
        byte[] text = new byte[0];
        private int usedBytes;
        private int erasedBytes;

        int textLength(int place) {
            return nameLength[place] + (int) Math.max(0, -1 - address[place]);
        }

        /** Appends a name and the text of its address; returns where they begin. */
        int appendText(byte[] name, byte[] address) {
            int needed = name.length + address.length;
            if (usedBytes + needed > text.length) {
                if (erasedBytes > usedBytes / 2) {
                    compact();
                }
                text = Arrays.copyOf(text, Math.max(usedBytes + needed, Math.min(usedBytes + usedBytes / 8 + 256, usedBytes + needed + 4096)));
            }
            System.arraycopy(name, 0, text, usedBytes, name.length);
            System.arraycopy(address, 0, text, usedBytes + name.length, address.length);
            usedBytes += needed;
            return usedBytes - needed;
        }

        void eraseText(int place) {
            erasedBytes += textLength(place);
            nameLength[place] = 0;
            address[place] = 0;
        }

        private void compact() {
            byte[] compacted = new byte[usedBytes - erasedBytes];
            int offset = 0;
            for (int place = 0; place < CHUNK_ROWS; place++) {
                if (linked[place]) {
                    int length = textLength(place);
                    System.arraycopy(text, textOffset[place], compacted, offset, length);
                    textOffset[place] = offset;
                    offset += length;
                }
            }
            text = compacted;
            usedBytes = offset;
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
    /** Zones and types as they stand in lists; a row holds the position. */
    private final List<String> zonesAndTypes = new ArrayList<>();
    /** Positions in {@link #zonesAndTypes}. */
    private final Map<String, Integer> zoneAndTypeNumbers = new HashMap<>();
    private final IntList freeRows = new IntList();
    private final long maxBytes;
    private final String limitSource;
    private int rows;
    private long textBytes;
    /** Which of the two views of the statuses is in force. */
    private int currentView;
    private int size;
    private int stagedSize;
    private long index = -1;
    /** Rows that the staged or last list names or removes, in its order; a row may be in it twice. */
    private final IntList changedRows = new IntList();
    /** Rows whose address or weight the staged list changes; {@link #amendments} has two values for each: packed address and weight. */
    private final IntList amendedRows = new IntList();
    private long[] amendments = new long[0];
    /** Rows that the staged or last list names. */
    private final BitSet namedRows = new BitSet();
    /** How many of the changed rows have been reclaimed. */
    private int reclaimedCount;
    /** A list has begun and is not committed. */
    private boolean staging;
    private int implicitRemovalsFrom;
    /** Counts lists, so that a sink finds out that another list has begun since its own. */
    private long listsBegun;

    /**
     * An empty table.
     *
     * @param maxBytes the most bytes that its rows may take
     * @param limitSource where that limit comes from, for the one who has to raise it
     */
    public EndpointTable(long maxBytes, String limitSource) {
        this.maxBytes = maxBytes;
        this.limitSource = limitSource;
    }

    /** The number of endpoints in force. */
    public int size() {
        return size;
    }

    /** The version in force; -1: no list has been applied. */
    public long index() {
        return index;
    }

    /** Bytes that its rows take, as calculated: those in force and those staged. */
    public long bytes() {
        return (long) (rows - freeRows.size()) * ROW_BYTES + textBytes;
    }

    // ---- Staging ----

    /** Applies a list at once, whole or not at all. */
    public void apply(ListUpdate update) throws IOException {
        ListSink sink = sink();
        sink.begin();
        for (ListUpdate.Entry entry : update.entries()) {
            sink.entry(entry);
        }
        sink.end(update.index(), update.whole());
    }

    /** The list in force as one update. */
    public ListUpdate snapshot() {
        List<ListUpdate.Entry> entries = new ArrayList<>(size);
        for (int row = 0; row < rows; row++) {
            if (status(row) != ABSENT) {
                entries.add(entry(row));
            }
        }
        return new ListUpdate(Math.max(0, index), true, entries);
    }

    /** What the last list named or removed, as one update. */
    public ListUpdate delta() {
        List<ListUpdate.Entry> entries = new ArrayList<>(changedRows.size());
        for (int i = 0; i < changedRows.size(); i++) {
            entries.add(entry(changedRows.get(i)));
        }
        return new ListUpdate(index, false, entries);
    }

    /** An empty table with the same limit. */
    public EndpointTable newEmpty() {
        return new EndpointTable(maxBytes, limitSource);
    }

    /** A sink that stages a list as it is read and puts it in force at its end. */
    public ListSink sink() {
        return sink(entry -> { });
    }

    /** The same; changes is given each entry that differs from the list in force. */
    public ListSink sink(Consumer<ListUpdate.Entry> changes) {
        return new ListSink() {
            /** Number of the list that this sink has begun. */
            private long listNumber;

            @Override public void begin() {
                EndpointTable.this.begin();
                listNumber = listsBegun;
            }

            @Override public void entry(ListUpdate.Entry entry) throws IOException {
                check();
                if (stage(entry)) {
                    changes.accept(entry);
                }
            }

            @Override public void end(long index, boolean whole) throws IOException {
                check();
                commit(index, whole);
            }

            /** Prevents a mixture of two lists that are read at the same time: the one that began first fails. */
            private void check() throws IOException {
                if (listNumber != listsBegun) {
                    throw new IOException("another list began before it had ended");
                }
            }
        };
    }

    /** Begins a list; what was staged and not committed is abandoned. */
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

    /** Stages an entry of the list that was begun. False: it does not differ from the list in force. */
    public boolean stage(ListUpdate.Entry entry) throws TooLarge {
        if (changedRows.size() > 2 * (maxBytes / ROW_BYTES)) {
            throw tooLarge("a list that names and takes out more than " + changedRows.size() + " endpoints");
        }
        byte[] name = entry.name().getBytes(StandardCharsets.UTF_8);
        int stagedView = 1 - currentView;
        int row = find(name, stagedView);
        byte status = entry.status().equals("DELETED") ? ABSENT : entry.status().equals("DRAINING") ? DRAINING : SERVING;
        long address = packAddress(entry.address());
        if (row != NONE && (status == ABSENT || !canRepresent(row, entry, address))) {
            setStatus(row, stagedView, ABSENT);
            stagedSize--;
            changedRows.add(row);
            row = NONE;
        }
        boolean differs = true;
        if (status == ABSENT) {
            return differs;
        }
        if (row == NONE) {
            row = addRow(name, entry, address);
            stagedSize++;
        } else {
            boolean amended = stageAmendment(row, address, entry.weight());
            differs = amended || chunkOf(row).status[stagedView][row & CHUNK_MASK] != status || namedRows.get(row);
        }
        setStatus(row, stagedView, status);
        namedRows.set(row);
        changedRows.add(row);
        return differs;
    }

    /** Puts the staged list in force, all at once. whole: endpoints that it does not name are removed. */
    public void commit(long version, boolean whole) {
        int stagedView = 1 - currentView;
        implicitRemovalsFrom = changedRows.size();
        for (int row = namedRows.nextClearBit(0); whole && row < rows; row = namedRows.nextClearBit(row + 1)) {
            if (chunkOf(row).status[stagedView][row & CHUNK_MASK] != ABSENT) {
                setStatus(row, stagedView, ABSENT);
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
        currentView = stagedView;
        size = stagedSize;
        index = version;
    }

    /** How many rows the last list named or removed; they can be read until they are reclaimed. */
    public int changedRows() {
        return changedRows.size();
    }

    /** The row at this position among them, in the list's order. */
    public int changedRows(int i) {
        return changedRows.get(i);
    }

    /** The position among the changed rows from which on they are those that the last list, a snapshot, removed by not naming them. */
    public int implicitRemovalsFrom() {
        return implicitRemovalsFrom;
    }

    /**
     * Frees the rows that the last list removed: at most so many changed rows a call. True: there is nothing left to do. {@link #begin} does the
     * rest, also for an abandoned list: what was staged for it takes memory until then.
     */
    public boolean reclaim(int maxRows) {
        if (staging) {
            // The entries of a list come with other work of the event loop between them: reclaiming now would overwrite staged statuses, drains among them.
            return true;
        }
        int end = (int) Math.min(changedRows.size(), (long) reclaimedCount + maxRows);
        for (; reclaimedCount < end; reclaimedCount++) {
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

    /** The rows in force of a destination, sorted. */
    public int[] rowsOf(int group) {
        return rowsOf(group, row -> status(row) != ABSENT);
    }

    /** The rows of a destination that the last list named or removed, sorted; to be called before they are reclaimed. */
    public int[] changedRowsOf(int group) {
        return rowsOf(group, row -> status(row) == ABSENT ? chunkOf(row).status[1 - currentView][row & CHUNK_MASK] != ABSENT : namedRows.get(row));
    }

    private int[] rowsOf(int group, IntPredicate condition) {
        IntList found = new IntList();
        for (int row = byGroup.firstRow(group); row != NONE; row = chunkOf(row).nextByGroup[row & CHUNK_MASK]) {
            if (chunkOf(row).group[row & CHUNK_MASK] == group && condition.test(row)) {
                found.add(row);
            }
        }
        int[] sorted = Arrays.copyOf(found.values, found.count);
        Arrays.sort(sorted);
        return sorted;
    }

    /** Rows are numbered from 0 up to, but not including, this; some of them are free. */
    public int rows() {
        return rows;
    }

    /** The row's status in force: ABSENT, SERVING or DRAINING. */
    public byte status(int row) {
        return chunkOf(row).status[currentView][row & CHUNK_MASK];
    }

    /** The number of the row's destination. */
    public int group(int row) {
        return chunkOf(row).group[row & CHUNK_MASK];
    }

    public String name(int row) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        return new String(chunk.text, chunk.textOffset[place], chunk.nameLength[place], StandardCharsets.UTF_8);
    }

    /** The row as an entry in discovery's terms; its status is DELETED if it is not in the list. */
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

    /** Whether the row can represent the entry: nothing but status, packed address and weight differs. */
    private boolean canRepresent(int row, ListUpdate.Entry entry, long address) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        return chunk.group[place] == entry.group() && zonesAndTypes.get(chunk.zone[place]).equals(entry.zone())
                && zonesAndTypes.get(chunk.type[place]).equals(entry.type())
                && (address >= 0 && chunk.address[place] >= 0 || address(row).equals(entry.address()));
    }

    /** Stages the entry's address and weight for its row; true: they differ from those in force. */
    private boolean stageAmendment(int row, long address, double weight) {
        Chunk chunk = chunkOf(row);
        int place = row & CHUNK_MASK;
        long packed = chunk.address[place] >= 0 ? address : chunk.address[place];
        boolean differs = chunk.address[place] != packed || chunk.weight[place] != weight;
        // A row that this list named before is staged even if nothing differs: an earlier amendment must not count any more.
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
        for (int row = byName.firstRow(hash(name, 0, name.length)); row != NONE; row = chunkOf(row).nextByName[row & CHUNK_MASK]) {
            Chunk chunk = chunkOf(row);
            int place = row & CHUNK_MASK;
            int nameOffset = chunk.textOffset[place];
            if (chunk.status[view][place] != ABSENT
                    && Arrays.equals(chunk.text, nameOffset, nameOffset + chunk.nameLength[place], name, 0, name.length)) {
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

    private TooLarge tooLarge(String content) {
        return new TooLarge(content + " needs more than the " + maxBytes + " bytes that a list may take here (" + limitSource + ")");
    }

    private short numberOf(String zoneOrType) throws TooLarge {
        Integer known = zoneAndTypeNumbers.get(zoneOrType);
        if (known == null) {
            if (zonesAndTypes.size() >= MAX_ZONES_AND_TYPES) {
                throw new TooLarge("a list of more than " + MAX_ZONES_AND_TYPES + " different zones and types");
            }
            known = zonesAndTypes.size();
            zonesAndTypes.add(zoneOrType);
            zoneAndTypeNumbers.put(zoneOrType, known);
        }
        return known.shortValue();
    }

    // ---- Indexes ----

    private static int hash(byte[] text, int from, int length) {
        int hash = 0;
        for (int i = from; i < from + length; i++) {
            hash = 31 * hash + text[i];
        }
        return hash;
    }

    /**
     * A hash index of the rows by one of their columns: a bucket holds its first row, and the rows are chained from there. As the chains are
     * columns of the rows, the index is half as large as a map of keys to rows.
     */
    private abstract class RowIndex {
        /** First row of each bucket, by part; null: the part is empty. */
        private final int[][] firstRows = new int[INDEX_PARTS][];
        /** How many rows each part has; its buckets are doubled when they are as many. */
        private final int[] linkedRows = new int[INDEX_PARTS];

        /** The row's key. */
        abstract int key(Chunk chunk, int place);

        /** The column of the chunk that chains the rows of a bucket. */
        abstract int[] next(Chunk chunk);

        /** The first row of the key's bucket, which may hold rows of other keys too. The lowest 6 bits of the hash select the part, the others the bucket. */
        final int firstRow(int key) {
            int hash = mix(key);
            int[] buckets = firstRows[hash & INDEX_PARTS - 1];
            return buckets == null ? NONE : buckets[hash >>> 6 & buckets.length - 1];
        }

        final void link(int row) {
            int hash = hashOf(row);
            int part = hash & INDEX_PARTS - 1;
            if (firstRows[part] == null || linkedRows[part] == firstRows[part].length) {
                grow(part);
            }
            linkedRows[part]++;
            insert(firstRows[part], row);
        }

        final void unlink(int row) {
            int hash = hashOf(row);
            int[] buckets = firstRows[hash & INDEX_PARTS - 1];
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

        /** Spreads similar keys over parts and buckets. */
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
            int[] oldBuckets = firstRows[part];
            int[] buckets = new int[oldBuckets == null ? 8 : 2 * oldBuckets.length];
            Arrays.fill(buckets, NONE);
            for (int i = 0; oldBuckets != null && i < oldBuckets.length; i++) {
                for (int row = oldBuckets[i]; row != NONE;) {
                    int after = next(chunkOf(row))[row & CHUNK_MASK];
                    insert(buckets, row);
                    row = after;
                }
            }
            firstRows[part] = buckets;
        }
    }

    /** A growing list of ints. */
    private static final class IntList {
        int[] values = new int[0];
        int count;

        int size() {
            return count;
        }

        int get(int i) {
            return values[i];
        }

        void add(int value) {
            if (count == values.length) {
                values = Arrays.copyOf(values, Math.max(16, count + count / 2));
            }
            values[count++] = value;
        }

        int removeLast() {
            return values[--count];
        }

        /** Empties the list; a large array is released. */
        void clear() {
            count = 0;
            values = values.length > CHUNK_ROWS ? new int[0] : values;
        }
    }

    // ---- Addresses: four numbers below 256 and a port in canonical form are packed into a long and take no text ----

    /** The packed address, or -1 if the text is none that can be packed and unpacked to the same text. */
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
