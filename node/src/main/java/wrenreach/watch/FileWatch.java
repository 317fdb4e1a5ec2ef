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
 * Has somebody look whenever a file may have changed: when its folder tells of it, when a link on the way to it does,
 * and slowly in any case, as folders don't tell everything (network file systems, lost events). One thread of its own;
 * looks never overlap. What a look finds unfinished is looked at again soon, for a bounded time.
 */
public final class FileWatch implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(FileWatch.class.getName());
    /** Between two looks at something unfinished: the first, doubling up to the last. */
    private static final long MIN_RECHECK_MICROS = 5_000, MAX_RECHECK_MICROS = 200_000;
    /** Links followed on the way to a file, as the system's own limit. */
    private static final int MAX_LINKS = 40;

    /** Who looks. */
    public interface ChangeHandler {
        /** Looks; false: something is unfinished, look again soon. */
        boolean fileChanged();

        /** It has stayed unfinished for the whole time; the next look is when something changes, or a slow one. */
        void stillUnfinished();
    }

    private final Supplier<Collection<Path>> files;
    private final ChangeHandler handler;
    private final long pollInterval;
    private final long unfinishedTimeout;
    private final Thread thread;
    private final Map<Path, WatchKey> watchKeys = new HashMap<>();
    private WatchService watchService;
    private volatile boolean closed;

    /**
     * files: what to watch, asked for before each look; every: microseconds between slow looks; patience: microseconds
     * for which something unfinished is looked at again. Nothing is done before {@link #start}.
     */
    public FileWatch(String name, Supplier<Collection<Path>> files, long every, long patience, ChangeHandler look) {
        this.files = files;
        this.handler = look;
        this.pollInterval = every;
        this.unfinishedTimeout = patience;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /** Looks once and from then on whenever there is cause. */
    public void start() {
        thread.start();
    }

    /** The look under way ends; there is none after it. */
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
        long again = MIN_RECHECK_MICROS;
        boolean gaveUp = false;
        try {
            while (!closed) {
                // Watch first, look then: what changes in between is seen by the next look.
                Set<Path> wanted = registerFolders();
                boolean finished = handler.fileChanged();
                long now = System.nanoTime() / 1000;
                if (finished) {
                    unfinishedSince = -1;
                    gaveUp = false;
                    again = MIN_RECHECK_MICROS;
                } else if (unfinishedSince < 0) {
                    unfinishedSince = now;
                } else if (!gaveUp && now - unfinishedSince >= unfinishedTimeout) {
                    gaveUp = true;
                    handler.stillUnfinished();
                }
                long wait = finished || gaveUp ? pollInterval : Math.min(again, pollInterval);
                again = finished || gaveUp ? MIN_RECHECK_MICROS : Math.min(2 * again, MAX_RECHECK_MICROS);
                awaitChange(wait, wanted);
            }
        } catch (InterruptedException | ClosedWatchServiceException e) {
            // Closed: the thread ends.
        } catch (RuntimeException e) {
            // Guards against a watch that is over without a word.
            LogEvent.log(LOG, Level.ERROR, e, "watch.ended", "watch: a look failed, nothing is watched any more");
        }
    }

    /** Returns after so many microseconds or once something wanted has changed. */
    private void awaitChange(long wait, Set<Path> wanted) throws InterruptedException {
        long until = System.nanoTime() / 1000 + wait;
        if (watchService == null) {
            TimeUnit.MICROSECONDS.sleep(wait);
            return;
        }
        for (long left = wait; left > 0; left = until - System.nanoTime() / 1000) {
            WatchKey key = watchService.poll(left, TimeUnit.MICROSECONDS);
            boolean concerned = false;
            for (; key != null; key = watchService.poll()) {
                Path folder = (Path) key.watchable();
                for (WatchEvent<?> event : key.pollEvents()) {
                    concerned |= event.kind() == StandardWatchEventKinds.OVERFLOW
                            || event.context() instanceof Path name && wanted.contains(folder.resolve(name));
                }
                concerned |= !key.reset();
            }
            if (concerned) {
                return;
            }
        }
    }

    /** Watches the folders of all entries that lead to the files; those entries. */
    private Set<Path> registerFolders() {
        Set<Path> wanted = new LinkedHashSet<>();
        files.get().forEach(file -> collectEntries(file, wanted));
        if (watchService == null) {
            return wanted;
        }
        Set<Path> folders = new HashSet<>();
        wanted.forEach(entry -> folders.add(entry.getParent()));
        watchKeys.entrySet().removeIf(entry -> {
            boolean gone = !folders.contains(entry.getKey()) || !entry.getValue().isValid();
            if (gone) {
                entry.getValue().cancel();
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
                    // A folder that is not there (yet): the slow look stands in, and the entry above it is watched.
                    continue;
                }
            }
        }
        return wanted;
    }

    /** The entries whose change can make the path lead elsewhere: every link on the way, and what it ends at. */
    static void collectEntries(Path file, Set<Path> into) {
        Path rest = file.toAbsolutePath();
        for (int links = 0; links <= MAX_LINKS; links++) {
            Path at = rest.getRoot();
            Path followed = null;
            for (int i = 0; i < rest.getNameCount() && followed == null; i++) {
                Path next = at.resolve(rest.getName(i)).normalize();
                boolean last = i == rest.getNameCount() - 1;
                if (Files.isSymbolicLink(next)) {
                    into.add(next);
                    try {
                        followed = at.resolve(Files.readSymbolicLink(next));
                        followed = last ? followed : followed.resolve(rest.subpath(i + 1, rest.getNameCount()));
                    } catch (IOException e) {
                        return;
                    }
                } else if (last || !Files.exists(next, LinkOption.NOFOLLOW_LINKS)) {
                    if (next.getParent() != null) {
                        into.add(next);
                    }
                    return;
                }
                at = next;
            }
            if (followed == null) {
                return;
            }
            rest = followed;
        }
    }
}
