package wrenreach.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ListLogTest {
    private static final long FOLDER_LIMIT_BYTES = 50_000_000;
    private static final String DISCOVERY_ADDRESS = "127.0.0.1:9";
    @TempDir Path folder;
    private EndpointTable table = newTable();

    private static EndpointTable newTable() {
        return new EndpointTable(1_000_000, "a test");
    }

    /** Applies a list to the table and stores it, as a node does. */
    private void apply(ListLog log, ListUpdate update) throws IOException {
        ListSink sink = table.sink(log::stageEntry);
        sink.begin();
        log.begin();
        for (ListUpdate.Entry entry : update.entries()) {
            sink.entry(entry);
        }
        sink.end(update.index(), update.whole());
        for (int i = table.implicitRemovalsFrom(); i < table.changedRows(); i++) {
            log.stageEntry(table.entry(table.changedRows(i)));
        }
        log.commit(update.index(), DISCOVERY_ADDRESS, table);
    }

    private static void finishSnapshot(ListLog log, EndpointTable table) {
        while (log.hasSnapshotWork()) {
            log.writeSnapshotSlice(table);
        }
    }

    private static ListUpdate delta(long index, ListUpdate.Entry... entries) {
        return new ListUpdate(index, false, List.of(entries));
    }

    /** The table as a later process recovers it from the folder. */
    private static EndpointTable recoveredTable(Path folder) throws IOException {
        EndpointTable later = newTable();
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        ListLog.StoredVersion stored = log.inspect();
        if (stored == null) {
            return later;
        }
        log.replayTo(later.sink());
        log.close();
        assertThat(later.index()).isEqualTo(stored.index());
        assertThat(stored.discoveryAddress()).isEqualTo(DISCOVERY_ADDRESS);
        return later;
    }

    private static List<ListUpdate.Entry> sortedEntries(EndpointTable table) {
        return table.snapshot().entries().stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
    }

    /**
     * A kill may cut the file at any byte: what is recovered is one of the lists that were told, whole and with the deltas appended since, and never
     * an older one for a later cut.
     */
    @Test void killAtAnyByteLeavesOneOfTheLists() throws IOException {
        List<List<ListUpdate.Entry>> states = new ArrayList<>();
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, 6));
        states.add(sortedEntries(table));
        apply(log, delta(2, EndpointTableTest.entry(2, "DRAINING"), EndpointTableTest.entry(9, "SERVING")));
        states.add(sortedEntries(table));
        apply(log, delta(3, EndpointTableTest.entry(2, "DELETED"),
                new ListUpdate.Entry("odd \t\\n\n\"é", "[::1]:80", "", "", 4, "SERVING", 0.1)));
        states.add(sortedEntries(table));
        apply(log, EndpointTableTest.snapshot(4, 2));
        states.add(sortedEntries(table));
        log.close();
        byte[] bytes = Files.readAllBytes(folder.resolve(ListLog.FILE_NAME));
        int latestState = -1;
        for (int cut = 0; cut <= bytes.length; cut++) {
            Path other = Files.createDirectories(folder.resolve("cut"));
            Files.write(other.resolve(ListLog.FILE_NAME), Arrays.copyOf(bytes, cut));
            List<ListUpdate.Entry> recovered;
            try {
                recovered = sortedEntries(recoveredTable(other));
            } catch (IOException e) {
                assertThat(latestState).as("a list that was recovered once is recovered from every longer file, cut at %d", cut).isEqualTo(-1);
                continue;
            }
            int state = states.indexOf(recovered);
            assertThat(state).as("cut at %d", cut).isGreaterThanOrEqualTo(Math.max(0, latestState));
            latestState = state;
        }
        assertThat(latestState).isEqualTo(states.size() - 1);
    }

    /** A corrupted byte: nothing behind it is trusted. */
    @Test void contentFromDamageOnIsIgnored() throws IOException {
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, 3));
        List<ListUpdate.Entry> first = sortedEntries(table);
        long validBytes = Files.size(folder.resolve(ListLog.FILE_NAME));
        apply(log, delta(2, EndpointTableTest.entry(2, "DRAINING")));
        apply(log, delta(3, EndpointTableTest.entry(1, "DRAINING")));
        log.close();
        byte[] bytes = Files.readAllBytes(folder.resolve(ListLog.FILE_NAME));
        bytes[(int) validBytes + 3] ^= 1;
        Files.write(folder.resolve(ListLog.FILE_NAME), bytes);
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(first);
    }

    /** Entries that were staged for a list that never ended are not part of the next one. */
    @Test void abandonedListLeavesNoEntries() throws IOException {
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, 3));
        log.begin();
        for (int i = 0; i < 10; i++) {
            log.stageEntry(EndpointTableTest.entry(100 + i, "SERVING"));
        }
        apply(log, delta(2, EndpointTableTest.entry(1, "DRAINING")));
        log.close();
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(sortedEntries(table)).hasSize(3);
    }

    /** A later process appends to the file that it found, after truncating a torn end. */
    @Test void laterProcessAppendsAfterTheLastCommit() throws IOException {
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, 3));
        log.begin();
        log.stageEntry(EndpointTableTest.entry(7, "SERVING"));
        log.close();
        Files.writeString(folder.resolve(ListLog.FILE_NAME), Files.readString(folder.resolve(ListLog.FILE_NAME)) + "0\thalf a li");
        ListLog second = new ListLog(folder, FOLDER_LIMIT_BYTES);
        second.inspect();
        second.replayTo(table.sink());
        apply(second, delta(2, EndpointTableTest.entry(1, "DRAINING")));
        second.close();
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(sortedEntries(table)).hasSize(3)
                .contains(EndpointTableTest.entry(1, "DRAINING"));
    }

    /** A long list is written in slices: changes made between slices are included, and an unfinished snapshot is not used. */
    @Test void snapshotInSlicesIncludesChangesMadeMeanwhile() throws IOException {
        int count = 5 * ListLog.SLICE_ROWS;
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, count));
        assertThat(log.hasSnapshotWork()).as("too long for one slice").isTrue();
        assertThat(folder.resolve(ListLog.FILE_NAME)).doesNotExist();
        apply(log, delta(2, EndpointTableTest.entry(3, "DRAINING"), EndpointTableTest.entry(count - 1, "DELETED")));
        log.writeSnapshotSlice(table);
        apply(log, delta(3, EndpointTableTest.entry(4, "DELETED"), EndpointTableTest.entry(count + 1, "SERVING")));
        finishSnapshot(log, table);
        log.close();
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(sortedEntries(table)).hasSize(count - 1);
        assertThat(folder.resolve(ListLog.NEXT_FILE_NAME)).doesNotExist();
    }

    /**
     * A snapshot that becomes complete while a list is being read must not replace the file that the list's entries are staged in; and it must not
     * keep the event loop busy while it waits.
     */
    @Test void snapshotFinishedWhileAListIsReadMissesNothing() throws IOException {
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, 3 * ListLog.SLICE_ROWS));
        assertThat(log.hasSnapshotWork()).isTrue();
        ListSink sink = table.sink(log::stageEntry);
        sink.begin();
        log.begin();
        sink.entry(EndpointTableTest.entry(7, "DRAINING"));
        for (int i = 0; log.hasSnapshotWork(); i++) {
            assertThat(i).as("slices").isLessThan(10);
            log.writeSnapshotSlice(table);
            table.reclaim(ListLog.SLICE_ROWS);
        }
        sink.entry(EndpointTableTest.entry(2900, "DRAINING"));
        sink.end(2, false);
        log.commit(2, DISCOVERY_ADDRESS, table);
        finishSnapshot(log, table);
        log.close();
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(sortedEntries(table)).filteredOn(e -> e.status().equals("DRAINING")).hasSize(2);
    }

    /** The file does not grow without bound: after any number of changes its size is in proportion to the list. */
    @Test void logThatHasDoubledIsRewritten() throws IOException {
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        apply(log, EndpointTableTest.snapshot(1, 100));
        for (int i = 2; i < 2000; i++) {
            apply(log, delta(i, EndpointTableTest.entry(i % 100, i % 2 == 0 ? "DRAINING" : "SERVING")));
            assertThat(Files.size(folder.resolve(ListLog.FILE_NAME))).isLessThan(20_000);
        }
        log.close();
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(sortedEntries(table));
    }

    /** At the target size, 1.3% of the endpoints drain and return repeatedly, half of that while a new snapshot is being written: all stays bounded. */
    @Test void flappingEndpointsAtTargetSizeLeaveTableAndFileBounded() throws IOException {
        table = new EndpointTable(64_000_000, "a test");
        ListLog log = new ListLog(folder, 50 * 64_000_000L);
        apply(log, EndpointTableTest.snapshot(1, EndpointTableTest.TARGET_ENDPOINTS));
        finishSnapshot(log, table);
        long bytes = table.bytes();
        long file = Files.size(folder.resolve(ListLog.FILE_NAME));
        ListUpdate.Entry[] down = new ListUpdate.Entry[EndpointTableTest.TARGET_ENDPOINTS * 13 / 1000];
        ListUpdate.Entry[] up = new ListUpdate.Entry[down.length];
        for (int i = 0; i < down.length; i++) {
            down[i] = EndpointTableTest.entry(i * 76, "DRAINING");
            up[i] = EndpointTableTest.entry(i * 76, "SERVING");
        }
        int rewrites = 0;
        for (int i = 2; i < 202; i++) {
            long before = Files.size(folder.resolve(ListLog.FILE_NAME));
            apply(log, delta(i, i % 2 == 0 ? down : up));
            for (int slice = 0; slice < 100; slice++) {
                log.writeSnapshotSlice(table);
            }
            assertThat(table.bytes()).isEqualTo(bytes);
            long after = Files.size(folder.resolve(ListLog.FILE_NAME));
            assertThat(after).isLessThan(2 * file + 4 * file / 50);
            rewrites += after < before ? 1 : 0;
        }
        assertThat(rewrites).as("rewrites").isPositive();
        apply(log, delta(202, down));
        log.close();
        EndpointTable later = new EndpointTable(64_000_000, "a test");
        ListLog next = new ListLog(folder, 50 * 64_000_000L);
        assertThat(next.inspect().index()).isEqualTo(202);
        next.replayTo(later.sink());
        next.close();
        assertThat(later.size()).isEqualTo(EndpointTableTest.TARGET_ENDPOINTS);
        for (int i = 0; i < EndpointTableTest.TARGET_ENDPOINTS; i++) {
            ListUpdate.Entry entry = EndpointTableTest.entry(i, "SERVING");
            assertThat(later.status(later.find(entry.name()))).isEqualTo(table.status(table.find(entry.name())));
        }
    }

    /** A list that exceeds the log's limit is not stored, and no older one stays; once the list has shrunk it is stored again. */
    @Test void listThatExceedsTheLimitLeavesNoOlderOne() throws IOException {
        ListLog log = new ListLog(folder, 50 * 2000);
        apply(log, EndpointTableTest.snapshot(1, 3));
        assertThat(folder.resolve(ListLog.FILE_NAME)).exists();
        apply(log, EndpointTableTest.snapshot(2, 200));
        assertThat(folder.resolve(ListLog.FILE_NAME)).doesNotExist();
        assertThat(folder.resolve(ListLog.NEXT_FILE_NAME)).doesNotExist();
        apply(log, EndpointTableTest.snapshot(3, 4));
        log.close();
        assertThat(sortedEntries(recoveredTable(folder))).isEqualTo(sortedEntries(table));
    }

    /** The previous format is read, and its file is deleted once a file of the new format exists. */
    @Test void form1IsRead() throws IOException {
        Files.writeString(folder.resolve(ListLog.FORM_1_FILE_NAME), "{\"form\":1,\"from\":\"" + DISCOVERY_ADDRESS + "\",\"list\":{\"index\":7,"
                + "\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"\",\"type\":\"\","
                + "\"group\":1,\"status\":\"DRAINING\",\"weight\":2}]}}");
        ListLog log = new ListLog(folder, FOLDER_LIMIT_BYTES);
        assertThat(log.inspect()).isEqualTo(new ListLog.StoredVersion(7, DISCOVERY_ADDRESS));
        log.replayTo(table.sink());
        assertThat(table.snapshot().entries()).containsExactly(new ListUpdate.Entry("a", "127.0.0.1:1", "", "", 1, "DRAINING", 2));
        apply(log, delta(8, EndpointTableTest.entry(1, "SERVING")));
        log.close();
        assertThat(folder.resolve(ListLog.FORM_1_FILE_NAME)).doesNotExist();
        assertThat(recoveredTable(folder).size()).isEqualTo(2);
    }

    @Test void missingListIsNoErrorAndAForeignFileIsOne() throws IOException {
        assertThat(new ListLog(folder, FOLDER_LIMIT_BYTES).inspect()).isNull();
        Files.writeString(folder.resolve(ListLog.FILE_NAME), "something else\n");
        assertThatThrownBy(() -> new ListLog(folder, FOLDER_LIMIT_BYTES).inspect()).isInstanceOf(IOException.class);
    }
}
