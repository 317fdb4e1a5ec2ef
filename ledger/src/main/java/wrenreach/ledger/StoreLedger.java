package wrenreach.ledger;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import wrenreach.held.Ledger;
import wrenreach.held.RecordedAttempt;
import wrenreach.held.TimeBase;
import wrenreach.log.LogEvent;
import wrenreach.store.Batch;
import wrenreach.store.FolderDisk;
import wrenreach.store.Store;

/**
 * What is owed, in a store: a key for each mail (t), for each of its connects (c) and what became of it (n), for its ending
 * (e), for the id of one that has ended (r), for each hole that has been dealt with (h), and for the clock that all times are by
 * (b). An iteration's records are one batch. Where the disk takes no more, ballast is let go:
 * what is owed goes on in its room, and new mails are refused until it is back.
 */
public final class StoreLedger implements Ledger {
    private static final System.Logger LOG = System.getLogger(StoreLedger.class.getName());
    private static final String JOURNAL = "journal";
    private static final char ACCEPTED = 't', ATTEMPT = 'c', NEVER_RAN = 'n', ENDING = 'e', REMEMBERED = 'r', DAMAGED_RANGE = 'h', CLOCK = 'b';
    /** The part of the room that is kept for what is owed already, for when the disk is full. */
    private static final double RESERVED_SHARE = 0.125;
    /** Bytes that a connect or an ending may take; a remembered id beside its length. */
    private static final int MAX_RECORD_BYTES = 160, REMEMBERED_ID_OVERHEAD_BYTES = 64;
    /** Ids forgotten in one turn; times that a write waits for what has to be forced before. */
    private static final int MAX_EXPIRED_IDS_PER_ITERATION = 64, MAX_FORCES_PER_WRITE = 64;

    private final Store store;
    private final ReservedSpace reservedSpace;
    private final boolean sync;
    private final long rememberMicros;
    private final long rememberBytes;
    /** Microseconds of a clock that only goes forward. */
    private LongSupplier micros;
    /** By which the records' times are; null: the wall's. */
    private TimeBase timeBase;
    private final Map<String, HeldMail> outstandingMails = new LinkedHashMap<>();
    /** When each id that is remembered ended, in microseconds; the oldest first. */
    private final Map<String, Long> remembered = new LinkedHashMap<>();
    private long rememberedBytes;
    private final boolean resumed;
    private long lastAcceptOrder;
    private Batch pending = new Batch();
    private Executor loop = Runnable::run;
    private Runnable onFailure = () -> { };
    private ExecutorService forceExecutor;
    private boolean closed;
    private ListLog listLog;

    private StoreLedger(Store store, ReservedSpace ballast, boolean sync, long remember, long rememberBytes, LongSupplier micros) throws IOException {
        this.store = store;
        this.reservedSpace = ballast;
        this.sync = sync;
        this.rememberMicros = remember;
        this.rememberBytes = rememberBytes;
        this.micros = micros;
        resumed = store.stats().sequence() > 0;
        load();
    }

    /** Opens the store in a state folder; limit: bytes that it may hold; remember: microseconds, and bytes, of ended ids. */
    public static StoreLedger open(Path state, long limit, boolean sync, long remember, long rememberBytes) throws IOException {
        return open(state, limit, sync, remember, rememberBytes, () -> System.nanoTime() / 1000, new SecureRandom().nextInt());
    }

    /** The same with a clock of microseconds, used until {@link #startClock}, and a salt handed in. */
    public static StoreLedger open(Path state, long limit, boolean sync, long remember, long rememberBytes, LongSupplier micros,
            int salt) throws IOException {
        Path journal = state.resolve(JOURNAL);
        Path folder = state.resolve(Journal.STORE);
        Path made = state.resolve(Journal.STORE + ".new");
        if (Files.exists(journal) && !Files.exists(folder)) {
            migrateJournal(state, made, limit, salt);
            Files.move(made, folder);
        }
        // What was carried over is in the store: the old file would only take room.
        Files.deleteIfExists(journal);
        Files.deleteIfExists(state.resolve(JOURNAL + ".next"));
        Files.createDirectories(folder);
        long kept = (long) (limit * RESERVED_SHARE);
        Store store = Store.open(new FolderDisk(folder), limit - kept - ListLog.sizeLimit(limit), sync, salt);
        try {
            StoreLedger ledger = new StoreLedger(store, new ReservedSpace(folder.resolve("ballast"), kept), sync, remember, rememberBytes,
                    micros);
            ledger.listLog = new ListLog(state, limit);
            return ledger;
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    /** What a state folder's store owes, in the order taken on; nothing is changed. */
    static List<HeldMail> read(Path folder) throws IOException {
        try (StoreLedger ledger = new StoreLedger(Store.openReadOnly(new FolderDisk(folder)), new ReservedSpace(folder, 0), false, 0, 0,
                () -> System.nanoTime() / 1000)) {
            return ledger.outstanding();
        }
    }

    /** Puts what the journal owes into a new store beside it; one that was begun before is begun again. */
    private static void migrateJournal(Path state, Path made, long limit, int salt) throws IOException {
        if (Files.exists(made)) {
            try (var files = Files.list(made)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }
        Files.createDirectories(made);
        List<HeldMail> owed = Journal.read(state);
        try (StoreLedger ledger = new StoreLedger(Store.open(new FolderDisk(made), limit, true, salt), new ReservedSpace(made.resolve("ballast"), 0), true, 0, 0,
                () -> System.nanoTime() / 1000)) {
            for (HeldMail mail : owed) {
                HeldMail copy = new HeldMail(mail.submission, mail.deadline);
                ledger.accepted(copy);
                mail.attempts.forEach(connect -> ledger.attemptStarted(copy, connect));
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
        if (!owed.isEmpty()) {
            LogEvent.log(LOG, Level.INFO, "store.carried", "{mails} mails carried over from the journal", "mails", owed.size());
        }
    }

    // ---- Recovery ----

    private void load() throws IOException {
        Store.RecoveryReport found = store.recovered();
        Map<Long, HeldMail> byOrder = new TreeMap<>();
        Map<String, HeldMail> byId = new LinkedHashMap<>();
        List<String> others = new ArrayList<>();
        Set<String> dealtWith = new TreeSet<>();
        Map<Long, String> ended = new TreeMap<>();
        store.forEach((key, value) -> {
            try {
                if (key.charAt(0) == ACCEPTED) {
                    Entry.Accepted taken = (Entry.Accepted) Entry.decode(java.util.Arrays.copyOfRange(value, 8, value.length));
                    HeldMail held = new HeldMail(taken.submission(), taken.deadline());
                    held.accepted = true;
                    byOrder.put(ByteBuffer.wrap(value).getLong(), held);
                    byId.put(taken.id(), held);
                } else if (key.charAt(0) == REMEMBERED) {
                    long at = ByteBuffer.wrap(value).getLong();
                    while (ended.putIfAbsent(at, key.substring(1)) != null) {
                        at++;
                    }
                } else if (key.charAt(0) == CLOCK) {
                    timeBase = ((Entry.Clock) Entry.decode(value)).base();
                } else if (key.charAt(0) == DAMAGED_RANGE) {
                    dealtWith.add(key);
                } else {
                    others.add(key);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        // In the order of the keys: connects before what is known of them.
        List<String> left = new ArrayList<>();
        for (String key : others) {
            apply(Entry.decode(store.get(key)), byId, key, left);
        }
        // Each hole once: it says nothing of mails taken on after it was found.
        Set<String> holes = new TreeSet<>();
        found.damagedRanges().stream().filter(hole -> hole.lostBatches() > 0).forEach(hole -> holes.add(DAMAGED_RANGE + hole.file() + "@" + hole.offset()));
        boolean damaged = !dealtWith.containsAll(holes);
        holes.stream().filter(hole -> !dealtWith.contains(hole)).forEach(hole -> pending.put(hole, new byte[0]));
        dealtWith.stream().filter(hole -> !holes.contains(hole)).forEach(pending::delete);
        byOrder.forEach((at, held) -> {
            lastAcceptOrder = at;
            held.attempts.sort((a, b) -> Integer.compare(a.number(), b.number()));
            if (damaged && held.ending == null) {
                // Guards against a second effect: what is missing may have said that it went out, or that it was over.
                attemptStarted(held, new RecordedAttempt(held.attempts.size(), "", 0, 0, false));
            }
            outstandingMails.put(held.submission.id(), held);
        });
        ended.forEach((at, id) -> remembered(id, at));
        // Records whose mail is gone are of no use: only damage leaves them.
        left.forEach(pending::delete);
        if (found.truncatedBytes() > 0) {
            LogEvent.log(LOG, Level.WARNING, "store.torn", "store: cut off a torn tail of {bytes} bytes", "bytes", found.truncatedBytes());
        }
        found.damagedRanges().forEach(hole -> LogEvent.log(LOG, Level.ERROR, "store.damaged",
                "store: {hole}; owed mails are taken to have gone out", "hole", hole.describe()));
    }

    private static void apply(Entry entry, Map<String, HeldMail> byId, String key, List<String> left) {
        HeldMail held = byId.get(entry.id());
        if (held == null) {
            left.add(key);
        } else if (entry instanceof Entry.AttemptStarted connecting) {
            held.attempts.add(connecting.attempt());
        } else if (entry instanceof Entry.NeverRan neverRan) {
            held.markNeverRan(neverRan.number());
        } else if (entry instanceof Entry.Ended ended) {
            held.ending = ended.ending();
        }
    }

    // ---- Notes of a turn ----

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

    @Override public List<HeldMail> outstanding() {
        return new ArrayList<>(outstandingMails.values());
    }

    @Override public boolean fits(int bodyBytes, int before, int tries) {
        long each = (2L + 2 * tries) * MAX_RECORD_BYTES;
        // Looked at here too: a node that refuses everything writes nothing.
        restoreReservedSpace();
        return reservedSpace.reserved() && store.fits(outstandingMails.size() * each + Math.max(0, rememberBytes - rememberedBytes), (1L + before) * (bodyBytes + MAX_RECORD_BYTES + each));
    }

    @Override public boolean hasEnded(String id) {
        return remembered.containsKey(id);
    }

    @Override public void accepted(HeldMail held) {
        held.accepted = true;
        outstandingMails.put(held.submission.id(), held);
        byte[] entry = new Entry.Accepted(held.submission, held.deadline).encode();
        pending.put(ACCEPTED + held.submission.id(), ByteBuffer.allocate(8 + entry.length).putLong(++lastAcceptOrder).put(entry).array());
    }

    private static String attemptKey(char kind, String id, int number) {
        return kind + id + '\0' + number;
    }

    @Override public void attemptStarted(HeldMail held, RecordedAttempt connect) {
        held.attempts.add(connect);
        String id = held.submission.id();
        pending.put(attemptKey(ATTEMPT, id, connect.number()), new Entry.AttemptStarted(id, connect).encode());
        if (connect.neverRan()) {
            pending.put(attemptKey(NEVER_RAN, id, connect.number()), new Entry.NeverRan(id, connect.number()).encode());
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
        for (RecordedAttempt connect : held.attempts) {
            pending.delete(attemptKey(ATTEMPT, id, connect.number()));
            if (connect.neverRan()) {
                pending.delete(attemptKey(NEVER_RAN, id, connect.number()));
            }
        }
        if (held.ending != null) {
            pending.delete(ENDING + id);
        }
        if (rememberMicros > 0 && rememberBytes > 0) {
            long now = micros.getAsLong();
            pending.put(REMEMBERED + id, ByteBuffer.allocate(8).putLong(now).array());
            remembered(id, now);
        }
    }

    private void remembered(String id, long at) {
        remembered.put(id, at);
        rememberedBytes += id.length() + REMEMBERED_ID_OVERHEAD_BYTES;
    }

    private void expireRememberedIds() {
        long before = micros.getAsLong() - rememberMicros;
        int count = 0;
        for (Iterator<Map.Entry<String, Long>> all = remembered.entrySet().iterator(); all.hasNext() && count < MAX_EXPIRED_IDS_PER_ITERATION;) {
            Map.Entry<String, Long> oldest = all.next();
            if (oldest.getValue() >= before && rememberedBytes <= rememberBytes) {
                return;
            }
            all.remove();
            rememberedBytes -= oldest.getKey().length() + REMEMBERED_ID_OVERHEAD_BYTES;
            pending.delete(REMEMBERED + oldest.getKey());
            count++;
        }
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

    /** One that cleaning can't make room for yet waits for what has to be forced before. */
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
            // What a failed sync leaves is unknown: nothing can be promised on it any more.
            LogEvent.log(LOG, Level.ERROR, "store.sync", "the store can't be forced to the disk, the node stops: {why}", "why",
                    e.getMessage());
            next = onFailure;
        }
        try {
            loop.execute(next);
        } catch (RejectedExecutionException e) {
            // The node has stopped meanwhile.
            return;
        }
    }

    @Override public ListLog listLog() {
        return listLog;
    }

    @Override public long size() {
        return store.stats().appendedBytes() + store.stats().copiedBytes();
    }

    /** What the store says of itself. */
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
