package wrenreach.watch;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.ClosedWatchServiceException;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchEvent;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import wrenreach.log.LogEvent;

/**
 * Calls a handler whenever a file may have changed: when its folder reports a change, when a symbolic link on its path changes, and at a slow
 * poll interval in any case, as folders don't report every change (network file systems, lost events). Has one thread of its own;
 * calls never overlap. If the handler finds a file unfinished, it is called again soon, for a bounded time.
 */
public final class FileWatch implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(FileWatch.class.getName());
    /** Time until an unfinished file is checked again; doubles with each check. */
    private static final long MIN_RECHECK_MICROS = 5_000;
    /** The most time between two checks of an unfinished file. */
    private static final long MAX_RECHECK_MICROS = 200_000;
    /** The most symbolic links that are followed on the path to a file, the same as the operating system's limit. */
    private static final int MAX_LINKS = 40;

    /** What is called when a file may have changed; always on the watch's thread. */
    public interface ChangeHandler {
        /** A file may have changed, or a poll is due. False: something is unfinished, call again soon. */
        boolean fileChanged();

        /** The file has stayed unfinished for the whole timeout; the next call is made on a change or at the poll interval. */
        void stillUnfinished();
    }

    private final Supplier<Collection<Path>> files;
    private final ChangeHandler handler;
    /** Microseconds. */
    private final long pollInterval;
    /** Microseconds. */
    private final long unfinishedTimeout;
    private final Thread thread;
    /** By the folder that each is for. */
    private final Map<Path, WatchKey> watchKeys = new HashMap<>();
    /** Null: folders can't be watched, and files are only polled. */
    private WatchService watchService;
    private volatile boolean closed;

    /**
     * A watch that does nothing before {@link #start}.
     *
     * @param name name of its thread
     * @param files the files to watch, asked for before each call of the handler
     * @param pollInterval microseconds between calls where no change is reported
     * @param unfinishedTimeout microseconds for which an unfinished file is checked again soon
     */
    public FileWatch(String name, Supplier<Collection<Path>> files, long pollInterval, long unfinishedTimeout, ChangeHandler handler) {
        this.files = files;
        this.handler = handler;
        this.pollInterval = pollInterval;
        this.unfinishedTimeout = unfinishedTimeout;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Calls the handler once at the start, and from then on whenever a file may have changed. */
    public void start() {
        thread.start();
    }

    /** Stops the watch: a call that is running goes on to its end, and there is none after it. */
    @Override public void close() {
        closed = true;
        thread.interrupt();
        try {
            if (watchService != null) {
                watchService.close();
            }
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "watch.close", "watch: {why}", "why", e.getMessage());
        }
    }

    private void run() {
        try {
            watchService = FileSystems.getDefault().newWatchService();
        } catch (IOException | UnsupportedOperationException e) {
            LogEvent.log(LOG, Level.WARNING, "watch.slow", "watch: folders can't be watched ({why}); looking every {every} ms",
                    "why", e.getMessage(), "every", pollInterval / 1000);
        }
        long unfinishedSince = -1;
        long recheckDelay = MIN_RECHECK_MICROS;
        boolean timedOut = false;
        try {
            while (!closed) {
                // The folders are watched before the file is checked: a change in between is reported and leads to another check.
                Set<Path> entries = registerFolders();
                boolean finished = handler.fileChanged();
                long now = System.nanoTime() / 1000;
                if (finished) {
                    unfinishedSince = -1;
                    timedOut = false;
                    recheckDelay = MIN_RECHECK_MICROS;
                } else if (unfinishedSince < 0) {
                    unfinishedSince = now;
                } else if (!timedOut && now - unfinishedSince >= unfinishedTimeout) {
                    timedOut = true;
                    handler.stillUnfinished();
                }
                long wait = finished || timedOut ? pollInterval : Math.min(recheckDelay, pollInterval);
                recheckDelay = finished || timedOut ? MIN_RECHECK_MICROS : Math.min(2 * recheckDelay, MAX_RECHECK_MICROS);
                awaitChange(wait, entries);
            }
        } catch (InterruptedException | ClosedWatchServiceException e) {
            // The watch has been closed: the thread ends.
        } catch (RuntimeException e) {
            // A watch must not end unnoticed.
            LogEvent.log(LOG, Level.ERROR, e, "watch.ended", "watch: a look failed, nothing is watched any more");
        }
    }

    /** Returns after so many microseconds, or as soon as one of the entries has changed. */
    private void awaitChange(long wait, Set<Path> entries) throws InterruptedException {
        long end = System.nanoTime() / 1000 + wait;
        if (watchService == null) {
            TimeUnit.MICROSECONDS.sleep(wait);
            return;
        }
        for (long left = wait; left > 0; left = end - System.nanoTime() / 1000) {
            WatchKey key = watchService.poll(left, TimeUnit.MICROSECONDS);
            boolean changed = false;
            for (; key != null; key = watchService.poll()) {
                Path folder = (Path) key.watchable();
                for (WatchEvent<?> event : key.pollEvents()) {
                    changed |= event.kind() == StandardWatchEventKinds.OVERFLOW
                            || event.context() instanceof Path name && entries.contains(folder.resolve(name));
                }
                changed |= !key.reset();
            }
            if (changed) {
                return;
            }
        }
    }

    /** Watches the folders of all entries on the paths to the files, and returns those entries. */
    private Set<Path> registerFolders() {
        Set<Path> entries = new LinkedHashSet<>();
        files.get().forEach(file -> collectEntries(file, entries));
        if (watchService == null) {
            return entries;
        }
        Set<Path> folders = new HashSet<>();
        entries.forEach(entry -> folders.add(entry.getParent()));
        watchKeys.entrySet().removeIf(watched -> {
            boolean gone = !folders.contains(watched.getKey()) || !watched.getValue().isValid();
            if (gone) {
                watched.getValue().cancel();
            }
            return gone;
        });
        for (Path folder : folders) {
            if (!watchKeys.containsKey(folder)) {
                try {
                    watchKeys.put(folder, folder.register(watchService, List.of(StandardWatchEventKinds.ENTRY_CREATE,
                            StandardWatchEventKinds.ENTRY_MODIFY, StandardWatchEventKinds.ENTRY_DELETE)
                            .toArray(WatchEvent.Kind<?>[]::new)));
                } catch (IOException e) {
                    // The folder does not exist (yet): polling covers it, and the entry above it is watched.
                    continue;
                }
            }
        }
        return entries;
    }

    /** Adds the entries whose change can make the path lead elsewhere: every symbolic link on it, and the entry that it ends at. */
    static void collectEntries(Path file, Set<Path> entries) {
        Path path = file.toAbsolutePath();
        for (int links = 0; links <= MAX_LINKS; links++) {
            Path parent = path.getRoot();
            Path followed = null;
            for (int i = 0; i < path.getNameCount() && followed == null; i++) {
                Path next = parent.resolve(path.getName(i)).normalize();
                boolean last = i == path.getNameCount() - 1;
                if (Files.isSymbolicLink(next)) {
                    entries.add(next);
                    try {
                        followed = parent.resolve(Files.readSymbolicLink(next));
                        followed = last ? followed : followed.resolve(path.subpath(i + 1, path.getNameCount()));
                    } catch (IOException e) {
                        return;
                    }
                } else if (last || !Files.exists(next, LinkOption.NOFOLLOW_LINKS)) {
                    if (next.getParent() != null) {
                        entries.add(next);
                    }
                    return;
                }
                parent = next;
            }
            if (followed == null) {
                return;
            }
            path = followed;
        }
    }
}
