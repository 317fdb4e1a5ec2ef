package wrenreach.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileWatchTest {
    /** One hour: within a test's time only changes that a folder reports cause a check. */
    private static final long POLL_INTERVAL_MICROS = 3_600_000_000L;
    @TempDir Path folder;
    private final LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();

    private boolean readFile(Path file) {
        try {
            String text = Files.readString(file);
            seen.add(text);
            return !text.equals("half");
        } catch (IOException e) {
            seen.add("gone");
            return true;
        }
    }

    private void awaitSeen(String text) throws InterruptedException {
        String last;
        do {
            last = seen.poll(20, TimeUnit.SECONDS);
            assertThat(last).as("waiting for " + text).isNotNull();
        } while (!last.equals(text));
    }

    private FileWatch newWatch(Path file) {
        return new FileWatch("test", () -> List.of(file), POLL_INTERVAL_MICROS, 100_000, new FileWatch.ChangeHandler() {
            @Override public boolean fileChanged() {
                return FileWatchTest.this.readFile(file);
            }

            @Override public void stillUnfinished() {
                seen.add("stays");
            }
        });
    }

    private void switchLink(Path link, Path target) throws IOException {
        Path next = Files.createSymbolicLink(folder.resolve("next"), target);
        Files.move(next, link, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Many tools replace lists by switching a symbolic link to another folder, which changes all files at once: that must be noticed. */
    @Test void switchedLinkOnThePathIsNoticed() throws Exception {
        Path one = Files.createDirectory(folder.resolve("one"));
        Path two = Files.createDirectory(folder.resolve("two"));
        Files.writeString(one.resolve("list"), "first");
        Files.writeString(two.resolve("list"), "second");
        Path current = folder.resolve("current");
        Files.createSymbolicLink(current, Path.of("one"));
        try (FileWatch watch = newWatch(current.resolve("list"))) {
            watch.start();
            awaitSeen("first");
            switchLink(current, two);
            awaitSeen("second");
            Files.writeString(two.resolve("list"), "third");
            awaitSeen("third");
            switchLink(current, one);
            awaitSeen("first");
        }
    }

    @Test void missingFileIsNoticedWhenItsFolderAppears() throws Exception {
        Path file = folder.resolve("later").resolve("list");
        try (FileWatch watch = newWatch(file)) {
            watch.start();
            awaitSeen("gone");
            Path made = Files.createDirectory(folder.resolve("made"));
            Files.writeString(made.resolve("list"), "here");
            Files.move(made, file.getParent());
            awaitSeen("here");
            Files.delete(file);
            awaitSeen("gone");
        }
    }

    /** A slow writer, and one that never finishes: an unfinished file is checked again soon, and reported once after the timeout. */
    @Test void unfinishedFileIsRecheckedAndReportedOnce() throws Exception {
        Path file = Files.writeString(folder.resolve("list"), "half");
        try (FileWatch watch = newWatch(file)) {
            watch.start();
            awaitSeen("stays");
            Files.writeString(file, "whole");
            awaitSeen("whole");
        }
        assertThat(seen).doesNotContain("stays");
    }

    @Test void everyLinkIsCollectedAndALinkLoopEnds() throws Exception {
        Path real = Files.createDirectories(folder.resolve("a").resolve("b"));
        Path link = Files.createSymbolicLink(folder.resolve("l"), Path.of("a/../a/b"));
        Path loop = folder.resolve("loop");
        Files.createSymbolicLink(loop, loop);
        Set<Path> entries = new LinkedHashSet<>();
        FileWatch.collectEntries(link.resolve("file"), entries);
        assertThat(entries).containsExactly(link, real.resolve("file"));
        entries.clear();
        FileWatch.collectEntries(loop.resolve("file"), entries);
        assertThat(entries).containsExactly(loop);
    }
}
