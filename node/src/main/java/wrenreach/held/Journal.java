package wrenreach.held;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.zip.CRC32;
import wrenreach.endpoints.ListLog;
import wrenreach.log.LogEvent;

/**
 * What the node owes, in a file that outlasts it: records of length, checksum and content, appended once a
 * turn. A tail that a killed process left half written is cut off. Old records go by writing what is still
 * owed into a new file that takes the old one's name.
 */
public final class Journal implements Ledger {
    private static final System.Logger LOG = System.getLogger(Journal.class.getName());
    private static final String FILE_NAME = "journal", NEXT_FILE_NAME = "journal.next";
    /** Where a store keeps what is owed, in the same folder. */
    public static final String STORE = "store";
    private static final int RECORD_HEADER_BYTES = 8;
    /**
     * Parts of the room: the old and the compacted file stand beside each other for a moment. The ballast has to hold the
     * connects and ends of what is owed for the seconds in which others fill the disk: a mail in some hundred bytes, more of
     * it the larger the folder.
     */
    private static final double FILE_SHARE = 0.54, OUTSTANDING_SHARE = 0.4, RESERVED_SHARE = 0.01;

    private final Path file;
    private final Path nextFile;
    private final ListLog listLog;
    private final ReservedSpace reservedSpace;
    /** Microseconds of a clock that only goes forward. */
    private LongSupplier monotonicMicros = () -> System.nanoTime() / 1000;
    private final long fileLimit;
    private final long outstandingLimit;
    private final Map<String, HeldMail> outstanding;
    private final boolean resumed;
    /** What the next write records, in order. */
    private final List<PendingRecord> pending = new ArrayList<>();
    private FileChannel channel;
    private long size;
    private long outstandingBytes;
    /** By which the records' times are; null: the wall's. */
    private TimeBase timeBase;
    private boolean timeBaseUnrecorded;
    /** What the file holds behind the records that lasted is not known: the next write makes a new file. */
    private boolean tailUnknown;

    /** An entry with the bytes of its record. */
    private record PendingRecord(Entry entry, byte[] bytes) { }

    /** The bytes of the file that are whole records, and the clock that their times are by; null: the wall's. */
    private record ReplayResult(long validBytes, TimeBase timeBase) { }

    private Journal(Path folder, long limit, Map<String, HeldMail> owed, ReplayResult replayed) throws IOException {
        file = folder.resolve(FILE_NAME);
        nextFile = folder.resolve(NEXT_FILE_NAME);
        listLog = new ListLog(folder, limit);
        fileLimit = (long) (limit * FILE_SHARE);
        outstandingLimit = (long) (limit * OUTSTANDING_SHARE);
        this.outstanding = owed;
        size = replayed.validBytes;
        timeBase = replayed.timeBase;
        resumed = size > 0;
        owed.values().forEach(held -> outstandingBytes += held.journalBytes);
        Files.deleteIfExists(nextFile);
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.truncate(size);
        channel.position(size);
        reservedSpace = new ReservedSpace(folder.resolve("ballast"), (long) (limit * RESERVED_SHARE));
    }

    /** Opens the folder's journal for writing; limit: bytes that the folder may hold. */
    public static Journal open(Path folder, long limit) throws IOException {
        if (Files.exists(folder.resolve(STORE))) {
            // Guards what is owed: a node that went back to the journal would know nothing of it.
            throw new IOException(folder.resolve(STORE) + " holds what is owed: [store] has to stay on");
        }
        Map<String, HeldMail> owed = new LinkedHashMap<>();
        return new Journal(folder, limit, owed, replay(folder.resolve(FILE_NAME), owed));
    }

    /** What the folder's journal owes, in the order taken on; nothing is written. */
    public static List<HeldMail> read(Path folder) throws IOException {
        Map<String, HeldMail> owed = new LinkedHashMap<>();
        replay(folder.resolve(FILE_NAME), owed);
        return new ArrayList<>(owed.values());
    }

    @Override public Optional<TimeBase> timeBase() {
        return Optional.ofNullable(timeBase);
    }

    @Override public void startClock(TimeBase started, LongSupplier itsMicros) {
        monotonicMicros = itsMicros;
        timeBaseUnrecorded = !started.equals(timeBase);
        timeBase = started;
    }

    @Override public boolean resumed() {
        return resumed;
    }

    @Override public List<HeldMail> outstanding() {
        return new ArrayList<>(outstanding.values());
    }

    @Override public boolean fits(int bodyBytes, int before, int tries) {
        return reservedSpace.reserved() && outstandingBytes + (1L + before) * (bodyBytes + (1 + tries) * 128L) <= outstandingLimit;
    }

    @Override public void accepted(HeldMail held) {
        held.accepted = true;
        outstanding.put(held.submission.id(), held);
        addPendingFor(held, new Entry.Accepted(held.submission, held.deadline));
    }

    @Override public void attemptStarted(HeldMail held, RecordedAttempt connect) {
        held.attempts.add(connect);
        addPendingFor(held, new Entry.AttemptStarted(held.submission.id(), connect));
        if (connect.neverRan()) {
            addPendingFor(held, new Entry.NeverRan(held.submission.id(), connect.number()));
        }
    }

    @Override public void neverRan(HeldMail held, int number) {
        if (held.markNeverRan(number)) {
            addPendingFor(held, new Entry.NeverRan(held.submission.id(), number));
        }
    }

    @Override public void ended(HeldMail held, Ending ending) {
        held.ending = ending;
        addPendingFor(held, new Entry.Ended(held.submission.id(), ending));
    }

    @Override public void completed(HeldMail held) {
        if (held.accepted && outstanding.remove(held.submission.id(), held)) {
            held.accepted = false;
            addPending(new Entry.Completed(held.submission.id()));
            outstandingBytes -= held.journalBytes;
        }
    }

    @Override public boolean canRetryWrite() {
        return true;
    }

    @Override public void retract(HeldMail held) {
        if (outstanding.remove(held.submission.id(), held)) {
            held.accepted = false;
            outstandingBytes -= held.journalBytes;
            pending.removeIf(one -> one.entry.id().equals(held.submission.id()));
        }
    }

    @Override public void retractAttempt(HeldMail held, int number) {
        for (Iterator<PendingRecord> all = pending.iterator(); all.hasNext();) {
            PendingRecord one = all.next();
            if (one.entry instanceof Entry.AttemptStarted connecting && connecting.id().equals(held.submission.id())
                    && connecting.attempt().number() == number) {
                all.remove();
                held.journalBytes -= one.bytes.length;
                outstandingBytes -= one.bytes.length;
                held.attempts.remove(connecting.attempt());
            }
        }
    }

    @Override public ListLog listLog() {
        return listLog;
    }

    @Override public long size() {
        return size;
    }

    /** Writes all records noted since the last time, at once: without a sync they last as soon as they are written. */
    @Override public boolean write(Runnable then) throws IOException {
        write();
        return true;
    }

    /** The same, for who has no turn. */
    public void write() throws IOException {
        if (reservedSpace.restore(monotonicMicros.getAsLong())) {
            LogEvent.log(LOG, Level.WARNING, "journal.room", "the disk has room again: mails are taken on");
        }
        if (pending.isEmpty() && !tailUnknown) {
            return;
        }
        try {
            while (!appendOrFreeSpace()) {
                truncateTail();
            }
        } catch (IOException e) {
            discardFailedWrite(e);
            throw e;
        }
        pending.clear();
        tailUnknown = false;
    }

    private void truncateTail() throws IOException {
        channel.truncate(size);
        channel.position(size);
    }

    /** What a failed write has left in the file is cut off at once: another process would take whole records of it for promises. */
    private void discardFailedWrite(IOException failure) {
        try {
            truncateTail();
            tailUnknown |= !StorageErrors.isDiskFull(failure);
        } catch (IOException e) {
            tailUnknown = true;
            failure.addSuppressed(e);
        }
    }

    /**
     * Guards what is owed on a full disk: a node that can't record ends, and again at each start, until its mails are over. So
     * room is kept for it; and a promise is worth more than a kept list, which discovery can say again. False: there is more
     * room now than there was.
     */
    private boolean appendOrFreeSpace() throws IOException {
        try {
            append();
            return true;
        } catch (IOException e) {
            if (reservedSpace.release()) {
                LogEvent.log(LOG, Level.ERROR, "journal.short",
                        "the disk takes no more: new mails are refused, what is owed goes on: {why}", "why", e.getMessage());
            } else if (!listLog.discard()) {
                throw e;
            }
            return false;
        }
    }

    private void append() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1 << 12);
        pending.forEach(one -> bytes.writeBytes(one.bytes));
        if (tailUnknown || size + bytes.size() > fileLimit) {
            compact();
        } else {
            size += write(channel, bytes);
        }
    }

    /** What is pending is part of the state that this writes. */
    private void compact() throws IOException {
        long before = size;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) Math.max(64, outstandingBytes));
        if (timeBase != null) {
            bytes.writeBytes(encodeRecord(new Entry.Clock(timeBase)));
        }
        outstanding.values().forEach(held -> entriesOf(held).forEach(entry -> bytes.writeBytes(encodeRecord(entry))));
        FileChannel fresh = FileChannel.open(nextFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        int after;
        try {
            after = write(fresh, bytes);
            Files.move(nextFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        FileChannel replaced = channel;
        channel = fresh;
        size = after;
        closeReplaced(replaced);
        LogEvent.log(LOG, Level.INFO, "journal.compacted", "journal compacted: {before} to {after} bytes, {owed} mails owed",
                "before", before, "after", size, "owed", outstanding.size());
    }

    /** The records are in the new file by now: an error of the old one is no failure of the write. */
    private static void closeReplaced(FileChannel replaced) {
        try {
            replaced.close();
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "journal.old", "the journal's old file can't be closed: {why}", "why", e.getMessage());
        }
    }

    private static List<Entry> entriesOf(HeldMail held) {
        List<Entry> entries = new ArrayList<>();
        entries.add(new Entry.Accepted(held.submission, held.deadline));
        for (RecordedAttempt c : held.attempts) {
            entries.add(new Entry.AttemptStarted(held.submission.id(), c));
            if (c.neverRan()) {
                entries.add(new Entry.NeverRan(held.submission.id(), c.number()));
            }
        }
        if (held.ending != null) {
            entries.add(new Entry.Ended(held.submission.id(), held.ending));
        }
        return entries;
    }

    private void addPendingFor(HeldMail held, Entry entry) {
        int bytes = addPending(entry);
        held.journalBytes += bytes;
        outstandingBytes += bytes;
    }

    private int addPending(Entry entry) {
        if (timeBaseUnrecorded) {
            // Not by itself: a process that records nothing leaves the folder as it was.
            timeBaseUnrecorded = false;
            addPending(new Entry.Clock(timeBase));
        }
        PendingRecord one = new PendingRecord(entry, encodeRecord(entry));
        pending.add(one);
        return one.bytes.length;
    }

    private static byte[] encodeRecord(Entry entry) {
        byte[] content = entry.encode();
        return ByteBuffer.allocate(RECORD_HEADER_BYTES + content.length).putInt(content.length).putInt(checksum(content)).put(content).array();
    }

    private static int write(FileChannel to, ByteArrayOutputStream bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
        return buffer.limit();
    }

    /** Reads records until the end or the first that is not whole; the length of those that are. */
    private static ReplayResult replay(Path file, Map<String, HeldMail> owed) throws IOException {
        if (!Files.exists(file)) {
            return new ReplayResult(0, null);
        }
        TimeBase base = null;
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        int good = 0;
        while (bytes.remaining() >= RECORD_HEADER_BYTES) {
            int length = bytes.getInt();
            int checksum = bytes.getInt();
            if (length < 0 || length > bytes.remaining()) {
                break;
            }
            byte[] content = new byte[length];
            bytes.get(content);
            if (checksum(content) != checksum) {
                break;
            }
            Entry entry = Entry.decode(content);
            base = entry instanceof Entry.Clock clock ? clock.base() : base;
            apply(entry, RECORD_HEADER_BYTES + length, owed);
            good = bytes.position();
        }
        if (good < bytes.limit()) {
            LogEvent.log(LOG, Level.WARNING, "journal.torn", "journal: cut off a torn tail of {bytes} bytes",
                    "bytes", bytes.limit() - good);
        }
        return new ReplayResult(good, base);
    }

    private static void apply(Entry entry, int bytes, Map<String, HeldMail> owed) {
        HeldMail held = owed.get(entry.id());
        if (entry instanceof Entry.Accepted taken) {
            held = new HeldMail(taken.submission(), taken.deadline());
            held.accepted = true;
            owed.put(entry.id(), held);
        } else if (held == null) {
            return;
        } else if (entry instanceof Entry.AttemptStarted connecting) {
            held.attempts.add(connecting.attempt());
        } else if (entry instanceof Entry.NeverRan neverRan) {
            held.markNeverRan(neverRan.number());
        } else if (entry instanceof Entry.Ended ended) {
            held.ending = ended.ending();
        } else {
            owed.remove(entry.id());
        }
        held.journalBytes += bytes;
    }

    private static int checksum(byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(content);
        return (int) crc.getValue();
    }

    @Override public void close() throws IOException {
        channel.close();
    }
}
