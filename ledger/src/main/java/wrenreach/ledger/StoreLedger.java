package wrenreach.ledger;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import wrenreach.endpoints.ListLog;
import wrenreach.held.ReservedSpace;
import wrenreach.held.Ending;
import wrenreach.held.Entry;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.LastWrite;
import wrenreach.held.Ledger;
import wrenreach.held.RecordedAttempt;
import wrenreach.held.RememberedIds;
import wrenreach.held.TimeBase;
import wrenreach.log.LogEvent;
import wrenreach.store.Batch;
import wrenreach.store.FolderDisk;
import wrenreach.store.Store;

/**
 * A ledger of outstanding mails that is kept in a {@link Store}. There is a key for each mail (t), for each of its attempts (c), for
 * an attempt that never ran (n), for the ending (e), for the id of a mail that has ended (r), for each damaged range that has been
 * handled (h), and for the clock that all times refer to (b). The records of one iteration of the event loop are written as one batch.
 * When the disk is full, reserved space is released: outstanding mails are completed in it, and new mails are refused until the space
 * has been reserved again.
 */
public final class StoreLedger implements Ledger {
    private static final System.Logger LOG = System.getLogger(StoreLedger.class.getName());
    private static final String JOURNAL = "journal";
    /** First character of the key of an accepted mail; its id follows. */
    private static final char ACCEPTED = 't';
    /** First character of the key of an attempt; id, a zero character and the attempt's number follow. */
    private static final char ATTEMPT = 'c';
    /** First character of the key of an attempt that is known to have never run; the rest as for {@link #ATTEMPT}. */
    private static final char NEVER_RAN = 'n';
    /** First character of the key of an ending; the mail's id follows. */
    private static final char ENDING = 'e';
    /** First character of the key of a mail that has ended; its id follows. */
    private static final char REMEMBERED = 'r';
    /** First character of the key of a damaged range that has been handled; file and offset follow. */
    private static final char DAMAGED_RANGE = 'h';
    /** The key of the time base. */
    private static final char CLOCK = 'b';
    /** First characters of the keys of records that refer to no other record. */
    private static final Set<Character> OWN_RECORDS = Set.of(ACCEPTED, REMEMBERED, CLOCK, DAMAGED_RANGE);
    /** Part of the size limit that is reserved for outstanding mails, for when the disk is full. */
    private static final double RESERVED_SHARE = 0.125;
    /** Bytes that the record of an attempt or of an ending may take. */
    private static final int MAX_RECORD_BYTES = 160;
    /** Bytes that a remembered id takes beside its length. */
    private static final int REMEMBERED_ID_OVERHEAD_BYTES = 64;
    /** Remembered ids that are removed in one iteration of the event loop. */
    private static final int MAX_EXPIRED_IDS_PER_ITERATION = 64;
    /** How often one write forces the store in order to let cleaning make room for it. */
    private static final int MAX_FORCES_PER_WRITE = 64;

    private final Store store;
    private final ReservedSpace reservedSpace;
    /** Whether writes are forced, so that they survive a loss of power. */
    private final boolean sync;
    private final RememberedIds remembered;
    /** A monotonic clock, in microseconds. */
    private LongSupplier micros;
    /** The time base of the times in the records; null: wall-clock time. */
    private TimeBase timeBase;
    private final Map<String, HeldMail> outstandingMails = new LinkedHashMap<>();
    /** Whether the store held batches of an earlier process when it was opened. */
    private final boolean resumed;
    /** Number of the last accepted mail, which keeps mails in the order of acceptance. */
    private long lastAcceptOrder;
    /** The records of this iteration, not written yet. */
    private Batch pending = new Batch();
    private Executor loop = Runnable::run;
    private Runnable onFailure = () -> { };
    /** Runs {@link Store.Sync#force} on a thread of its own; null until it is needed. */
    private ExecutorService forceExecutor;
    private boolean closed;
    private ListLog listLog;
    private OptionalLong lastWrittenMillis = OptionalLong.empty();

    private StoreLedger(Store store, ReservedSpace ballast, boolean sync, long remember, long rememberBytes, LongSupplier micros) throws IOException {
        this.store = store;
        this.reservedSpace = ballast;
        this.sync = sync;
        remembered = new RememberedIds(remember, rememberBytes, REMEMBERED_ID_OVERHEAD_BYTES);
        this.micros = micros;
        resumed = store.stats().sequence() > 0;
        load();
    }

    /**
     * Opens the store in a state folder.
     *
     * @param limit bytes that it may take on disk
     * @param sync whether writes have to survive a loss of power
     * @param remember how long ids of ended mails are remembered, in microseconds
     * @param rememberBytes bytes that these ids may take
     */
    public static StoreLedger open(Path state, long limit, boolean sync, long remember, long rememberBytes) throws IOException {
        return open(state, limit, sync, remember, rememberBytes, () -> System.nanoTime() / 1000, new SecureRandom().nextInt());
    }

    /** The same with a given salt and a given clock of microseconds, which is used until {@link #startClock}. */
    public static StoreLedger open(Path state, long limit, boolean sync, long remember, long rememberBytes, LongSupplier micros,
            int salt) throws IOException {
        Path journal = state.resolve(JOURNAL);
        Path folder = state.resolve(Journal.STORE);
        Path fresh = state.resolve(Journal.STORE + ".new");
        if (Files.exists(journal) && !Files.exists(folder)) {
            migrateJournal(state, fresh, limit, salt);
            Files.move(fresh, folder);
        }
        // The journal's mails are in the store by now: the old file would only take up space.
        Files.deleteIfExists(journal);
        Files.deleteIfExists(state.resolve(JOURNAL + ".next"));
        Files.createDirectories(folder);
        long kept = (long) (limit * RESERVED_SHARE);
        OptionalLong lastWrittenMillis = LastWrite.millis(folder);
        Store store = Store.open(new FolderDisk(folder), limit - kept - ListLog.sizeLimit(limit), sync, salt);
        try {
            StoreLedger ledger = new StoreLedger(store, new ReservedSpace(folder.resolve("ballast"), kept), sync, remember, rememberBytes,
                    micros);
            ledger.listLog = new ListLog(state, limit);
            ledger.lastWrittenMillis = lastWrittenMillis;
            return ledger;
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    /** The outstanding mails of the store in this folder, in the order of acceptance; nothing is changed. */
    static List<HeldMail> read(Path folder) throws IOException {
        try (StoreLedger ledger = new StoreLedger(Store.openReadOnly(new FolderDisk(folder)), new ReservedSpace(folder, 0), false, 0, 0,
                () -> System.nanoTime() / 1000)) {
            return ledger.outstanding();
        }
    }

    /** Copies the outstanding mails of the journal into a new store beside it; an earlier copy that was interrupted is started over. */
    private static void migrateJournal(Path state, Path fresh, long limit, int salt) throws IOException {
        if (Files.exists(fresh)) {
            try (var files = Files.list(fresh)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
        Files.createDirectories(fresh);
        List<HeldMail> mails = Journal.read(state);
        try (StoreLedger ledger = new StoreLedger(Store.open(new FolderDisk(fresh), limit, true, salt), new ReservedSpace(fresh.resolve("ballast"), 0), true, 0, 0,
                () -> System.nanoTime() / 1000)) {
            for (HeldMail mail : mails) {
                HeldMail copy = new HeldMail(mail.submission, mail.deadline);
                ledger.accepted(copy);
                mail.attempts.forEach(attempt -> ledger.attemptStarted(copy, attempt));
                if (mail.ending != null) {
                    ledger.ended(copy, mail.ending);
                }
                ledger.store.write(ledger.pending);
                ledger.pending = new Batch();
                Store.Sync all = ledger.store.sync();
                all.force();
                ledger.store.forced(all);
            }
        }
        if (!mails.isEmpty()) {
            LogEvent.log(LOG, Level.INFO, "store.carried", "{mails} mails carried over from the journal", "mails", mails.size());
        }
    }

    // ---- Recovery ----

    private void load() throws IOException {
        Store.RecoveryReport found = store.recovered();
        Map<Long, HeldMail> byOrder = new TreeMap<>();
        Map<String, HeldMail> byId = new LinkedHashMap<>();
        List<String> others = new ArrayList<>();
        Set<String> handledRanges = new TreeSet<>();
        Map<Long, String> ended = new TreeMap<>();
        List<String> unreadable = new ArrayList<>();
        store.forEach((key, value) -> {
            if (!OWN_RECORDS.contains(key.charAt(0))) {
                others.add(key);
                return;
            }
            try {
                if (key.charAt(0) == ACCEPTED) {
                    Entry.Accepted accepted = decode(Entry.Accepted.class, Arrays.copyOfRange(value, Math.min(Long.BYTES, value.length), value.length));
                    HeldMail held = new HeldMail(accepted.submission(), accepted.deadline());
                    held.accepted = true;
                    byOrder.put(readLong(value), held);
                    byId.put(accepted.id(), held);
                } else if (key.charAt(0) == REMEMBERED) {
                    long at = readLong(value);
                    while (ended.putIfAbsent(at, key.substring(1)) != null) {
                        at++;
                    }
                } else if (key.charAt(0) == CLOCK) {
                    timeBase = decode(Entry.Clock.class, value).base();
                } else {
                    handledRanges.add(key);
                }
            } catch (IOException e) {
                unreadable.add(key);
            }
        });
        // They come in the order of the keys, so that attempts (c) come before the records that refer to them (n).
        List<String> orphans = new ArrayList<>();
        for (String key : others) {
            byte[] value = store.get(key);
            try {
                apply(Entry.decode(value), byId, key, orphans);
            } catch (IOException e) {
                unreadable.add(key);
                applyUnreadable(key, byId);
            }
        }
        reportUnreadable(unreadable);
        unreadable.forEach(pending::delete);
        // Each damaged range counts only once: it says nothing of mails that were accepted after it was found.
        Set<String> lostRanges = new TreeSet<>();
        found.damagedRanges().stream().filter(range -> range.lostBatches() > 0).forEach(range -> lostRanges.add(DAMAGED_RANGE + range.file() + "@" + range.offset()));
        boolean damaged = !handledRanges.containsAll(lostRanges);
        lostRanges.stream().filter(range -> !handledRanges.contains(range)).forEach(range -> pending.put(range, new byte[0]));
        handledRanges.stream().filter(range -> !lostRanges.contains(range)).forEach(pending::delete);
        byOrder.forEach((at, held) -> {
            lastAcceptOrder = at;
            held.attempts.sort((a, b) -> Integer.compare(a.number(), b.number()));
            if (damaged && held.ending == null) {
                // Prevents a second effect at the receiver: the missing records may have said that the mail was sent, or that it was completed.
                attemptStarted(held, new RecordedAttempt(held.attempts.size(), "", 0, 0, false));
            }
            outstandingMails.put(held.submission.id(), held);
        });
        ended.forEach((at, id) -> remembered.add(id, at));
        // Records whose mail is missing are of no use; only damage leaves them behind.
        orphans.forEach(pending::delete);
        if (found.truncatedBytes() > 0) {
            LogEvent.log(LOG, Level.WARNING, "store.torn", "store: cut off a torn tail of {bytes} bytes", "bytes", found.truncatedBytes());
        }
        found.damagedRanges().forEach(range -> LogEvent.log(LOG, Level.ERROR, "store.damaged",
                "store: {hole}; owed mails are taken to have gone out", "hole", range.describe()));
    }

    private static <T extends Entry> T decode(Class<T> type, byte[] value) throws IOException {
        Entry entry = Entry.decode(value);
        if (!type.isInstance(entry)) {
            throw new IOException("not a record of its kind");
        }
        return type.cast(entry);
    }

    private static long readLong(byte[] value) throws IOException {
        if (value.length < Long.BYTES) {
            throw new IOException("a record of " + value.length + " bytes");
        }
        return ByteBuffer.wrap(value).getLong();
    }

    /**
     * Prevents a second effect at the receiver: an attempt that can't be read counts as one that may have run, and an ending as one without
     * advice. A mail whose attempt is not known to have never run counts as attempted anyway.
     */
    private static void applyUnreadable(String key, Map<String, HeldMail> byId) {
        int numberAt = key.indexOf('\0');
        HeldMail held = byId.get(key.substring(1, numberAt < 0 ? key.length() : numberAt));
        if (held == null) {
            return;
        }
        if (key.charAt(0) == ATTEMPT) {
            held.attempts.add(new RecordedAttempt(held.attempts.size(), "", 0, 0, false));
        } else if (key.charAt(0) == ENDING) {
            held.ending = new Ending(false, 0);
        }
    }

    private static void reportUnreadable(List<String> keys) {
        if (!keys.isEmpty()) {
            LogEvent.log(LOG, Level.ERROR, "store.unreadable",
                    "store: {records} records can't be read and were removed, the first is {key}; all others count",
                    "records", keys.size(), "key", keys.get(0).replace('\0', ' '));
        }
    }

    private static void apply(Entry entry, Map<String, HeldMail> byId, String key, List<String> orphans) {
        HeldMail held = byId.get(entry.id());
        if (held == null) {
            orphans.add(key);
        } else if (entry instanceof Entry.AttemptStarted started) {
            held.attempts.add(started.attempt());
        } else if (entry instanceof Entry.NeverRan neverRan) {
            held.markNeverRan(neverRan.number());
        } else if (entry instanceof Entry.Ended ended) {
            held.ending = ended.ending();
        }
    }

    // ---- Records of an iteration ----

    @Override public void attach(Executor onLoop, Runnable whenFailed) {
        loop = onLoop;
        onFailure = whenFailed;
    }

    @Override public Optional<TimeBase> timeBase() {
        return Optional.ofNullable(timeBase);
    }

    @Override public void startClock(TimeBase started, LongSupplier itsMicros) {
        micros = itsMicros;
        if (!started.equals(timeBase)) {
            timeBase = started;
            pending.put(String.valueOf(CLOCK), new Entry.Clock(started).encode());
        }
    }

    @Override public boolean resumed() {
        return resumed;
    }

    @Override public OptionalLong lastWrittenMillis() {
        return lastWrittenMillis;
    }

    @Override public List<HeldMail> outstanding() {
        return new ArrayList<>(outstandingMails.values());
    }

    @Override public boolean fits(int bodyBytes, int before, int tries) {
        long each = (2L + 2 * tries) * MAX_RECORD_BYTES;
        // Tried here too: a node that refuses every new mail writes nothing, and would never get its reserved space back otherwise.
        restoreReservedSpace();
        return reservedSpace.reserved() && store.fits(outstandingMails.size() * each + remembered.freeBytes(),
                (1L + before) * (bodyBytes + MAX_RECORD_BYTES + each));
    }

    @Override public boolean hasEnded(String id) {
        return remembered.contains(id);
    }

    @Override public void accepted(HeldMail held) {
        byte[] entry = new Entry.Accepted(held.submission, held.deadline).encode();
        held.accepted = true;
        outstandingMails.put(held.submission.id(), held);
        pending.put(ACCEPTED + held.submission.id(), ByteBuffer.allocate(8 + entry.length).putLong(++lastAcceptOrder).put(entry).array());
    }

    private static String attemptKey(char kind, String id, int number) {
        return kind + id + '\0' + number;
    }

    @Override public void attemptStarted(HeldMail held, RecordedAttempt attempt) {
        held.attempts.add(attempt);
        String id = held.submission.id();
        pending.put(attemptKey(ATTEMPT, id, attempt.number()), new Entry.AttemptStarted(id, attempt).encode());
        if (attempt.neverRan()) {
            pending.put(attemptKey(NEVER_RAN, id, attempt.number()), new Entry.NeverRan(id, attempt.number()).encode());
        }
    }

    @Override public void neverRan(HeldMail held, int number) {
        if (held.markNeverRan(number)) {
            String id = held.submission.id();
            pending.put(attemptKey(NEVER_RAN, id, number), new Entry.NeverRan(id, number).encode());
        }
    }

    @Override public void ended(HeldMail held, Ending ending) {
        held.ending = ending;
        pending.put(ENDING + held.submission.id(), new Entry.Ended(held.submission.id(), ending).encode());
    }

    @Override public void completed(HeldMail held) {
        String id = held.submission.id();
        if (!held.accepted || !outstandingMails.remove(id, held)) {
            return;
        }
        held.accepted = false;
        pending.delete(ACCEPTED + id);
        for (RecordedAttempt attempt : held.attempts) {
            pending.delete(attemptKey(ATTEMPT, id, attempt.number()));
            if (attempt.neverRan()) {
                pending.delete(attemptKey(NEVER_RAN, id, attempt.number()));
            }
        }
        if (held.ending != null) {
            pending.delete(ENDING + id);
        }
        if (remembered.enabled()) {
            long now = micros.getAsLong();
            pending.put(REMEMBERED + id, ByteBuffer.allocate(8).putLong(now).array());
            remembered.add(id, now);
        }
    }

    /** Removes ids that are older than the time limit or exceed the byte limit, a bounded number at a time. */
    private void expireRememberedIds() {
        remembered.expire(micros.getAsLong(), MAX_EXPIRED_IDS_PER_ITERATION).forEach(id -> pending.delete(REMEMBERED + id));
    }

    // ---- Writing ----

    @Override public boolean write(Runnable then) throws IOException {
        if (pending.isEmpty()) {
            return true;
        }
        expireRememberedIds();
        Batch batch = pending;
        pending = new Batch();
        return write(batch, then);
    }

    private boolean write(Batch batch, Runnable then) throws IOException {
        try {
            append(batch);
        } catch (IOException e) {
            if (!reservedSpace.release()) {
                throw e;
            }
            LogEvent.log(LOG, Level.ERROR, "store.short", "the disk takes no more: new mails are refused, what is owed goes on: {why}",
                    "why", e.getMessage());
            append(batch);
        }
        restoreReservedSpace();
        if (!sync) {
            return true;
        }
        if (forceExecutor == null) {
            forceExecutor = Executors.newSingleThreadExecutor(work -> {
                Thread thread = new Thread(work, "wrenreach-store");
                thread.setDaemon(true);
                return thread;
            });
        }
        Store.Sync all = store.sync();
        forceExecutor.execute(() -> force(all, then));
        return false;
    }

    private void restoreReservedSpace() {
        if (reservedSpace.restore(micros.getAsLong())) {
            LogEvent.log(LOG, Level.WARNING, "store.room", "the disk has room again: mails are taken on");
        }
    }

    /** Writes a batch. Where cleaning can't make room yet, it forces the store first, since cleaning may only delete what is forced. */
    private void append(Batch batch) throws IOException {
        for (int i = 0; ; i++) {
            try {
                store.write(batch);
                return;
            } catch (Store.Full e) {
                if (!sync || i >= MAX_FORCES_PER_WRITE) {
                    throw e;
                }
                Store.Sync all = store.sync();
                all.force();
                store.forced(all);
            }
        }
    }

    private void force(Store.Sync all, Runnable then) {
        Runnable next;
        try {
            all.force();
            next = () -> {
                if (!closed) {
                    store.forced(all);
                    then.run();
                }
            };
        } catch (IOException e) {
            // After a failed sync it is unknown what is on the disk: nothing written to it can be confirmed any more.
            LogEvent.log(LOG, Level.ERROR, "store.sync", "the store can't be forced to the disk, the node stops: {why}", "why",
                    e.getMessage());
            next = onFailure;
        }
        try {
            loop.execute(next);
        } catch (RejectedExecutionException e) {
            // The event loop has stopped in the meantime.
            return;
        }
    }

    @Override public ListLog listLog() {
        return listLog;
    }

    @Override public long size() {
        return store.stats().appendedBytes() + store.stats().copiedBytes();
    }

    /** Counters and sizes of the store. */
    public Store.Stats stats() {
        return store.stats();
    }

    @Override public void close() throws IOException {
        closed = true;
        if (forceExecutor != null) {
            forceExecutor.shutdown();
            try {
                forceExecutor.awaitTermination(1, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (sync) {
            store.sync().force();
        }
        store.close();
    }
}
