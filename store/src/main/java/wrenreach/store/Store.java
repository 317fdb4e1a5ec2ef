package wrenreach.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;

/**
 * An embedded log-structured key-value store. Batches are appended to segment files, an index of all keys is held in memory, and
 * the oldest segments are cleaned (compacted) in slices. A store is confined to one thread, except for {@link Sync#force}. The file
 * format is described in docs/store-format.md. Values are opaque to the store.
 */
public final class Store implements AutoCloseable {
    /** The store can't be opened as it is, for instance because a newer version wrote it; nothing was changed. */
    public static final class Unusable extends IOException {
        private static final long serialVersionUID = 1;

        Unusable(String message) {
            super(message);
        }
    }

    /** The size limit leaves no room for a batch; nothing was written. */
    public static final class Full extends IOException {
        private static final long serialVersionUID = 1;

        Full(String message) {
            super(message);
        }
    }

    /**
     * A range of a segment file that can't be read as it was written.
     *
     * @param offset where it begins, in bytes
     * @param bytes its length
     * @param lostBatches how many batches are missing there; 0: only bytes were skipped
     */
    public record DamagedRange(String file, long offset, long bytes, long lostBatches) {
        /** The range as a text for logs and commands. */
        public String describe() {
            return file + ": " + bytes + " bytes from " + offset + " on can't be read" + (lostBatches > 0 ? ", " + lostBatches + " batches are lost" : "");
        }
    }

    /**
     * What was found when the store was opened.
     *
     * @param truncatedBytes bytes of a last write that was never finished, which were cut off
     * @param damagedRanges what could not be read
     * @param batches how many batches were read
     */
    public record RecoveryReport(long truncatedBytes, List<DamagedRange> damagedRanges, long batches) {
        /** Whether any written batches are missing. */
        public boolean damaged() {
            return damagedRanges.stream().anyMatch(range -> range.lostBatches > 0);
        }
    }

    /**
     * Counters and sizes of the store.
     *
     * @param keys keys that have a value
     * @param segments segment files
     * @param usedBytes size of all segments in whole blocks
     * @param liveBytes size of the records that the index refers to
     * @param appendedBytes bytes written by callers
     * @param copiedBytes bytes rewritten by cleaning
     * @param sequence sequence number of the last batch
     * @param delayedWrites writes that had to wait for cleaning first
     * @param failedCleanings cleanings that were stopped by an error of the disk
     */
    public record Stats(int keys, int segments, long usedBytes, long liveBytes, long appendedBytes, long copiedBytes, long sequence, long delayedWrites,
                        long failedCleanings) { }

    /** Where the current record of a key stands; offset and length in bytes. */
    private record RecordLocation(Segment segment, long offset, int length) { }

    /** The writes that may not survive a loss of power yet. {@link #force} may run on any thread, while the store is in use. */
    public static final class Sync {
        private final Disk disk;
        private final List<Disk.Handle> files;
        private final boolean directoryChanged;
        /** Sequence number of the last batch that it covers. */
        private final long sequence;
        private final long ordinal;

        private Sync(Disk disk, List<Disk.Handle> files, boolean directoryChanged, long sequence, long ordinal) {
            this.ordinal = ordinal;
            this.disk = disk;
            this.files = files;
            this.directoryChanged = directoryChanged;
            this.sequence = sequence;
        }

        /** Returns once all of these writes are on stable storage, safe from a loss of power. */
        public void force() throws IOException {
            for (Disk.Handle file : files) {
                file.force();
            }
            if (directoryChanged) {
                disk.forceDirectory();
            }
        }
    }

    /** One segment file. */
    private static final class Segment {
        final long number;
        final Disk.Handle file;
        long size;
        /** Whether its end or its header is in doubt, so that nothing may be appended. */
        boolean unwritable;
        /** How many of its records the index refers to. */
        int liveRecords;
        /** Sequence number of the last batch that was written to it. */
        long lastSequence;

        Segment(long number, Disk.Handle file) {
            this.number = number;
            this.file = file;
        }
    }

    private static final byte[] MAGIC = {'W', 'R', 'E', 'N', 'S', 'T', 'O', 'R'};
    /** Version of the file format that is written; files of a newer one are refused. */
    static final int FORMAT_VERSION = 1;
    /** Size of one copy of a segment's header. */
    static final int HEADER_BYTES = 36;
    /** Size of a segment's header. It is stored twice, so that damage to one copy costs nothing. */
    static final int SEGMENT_HEADER_BYTES = 2 * HEADER_BYTES;
    /** Unit of space on the disk: the size of a file is counted in whole blocks. */
    static final int BLOCK_BYTES = 512;
    /** Beginning of the name of a segment file, before its number. */
    private static final String PREFIX = "segment-";
    /** End of the name of a segment file. */
    private static final String SUFFIX = ".log";

    private final Disk disk;
    private final CompactionPlanner planner;
    private final boolean readOnly;
    private final boolean sync;
    /** Where the value of each key stands. */
    private final TreeMap<String, RecordLocation> index = new TreeMap<>();
    /** Oldest first; batches are appended to the last one. */
    private final List<Segment> segments = new ArrayList<>();
    private final List<DamagedRange> damagedRanges = new ArrayList<>();
    private long truncatedBytes;
    private long recoveredBatches;
    private long sequence;
    private long liveBytes;
    private long usedBytes;
    private long appendedBytes;
    private long copiedBytes;
    /** How far the oldest segment has been cleaned, in bytes. */
    private long cleaningOffset = SEGMENT_HEADER_BYTES;
    /** Snapshots that are being copied; nothing is cleaned meanwhile. */
    private int openSnapshots;
    /** Begins the checksum of each frame, see {@link Batch}. */
    private int salt;
    /** Whether it is known which sequence number the log begins with. */
    private boolean firstSequenceKnown;
    /** Whether files were created or deleted since the last {@link #sync}. */
    private boolean directoryChanged;
    /** Whether a file was deleted and the deletion is not forced yet. */
    private boolean deletionUnforced;
    /** Ordinal of the first {@link Sync} that covers the last deletion. */
    private long deletionOrdinal;
    private long nextSyncOrdinal;
    /** Sequence number of the last batch that is known to be forced. */
    private long forced;
    /** Sequence number of the last batch when the whole of the oldest segment had been scanned; -1: not scanned yet. */
    private long scannedSequence = -1;
    private long delayedWrites;
    private long failedCleanings;

    private Store(Disk disk, long limit, boolean readOnly, boolean sync) {
        this.disk = disk;
        this.readOnly = readOnly;
        this.sync = sync;
        planner = new CompactionPlanner(limit);
    }

    /**
     * Opens a store for writing, or creates a new one.
     *
     * @param limit bytes that it may take on disk, in blocks of 512
     * @param sync whether the caller uses {@link #sync}; copies made by cleaning are then forced before the original is deleted
     * @param salt for a new store: any number that those who supply the values can't know
     */
    public static Store open(Disk disk, long limit, boolean sync, int salt) throws IOException {
        disk.lock();
        Store store = new Store(disk, limit, false, sync);
        store.salt = salt;
        return finishOpening(store);
    }

    /** Opens a store for reading only: nothing is locked, truncated or written. */
    public static Store openReadOnly(Disk disk) throws IOException {
        return finishOpening(new Store(disk, Long.MAX_VALUE / 4, true, false));
    }

    private static Store finishOpening(Store store) throws IOException {
        try {
            store.recover();
            if (store.sync) {
                // All that was recovered counts as durable from now on, since each later frame records up to which batch everything was forced.
                Sync all = store.sync();
                all.force();
                store.forced(all);
            }
            return store;
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    private static String fileName(long number) {
        return String.format(Locale.ROOT, "%s%016d%s", PREFIX, number, SUFFIX);
    }

    private static boolean isSegment(String name) {
        return name.matches(PREFIX + "\\d{16}" + SUFFIX.replace(".", "\\."));
    }

    /** Whether a folder holds segment files of a store. */
    public static boolean isStore(Disk disk) throws IOException {
        return disk.list().stream().anyMatch(Store::isSegment);
    }

    // ---- Recovery ----

    private void recover() throws IOException {
        List<String> names = disk.list().stream().filter(Store::isSegment).sorted().toList();
        // All versions are checked first, so that a store of a newer version is left untouched.
        for (String name : names) {
            try (Disk.Handle file = disk.openReadOnly(name)) {
                byte[] bytes = new byte[SEGMENT_HEADER_BYTES];
                file.read(0, ByteBuffer.wrap(bytes));
                int head = findHeader(bytes);
                if (head >= 0 && ByteBuffer.wrap(bytes).getInt(head + 8) > FORMAT_VERSION) {
                    throw new Unusable(name + " is of version " + ByteBuffer.wrap(bytes).getInt(head + 8)
                            + ", newer than this build's " + FORMAT_VERSION);
                }
                salt = head >= 0 ? ByteBuffer.wrap(bytes).getInt(head + 28) : salt;
            }
        }
        for (int i = 0; i < names.size(); i++) {
            if (recover(names.get(i), names.subList(i + 1, names.size()))) {
                return;
            }
        }
    }

    /**
     * Whether the batches that are missing before this offset were never forced. Then neither they nor anything after them were
     * confirmed to anyone, and the log ends there; otherwise they are damage.
     *
     * @param later names of the segments that follow
     */
    private boolean isUnforcedTail(byte[] bytes, int from, List<String> later) throws IOException {
        long max = maxForcedSequence(bytes, from);
        for (String name : later) {
            try (Disk.Handle file = disk.openReadOnly(name)) {
                byte[] more = new byte[Math.toIntExact(file.size())];
                file.read(0, ByteBuffer.wrap(more));
                max = Math.max(max, maxForcedSequence(more, SEGMENT_HEADER_BYTES));
            }
        }
        return max >= 0 && max <= sequence;
    }

    /** The highest forced sequence number that the valid frames from there on record; Long.MIN_VALUE: there are none. */
    private long maxForcedSequence(byte[] bytes, int from) {
        long max = Long.MIN_VALUE;
        for (int at = findNextFrame(bytes, from); at >= 0; at = findNextFrame(bytes, at + 1)) {
            max = Math.max(max, Batch.forcedSequence(bytes, at));
        }
        return max;
    }

    /** Truncates the log at this offset of the segment and deletes the later segments. */
    private void truncateLog(Segment segment, long at, List<String> later) throws IOException {
        truncatedBytes += segment.size - at;
        for (String name : later) {
            try (Disk.Handle file = disk.openReadOnly(name)) {
                truncatedBytes += file.size();
            }
        }
        if (!readOnly) {
            // The newest go first: if this is interrupted, the next start finds the same gap and truncates again.
            for (int i = later.size() - 1; i >= 0; i--) {
                disk.delete(later.get(i));
            }
            segment.file.truncate(at);
            setSize(segment, at);
        }
    }

    /** Offset of the first valid copy of the header; -1: neither is valid. */
    private static int findHeader(byte[] bytes) {
        for (int at = 0; at + HEADER_BYTES <= Math.min(bytes.length, SEGMENT_HEADER_BYTES); at += HEADER_BYTES) {
            if (Arrays.equals(bytes, at, at + MAGIC.length, MAGIC, 0, MAGIC.length)
                    && ByteBuffer.wrap(bytes).getInt(at + HEADER_BYTES - 4) == headerChecksum(bytes, at)) {
                return at;
            }
        }
        return -1;
    }

    /** Reads one segment into the index; true: the log ends with it, whatever files follow. */
    private boolean recover(String name, List<String> later) throws IOException {
        boolean last = later.isEmpty();
        Disk.Handle file = readOnly ? disk.openReadOnly(name) : disk.open(name, false);
        long number = Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
        Segment segment = new Segment(number, file);
        segment.size = file.size();
        byte[] bytes = new byte[Math.toIntExact(segment.size)];
        file.read(0, ByteBuffer.wrap(bytes));
        int head = findHeader(bytes);
        int at = SEGMENT_HEADER_BYTES;
        int lastGood = SEGMENT_HEADER_BYTES;
        if (head < 0 || bytes.length < SEGMENT_HEADER_BYTES) {
            if (last && findNextFrame(bytes, 0) < 0) {
                // The segment was created, but its first batch was never written.
                truncatedBytes += bytes.length;
                file.close();
                if (!readOnly) {
                    disk.delete(name);
                }
                return true;
            }
            damagedRanges.add(new DamagedRange(name, 0, Math.min(SEGMENT_HEADER_BYTES, bytes.length), 0));
            segment.unwritable = true;
            // Segment 1 always begins with the first batch, even if its header is damaged.
            firstSequenceKnown |= number == 1;
        } else {
            long before = ByteBuffer.wrap(bytes).getLong(head + 20) - 1;
            if (firstSequenceKnown && before > sequence) {
                if (isUnforcedTail(bytes, SEGMENT_HEADER_BYTES, later)) {
                    List<String> all = new ArrayList<>(List.of(name));
                    all.addAll(later);
                    file.close();
                    truncateLog(segments.get(segments.size() - 1), segments.get(segments.size() - 1).size, all);
                    return true;
                }
                damagedRanges.add(new DamagedRange(name, 0, 0, before - sequence));
            }
            sequence = Math.max(sequence, before);
            firstSequenceKnown = true;
        }
        segments.add(segment);
        usedBytes += roundUpToBlocks(segment.size);
        while (at < bytes.length) {
            int length = Batch.validFrameLength(bytes, at, bytes.length, salt);
            if (length > 0 && Batch.sequence(bytes, at) > sequence) {
                long own = Batch.sequence(bytes, at);
                if (firstSequenceKnown && own > sequence + 1) {
                    if (isUnforcedTail(bytes, at, later)) {
                        removeDamagedRangeBefore(name, at);
                        truncateLog(segment, lastGood, later);
                        return true;
                    }
                    recordLostBatches(name, at, own - sequence - 1);
                }
                sequence = own;
                firstSequenceKnown = true;
                segment.lastSequence = own;
                indexFrame(segment, bytes, at, length);
                recoveredBatches++;
                at += length;
                lastGood = at;
                continue;
            }
            int next = findNextFrame(bytes, at + 1);
            if (next < 0 && last) {
                truncatedBytes += bytes.length - at;
                if (!readOnly) {
                    file.truncate(at);
                    usedBytes -= roundUpToBlocks(segment.size) - roundUpToBlocks(at);
                    segment.size = at;
                }
                return true;
            }
            int end = next < 0 ? bytes.length : next;
            damagedRanges.add(new DamagedRange(name, at, end - at, 0));
            at = end;
        }
        return false;
    }

    /** Forgets a range of unreadable bytes that ends there, since it is part of the tail that is truncated. */
    private void removeDamagedRangeBefore(String name, int end) {
        damagedRanges.removeIf(range -> range.file.equals(name) && range.offset + range.bytes == end && range.lostBatches == 0);
    }

    /** Records missing batches, as part of the unreadable range that ends there, if there is one. */
    private void recordLostBatches(String name, int before, long lost) {
        DamagedRange range = damagedRanges.isEmpty() ? null : damagedRanges.get(damagedRanges.size() - 1);
        if (range != null && range.file.equals(name) && range.offset + range.bytes == before) {
            damagedRanges.set(damagedRanges.size() - 1, new DamagedRange(name, range.offset, range.bytes, lost));
        } else {
            damagedRanges.add(new DamagedRange(name, before, 0, lost));
        }
    }

    /** Offset of the next valid frame whose batch is newer than all that were read; -1: there is none. */
    private int findNextFrame(byte[] bytes, int from) {
        for (int at = from; at + Batch.FRAME_HEADER_BYTES < bytes.length; at++) {
            int length = Batch.validFrameLength(bytes, at, bytes.length, salt);
            if (length > 0 && Batch.sequence(bytes, at) > sequence) {
                return at;
            }
        }
        return -1;
    }

    private void indexFrame(Segment segment, byte[] bytes, int at, int length) {
        for (Batch.Entry entry : Batch.entries(bytes, at, length)) {
            updateIndex(entry, segment, at);
        }
    }

    private void updateIndex(Batch.Entry entry, Segment segment, long frame) {
        segment.liveRecords += entry.type() == Batch.PUT ? 1 : 0;
        RecordLocation before = entry.type() == Batch.PUT
                ? index.put(entry.key(), new RecordLocation(segment, frame + entry.offset(), entry.length())) : index.remove(entry.key());
        if (before != null) {
            before.segment.liveRecords--;
        }
        liveBytes += (entry.type() == Batch.PUT ? entry.length() : 0) - (before == null ? 0 : before.length);
    }

    /** What was found when the store was opened. */
    public RecoveryReport recovered() {
        return new RecoveryReport(truncatedBytes, List.copyOf(damagedRanges), recoveredBatches);
    }

    // ---- Reading ----

    /**
     * The value of a key; null: it has none.
     *
     * @throws IOException the record can't be read, or its checksum is wrong
     */
    public byte[] get(String key) throws IOException {
        RecordLocation place = index.get(key);
        if (place == null) {
            return null;
        }
        byte[] value = readValue(place);
        if (value == null) {
            throw new IOException(fileName(place.segment.number) + ": the record at " + place.offset + " is damaged");
        }
        return value;
    }

    private static byte[] readValue(RecordLocation place) throws IOException {
        ByteBuffer record = ByteBuffer.allocate(place.length);
        return place.segment.file.read(place.offset, record) < place.length ? null : Batch.recordValue(record.array());
    }

    /** Passes all keys and values to the consumer, in the order of the keys. */
    public void forEach(BiConsumer<String, byte[]> consumer) throws IOException {
        for (Map.Entry<String, RecordLocation> entry : index.entrySet()) {
            byte[] value = readValue(entry.getValue());
            if (value == null) {
                throw new IOException("the value of " + entry.getKey() + " is damaged");
            }
            consumer.accept(entry.getKey(), value);
        }
    }

    public boolean containsKey(String key) {
        return index.containsKey(key);
    }

    public Stats stats() {
        return new Stats(index.size(), segments.size(), usedBytes, liveBytes, appendedBytes, copiedBytes, sequence, delayedWrites, failedCleanings);
    }

    // ---- Writing ----

    /**
     * Whether new content of that size may be accepted.
     *
     * @param pledged bytes that are still to be written for content that was accepted before
     */
    public boolean fits(long pledged, long bytes) {
        return planner.fits(liveBytes, pledged, bytes);
    }

    /**
     * Writes all of a batch or nothing.
     *
     * @return the sequence number of the batch; of the last one where the batch is empty
     * @throws Full there is no room at present
     * @throws IOException the disk failed
     */
    public long write(Batch batch) throws IOException {
        if (batch.isEmpty()) {
            return sequence;
        }
        if (!mayWrite(batch.size())) {
            // Cleaning that has fallen behind is caught up with before a write is refused.
            delayedWrites++;
            clean(Long.MAX_VALUE, batch.size());
        }
        if (!mayWrite(batch.size())) {
            throw new Full("no room for " + batch.size() + " bytes beside " + usedBytes);
        }
        long written = append(batch);
        appendedBytes += batch.size();
        try {
            clean(planner.bytesToClean(usedBytes, liveBytes, batch.size()), 0);
        } catch (IOException e) {
            // The batch is written all the same. A lasting fault will show at a later write.
            failedCleanings++;
        }
        return written;
    }

    private boolean mayWrite(long bytes) {
        long largest = 0;
        for (Segment segment : segments) {
            largest = Math.max(largest, segment.size);
        }
        return planner.mayWrite(usedBytes, roundUpToBlocks(bytes) + BLOCK_BYTES, Math.max(largest, SEGMENT_HEADER_BYTES + bytes));
    }

    private long append(Batch batch) throws IOException {
        Segment head = segments.isEmpty() ? null : segments.get(segments.size() - 1);
        if (head == null || head.unwritable || head.size > SEGMENT_HEADER_BYTES && head.size + batch.size() > planner.segmentBytes) {
            head = startSegment();
        }
        byte[] frame = batch.frame(sequence + 1, sync ? forced : -1, salt);
        long at = head.size;
        try {
            writeAll(head, at, frame);
        } catch (IOException e) {
            undoWrite(head, at);
            throw e;
        }
        sequence++;
        head.lastSequence = sequence;
        setSize(head, at + frame.length);
        for (Batch.Entry entry : Batch.entries(frame, 0, frame.length)) {
            updateIndex(entry, head, at);
        }
        return sequence;
    }

    private static void writeAll(Segment to, long at, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            if (to.file.write(at + buffer.position(), buffer) <= 0) {
                throw new IOException("the disk takes no more");
            }
        }
    }

    /** Removes what a failed write may have left. Where that fails too, nothing is appended to the file any more. */
    private void undoWrite(Segment head, long size) {
        try {
            head.file.truncate(size);
        } catch (IOException e) {
            head.unwritable = true;
            try {
                setSize(head, Math.max(size, head.file.size()));
            } catch (IOException unknown) {
                // Its size is unknown, at most what the write would have made it; the next start counts it.
                return;
            }
        }
    }

    /** Sets the size of a segment and counts the change as used. */
    private void setSize(Segment segment, long size) {
        usedBytes += roundUpToBlocks(size) - roundUpToBlocks(segment.size);
        segment.size = size;
    }

    private static long roundUpToBlocks(long bytes) {
        return (bytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }

    private Segment startSegment() throws IOException {
        long number = segments.isEmpty() ? 1 : segments.get(segments.size() - 1).number + 1;
        Disk.Handle file = disk.open(fileName(number), true);
        Segment segment = new Segment(number, file);
        byte[] one = ByteBuffer.allocate(HEADER_BYTES).put(MAGIC).putInt(FORMAT_VERSION).putLong(number).putLong(sequence + 1).putInt(salt).array();
        ByteBuffer.wrap(one).putInt(HEADER_BYTES - 4, headerChecksum(one, 0));
        byte[] head = ByteBuffer.allocate(SEGMENT_HEADER_BYTES).put(one).put(one).array();
        try {
            writeAll(segment, 0, head);
        } catch (IOException e) {
            file.close();
            disk.delete(fileName(number));
            throw e;
        }
        segments.add(segment);
        directoryChanged = true;
        setSize(segment, SEGMENT_HEADER_BYTES);
        return segment;
    }

    private static int headerChecksum(byte[] bytes, int at) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, at, HEADER_BYTES - 4);
        return (int) crc.getValue();
    }

    /** What has to be forced so that all that was written so far survives a loss of power. Pass it to {@link #forced} afterwards. */
    public Sync sync() {
        Sync next = new Sync(disk, segments.stream().filter(segment -> segment.lastSequence > forced).map(segment -> segment.file).toList(),
                directoryChanged, sequence, nextSyncOrdinal++);
        directoryChanged = false;
        return next;
    }

    /** Records that {@link Sync#force} has succeeded. */
    public void forced(Sync done) {
        forced = Math.max(forced, done.sequence);
        deletionUnforced &= !done.directoryChanged || done.ordinal < deletionOrdinal;
    }

    // ---- Cleaning ----

    /**
     * Scans the oldest segments, copies their live records and deletes them.
     *
     * @param bytes how much to scan
     * @param wanted size of a write; cleaning ends once there is room for it; 0: only after all of the bytes
     */
    private void clean(long bytes, long wanted) throws IOException {
        long left = bytes;
        while (left > 0 && segments.size() > 1 && openSnapshots == 0 && (wanted == 0 || !mayWrite(wanted))) {
            Segment oldest = segments.get(0);
            if (cleaningOffset >= oldest.size) {
                if (sync && (deletionUnforced || forced < sequenceToForce())) {
                    return;
                }
                deleteOldest(oldest);
                continue;
            }
            if (oldest.liveRecords > 0 && !planner.mayCopy(usedBytes, roundUpToBlocks(oldest.size - cleaningOffset) + BLOCK_BYTES)) {
                return;
            }
            if (oldest.liveRecords == 0) {
                cleaningOffset = oldest.size;
                left -= BLOCK_BYTES;
                continue;
            }
            long part = Math.min(oldest.size - cleaningOffset, Math.max(Math.min(left, planner.segmentBytes), Batch.FRAME_HEADER_BYTES));
            left -= copyLiveRecords(oldest, part);
        }
    }

    /**
     * The sequence number that has to be forced before the oldest segment may be deleted. It covers not only the copies of its
     * live records, but also the batches that replaced or deleted its other records.
     */
    private long sequenceToForce() {
        scannedSequence = scannedSequence < 0 ? sequence : scannedSequence;
        return scannedSequence;
    }

    /** Appends the live records of the next batches to the end of the log; returns how many bytes were scanned. */
    private long copyLiveRecords(Segment oldest, long budget) throws IOException {
        long begin = cleaningOffset;
        try {
            Batch copy = nextLiveRecords(oldest, budget);
            if (!copy.isEmpty()) {
                append(copy);
                copiedBytes += copy.size();
            }
            return cleaningOffset - begin;
        } catch (IOException e) {
            // What could not be copied is scanned again; otherwise it would be deleted with the segment.
            cleaningOffset = begin;
            throw e;
        }
    }

    /** Scans batches from the cleaning offset on, at least one, and collects their live records. */
    private Batch nextLiveRecords(Segment oldest, long budget) throws IOException {
        long begin = cleaningOffset;
        Batch copy = new Batch();
        while (cleaningOffset < oldest.size && (cleaningOffset == begin || cleaningOffset - begin < budget)) {
            ByteBuffer head = ByteBuffer.allocate(Batch.FRAME_HEADER_BYTES);
            int length = oldest.file.read(cleaningOffset, head) < Batch.FRAME_HEADER_BYTES ? 0 : Batch.FRAME_HEADER_BYTES + head.getInt(0);
            if (length <= Batch.FRAME_HEADER_BYTES || length > oldest.size - cleaningOffset) {
                cleaningOffset = nextFrameOffset(oldest);
                continue;
            }
            ByteBuffer frame = ByteBuffer.allocate(length);
            oldest.file.read(cleaningOffset, frame);
            if (Batch.validFrameLength(frame.array(), 0, length, salt) == 0) {
                cleaningOffset = nextFrameOffset(oldest);
                continue;
            }
            for (Batch.Entry entry : Batch.entries(frame.array(), 0, length)) {
                RecordLocation place = index.get(entry.key());
                if (entry.type() == Batch.PUT && place != null && place.segment == oldest && place.offset == cleaningOffset + entry.offset()) {
                    copy.put(entry.key(), entry.value());
                }
            }
            cleaningOffset += length;
        }
        return copy;
    }

    /** Where to go on after bytes that can't be read: offset of the next valid frame, or the end of the segment. */
    private long nextFrameOffset(Segment oldest) throws IOException {
        byte[] rest = new byte[Math.toIntExact(oldest.size - cleaningOffset)];
        oldest.file.read(cleaningOffset, ByteBuffer.wrap(rest));
        for (int at = 1; at + Batch.FRAME_HEADER_BYTES < rest.length; at++) {
            if (Batch.validFrameLength(rest, at, rest.length, salt) > 0) {
                return cleaningOffset + at;
            }
        }
        return oldest.size;
    }

    private void deleteOldest(Segment oldest) throws IOException {
        if (oldest.liveRecords > 0) {
            // The segment was damaged after it was written: its unreadable records are reported as lost, and their keys have no value any more.
            damagedRanges.add(new DamagedRange(fileName(oldest.number), SEGMENT_HEADER_BYTES, oldest.size - SEGMENT_HEADER_BYTES, oldest.liveRecords));
            index.entrySet().removeIf(entry -> {
                boolean lost = entry.getValue().segment == oldest;
                liveBytes -= lost ? entry.getValue().length : 0;
                return lost;
            });
        }
        // The next deletion waits until this one is forced. If an older file came back after a loss of power and a younger one did
        // not, records would come back that the younger one deletes.
        deletionUnforced = true;
        deletionOrdinal = nextSyncOrdinal;
        directoryChanged = true;
        disk.delete(fileName(oldest.number));
        oldest.file.close();
        segments.remove(0);
        usedBytes -= roundUpToBlocks(oldest.size);
        scannedSequence = -1;
        cleaningOffset = SEGMENT_HEADER_BYTES;
    }

    // ---- Snapshots ----

    /** A file, and how many of its bytes belong to the snapshot. */
    public record SnapshotPart(String name, long length) { }

    /** The files of the store as it is now. Until {@link #releaseSnapshot} none is deleted, and they only grow beyond these lengths. */
    public List<SnapshotPart> snapshot() {
        openSnapshots++;
        return segments.stream().map(segment -> new SnapshotPart(fileName(segment.number), segment.size)).toList();
    }

    /** Allows cleaning again, once the snapshot has been copied. */
    public void releaseSnapshot() {
        openSnapshots--;
    }

    @Override public void close() throws IOException {
        for (Segment segment : segments) {
            segment.file.close();
        }
        disk.close();
    }
}
