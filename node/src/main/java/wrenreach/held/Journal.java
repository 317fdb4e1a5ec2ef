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
    private static final String NAME = "journal", NEXT = "journal.next";
    /** Where a store keeps what is owed, in the same folder. */
    public static final String STORE = "store";
    private static final int HEAD = 8;
    /**
     * Parts of the room: the old and the compacted file stand beside each other for a moment. The ballast has to hold the
     * connects and ends of what is owed for the seconds in which others fill the disk: a mail in some hundred bytes, more of
     * it the larger the folder.
     */
    private static final double FILE_PART = 0.54, OWED_PART = 0.4, BALLAST_PART = 0.01;

    private final Path file;
    private final Path next;
    private final ListLog lists;
    private final Ballast ballast;
    /** Microseconds of a clock that only goes forward. */
    private LongSupplier micros = () -> System.nanoTime() / 1000;
    private final long fileLimit;
    private final long owedLimit;
    private final Map<String, HeldMail> owed;
    private final boolean resumed;
    /** What the next write records, in order. */
    private final List<Pending> pending = new ArrayList<>();
    private FileChannel channel;
    private long size;
    private long owedBytes;
    /** By which the records' times are; null: the wall's. */
    private TimeBase base;
    private boolean baseUnrecorded;
    /** What the file holds behind the records that lasted is not known: the next write makes a new file. */
    private boolean tailUnknown;

    /** An entry with the bytes of its record. */
    private record Pending(Entry entry, byte[] bytes) { }

    /** The bytes of the file that are whole records, and the clock that their times are by; null: the wall's. */
    private record Replayed(long bytes, TimeBase base) { }

    private Journal(Path folder, long limit, Map<String, HeldMail> owed, Replayed replayed) throws IOException {
        file = folder.resolve(NAME);
        next = folder.resolve(NEXT);
        lists = new ListLog(folder, limit);
        fileLimit = (long) (limit * FILE_PART);
        owedLimit = (long) (limit * OWED_PART);
        this.owed = owed;
        size = replayed.bytes;
        base = replayed.base;
        resumed = size > 0;
        owed.values().forEach(held -> owedBytes += held.bytes);
        Files.deleteIfExists(next);
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.truncate(size);
        channel.position(size);
        ballast = new Ballast(folder.resolve("ballast"), (long) (limit * BALLAST_PART));
    }

    /** Opens the folder's journal for writing; limit: bytes that the folder may hold. */
    public static Journal open(Path folder, long limit) throws IOException {
        if (Files.exists(folder.resolve(STORE))) {
            // Guards what is owed: a node that went back to the journal would know nothing of it.
            throw new IOException(folder.resolve(STORE) + " holds what is owed: [store] has to stay on");
        }
        Map<String, HeldMail> owed = new LinkedHashMap<>();
        return new Journal(folder, limit, owed, replay(folder.resolve(NAME), owed));
    }

    /** What the folder's journal owes, in the order taken on; nothing is written. */
    public static List<HeldMail> read(Path folder) throws IOException {
        Map<String, HeldMail> owed = new LinkedHashMap<>();
        replay(folder.resolve(NAME), owed);
        return new ArrayList<>(owed.values());
    }

    @Override public Optional<TimeBase> timeBase() {
        return Optional.ofNullable(base);
    }

    @Override public void startClock(TimeBase started, LongSupplier itsMicros) {
        micros = itsMicros;
        baseUnrecorded = !started.equals(base);
        base = started;
    }

    @Override public boolean resumed() {
        return resumed;
    }

    @Override public List<HeldMail> owed() {
        return new ArrayList<>(owed.values());
    }

    @Override public boolean fits(int bodyBytes, int before, int tries) {
        return ballast.held() && owedBytes + (1L + before) * (bodyBytes + (1 + tries) * 128L) <= owedLimit;
    }

    @Override public void taken(HeldMail held) {
        held.owed = true;
        owed.put(held.submission.id(), held);
        note(held, new Entry.Taken(held.submission, held.endsBy));
    }

    @Override public void connecting(HeldMail held, PastConnect connect) {
        held.connects.add(connect);
        note(held, new Entry.Connecting(held.submission.id(), connect));
        if (connect.neverRan()) {
            note(held, new Entry.NeverRan(held.submission.id(), connect.number()));
        }
    }

    @Override public void neverRan(HeldMail held, int number) {
        if (held.neverRan(number)) {
            note(held, new Entry.NeverRan(held.submission.id(), number));
        }
    }

    @Override public void ended(HeldMail held, Ending ending) {
        held.ending = ending;
        note(held, new Entry.Ended(held.submission.id(), ending));
    }

    @Override public void over(HeldMail held) {
        if (held.owed && owed.remove(held.submission.id(), held)) {
            held.owed = false;
            add(new Entry.Over(held.submission.id()));
            owedBytes -= held.bytes;
        }
    }

    @Override public boolean writesAgain() {
        return true;
    }

    @Override public void retract(HeldMail held) {
        if (owed.remove(held.submission.id(), held)) {
            held.owed = false;
            owedBytes -= held.bytes;
            pending.removeIf(one -> one.entry.id().equals(held.submission.id()));
        }
    }

    @Override public void retractAttempt(HeldMail held, int number) {
        for (Iterator<Pending> all = pending.iterator(); all.hasNext();) {
            Pending one = all.next();
            if (one.entry instanceof Entry.Connecting connecting && connecting.id().equals(held.submission.id())
                    && connecting.connect().number() == number) {
                all.remove();
                held.bytes -= one.bytes.length;
                owedBytes -= one.bytes.length;
                held.connects.remove(connecting.connect());
            }
        }
    }

    @Override public ListLog lists() {
        return lists;
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
        if (ballast.restore(micros.getAsLong())) {
            LogEvent.tell(LOG, Level.WARNING, "journal.room", "the disk has room again: mails are taken on");
        }
        if (pending.isEmpty() && !tailUnknown) {
            return;
        }
        try {
            while (!appended()) {
                cutTail();
            }
        } catch (IOException e) {
            afterFailure(e);
            throw e;
        }
        pending.clear();
        tailUnknown = false;
    }

    private void cutTail() throws IOException {
        channel.truncate(size);
        channel.position(size);
    }

    /** What a failed write has left in the file is cut off at once: another process would take whole records of it for promises. */
    private void afterFailure(IOException failure) {
        try {
            cutTail();
            tailUnknown |= !FolderFault.isForWantOfRoom(failure);
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
    private boolean appended() throws IOException {
        try {
            append();
            return true;
        } catch (IOException e) {
            if (ballast.release()) {
                LogEvent.tell(LOG, Level.ERROR, "journal.short",
                        "the disk takes no more: new mails are refused, what is owed goes on: {why}", "why", e.getMessage());
            } else if (!lists.giveUp()) {
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
        ByteArrayOutputStream bytes = new ByteArrayOutputStream((int) Math.max(64, owedBytes));
        if (base != null) {
            bytes.writeBytes(recordOf(new Entry.Clock(base)));
        }
        owed.values().forEach(held -> entries(held).forEach(entry -> bytes.writeBytes(recordOf(entry))));
        FileChannel fresh = FileChannel.open(next, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        int after;
        try {
            after = write(fresh, bytes);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        FileChannel replaced = channel;
        channel = fresh;
        size = after;
        closeReplaced(replaced);
        LogEvent.tell(LOG, Level.INFO, "journal.compacted", "journal compacted: {before} to {after} bytes, {owed} mails owed",
                "before", before, "after", size, "owed", owed.size());
    }

    /** The records are in the new file by now: an error of the old one is no failure of the write. */
    private static void closeReplaced(FileChannel replaced) {
        try {
            replaced.close();
        } catch (IOException e) {
            LogEvent.tell(LOG, Level.WARNING, "journal.old", "the journal's old file can't be closed: {why}", "why", e.getMessage());
        }
    }

    private static List<Entry> entries(HeldMail held) {
        List<Entry> entries = new ArrayList<>();
        entries.add(new Entry.Taken(held.submission, held.endsBy));
        for (PastConnect c : held.connects) {
            entries.add(new Entry.Connecting(held.submission.id(), c));
            if (c.neverRan()) {
                entries.add(new Entry.NeverRan(held.submission.id(), c.number()));
            }
        }
        if (held.ending != null) {
            entries.add(new Entry.Ended(held.submission.id(), held.ending));
        }
        return entries;
    }

    private void note(HeldMail held, Entry entry) {
        int bytes = add(entry);
        held.bytes += bytes;
        owedBytes += bytes;
    }

    private int add(Entry entry) {
        if (baseUnrecorded) {
            // Not by itself: a process that records nothing leaves the folder as it was.
            baseUnrecorded = false;
            add(new Entry.Clock(base));
        }
        Pending one = new Pending(entry, recordOf(entry));
        pending.add(one);
        return one.bytes.length;
    }

    private static byte[] recordOf(Entry entry) {
        byte[] content = entry.encode();
        return ByteBuffer.allocate(HEAD + content.length).putInt(content.length).putInt(checksum(content)).put(content).array();
    }

    private static int write(FileChannel to, ByteArrayOutputStream bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
        return buffer.limit();
    }

    /** Reads records until the end or the first that is not whole; the length of those that are. */
    private static Replayed replay(Path file, Map<String, HeldMail> owed) throws IOException {
        if (!Files.exists(file)) {
            return new Replayed(0, null);
        }
        TimeBase base = null;
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        int good = 0;
        while (bytes.remaining() >= HEAD) {
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
            apply(entry, HEAD + length, owed);
            good = bytes.position();
        }
        if (good < bytes.limit()) {
            LogEvent.tell(LOG, Level.WARNING, "journal.torn", "journal: cut off a torn tail of {bytes} bytes",
                    "bytes", bytes.limit() - good);
        }
        return new Replayed(good, base);
    }

    private static void apply(Entry entry, int bytes, Map<String, HeldMail> owed) {
        HeldMail held = owed.get(entry.id());
        if (entry instanceof Entry.Taken taken) {
            held = new HeldMail(taken.submission(), taken.endsBy());
            held.owed = true;
            owed.put(entry.id(), held);
        } else if (held == null) {
            return;
        } else if (entry instanceof Entry.Connecting connecting) {
            held.connects.add(connecting.connect());
        } else if (entry instanceof Entry.NeverRan neverRan) {
            held.neverRan(neverRan.number());
        } else if (entry instanceof Entry.Ended ended) {
            held.ending = ended.ending();
        } else {
            owed.remove(entry.id());
        }
        held.bytes += bytes;
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
