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
    static final String KEPT = "in-force.jsonl";
    /** How long one line on a fault stands for those that follow, in microseconds. */
    private static final long QUIET = 10_000_000;
    /** Endpoints made ready in one go, and how long to wait for the loop to do it. */
    private static final int PIECE = 500, PIECE_MS = 2000;

    private final NodeContext host;
    private final AtomicReference<ListsSection> section;
    private final Path kept;
    private final FileWatch watch;
    // The loop's.
    private final Roster roster;
    private long dueAt = Long.MAX_VALUE;
    // The watching thread's.
    private final ListGuard guard;
    private Status status = Status.none();
    private byte[] settled = new byte[0];
    private InvalidListException fault;
    private String faultTold = "";
    private long quietUntil = Long.MIN_VALUE;

    WatchedLists(ListsSection section, NodeContext host) throws Subsystem.StartException {
        this.section = new AtomicReference<>(section);
        this.host = host;
        kept = section.kept();
        try {
            Files.createDirectories(kept);
        } catch (IOException e) {
            throw new Subsystem.StartException("the folder kept = " + kept + " can't be used: " + e);
        }
        guard = new ListGuard(section.limits(), earlier(section));
        fileChanged();
        if (fault != null) {
            tellFault(fault.getMessage());
        }
        roster = new Roster(section.scope().equals("all"), section.drain(), guard.inForce());
        watch = new FileWatch("wrenreach-lists", () -> List.of(section.manifest()), section.look(), section.patience(),
                this);
    }

    /** The list that an earlier process went by. */
    private Generation earlier(ListsSection from) throws Subsystem.StartException {
        Path file = kept.resolve(KEPT);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            Generation list = ListFiles.reread(file, from.bounds());
            status = status.inForce(list, System.currentTimeMillis());
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
        roster.drainFor(newer.drain());
    }

    @Override public Optional<ListFilter> listFilter() {
        return Optional.of(this);
    }

    @Override public ListUpdate filter(ListUpdate line, long now) {
        ListUpdate changes = roster.discovered(line, now);
        drainLater(now);
        return changes;
    }

    private void take(Generation list, List<String> differing) {
        long now = host.now();
        ListUpdate changes = roster.accepted(list, differing, now);
        host.updateEndpoints(changes);
        drainLater(now);
    }

    /** Has what is drained go when its time is up. */
    private void drainLater(long now) {
        long at = roster.dueAt();
        if (at < dueAt) {
            dueAt = at;
            host.schedule(() -> {
                dueAt = Long.MAX_VALUE;
                long then = host.now();
                ListUpdate gone = roster.due(then);
                if (!gone.entries().isEmpty()) {
                    host.updateEndpoints(gone);
                }
                drainLater(then);
            }, Math.max(0, at - now));
        }
    }

    // ---- On the watching thread ----

    @Override public boolean fileChanged() {
        ListsSection now = section.get();
        guard.limit(now.limits());
        try {
            ListFiles.Found found = ListFiles.find(now.manifest());
            if (fault == null && Arrays.equals(found.bytes(), settled)) {
                return true;
            }
            ListFiles.Manifest manifest = ListFiles.manifest(found.real(), found.bytes());
            Generation inForce = guard.inForce();
            if (inForce == null || !manifest.print().equals(inForce.print())) {
                judge(ListFiles.read(found, manifest, now.bounds(), inForce), manifest.confirm());
            } else if (!status.quiet()) {
                say(status.sound(System.currentTimeMillis()));
            }
            settled = found.bytes();
            if (fault != null && !faultTold.isEmpty()) {
                LogEvent.log(LOG, Level.INFO, "lists.readable", "lists: {manifest} can be read again",
                        "manifest", now.manifest());
            }
            fault = null;
            faultTold = "";
            return true;
        } catch (InvalidListException e) {
            fault = e;
            return false;
        }
    }

    @Override public void stillUnfinished() {
        if (fault != null) {
            tellFault(fault.getMessage());
        }
    }

    /** Guards the log against a writer that is at fault again and again: one line a fault, and one in a while. */
    private void tellFault(String what) {
        long now = host.now();
        if (!what.equals(faultTold) && now >= quietUntil) {
            faultTold = what;
            quietUntil = now + QUIET;
            LogEvent.log(LOG, Level.WARNING, "lists.fault", "lists: {fault}; the list in force stays", "fault", what);
        }
        say(status.faulty(what, System.currentTimeMillis()));
    }

    private void judge(Generation list, String confirm) {
        Generation before = guard.inForce();
        ListGuard.Verdict verdict = guard.judge(list, confirm, host.now());
        if (verdict instanceof ListGuard.HeldBack held) {
            LogEvent.log(LOG, Level.WARNING, "lists.held", "lists: {print} \"{label}\" is held back until the manifest "
                    + "confirms {print}: {reasons}", "print", list.print(), "label", list.label(), "reasons",
                    String.join("; ", held.reasons()));
            say(status.heldBack(list, held.reasons(), System.currentTimeMillis()));
        } else if (verdict instanceof ListGuard.Accepted accepted) {
            if (roster != null) {
                List<String> differing = Generation.differing(before, list);
                try {
                    prepare(list, differing);
                    host.loop().execute(() -> take(list, differing));
                } catch (RejectedExecutionException e) {
                    return; // The node has stopped.
                }
            }
            LogEvent.log(LOG, Level.INFO, "lists.inforce", "lists: {print} \"{label}\" with {endpoints} endpoints is in "
                    + "force{confirmed}", "print", list.print(), "label", list.label(), "endpoints",
                    list.endpoints().size(), "confirmed", accepted.confirmed() ? ", as confirmed" : "");
            keep(list);
            say(status.inForce(list, System.currentTimeMillis()));
        }
    }

    /** Guards the loop: what is new is made ready piece by piece, each after the turns that the one before held up. */
    private void prepare(Generation list, List<String> differing) {
        List<ListUpdate.Entry> entries = differing.stream().map(list.endpoints()::get).filter(Objects::nonNull).toList();
        for (int from = 0; entries.size() > PIECE && from < entries.size(); from += PIECE) {
            List<ListUpdate.Entry> piece = entries.subList(from, Math.min(from + PIECE, entries.size()));
            try {
                CompletableFuture.runAsync(() -> host.prepare(piece), host.loop()).get(PIECE_MS, TimeUnit.MILLISECONDS);
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

    private void keep(Generation list) {
        try {
            Path next = kept.resolve(KEPT + ".next");
            try (OutputStream out = Files.newOutputStream(next)) {
                ListFiles.write(out, list);
            }
            Files.move(next, kept.resolve(KEPT), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "lists.kept", "lists: {print} can't be kept for the next start: {why}",
                    "print", list.print(), "why", e.getMessage());
        }
    }

    private void say(Status next) {
        status = next;
        try {
            next.write(kept);
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "lists.status", "lists: status can't be written: {why}", "why", e.getMessage());
        }
    }
}
