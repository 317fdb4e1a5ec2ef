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
import wrenreach.endpoints.ListUpdate;
import wrenreach.frame.ListFilter;
import wrenreach.frame.NodeContext;
import wrenreach.frame.RunningSubsystem;
import wrenreach.frame.Subsystem;
import wrenreach.log.LogEvent;
import wrenreach.watch.FileWatch;

/**
 * Endpoint lists from watched files, in a node. The watching thread reads each list, lets the guard decide on it and stores
 * the one in force. The event loop only gets complete lists; there the merger turns each into an update for the decisions.
 */
final class WatchedLists implements RunningSubsystem<ListsSection>, FileWatch.ChangeHandler, ListFilter {
    private static final System.Logger LOG = System.getLogger(WatchedLists.class.getName());
    /** The file, in the folder kept, of the list in force: the next process starts with it. */
    static final String IN_FORCE_FILE = "in-force.jsonl";
    /** At most one line on unreadable files is logged in this time, in microseconds. */
    private static final long FAULT_LOG_INTERVAL_MICROS = 10_000_000;
    /** Endpoints that are prepared in one task of the event loop. */
    private static final int PREPARE_BATCH = 500;
    /** How long to wait for the event loop to run such a task, in milliseconds. */
    private static final int PREPARE_TIMEOUT_MS = 2000;

    private final NodeContext host;
    private final AtomicReference<ListsSection> section;
    private final Path keptFolder;
    private final FileWatch watch;
    // Used on the event loop only.
    private final EndpointMerger merger;
    private long nextRemovalAt = Long.MAX_VALUE;
    // Used on the watching thread only, and by the constructor.
    private final ListGuard guard;
    private Status status = Status.empty();
    /** The bytes of the manifest that was read and decided on last: the same bytes need no new decision. */
    private byte[] handledManifest = new byte[0];
    /** What was wrong when the files were read last; null: nothing. */
    private InvalidListException fault;
    /** The fault that was logged last and has not been mended since; "": none. */
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

    /** Reads the list that an earlier process used; null: none is stored. */
    private Generation readPreviousList(ListsSection settings) throws Subsystem.StartException {
        Path file = keptFolder.resolve(IN_FORCE_FILE);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            Generation list = ListFiles.readStored(file, settings.bounds());
            status = status.withInForce(list, System.currentTimeMillis());
            return list;
        } catch (InvalidListException e) {
            // Without this list the node would have to guess which endpoints there are, which is worse than not starting.
            throw new Subsystem.StartException("the list kept can't be read, remove it to start without: " + e.getMessage());
        }
    }

    // ---- On the event loop ----

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

    @Override public ListUpdate filter(ListUpdate update, long now) {
        ListUpdate changes = merger.discoveryUpdated(update, now);
        scheduleRemoval(now);
        return changes;
    }

    @Override public boolean replacesDiscovery() {
        return merger.replacesDiscovery();
    }

    private void applyOnLoop(Generation list, List<String> differing) {
        long now = host.now();
        ListUpdate changes = merger.listAccepted(list, differing, now);
        host.updateEndpoints(changes);
        scheduleRemoval(now);
    }

    /** Schedules the removal of drained endpoints for the end of the earliest drain. */
    private void scheduleRemoval(long now) {
        long at = merger.nextRemovalAt();
        if (at < nextRemovalAt) {
            nextRemovalAt = at;
            host.schedule(() -> {
                nextRemovalAt = Long.MAX_VALUE;
                long later = host.now();
                ListUpdate removed = merger.removeDrained(later);
                if (!removed.entries().isEmpty()) {
                    host.updateEndpoints(removed);
                }
                scheduleRemoval(later);
            }, Math.max(0, at - now));
        }
    }

    // ---- On the watching thread ----

    @Override public boolean fileChanged() {
        ListsSection settings = section.get();
        guard.setLimits(settings.limits());
        try {
            ListFiles.ManifestFile file = ListFiles.loadManifest(settings.manifest());
            if (fault == null && Arrays.equals(file.bytes(), handledManifest)) {
                return true;
            }
            ListFiles.Manifest manifest = ListFiles.parseManifest(file.realPath(), file.bytes());
            Generation inForce = guard.inForce();
            if (inForce == null || !manifest.fingerprint().equals(inForce.fingerprint())) {
                judge(ListFiles.readList(file, manifest, settings.bounds(), inForce), manifest.confirm());
            } else if (!status.isHealthy()) {
                updateStatus(status.withReadable(System.currentTimeMillis()));
            }
            handledManifest = file.bytes();
            if (fault != null && !loggedFault.isEmpty()) {
                LogEvent.log(LOG, Level.INFO, "lists.readable", "lists: {manifest} can be read again",
                        "manifest", settings.manifest());
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

    /** Logs a fault once, and no faster than the interval: a writer that errs again and again would otherwise flood the log. */
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
        Generation previous = guard.inForce();
        ListGuard.Verdict verdict = guard.judge(list, confirm, host.now());
        if (verdict instanceof ListGuard.HeldBack held) {
            LogEvent.log(LOG, Level.WARNING, "lists.held", "lists: {print} \"{label}\" is held back until the manifest "
                    + "confirms {print}: {reasons}", "print", list.fingerprint(), "label", list.label(), "reasons",
                    String.join("; ", held.reasons()));
            updateStatus(status.withHeldBack(list, held.reasons(), System.currentTimeMillis()));
        } else if (verdict instanceof ListGuard.Accepted accepted) {
            if (merger != null) {
                List<String> differingIds = Generation.differingIds(previous, list);
                try {
                    prepareInBatches(list, differingIds);
                    host.loop().execute(() -> applyOnLoop(list, differingIds));
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

    /** Prepares new endpoints in batches, each once the previous one is done, so that a large list doesn't hold up the event loop. */
    private void prepareInBatches(Generation list, List<String> differingIds) {
        List<ListUpdate.Entry> entries = differingIds.stream().map(list.endpoints()::get).filter(Objects::nonNull).toList();
        for (int from = 0; entries.size() > PREPARE_BATCH && from < entries.size(); from += PREPARE_BATCH) {
            List<ListUpdate.Entry> batch = entries.subList(from, Math.min(from + PREPARE_BATCH, entries.size()));
            try {
                CompletableFuture.runAsync(() -> host.prepare(batch), host.loop()).get(PREPARE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (TimeoutException e) {
                return; // The event loop is stalled or has stopped: the rest is prepared when the list takes effect.
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
