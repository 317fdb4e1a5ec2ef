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
 * An embedded store of keys and values: batches appended to segments, an index in memory, the oldest segments cleaned in
 * slices. One thread owns it, but for {@link #force}. The format is in docs/store-format.md. It knows nothing of what it holds.
 */
public final class Store implements AutoCloseable {
    /** The store can't be used as it is; nothing was changed. */
    public static final class Unusable extends IOException {
        private static final long serialVersionUID = 1;

        Unusable(String message) {
            super(message);
        }
    }

    /** There is no room for a batch; nothing was written. */
    public static final class Full extends IOException {
        private static final long serialVersionUID = 1;

        Full(String message) {
            super(message);
        }
    }

    /** Something that is not as it was written. lost: batches that are missing there; 0: only bytes that were given up. */
    public record DamagedRange(String file, long offset, long bytes, long lostBatches) {
        /** In words. */
        public String describe() {
            return file + ": " + bytes + " bytes from " + offset + " on can't be read" + (lostBatches > 0 ? ", " + lostBatches + " batches are lost" : "");
        }
    }

    /** What opening found. torn: bytes of a last write that was never finished, cut off. */
    public record RecoveryReport(long truncatedBytes, List<DamagedRange> damagedRanges, long batches) {
        /** Whether batches that once were written are missing. */
        public boolean damaged() {
            return damagedRanges.stream().anyMatch(hole -> hole.lostBatches > 0);
        }
    }

    /**
     * Sizes in bytes. copied: rewritten by cleaning; appended: written by callers; behind: writes that had to clean first;
     * hindered: cleanings that the disk did not let go on.
     */
    public record Stats(int keys, int segments, long usedBytes, long liveBytes, long appendedBytes, long copiedBytes, long sequence, long delayedWrites,
                        long failedCleanings) { }

    private record RecordLocation(Segment segment, long offset, int length) { }

    /** What is not sure to outlast a loss of power yet; {@link #force} may run on a thread of its own. */
    public static final class Sync {
        private final Disk disk;
        private final List<Disk.Handle> files;
        private final boolean directoryChanged;
        /** The last batch that it covers. */
        private final long sequence;
        private final long ordinal;

        private Sync(Disk disk, List<Disk.Handle> files, boolean names, long sequence, long order) {
            this.ordinal = order;
            this.disk = disk;
            this.files = files;
            this.directoryChanged = names;
            this.sequence = sequence;
        }

        /** Returns once all of it will outlast a loss of power. */
        public void force() throws IOException {
            for (Disk.Handle file : files) {
                file.force();
            }
            if (directoryChanged) {
                disk.forceDirectory();
            }
        }
    }

    /** One file; places: how many of its records the index points at; written: the last batch that went into it. */
    private static final class Segment {
        final long number;
        final Disk.Handle file;
        long size;
        boolean unwritable;
        int liveRecords;
        long lastSequence;

        Segment(long number, Disk.Handle file) {
            this.number = number;
            this.file = file;
        }
    }

    private static final byte[] MAGIC = {'W', 'R', 'E', 'N', 'S', 'T', 'O', 'R'};
    /** The head stands twice, so that damage to one of them costs nothing. */
    static final int FORMAT_VERSION = 1, HEADER_BYTES = 36, SEGMENT_HEADER_BYTES = 2 * HEADER_BYTES, BLOCK_BYTES = 512;
    private static final String PREFIX = "segment-", SUFFIX = ".log";

    private final Disk disk;
    private final CompactionPlanner planner;
    private final boolean readOnly;
    private final boolean sync;
    private final TreeMap<String, RecordLocation> index = new TreeMap<>();
    private final List<Segment> segments = new ArrayList<>();
    private final List<DamagedRange> damagedRanges = new ArrayList<>();
    private long truncatedBytes;
    private long recoveredBatches;
    private long sequence;
    private long liveBytes;
    private long usedBytes;
    private long appendedBytes;
    private long copiedBytes;
    private long cleaningOffset = SEGMENT_HEADER_BYTES;
    private int openSnapshots;
    private int salt;
    /** Whether it is known which sequence the log begins with. */
    private boolean firstSequenceKnown;
    private boolean directoryChanged;
    /** Whether a file was deleted and the deletion not forced. */
    private boolean deletionUnforced;
    private long deletionOrdinal;
    private long nextSyncOrdinal;
    private long forced;
    /** The last batch when all of the oldest segment had been gone through; -1: that is still to come. */
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
     * Opens a store for writing, or makes a new one. limit: bytes that it may take on disk, in steps of 512; sync: what was
     * copied by cleaning is forced before its old place goes, and {@link #sync} is used; salt: any number that who hands in
     * values can't know, for a new store.
     */
    public static Store open(Disk disk, long limit, boolean sync, int salt) throws IOException {
        disk.lock();
        Store store = new Store(disk, limit, false, sync);
        store.salt = salt;
        return finishOpening(store);
    }

    /** Opens it for reading: nothing is locked, cut or written. */
    public static Store openReadOnly(Disk disk) throws IOException {
        return finishOpening(new Store(disk, Long.MAX_VALUE / 4, true, false));
    }

    private static Store finishOpening(Store store) throws IOException {
        try {
            store.recover();
            if (store.sync) {
                // What was found is promised from now on. Guards it: a batch to come says up to where all was forced.
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

    /** Whether a folder's files look like a store's. */
    public static boolean isStore(Disk disk) throws IOException {
        return disk.list().stream().anyMatch(Store::isSegment);
    }

    // ---- Recovery ----

    private void recover() throws IOException {
        List<String> names = disk.list().stream().filter(Store::isSegment).sorted().toList();
        // Nothing may be touched before all versions are known to be readable.
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
     * Whether what is missing before the place was never forced: then it was not promised, nor was anything behind it, and the
     * log ends there. Else it is damage.
     */
    private boolean isUnforcedTail(byte[] bytes, int from, List<String> later) throws IOException {
        long most = maxForcedSequence(bytes, from);
        for (String name : later) {
            try (Disk.Handle file = disk.openReadOnly(name)) {
                byte[] more = new byte[Math.toIntExact(file.size())];
                file.read(0, ByteBuffer.wrap(more));
                most = Math.max(most, maxForcedSequence(more, SEGMENT_HEADER_BYTES));
            }
        }
        return most >= 0 && most <= sequence;
    }

    private long maxForcedSequence(byte[] bytes, int from) {
        long most = Long.MIN_VALUE;
        for (int at = findNextFrame(bytes, from); at >= 0; at = findNextFrame(bytes, at + 1)) {
            most = Math.max(most, Batch.forcedSequence(bytes, at));
        }
        return most;
    }

    /** Cuts the log off there. */
    private void truncateLog(Segment segment, long at, List<String> later) throws IOException {
        truncatedBytes += segment.size - at;
        for (String name : later) {
            try (Disk.Handle file = disk.openReadOnly(name)) {
                truncatedBytes += file.size();
            }
        }
        if (!readOnly) {
            // The newest go first: a cut that is cut short leaves what the next start cuts again.
            for (int i = later.size() - 1; i >= 0; i--) {
                disk.delete(later.get(i));
            }
            segment.file.truncate(at);
            setSize(segment, at);
        }
    }

    /** Where the first sound head stands; -1: neither is. */
    private static int findHeader(byte[] bytes) {
        for (int at = 0; at + HEADER_BYTES <= Math.min(bytes.length, SEGMENT_HEADER_BYTES); at += HEADER_BYTES) {
            if (Arrays.equals(bytes, at, at + MAGIC.length, MAGIC, 0, MAGIC.length)
                    && ByteBuffer.wrap(bytes).getInt(at + HEADER_BYTES - 4) == headerChecksum(bytes, at)) {
                return at;
            }
        }
        return -1;
    }

    /** Takes in one file; whether the log ends with it, whatever comes later. */
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
                // A file that was begun and never got its first batch.
                truncatedBytes += bytes.length;
                file.close();
                if (!readOnly) {
                    disk.delete(name);
                }
                return true;
            }
            damagedRanges.add(new DamagedRange(name, 0, Math.min(SEGMENT_HEADER_BYTES, bytes.length), 0));
            segment.unwritable = true;
            // The first of all begins with the first batch, whatever became of its head.
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

    /** Bytes that could not be read are part of what is cut off. */
    private void removeDamagedRangeBefore(String name, int end) {
        damagedRanges.removeIf(hole -> hole.file.equals(name) && hole.offset + hole.bytes == end && hole.lostBatches == 0);
    }

    /** The batches that are missing stand where bytes could not be read, if any. */
    private void recordLostBatches(String name, int before, long lost) {
        DamagedRange hole = damagedRanges.isEmpty() ? null : damagedRanges.get(damagedRanges.size() - 1);
        if (hole != null && hole.file.equals(name) && hole.offset + hole.bytes == before) {
            damagedRanges.set(damagedRanges.size() - 1, new DamagedRange(name, hole.offset, hole.bytes, lost));
        } else {
            damagedRanges.add(new DamagedRange(name, before, 0, lost));
        }
    }

    /** Where the next sound batch stands that is newer than all before; -1: there is none. */
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

    /** What opening found. */
    public RecoveryReport recovered() {
        return new RecoveryReport(truncatedBytes, List.copyOf(damagedRanges), recoveredBatches);
    }

    // ---- Reading ----

    /** What a key holds; null: nothing. IOException: it can't be read, or not as it was written. */
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

    /** All keys and values in the order of the keys. */
    public void forEach(BiConsumer<String, byte[]> takes) throws IOException {
        for (Map.Entry<String, RecordLocation> entry : index.entrySet()) {
            byte[] value = readValue(entry.getValue());
            if (value == null) {
                throw new IOException("the value of " + entry.getKey() + " is damaged");
            }
            takes.accept(entry.getKey(), value);
        }
    }

    public boolean containsKey(String key) {
        return index.containsKey(key);
    }

    public Stats stats() {
        return new Stats(index.size(), segments.size(), usedBytes, liveBytes, appendedBytes, copiedBytes, sequence, delayedWrites, failedCleanings);
    }

    // ---- Writing ----

    /** Whether new content of that size may be taken on; pledged: bytes that are still to come for what is held already. */
    public boolean fits(long pledged, long bytes) {
        return planner.fits(liveBytes, pledged, bytes);
    }

    /** Writes all of a batch or nothing; its sequence. Full: there is no room now. IOException: the disk failed. */
    public long write(Batch batch) throws IOException {
        if (batch.isEmpty()) {
            return sequence;
        }
        if (!mayWrite(batch.size())) {
            // What is behind with cleaning is made up for before anything is refused.
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
            // The batch is written. What hindered the cleaning will hinder a later write, or be over by then.
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

    /** Takes back what a failed write may have left; where that fails too, the file is not written any more. */
    private void undoWrite(Segment head, long size) {
        try {
            head.file.truncate(size);
        } catch (IOException e) {
            head.unwritable = true;
            try {
                setSize(head, Math.max(size, head.file.size()));
            } catch (IOException unknown) {
                // It may be as long as the write would have made it; counted at the next start.
                return;
            }
        }
    }

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

    /** What is to be forced for all that was written so far to outlast a loss of power. */
    public Sync sync() {
        Sync next = new Sync(disk, segments.stream().filter(segment -> segment.lastSequence > forced).map(segment -> segment.file).toList(),
                directoryChanged, sequence, nextSyncOrdinal++);
        directoryChanged = false;
        return next;
    }

    /** It has been forced. */
    public void forced(Sync done) {
        forced = Math.max(forced, done.sequence);
        deletionUnforced &= !done.directoryChanged || done.ordinal < deletionOrdinal;
    }

    // ---- Cleaning ----

    /** Goes through the oldest segments for so many bytes, or until a write of that size has room. */
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
     * What has to be forced before the oldest segment may go: not its copies alone, also whatever replaced or deleted what it
     * holds.
     */
    private long sequenceToForce() {
        scannedSequence = scannedSequence < 0 ? sequence : scannedSequence;
        return scannedSequence;
    }

    /** Copies what is live of the next batches to the head of the log; how many bytes were gone through. */
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
            // Guards what could not be copied: it is gone through again.
            cleaningOffset = begin;
            throw e;
        }
    }

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

    /** Behind bytes that can't be read: at the first place after them that the index points into, or the end. */
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
            // Damage since it was written: what can't be read any more is told, and nothing is made up in its place.
            damagedRanges.add(new DamagedRange(fileName(oldest.number), SEGMENT_HEADER_BYTES, oldest.size - SEGMENT_HEADER_BYTES, oldest.liveRecords));
            index.entrySet().removeIf(entry -> {
                boolean lost = entry.getValue().segment == oldest;
                liveBytes -= lost ? entry.getValue().length : 0;
                return lost;
            });
        }
        // Guards the order of deletions: the next one waits until this one will last. An older file that comes back alone would
        // bring back what a younger one deletes.
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

    /** A file and how much of it belongs to the snapshot. */
    public record SnapshotPart(String name, long length) { }

    /** The store as it is now; its files stay until {@link #release}, and only grow behind their lengths. */
    public List<SnapshotPart> snapshot() {
        openSnapshots++;
        return segments.stream().map(segment -> new SnapshotPart(fileName(segment.number), segment.size)).toList();
    }

    /** A snapshot has been copied. */
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
