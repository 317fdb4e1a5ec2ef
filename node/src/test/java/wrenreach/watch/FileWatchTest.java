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
    /** Slow looks are out of the way: only what folders tell brings a look within the tests' time. */
    private static final long NEVER = 3_600_000_000L;
    @TempDir Path folder;
    private final LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();

    private boolean look(Path file) {
        try {
            String text = Files.readString(file);
            seen.add(text);
            return !text.equals("half");
        } catch (IOException e) {
            seen.add("gone");
            return true;
        }
    }

    private void until(String text) throws InterruptedException {
        String last;
        do {
            last = seen.poll(20, TimeUnit.SECONDS);
            assertThat(last).as("waiting for " + text).isNotNull();
        } while (!last.equals(text));
    }

    private FileWatch watch(Path file) {
        return new FileWatch("test", () -> List.of(file), NEVER, 100_000, new FileWatch.Look() {
            @Override public boolean look() {
                return FileWatchTest.this.look(file);
            }

            @Override public void stays() {
                seen.add("stays");
            }
        });
    }

    private void flip(Path link, Path to) throws IOException {
        Path next = Files.createSymbolicLink(folder.resolve("next"), to);
        Files.move(next, link, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Guards against lists in folders that a link leads to, as many tools swap them: one flip changes all at once. */
    @Test void aFlippedLinkOnTheWayIsSeen() throws Exception {
        Path one = Files.createDirectory(folder.resolve("one"));
        Path two = Files.createDirectory(folder.resolve("two"));
        Files.writeString(one.resolve("list"), "first");
        Files.writeString(two.resolve("list"), "second");
        Path current = folder.resolve("current");
        Files.createSymbolicLink(current, Path.of("one"));
        try (FileWatch watch = watch(current.resolve("list"))) {
            watch.start();
            until("first");
            flip(current, two);
            until("second");
            Files.writeString(two.resolve("list"), "third");
            until("third");
            flip(current, one);
            until("first");
        }
    }

    @Test void aFileThatIsNotThereYetIsSeenWhenItsFolderComes() throws Exception {
        Path file = folder.resolve("later").resolve("list");
        try (FileWatch watch = watch(file)) {
            watch.start();
            until("gone");
            Path made = Files.createDirectory(folder.resolve("made"));
            Files.writeString(made.resolve("list"), "here");
            Files.move(made, file.getParent());
            until("here");
            Files.delete(file);
            until("gone");
        }
    }

    /** Guards against a writer that is slow and one that never ends: looked at again soon, then told once. */
    @Test void whatIsUnfinishedIsLookedAtAgainAndToldOnceWhereItStays() throws Exception {
        Path file = Files.writeString(folder.resolve("list"), "half");
        try (FileWatch watch = watch(file)) {
            watch.start();
            until("stays");
            Files.writeString(file, "whole");
            until("whole");
        }
        assertThat(seen).doesNotContain("stays");
    }

    @Test void everyLinkOnTheWayIsAnEntryAndALoopOfLinksEnds() throws Exception {
        Path real = Files.createDirectories(folder.resolve("a").resolve("b"));
        Path link = Files.createSymbolicLink(folder.resolve("l"), Path.of("a/../a/b"));
        Path loop = folder.resolve("loop");
        Files.createSymbolicLink(loop, loop);
        Set<Path> entries = new LinkedHashSet<>();
        FileWatch.entries(link.resolve("file"), entries);
        assertThat(entries).containsExactly(link, real.resolve("file"));
        entries.clear();
        FileWatch.entries(loop.resolve("file"), entries);
        assertThat(entries).containsExactly(loop);
    }
}
