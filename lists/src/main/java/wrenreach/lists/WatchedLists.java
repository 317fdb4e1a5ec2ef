package wrenreach.lists;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import wrenreach.frame.NodeContext;
import wrenreach.frame.ListFilter;
import wrenreach.frame.RunningSubsystem;
import wrenreach.frame.Subsystem;
import wrenreach.log.LogEvent;
import wrenreach.endpoints.ListUpdate;
import wrenreach.watch.FileWatch;

/**
 * Lists of endpoints from watched files, in a node. A thread of its own reads, has the guard judge and keeps what is in
 * force; the loop is only told of whole lists, and the roster there turns each into what the module hears.
 */
final class WatchedLists implements RunningSubsystem<ListsSection>, FileWatch.ChangeHandler, ListFilter {
    private static final System.Logger LOG = System.getLogger(WatchedLists.class.getName());
    static final String IN_FORCE_FILE = "in-force.jsonl";
    /** How long one line on a fault stands for those that follow, in microseconds. */
    private static final long FAULT_LOG_INTERVAL_MICROS = 10_000_000;
    /** Endpoints made ready in one go, and how long to wait for the loop to do it. */
    private static final int PREPARE_BATCH = 500, PREPARE_TIMEOUT_MS = 2000;

    private final NodeContext host;
    private final AtomicReference<ListsSection> section;
    private final Path keptFolder;
    private final FileWatch watch;
    // The loop's.
    private final EndpointMerger merger;
    private long nextRemovalAt = Long.MAX_VALUE;
    // The watching thread's.
    private final ListGuard guard;
    private Status status = Status.empty();
    private byte[] handledManifest = new byte[0];
    private InvalidListException fault;
    private String loggedFault = "";
    private long faultLogSilentUntil = Long.MIN_VALUE;

    WatchedLists(ListsSection section, NodeContext host) throws Subsystem.StartException {
        this.section = new AtomicReference<>(section);
        this.host = host;
        keptFolder = section.kept();
        try {
            Files.createDirectories(keptFolder);
        } catch (IOException e) {
            throw new Subsystem.StartException("the folder kept = " + keptFolder + " can't be used: " + e);
        }
        guard = new ListGuard(section.limits(), readPreviousList(section));
        fileChanged();
        if (fault != null) {
            reportFault(fault.getMessage());
        }
        merger = new EndpointMerger(section.scope().equals("all"), section.drain(), guard.inForce());
        watch = new FileWatch("wrenreach-lists", () -> List.of(section.manifest()), section.look(), section.patience(),
                this);
    }

    /** The list that an earlier process went by. */
    private Generation readPreviousList(ListsSection from) throws Subsystem.StartException {
        Path file = keptFolder.resolve(IN_FORCE_FILE);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            Generation list = ListFiles.readStored(file, from.bounds());
            status = status.withInForce(list, System.currentTimeMillis());
            return list;
        } catch (InvalidListException e) {
            // A guess at which endpoints there are would be worse than not to start.
            throw new Subsystem.StartException("the list kept can't be read, remove it to start without: " + e.getMessage());
        }
    }

    // ---- On the loop ----

    @Override public void serving() {
        watch.start();
    }

    @Override public void stopped() {
        watch.close();
    }

    @Override public void reloaded(ListsSection newer) {
        section.set(newer);
        merger.setDrainTime(newer.drain());
    }

    @Override public Optional<ListFilter> listFilter() {
        return Optional.of(this);
    }

    @Override public ListUpdate filter(ListUpdate line, long now) {
        ListUpdate changes = merger.discoveryUpdated(line, now);
        scheduleRemoval(now);
        return changes;
    }

    private void applyOnLoop(Generation list, List<String> differing) {
        long now = host.now();
        ListUpdate changes = merger.listAccepted(list, differing, now);
        host.updateEndpoints(changes);
        scheduleRemoval(now);
    }

    /** Has what is drained go when its time is up. */
    private void scheduleRemoval(long now) {
        long at = merger.nextRemovalAt();
        if (at < nextRemovalAt) {
            nextRemovalAt = at;
            host.schedule(() -> {
                nextRemovalAt = Long.MAX_VALUE;
                long then = host.now();
                ListUpdate gone = merger.removeDrained(then);
                if (!gone.entries().isEmpty()) {
                    host.updateEndpoints(gone);
                }
                scheduleRemoval(then);
            }, Math.max(0, at - now));
        }
    }

    // ---- On the watching thread ----

    @Override public boolean fileChanged() {
        ListsSection now = section.get();
        guard.setLimits(now.limits());
        try {
            ListFiles.ManifestFile found = ListFiles.loadManifest(now.manifest());
            if (fault == null && Arrays.equals(found.bytes(), handledManifest)) {
                return true;
            }
            ListFiles.Manifest manifest = ListFiles.parseManifest(found.realPath(), found.bytes());
            Generation inForce = guard.inForce();
            if (inForce == null || !manifest.fingerprint().equals(inForce.fingerprint())) {
                judge(ListFiles.readList(found, manifest, now.bounds(), inForce), manifest.confirm());
            } else if (!status.isHealthy()) {
                updateStatus(status.withReadable(System.currentTimeMillis()));
            }
            handledManifest = found.bytes();
            if (fault != null && !loggedFault.isEmpty()) {
                LogEvent.log(LOG, Level.INFO, "lists.readable", "lists: {manifest} can be read again",
                        "manifest", now.manifest());
            }
            fault = null;
            loggedFault = "";
            return true;
        } catch (InvalidListException e) {
            fault = e;
            return false;
        }
    }

    @Override public void stillUnfinished() {
        if (fault != null) {
            reportFault(fault.getMessage());
        }
    }

    /** Guards the log against a writer that is at fault again and again: one line a fault, and one in a while. */
    private void reportFault(String what) {
        long now = host.now();
        if (!what.equals(loggedFault) && now >= faultLogSilentUntil) {
            loggedFault = what;
            faultLogSilentUntil = now + FAULT_LOG_INTERVAL_MICROS;
            LogEvent.log(LOG, Level.WARNING, "lists.fault", "lists: {fault}; the list in force stays", "fault", what);
        }
        updateStatus(status.withFault(what, System.currentTimeMillis()));
    }

    private void judge(Generation list, String confirm) {
        Generation before = guard.inForce();
        ListGuard.Verdict verdict = guard.judge(list, confirm, host.now());
        if (verdict instanceof ListGuard.HeldBack held) {
            LogEvent.log(LOG, Level.WARNING, "lists.held", "lists: {print} \"{label}\" is held back until the manifest "
                    + "confirms {print}: {reasons}", "print", list.fingerprint(), "label", list.label(), "reasons",
                    String.join("; ", held.reasons()));
            updateStatus(status.withHeldBack(list, held.reasons(), System.currentTimeMillis()));
        } else if (verdict instanceof ListGuard.Accepted accepted) {
            if (merger != null) {
                List<String> differing = Generation.differingIds(before, list);
                try {
                    prepareInBatches(list, differing);
                    host.loop().execute(() -> applyOnLoop(list, differing));
                } catch (RejectedExecutionException e) {
                    return; // The node has stopped.
                }
            }
            LogEvent.log(LOG, Level.INFO, "lists.inforce", "lists: {print} \"{label}\" with {endpoints} endpoints is in "
                    + "force{confirmed}", "print", list.fingerprint(), "label", list.label(), "endpoints",
                    list.endpoints().size(), "confirmed", accepted.confirmed() ? ", as confirmed" : "");
            store(list);
            updateStatus(status.withInForce(list, System.currentTimeMillis()));
        }
    }

    /** Guards the loop: what is new is made ready piece by piece, each after the turns that the one before held up. */
    private void prepareInBatches(Generation list, List<String> differing) {
        List<ListUpdate.Entry> entries = differing.stream().map(list.endpoints()::get).filter(Objects::nonNull).toList();
        for (int from = 0; entries.size() > PREPARE_BATCH && from < entries.size(); from += PREPARE_BATCH) {
            List<ListUpdate.Entry> piece = entries.subList(from, Math.min(from + PREPARE_BATCH, entries.size()));
            try {
                CompletableFuture.runAsync(() -> host.prepare(piece), host.loop()).get(PREPARE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (TimeoutException e) {
                return; // The node stands still or has stopped: the rest is made ready when the list takes effect.
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
    }

    private void store(Generation list) {
        try {
            Path next = keptFolder.resolve(IN_FORCE_FILE + ".next");
            try (OutputStream out = Files.newOutputStream(next)) {
                ListFiles.write(out, list);
            }
            Files.move(next, keptFolder.resolve(IN_FORCE_FILE), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "lists.kept", "lists: {print} can't be kept for the next start: {why}",
                    "print", list.fingerprint(), "why", e.getMessage());
        }
    }

    private void updateStatus(Status next) {
        status = next;
        try {
            next.write(keptFolder);
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "lists.status", "lists: status can't be written: {why}", "why", e.getMessage());
        }
    }
}
