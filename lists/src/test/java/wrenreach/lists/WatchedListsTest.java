package wrenreach.lists;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.api.Settings;
import wrenreach.endpoints.ListUpdate;
import wrenreach.frame.NodeContext;
import wrenreach.frame.Subsystem;
import wrenreach.held.Submission;
import wrenreach.net.ReplyHandle;

/** Tests watched files with a node stub that only records the updates that it gets. */
class WatchedListsTest {
    @TempDir Path folder;
    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    /** The names of the serving endpoints after each update that the node got. */
    private final LinkedBlockingQueue<Set<String>> servingSets = new LinkedBlockingQueue<>();
    private final Map<String, ListUpdate.Entry> known = new HashMap<>();
    private final NodeContext host = new NodeContext() {
        @Override public String name() {
            return "test";
        }

        @Override public Settings settings() {
            return null;
        }

        @Override public Executor loop() {
            return loop;
        }

        @Override public void schedule(Runnable work, long delay) {
            loop.schedule(work, delay, TimeUnit.MICROSECONDS);
        }

        @Override public long now() {
            return System.nanoTime() / 1000;
        }

        @Override public void prepare(List<ListUpdate.Entry> entries) { }

        @Override public void updateEndpoints(ListUpdate update) {
            for (ListUpdate.Entry entry : update.entries()) {
                known.put(entry.name(), entry);
            }
            servingSets.add(known.values().stream().filter(Generation::isServing).map(entry -> Generation.nameOf(entry.name()))
                    .collect(Collectors.toSet()));
        }

        @Override public void submit(Submission submission, long lifetimeMs, ReplyHandle replyHandle) { }
    };
    private final List<Set<String>> seen = new ArrayList<>();
    private WatchedLists lists;

    @AfterEach void stop() {
        if (lists != null) {
            lists.stopped();
        }
        loop.shutdownNow();
    }

    private Path manifest() {
        return folder.resolve("manifest.json");
    }

    private Path kept() {
        return folder.resolve("kept");
    }

    private ListsSection section(double mostGone) {
        return new ListsSection(manifest(), kept(), "all", mostGone, 0, 10_000, 300_000, 100_000, 1 << 20, 10_000, 4096);
    }

    private void start(double mostGone) throws Subsystem.StartException {
        lists = new WatchedLists(section(mostGone), host);
        loop.execute(() -> host.updateEndpoints(lists.filter(new ListUpdate(0, true, List.of()), host.now())));
        loop.execute(lists::serving);
    }

    /** A part that holds these endpoints, all of destination 1 and zone n. */
    private static byte[] part(String... names) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ListFiles.write(out, Lists.list(Arrays.stream(names).map(name -> "1/" + name + "@n").collect(Collectors.joining(" "))));
        return out.toByteArray();
    }

    private static byte[] manifest(String label, String confirm, Map<String, byte[]> parts) throws IOException {
        return ListFiles.write(new ListFiles.Manifest(label, confirm, parts.entrySet().stream().sorted(Map.Entry.comparingByKey())
                .map(entry -> new ListFiles.Part(entry.getKey(), ListFiles.sha256Hex(entry.getValue()))).toList()));
    }

    private String publish(String label, String confirm, String... names) throws Exception {
        byte[] part = part(names);
        ListFiles.replaceAtomically(folder.resolve("part"), part);
        byte[] manifest = manifest(label, confirm, Map.of("part", part));
        ListFiles.replaceAtomically(manifest(), manifest);
        return ListFiles.parseManifest(manifest(), manifest).fingerprint();
    }

    /** Waits for an update after which just these endpoints serve; records all sets seen before. */
    private void awaitServing(String... names) throws InterruptedException {
        Set<String> wanted = Set.of(names);
        Set<String> last = null;
        do {
            last = servingSets.poll(20, TimeUnit.SECONDS);
            assertThat(last).as("waiting for " + wanted).isNotNull();
            seen.add(last);
        } while (!last.equals(wanted));
    }

    private Status awaitStatus(java.util.function.Predicate<Status> wanted) throws Exception {
        Status last = null;
        for (int i = 0; i < 1000 && (last == null || !wanted.test(last)); i++) {
            Thread.sleep(10);
            last = Files.exists(kept().resolve(Status.FILE_NAME)) ? Status.read(kept()) : null;
        }
        assertThat(last).matches(wanted);
        return last;
    }

    private static String command(int code, String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream both = new PrintStream(out, true, StandardCharsets.UTF_8);
        assertThat(new ListsCommand().run(List.of(words), both, both)).as(out.toString(StandardCharsets.UTF_8)).isEqualTo(code);
        return out.toString(StandardCharsets.UTF_8);
    }

    /**
     * A list must never mix two generations. A writer truncates, overwrites and renames two parts and their manifest 4,000
     * times while the watching thread reads them. The names of a generation carry its number, so that each set of serving
     * endpoints shows of which generation it is.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void partialWritesNeverYieldAMixedList(long seed) throws Exception {
        Random random = new Random(seed);
        start(1);
        awaitServing();
        Set<Set<String>> written = new HashSet<>();
        for (int generation = 0; generation < 2000; generation++) {
            String[] north = {"g" + generation + "-a", "g" + generation + "-b"};
            String[] south = {"g" + generation + "-c"};
            Map<String, byte[]> parts = Map.of("north", part(north), "south", part(south));
            List<Path> files = new ArrayList<>(List.of(folder.resolve("north"), folder.resolve("south"), manifest()));
            for (Path file : files) {
                byte[] bytes = file.equals(manifest()) ? manifest("g" + generation, "", parts) : parts.get(file.getFileName().toString());
                switch (random.nextInt(4)) {
                    case 0 -> Files.write(file, Arrays.copyOf(bytes, random.nextInt(bytes.length)));
                    case 1 -> {
                        Files.write(file, Arrays.copyOf(bytes, bytes.length / 2));
                        Files.write(file, bytes);
                    }
                    default -> ListFiles.replaceAtomically(file, bytes);
                }
                if (random.nextInt(50) == 0) {
                    Files.deleteIfExists(file);
                }
            }
            written.add(Set.of(north[0], north[1], south[0]));
            if (generation % 100 == 99) {
                publish("whole " + generation, "", "whole-" + generation);
                awaitServing("whole-" + generation);
                written.add(Set.of("whole-" + generation));
            }
        }
        String last = publish("last", "", "end");
        awaitServing("end");
        awaitStatus(s -> s.label().equals("last"));
        assertThat(ListFiles.readStored(kept().resolve(WatchedLists.IN_FORCE_FILE), section(1).bounds()).fingerprint()).isEqualTo(last);
        written.add(Set.of("end"));
        written.add(Set.of());
        assertThat(written).containsAll(seen);
        assertThat(seen).contains(Set.of("whole-99"), Set.of("whole-1999"));
    }

    @Test void aHeldBackListIsShownAndAppliedOnceConfirmed() throws Exception {
        publish("both", "", "a", "b", "c");
        start(0.5);
        awaitServing("a", "b", "c");
        String fingerprint = publish("one left", "", "a");
        assertThat(awaitStatus(status -> !status.heldFingerprint().isEmpty()).heldFingerprint()).isEqualTo(fingerprint);
        assertThat(command(1, "status", kept().toString())).contains("in force: ").contains("\"both\", 3 endpoints")
                .contains("held back: " + fingerprint + " \"one left\"")
                .contains("zone n would lose 2 of 3 endpoints, at most 50% may go");
        publish("one left", "000000000000", "a");
        publish("one left", fingerprint, "a");
        awaitServing("a");
        assertThat(seen).isSubsetOf(Set.of(), Set.of("a", "b", "c"), Set.of("a"));
        // The status is written after the node has got the list.
        awaitStatus(status -> status.label().equals("one left") && status.heldFingerprint().isEmpty());
        assertThat(command(0, "status", kept().toString())).contains("\"one left\", 1 endpoints").doesNotContain("held");
    }

    @Test void afterARestartTheListInForceStaysWhileTheFilesAreInvalid() throws Exception {
        publish("good", "", "a", "b");
        start(0.5);
        awaitServing("a", "b");
        lists.stopped();
        Files.writeString(manifest(), "{");
        start(0.5);
        awaitServing("a", "b");
        assertThat(awaitStatus(status -> !status.fault().isEmpty()).fault()).contains("manifest.json:1: can't be read as JSON");
        assertThat(command(1, "status", kept().toString())).contains("can't be read since");
        publish("next", "", "a", "b", "c");
        awaitServing("a", "b", "c");
        assertThat(awaitStatus(Status::isHealthy).label()).isEqualTo("next");
    }

    @Test void changedLinksEqualTimestampsAndRecreatedFilesAreNoticed() throws Exception {
        Path first = Files.createDirectory(folder.resolve("one"));
        Path second = Files.createDirectory(folder.resolve("two"));
        for (Path version : List.of(first, second)) {
            byte[] part = part(version.getFileName().toString());
            Files.write(version.resolve("part"), part);
            Files.write(version.resolve("manifest.json"), manifest("l", "", Map.of("part", part)));
        }
        Path current = Files.createSymbolicLink(folder.resolve("current"), first);
        Files.createSymbolicLink(manifest(), Path.of("current", "manifest.json"));
        start(1);
        awaitServing("one");
        Files.move(Files.createSymbolicLink(folder.resolve("next"), second), current, StandardCopyOption.ATOMIC_MOVE);
        awaitServing("two");
        // Same timestamp and length: only the content shows the change.
        FileTime timestamp = Files.getLastModifiedTime(second.resolve("manifest.json"));
        byte[] part = part("six");
        Files.write(second.resolve("part"), part);
        Path next = Files.write(second.resolve("next"), manifest("l", "", Map.of("part", part)));
        Files.setLastModifiedTime(next, timestamp);
        Files.move(next, second.resolve("manifest.json"), StandardCopyOption.ATOMIC_MOVE);
        awaitServing("six");
        Files.delete(second.resolve("manifest.json"));
        awaitStatus(status -> status.fault().endsWith("no such file"));
        Files.write(second.resolve("manifest.json"), manifest("l", "", Map.of("part", part)));
        awaitStatus(Status::isHealthy);
        assertThat(servingSets).allMatch(names -> names.equals(Set.of("six")));
    }

    @Test void commandsMakeCheckAndReportErrors() throws Exception {
        Files.write(folder.resolve("north"), part("a", "b"));
        Files.write(folder.resolve("south"), part("c"));
        String manifest = manifest().toString();
        assertThat(command(0, "make", manifest, "north", "south", "--label=first")).contains("\"first\", 3 endpoints");
        assertThat(command(0, "check", manifest)).contains("\"first\": 3 endpoints of 1 destinations in 2 parts")
                .contains("zone n            3 endpoints, 3 of them serving");
        Files.write(folder.resolve("south"), part("a"));
        assertThat(command(2, "check", manifest)).contains("south: its SHA-256 is");
        assertThat(command(2, "make", manifest, "north", "south")).contains("two endpoints of the name a");
        assertThat(command(2, "check")).startsWith("usage:");
        assertThat(command(2, "status", folder.resolve("absent").toString())).contains("NoSuchFile");
    }

    @Test void aTruncatedStoredListPreventsTheStart() throws Exception {
        Files.createDirectories(kept());
        Files.write(kept().resolve(WatchedLists.IN_FORCE_FILE), Arrays.copyOf(part("a"), 50));
        assertThatThrownBy(() -> new WatchedLists(section(1), host)).isInstanceOf(Subsystem.StartException.class)
                .hasMessageContaining("the list kept can't be read");
        Path file = Files.writeString(folder.resolve("file"), "");
        assertThatThrownBy(() -> new WatchedLists(new ListsSection(manifest(), file.resolve("x"), "all", 1, 0, 0, 1, 1, 1, 1, 1),
                host)).isInstanceOf(Subsystem.StartException.class).hasMessageContaining("can't be used");
    }
}
