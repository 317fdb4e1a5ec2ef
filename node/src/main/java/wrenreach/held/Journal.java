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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import wrenreach.endpoints.ListLog;
import wrenreach.log.LogEvent;

/**
 * The ledger as an append-only file: records of length, checksum and content, appended once an iteration of the event loop, see
 * {@link JournalReader}. A tail that a killed process left incomplete is truncated. The ids of mails that have ended and may have run are
 * remembered. Old records are removed by compaction: the outstanding mails and these ids are written to a new file that replaces the old
 * one. Owned by the node's event loop.
 */
public final class Journal implements Ledger {
    private static final System.Logger LOG = System.getLogger(Journal.class.getName());
    private static final String FILE_NAME = "journal";
    /** The new file during a compaction. */
    private static final String NEXT_FILE_NAME = "journal.next";
    /** The subfolder in which a store keeps the outstanding mails in place of the journal. */
    public static final String STORE = "store";
    /** Share of the folder's limit that the file may take before it is compacted: old and compacted file exist side by side for a moment. */
    private static final double FILE_SHARE = 0.54;
    /** Share of the folder's limit that the records of outstanding mails may take, and so a compacted file. */
    private static final double OUTSTANDING_SHARE = 0.4;
    /**
     * Share of the folder's limit that is reserved for a full disk. It has to hold the attempts and endings of the outstanding mails for the
     * seconds in which others fill the disk: some hundred bytes a mail; it is larger the larger the folder is.
     */
    private static final double RESERVED_SHARE = 0.01;

    /** Share of the folder's limit that the ids of ended mails may take in a compacted file. */
    private static final double REMEMBERED_SHARE = 0.05;
    /** Bytes that these ids may take at most: they are in memory too. */
    private static final int MAX_REMEMBERED_BYTES = 512 * 1024;
    /** Bytes of the record of an ended mail beside its id. */
    private static final int COMPLETED_RECORD_BYTES = JournalReader.HEADER_BYTES + Entry.MIN_CONTENT_BYTES;
    /** How long the id of an ended mail is remembered: clients that repeat a command do so within seconds. */
    private static final long REMEMBER_MICROS = 600_000_000;
    /** Ids that are forgotten in one write. */
    private static final int MAX_EXPIRED_IDS_PER_WRITE = 256;

    private final Path file;
    private final Path nextFile;
    private final ListLog listLog;
    private final ReservedSpace reservedSpace;
    /** Microseconds of a clock that only goes forward. */
    private LongSupplier monotonicMicros = () -> System.nanoTime() / 1000;
    /** Bytes. */
    private final long fileLimit;
    /** Bytes. */
    private final long outstandingLimit;
    /** By id, in the order in which they were accepted. */
    private final Map<String, HeldMail> outstanding;
    private final RememberedIds remembered;
    private final boolean resumed;
    private final OptionalLong lastWrittenMillis;
    /** What the next write appends, in order. */
    private final List<PendingRecord> pending = new ArrayList<>();
    private FileChannel channel;
    /** Bytes of the file that are whole, durable records. */
    private long size;
    /** Bytes that the outstanding mails take in a compacted file. */
    private long outstandingBytes;
    /** The clock that the records' times are measured by; null: the wall clock. */
    private TimeBase timeBase;
    private boolean timeBaseUnrecorded;
    /** It is not known what the file holds behind the durable records: the next write replaces it by a new file. */
    private boolean tailUnknown;

    /** An entry with the bytes of its record. */
    private record PendingRecord(Entry entry, byte[] bytes) { }

    private Journal(Path folder, long limit, JournalReader replayed) throws IOException {
        lastWrittenMillis = LastWrite.millis(folder.resolve(FILE_NAME));
        file = folder.resolve(FILE_NAME);
        nextFile = folder.resolve(NEXT_FILE_NAME);
        listLog = new ListLog(folder, limit);
        fileLimit = (long) (limit * FILE_SHARE);
        outstandingLimit = (long) (limit * OUTSTANDING_SHARE);
        outstanding = replayed.outstanding();
        size = replayed.validBytes();
        timeBase = replayed.timeBase();
        resumed = size > 0;
        remembered = new RememberedIds(REMEMBER_MICROS, Math.min(MAX_REMEMBERED_BYTES, (long) (limit * REMEMBERED_SHARE)), COMPLETED_RECORD_BYTES);
        replayed.ended().forEach(id -> remembered.add(id, monotonicMicros.getAsLong()));
        remembered.expire(monotonicMicros.getAsLong(), Integer.MAX_VALUE);
        outstanding.values().forEach(held -> outstandingBytes += held.journalBytes);
        Files.deleteIfExists(nextFile);
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.truncate(size);
        channel.position(size);
        reservedSpace = new ReservedSpace(folder.resolve("ballast"), (long) (limit * RESERVED_SHARE));
    }

    /**
     * Opens the folder's journal for writing.
     *
     * @param limit bytes that the folder may hold
     * @throws IOException also if the folder holds a store
     */
    public static Journal open(Path folder, long limit) throws IOException {
        if (Files.exists(folder.resolve(STORE))) {
            // A node that went back to the journal would know nothing of the mails that the store holds.
            throw new IOException(folder.resolve(STORE) + " holds what is owed: [store] has to stay on");
        }
        return new Journal(folder, limit, JournalReader.read(folder.resolve(FILE_NAME)));
    }

    /** The outstanding mails of the folder's journal, in the order they were accepted; nothing is written. */
    public static List<HeldMail> read(Path folder) throws IOException {
        return new ArrayList<>(JournalReader.read(folder.resolve(FILE_NAME)).outstanding().values());
    }

    @Override public Optional<TimeBase> timeBase() {
        return Optional.ofNullable(timeBase);
    }

    @Override public void startClock(TimeBase base, LongSupplier micros) {
        monotonicMicros = micros;
        remembered.restartClock(micros.getAsLong());
        timeBaseUnrecorded = !base.equals(timeBase);
        timeBase = base;
    }

    @Override public boolean resumed() {
        return resumed;
    }

    @Override public OptionalLong lastWrittenMillis() {
        return lastWrittenMillis;
    }

    @Override public List<HeldMail> outstanding() {
        return new ArrayList<>(outstanding.values());
    }

    @Override public boolean fits(int bodyBytes, int before, int attempts) {
        // A mail is counted as its body and 128 bytes, and 128 more bytes for each attempt.
        return reservedSpace.reserved() && outstandingBytes + (1L + before) * (bodyBytes + (1 + attempts) * 128L) <= outstandingLimit;
    }

    @Override public boolean hasEnded(String id) {
        return remembered.contains(id);
    }

    @Override public void accepted(HeldMail held) {
        addPendingFor(held, new Entry.Accepted(held.submission, held.deadline));
        held.accepted = true;
        outstanding.put(held.submission.id(), held);
    }

    @Override public void attemptStarted(HeldMail held, RecordedAttempt attempt) {
        held.attempts.add(attempt);
        addPendingFor(held, new Entry.AttemptStarted(held.submission.id(), attempt));
        if (attempt.neverRan()) {
            addPendingFor(held, new Entry.NeverRan(held.submission.id(), attempt.number()));
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
            if (held.mayHaveRun()) {
                remembered.add(held.submission.id(), monotonicMicros.getAsLong());
            }
        }
    }

    @Override public boolean canRetryWrite() {
        return true;
    }

    @Override public void retract(HeldMail held) {
        if (outstanding.remove(held.submission.id(), held)) {
            held.accepted = false;
            outstandingBytes -= held.journalBytes;
            pending.removeIf(record -> record.entry.id().equals(held.submission.id()));
        }
    }

    @Override public void retractAttempt(HeldMail held, int number) {
        for (Iterator<PendingRecord> all = pending.iterator(); all.hasNext();) {
            PendingRecord record = all.next();
            if (record.entry instanceof Entry.AttemptStarted started && started.id().equals(held.submission.id())
                    && started.attempt().number() == number) {
                all.remove();
                held.journalBytes -= record.bytes.length;
                outstandingBytes -= record.bytes.length;
                held.attempts.remove(started.attempt());
            }
        }
    }

    @Override public ListLog listLog() {
        return listLog;
    }

    @Override public long size() {
        return size;
    }

    /** Writes all records since the last write, at once. There is no sync, so they count as durable as soon as they are written. */
    @Override public boolean write(Runnable then) throws IOException {
        write();
        return true;
    }

    /** The same for callers that run no iteration of the event loop. */
    public void write() throws IOException {
        if (reservedSpace.restore(monotonicMicros.getAsLong())) {
            LogEvent.log(LOG, Level.WARNING, "journal.room", "the disk has room again: mails are taken on");
        }
        remembered.expire(monotonicMicros.getAsLong(), MAX_EXPIRED_IDS_PER_WRITE);
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

    /** Truncates at once what a failed write has left in the file: another process would take whole records of it for accepted mails. */
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
     * Appends the pending records; on a full disk it frees space for them. A node that can't record stops, and stops again at each start, until
     * the lifetimes of its mails have passed. So space is reserved for the records of accepted mails; and when that is used up, the
     * stored endpoint list is discarded, as discovery can send it again.
     *
     * @return false: nothing is appended, but there is more space now than before; try again
     * @throws IOException if no more space can be freed
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
        pending.forEach(record -> bytes.writeBytes(record.bytes));
        if (tailUnknown || size + bytes.size() > fileLimit) {
            compact();
        } else {
            size += write(channel, bytes);
        }
    }

    /** Replaces the file by one of the outstanding mails alone. The pending records are part of that state, so they are not appended. */
    private void compact() throws IOException {
        long sizeBefore = size;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) Math.max(64, outstandingBytes));
        if (timeBase != null) {
            bytes.writeBytes(encodeRecord(new Entry.Clock(timeBase)));
        }
        remembered.forEach(id -> bytes.writeBytes(encodeRecord(new Entry.Completed(id))));
        outstanding.values().forEach(held -> entriesOf(held).forEach(entry -> bytes.writeBytes(encodeRecord(entry))));
        FileChannel compacted = FileChannel.open(nextFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        int compactedSize;
        try {
            compactedSize = write(compacted, bytes);
            Files.move(nextFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            compacted.close();
            throw e;
        }
        FileChannel replaced = channel;
        channel = compacted;
        size = compactedSize;
        closeReplaced(replaced);
        LogEvent.log(LOG, Level.INFO, "journal.compacted", "journal compacted: {before} to {after} bytes, {owed} mails owed",
                "before", sizeBefore, "after", size, "owed", outstanding.size());
    }

    /** The records are in the new file already: an error on closing the old one is no failed write. */
    private static void closeReplaced(FileChannel replaced) {
        try {
            replaced.close();
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "journal.old", "the journal's old file can't be closed: {why}", "why", e.getMessage());
        }
    }

    /** The records of an outstanding mail in a compacted file. */
    private static List<Entry> entriesOf(HeldMail held) {
        List<Entry> entries = new ArrayList<>();
        entries.add(new Entry.Accepted(held.submission, held.deadline));
        for (RecordedAttempt attempt : held.attempts) {
            entries.add(new Entry.AttemptStarted(held.submission.id(), attempt));
            if (attempt.neverRan()) {
                entries.add(new Entry.NeverRan(held.submission.id(), attempt.number()));
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

    /** Returns the bytes of the entry's record. */
    private int addPending(Entry entry) {
        if (timeBaseUnrecorded) {
            // Only together with a record: a process that records nothing leaves the folder as it was.
            timeBaseUnrecorded = false;
            addPending(new Entry.Clock(timeBase));
        }
        PendingRecord record = new PendingRecord(entry, encodeRecord(entry));
        pending.add(record);
        return record.bytes.length;
    }

    private static byte[] encodeRecord(Entry entry) {
        byte[] content = entry.encode();
        return ByteBuffer.allocate(JournalReader.HEADER_BYTES + content.length).putInt(content.length)
                .putInt(JournalReader.checksum(content)).put(content).array();
    }

    private static int write(FileChannel channel, ByteArrayOutputStream bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        return buffer.limit();
    }

    @Override public void close() throws IOException {
        channel.close();
    }
}
