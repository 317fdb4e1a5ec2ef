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
    public record DamagedRange(String file, long at, long bytes, long lost) {
        /** In words. */
        public String describe() {
            return file + ": " + bytes + " bytes from " + at + " on can't be read" + (lost > 0 ? ", " + lost + " batches are lost" : "");
        }
    }

    /** What opening found. torn: bytes of a last write that was never finished, cut off. */
    public record RecoveryReport(long truncatedBytes, List<DamagedRange> damagedRanges, long batches) {
        /** Whether batches that once were written are missing. */
        public boolean damaged() {
            return damagedRanges.stream().anyMatch(hole -> hole.lost > 0);
        }
    }

    /**
     * Sizes in bytes. copied: rewritten by cleaning; appended: written by callers; behind: writes that had to clean first;
     * hindered: cleanings that the disk did not let go on.
     */
    public record Stats(int keys, int segments, long used, long live, long appended, long copied, long sequence, long behind,
                        long hindered) { }

    private record Place(Segment segment, long at, int length) { }

    /** What is not sure to outlast a loss of power yet; {@link #force} may run on a thread of its own. */
    public static final class Sync {
        private final Disk disk;
        private final List<Disk.Handle> files;
        private final boolean names;
        /** The last batch that it covers. */
        private final long sequence;
        private final long order;

        private Sync(Disk disk, List<Disk.Handle> files, boolean names, long sequence, long order) {
            this.order = order;
            this.disk = disk;
            this.files = files;
            this.names = names;
            this.sequence = sequence;
        }

        /** Returns once all of it will outlast a loss of power. */
        public void force() throws IOException {
            for (Disk.Handle file : files) {
                file.force();
            }
            if (names) {
                disk.forceDirectory();
            }
        }
    }

    /** One file; places: how many of its records the index points at; written: the last batch that went into it. */
    private static final class Segment {
        final long number;
        final Disk.Handle file;
        long size;
        boolean broken;
        int places;
        long written;

        Segment(long number, Disk.Handle file) {
            this.number = number;
            this.file = file;
        }
    }

    private static final byte[] MAGIC = {'W', 'R', 'E', 'N', 'S', 'T', 'O', 'R'};
    /** The head stands twice, so that damage to one of them costs nothing. */
    static final int VERSION = 1, HEAD = 36, FILE_HEAD = 2 * HEAD, STEP = 512;
    private static final String PREFIX = "segment-", SUFFIX = ".log";

    private final Disk disk;
    private final CompactionPlanner planner;
    private final boolean readOnly;
    private final boolean sync;
    private final TreeMap<String, Place> index = new TreeMap<>();
    private final List<Segment> segments = new ArrayList<>();
    private final List<DamagedRange> holes = new ArrayList<>();
    private long torn;
    private long batches;
    private long sequence;
    private long live;
    private long used;
    private long appended;
    private long copied;
    private long cursor = FILE_HEAD;
    private int pins;
    private int salt;
    /** Whether it is known which sequence the log begins with. */
    private boolean based;
    private boolean named;
    /** Whether a file was deleted and the deletion not forced. */
    private boolean dropped;
    private long droppedAt;
    private long syncs;
    private long forced;
    /** The last batch when all of the oldest segment had been gone through; -1: that is still to come. */
    private long goneThrough = -1;
    private long behind;
    private long hindered;

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
        return opened(store);
    }

    /** Opens it for reading: nothing is locked, cut or written. */
    public static Store openReadOnly(Disk disk) throws IOException {
        return opened(new Store(disk, Long.MAX_VALUE / 4, true, false));
    }

    private static Store opened(Store store) throws IOException {
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

    private static String name(long number) {
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
            try (Disk.Handle file = disk.read(name)) {
                byte[] bytes = new byte[FILE_HEAD];
                file.read(0, ByteBuffer.wrap(bytes));
                int head = head(bytes);
                if (head >= 0 && ByteBuffer.wrap(bytes).getInt(head + 8) > VERSION) {
                    throw new Unusable(name + " is of version " + ByteBuffer.wrap(bytes).getInt(head + 8)
                            + ", newer than this build's " + VERSION);
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
    private boolean endsHere(byte[] bytes, int from, List<String> later) throws IOException {
        long most = forcedLater(bytes, from);
        for (String name : later) {
            try (Disk.Handle file = disk.read(name)) {
                byte[] more = new byte[Math.toIntExact(file.size())];
                file.read(0, ByteBuffer.wrap(more));
                most = Math.max(most, forcedLater(more, FILE_HEAD));
            }
        }
        return most >= 0 && most <= sequence;
    }

    private long forcedLater(byte[] bytes, int from) {
        long most = Long.MIN_VALUE;
        for (int at = anySound(bytes, from); at >= 0; at = anySound(bytes, at + 1)) {
            most = Math.max(most, Batch.forced(bytes, at));
        }
        return most;
    }

    /** Cuts the log off there. */
    private void cut(Segment segment, long at, List<String> later) throws IOException {
        torn += segment.size - at;
        for (String name : later) {
            try (Disk.Handle file = disk.read(name)) {
                torn += file.size();
            }
        }
        if (!readOnly) {
            // The newest go first: a cut that is cut short leaves what the next start cuts again.
            for (int i = later.size() - 1; i >= 0; i--) {
                disk.delete(later.get(i));
            }
            segment.file.truncate(at);
            grown(segment, at);
        }
    }

    /** Where the first sound head stands; -1: neither is. */
    private static int head(byte[] bytes) {
        for (int at = 0; at + HEAD <= Math.min(bytes.length, FILE_HEAD); at += HEAD) {
            if (Arrays.equals(bytes, at, at + MAGIC.length, MAGIC, 0, MAGIC.length)
                    && ByteBuffer.wrap(bytes).getInt(at + HEAD - 4) == headCheck(bytes, at)) {
                return at;
            }
        }
        return -1;
    }

    /** Takes in one file; whether the log ends with it, whatever comes later. */
    private boolean recover(String name, List<String> later) throws IOException {
        boolean last = later.isEmpty();
        Disk.Handle file = readOnly ? disk.read(name) : disk.open(name, false);
        long number = Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
        Segment segment = new Segment(number, file);
        segment.size = file.size();
        byte[] bytes = new byte[Math.toIntExact(segment.size)];
        file.read(0, ByteBuffer.wrap(bytes));
        int head = head(bytes);
        int at = FILE_HEAD;
        int lastGood = FILE_HEAD;
        if (head < 0 || bytes.length < FILE_HEAD) {
            if (last && anySound(bytes, 0) < 0) {
                // A file that was begun and never got its first batch.
                torn += bytes.length;
                file.close();
                if (!readOnly) {
                    disk.delete(name);
                }
                return true;
            }
            holes.add(new DamagedRange(name, 0, Math.min(FILE_HEAD, bytes.length), 0));
            segment.broken = true;
            // The first of all begins with the first batch, whatever became of its head.
            based |= number == 1;
        } else {
            long before = ByteBuffer.wrap(bytes).getLong(head + 20) - 1;
            if (based && before > sequence) {
                if (endsHere(bytes, FILE_HEAD, later)) {
                    List<String> all = new ArrayList<>(List.of(name));
                    all.addAll(later);
                    file.close();
                    cut(segments.get(segments.size() - 1), segments.get(segments.size() - 1).size, all);
                    return true;
                }
                holes.add(new DamagedRange(name, 0, 0, before - sequence));
            }
            sequence = Math.max(sequence, before);
            based = true;
        }
        segments.add(segment);
        used += steps(segment.size);
        while (at < bytes.length) {
            int length = Batch.soundAt(bytes, at, bytes.length, salt);
            if (length > 0 && Batch.sequence(bytes, at) > sequence) {
                long own = Batch.sequence(bytes, at);
                if (based && own > sequence + 1) {
                    if (endsHere(bytes, at, later)) {
                        dropHoleAt(name, at);
                        cut(segment, lastGood, later);
                        return true;
                    }
                    noteLost(name, at, own - sequence - 1);
                }
                sequence = own;
                based = true;
                segment.written = own;
                apply(segment, bytes, at, length);
                batches++;
                at += length;
                lastGood = at;
                continue;
            }
            int next = anySound(bytes, at + 1);
            if (next < 0 && last) {
                torn += bytes.length - at;
                if (!readOnly) {
                    file.truncate(at);
                    used -= steps(segment.size) - steps(at);
                    segment.size = at;
                }
                return true;
            }
            int end = next < 0 ? bytes.length : next;
            holes.add(new DamagedRange(name, at, end - at, 0));
            at = end;
        }
        return false;
    }

    /** Bytes that could not be read are part of what is cut off. */
    private void dropHoleAt(String name, int end) {
        holes.removeIf(hole -> hole.file.equals(name) && hole.at + hole.bytes == end && hole.lost == 0);
    }

    /** The batches that are missing stand where bytes could not be read, if any. */
    private void noteLost(String name, int before, long lost) {
        DamagedRange hole = holes.isEmpty() ? null : holes.get(holes.size() - 1);
        if (hole != null && hole.file.equals(name) && hole.at + hole.bytes == before) {
            holes.set(holes.size() - 1, new DamagedRange(name, hole.at, hole.bytes, lost));
        } else {
            holes.add(new DamagedRange(name, before, 0, lost));
        }
    }

    /** Where the next sound batch stands that is newer than all before; -1: there is none. */
    private int anySound(byte[] bytes, int from) {
        for (int at = from; at + Batch.HEAD < bytes.length; at++) {
            int length = Batch.soundAt(bytes, at, bytes.length, salt);
            if (length > 0 && Batch.sequence(bytes, at) > sequence) {
                return at;
            }
        }
        return -1;
    }

    private void apply(Segment segment, byte[] bytes, int at, int length) {
        for (Batch.Entry entry : Batch.entries(bytes, at, length)) {
            point(entry, segment, at);
        }
    }

    private void point(Batch.Entry entry, Segment segment, long frame) {
        segment.places += entry.type() == Batch.PUT ? 1 : 0;
        Place before = entry.type() == Batch.PUT
                ? index.put(entry.key(), new Place(segment, frame + entry.at(), entry.length())) : index.remove(entry.key());
        if (before != null) {
            before.segment.places--;
        }
        live += (entry.type() == Batch.PUT ? entry.length() : 0) - (before == null ? 0 : before.length);
    }

    /** What opening found. */
    public RecoveryReport recovered() {
        return new RecoveryReport(torn, List.copyOf(holes), batches);
    }

    // ---- Reading ----

    /** What a key holds; null: nothing. IOException: it can't be read, or not as it was written. */
    public byte[] get(String key) throws IOException {
        Place place = index.get(key);
        if (place == null) {
            return null;
        }
        byte[] value = value(place);
        if (value == null) {
            throw new IOException(name(place.segment.number) + ": the record at " + place.at + " is damaged");
        }
        return value;
    }

    private static byte[] value(Place place) throws IOException {
        ByteBuffer record = ByteBuffer.allocate(place.length);
        return place.segment.file.read(place.at, record) < place.length ? null : Batch.value(record.array());
    }

    /** All keys and values in the order of the keys. */
    public void forEach(BiConsumer<String, byte[]> takes) throws IOException {
        for (Map.Entry<String, Place> entry : index.entrySet()) {
            byte[] value = value(entry.getValue());
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
        return new Stats(index.size(), segments.size(), used, live, appended, copied, sequence, behind, hindered);
    }

    // ---- Writing ----

    /** Whether new content of that size may be taken on; pledged: bytes that are still to come for what is held already. */
    public boolean fits(long pledged, long bytes) {
        return planner.fits(live, pledged, bytes);
    }

    /** Writes all of a batch or nothing; its sequence. Full: there is no room now. IOException: the disk failed. */
    public long write(Batch batch) throws IOException {
        if (batch.isEmpty()) {
            return sequence;
        }
        if (!mayWrite(batch.size())) {
            // What is behind with cleaning is made up for before anything is refused.
            behind++;
            clean(Long.MAX_VALUE, batch.size());
        }
        if (!mayWrite(batch.size())) {
            throw new Full("no room for " + batch.size() + " bytes beside " + used);
        }
        long written = append(batch);
        appended += batch.size();
        try {
            clean(planner.slice(used, live, batch.size()), 0);
        } catch (IOException e) {
            // The batch is written. What hindered the cleaning will hinder a later write, or be over by then.
            hindered++;
        }
        return written;
    }

    private boolean mayWrite(long bytes) {
        long largest = 0;
        for (Segment segment : segments) {
            largest = Math.max(largest, segment.size);
        }
        return planner.mayWrite(used, steps(bytes) + STEP, Math.max(largest, FILE_HEAD + bytes));
    }

    private long append(Batch batch) throws IOException {
        Segment head = segments.isEmpty() ? null : segments.get(segments.size() - 1);
        if (head == null || head.broken || head.size > FILE_HEAD && head.size + batch.size() > planner.segment) {
            head = roll();
        }
        byte[] frame = batch.frame(sequence + 1, sync ? forced : -1, salt);
        long at = head.size;
        try {
            writeAll(head, at, frame);
        } catch (IOException e) {
            giveUp(head, at);
            throw e;
        }
        sequence++;
        head.written = sequence;
        grown(head, at + frame.length);
        for (Batch.Entry entry : Batch.entries(frame, 0, frame.length)) {
            point(entry, head, at);
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
    private void giveUp(Segment head, long size) {
        try {
            head.file.truncate(size);
        } catch (IOException e) {
            head.broken = true;
            try {
                grown(head, Math.max(size, head.file.size()));
            } catch (IOException unknown) {
                // It may be as long as the write would have made it; counted at the next start.
                return;
            }
        }
    }

    private void grown(Segment segment, long size) {
        used += steps(size) - steps(segment.size);
        segment.size = size;
    }

    private static long steps(long bytes) {
        return (bytes + STEP - 1) / STEP * STEP;
    }

    private Segment roll() throws IOException {
        long number = segments.isEmpty() ? 1 : segments.get(segments.size() - 1).number + 1;
        Disk.Handle file = disk.open(name(number), true);
        Segment segment = new Segment(number, file);
        byte[] one = ByteBuffer.allocate(HEAD).put(MAGIC).putInt(VERSION).putLong(number).putLong(sequence + 1).putInt(salt).array();
        ByteBuffer.wrap(one).putInt(HEAD - 4, headCheck(one, 0));
        byte[] head = ByteBuffer.allocate(FILE_HEAD).put(one).put(one).array();
        try {
            writeAll(segment, 0, head);
        } catch (IOException e) {
            file.close();
            disk.delete(name(number));
            throw e;
        }
        segments.add(segment);
        named = true;
        grown(segment, FILE_HEAD);
        return segment;
    }

    private static int headCheck(byte[] bytes, int at) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, at, HEAD - 4);
        return (int) crc.getValue();
    }

    /** What is to be forced for all that was written so far to outlast a loss of power. */
    public Sync sync() {
        Sync next = new Sync(disk, segments.stream().filter(segment -> segment.written > forced).map(segment -> segment.file).toList(),
                named, sequence, syncs++);
        named = false;
        return next;
    }

    /** It has been forced. */
    public void forced(Sync done) {
        forced = Math.max(forced, done.sequence);
        dropped &= !done.names || done.order < droppedAt;
    }

    // ---- Cleaning ----

    /** Goes through the oldest segments for so many bytes, or until a write of that size has room. */
    private void clean(long bytes, long wanted) throws IOException {
        long left = bytes;
        while (left > 0 && segments.size() > 1 && pins == 0 && (wanted == 0 || !mayWrite(wanted))) {
            Segment oldest = segments.get(0);
            if (cursor >= oldest.size) {
                if (sync && (dropped || forced < goneThroughAt())) {
                    return;
                }
                drop(oldest);
                continue;
            }
            if (oldest.places > 0 && !planner.mayCopy(used, steps(oldest.size - cursor) + STEP)) {
                return;
            }
            if (oldest.places == 0) {
                cursor = oldest.size;
                left -= STEP;
                continue;
            }
            long part = Math.min(oldest.size - cursor, Math.max(Math.min(left, planner.segment), Batch.HEAD));
            left -= move(oldest, part);
        }
    }

    /**
     * What has to be forced before the oldest segment may go: not its copies alone, also whatever replaced or deleted what it
     * holds.
     */
    private long goneThroughAt() {
        goneThrough = goneThrough < 0 ? sequence : goneThrough;
        return goneThrough;
    }

    /** Copies what is live of the next batches to the head of the log; how many bytes were gone through. */
    private long move(Segment oldest, long budget) throws IOException {
        long begin = cursor;
        try {
            Batch copy = next(oldest, budget);
            if (!copy.isEmpty()) {
                append(copy);
                copied += copy.size();
            }
            return cursor - begin;
        } catch (IOException e) {
            // Guards what could not be copied: it is gone through again.
            cursor = begin;
            throw e;
        }
    }

    private Batch next(Segment oldest, long budget) throws IOException {
        long begin = cursor;
        Batch copy = new Batch();
        while (cursor < oldest.size && (cursor == begin || cursor - begin < budget)) {
            ByteBuffer head = ByteBuffer.allocate(Batch.HEAD);
            int length = oldest.file.read(cursor, head) < Batch.HEAD ? 0 : Batch.HEAD + head.getInt(0);
            if (length <= Batch.HEAD || length > oldest.size - cursor) {
                cursor = resume(oldest);
                continue;
            }
            ByteBuffer frame = ByteBuffer.allocate(length);
            oldest.file.read(cursor, frame);
            if (Batch.soundAt(frame.array(), 0, length, salt) == 0) {
                cursor = resume(oldest);
                continue;
            }
            for (Batch.Entry entry : Batch.entries(frame.array(), 0, length)) {
                Place place = index.get(entry.key());
                if (entry.type() == Batch.PUT && place != null && place.segment == oldest && place.at == cursor + entry.at()) {
                    copy.put(entry.key(), entry.value());
                }
            }
            cursor += length;
        }
        return copy;
    }

    /** Behind bytes that can't be read: at the first place after them that the index points into, or the end. */
    private long resume(Segment oldest) throws IOException {
        byte[] rest = new byte[Math.toIntExact(oldest.size - cursor)];
        oldest.file.read(cursor, ByteBuffer.wrap(rest));
        for (int at = 1; at + Batch.HEAD < rest.length; at++) {
            if (Batch.soundAt(rest, at, rest.length, salt) > 0) {
                return cursor + at;
            }
        }
        return oldest.size;
    }

    private void drop(Segment oldest) throws IOException {
        if (oldest.places > 0) {
            // Damage since it was written: what can't be read any more is told, and nothing is made up in its place.
            holes.add(new DamagedRange(name(oldest.number), FILE_HEAD, oldest.size - FILE_HEAD, oldest.places));
            index.entrySet().removeIf(entry -> {
                boolean lost = entry.getValue().segment == oldest;
                live -= lost ? entry.getValue().length : 0;
                return lost;
            });
        }
        // Guards the order of deletions: the next one waits until this one will last. An older file that comes back alone would
        // bring back what a younger one deletes.
        dropped = true;
        droppedAt = syncs;
        named = true;
        disk.delete(name(oldest.number));
        oldest.file.close();
        segments.remove(0);
        used -= steps(oldest.size);
        goneThrough = -1;
        cursor = FILE_HEAD;
    }

    // ---- Snapshots ----

    /** A file and how much of it belongs to the snapshot. */
    public record Part(String name, long length) { }

    /** The store as it is now; its files stay until {@link #release}, and only grow behind their lengths. */
    public List<Part> snapshot() {
        pins++;
        return segments.stream().map(segment -> new Part(name(segment.number), segment.size)).toList();
    }

    /** A snapshot has been copied. */
    public void release() {
        pins--;
    }

    @Override public void close() throws IOException {
        for (Segment segment : segments) {
            segment.file.close();
        }
        disk.close();
    }
}
