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
    private static final long ROOM = 50_000_000;
    private static final String FROM = "127.0.0.1:9";
    @TempDir Path folder;
    private EndpointTable table = table();

    private static EndpointTable table() {
        return new EndpointTable(1_000_000, "a test");
    }

    /** Takes a list as a node does. */
    private void take(ListLog log, ListLine line) throws IOException {
        ListSink sink = table.sink(log::note);
        sink.begin();
        log.begin();
        for (ListLine.Entry entry : line.entries()) {
            sink.entry(entry);
        }
        sink.end(line.index(), line.whole());
        for (int i = table.leftFrom(); i < table.touched(); i++) {
            log.note(table.entry(table.touched(i)));
        }
        log.commit(line.index(), FROM, table);
    }

    private static void slices(ListLog log, EndpointTable table) {
        while (log.slices()) {
            log.slice(table);
        }
    }

    private static ListLine changes(long index, ListLine.Entry... entries) {
        return new ListLine(index, false, List.of(entries));
    }

    /** What a later process finds. */
    private static EndpointTable found(Path folder) throws IOException {
        EndpointTable later = table();
        ListLog log = new ListLog(folder, ROOM);
        ListLog.Kept kept = log.look();
        if (kept == null) {
            return later;
        }
        log.tell(later.sink());
        log.close();
        assertThat(later.index()).isEqualTo(kept.index());
        assertThat(kept.from()).isEqualTo(FROM);
        return later;
    }

    private static List<ListLine.Entry> sorted(EndpointTable table) {
        return table.whole().entries().stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
    }

    /** Wherever a kill cuts the file: what is found is one of the lists that were told, whole; and changes are added to it. */
    @Test void aKillAtAnyByteLeavesOneOfTheLists() throws IOException {
        List<List<ListLine.Entry>> states = new ArrayList<>();
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, 6));
        states.add(sorted(table));
        take(log, changes(2, EndpointTableTest.entry(2, "DRAINING"), EndpointTableTest.entry(9, "SERVING")));
        states.add(sorted(table));
        take(log, changes(3, EndpointTableTest.entry(2, "DELETED"),
                new ListLine.Entry("odd \t\\n\n\"é", "[::1]:80", "", "", 4, "SERVING", 0.1)));
        states.add(sorted(table));
        take(log, EndpointTableTest.whole(4, 2));
        states.add(sorted(table));
        log.close();
        byte[] bytes = Files.readAllBytes(folder.resolve(ListLog.NAME));
        int at = -1;
        for (int cut = 0; cut <= bytes.length; cut++) {
            Path other = Files.createDirectories(folder.resolve("cut"));
            Files.write(other.resolve(ListLog.NAME), Arrays.copyOf(bytes, cut));
            List<ListLine.Entry> now;
            try {
                now = sorted(found(other));
            } catch (IOException e) {
                assertThat(at).as("nothing is lost once it was there, cut at %d", cut).isEqualTo(-1);
                continue;
            }
            int state = states.indexOf(now);
            assertThat(state).as("cut at %d", cut).isGreaterThanOrEqualTo(Math.max(0, at));
            at = state;
        }
        assertThat(at).isEqualTo(states.size() - 1);
    }

    /** A byte that has turned: what stands behind it is not trusted. */
    @Test void damageEndsWhatCounts() throws IOException {
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, 3));
        List<ListLine.Entry> first = sorted(table);
        long sound = Files.size(folder.resolve(ListLog.NAME));
        take(log, changes(2, EndpointTableTest.entry(2, "DRAINING")));
        take(log, changes(3, EndpointTableTest.entry(1, "DRAINING")));
        log.close();
        byte[] bytes = Files.readAllBytes(folder.resolve(ListLog.NAME));
        bytes[(int) sound + 3] ^= 1;
        Files.write(folder.resolve(ListLog.NAME), bytes);
        assertThat(sorted(found(folder))).isEqualTo(first);
    }

    /** What was noted of a list that never ended is no part of the next one. */
    @Test void aListThatIsGivenUpLeavesNothing() throws IOException {
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, 3));
        log.begin();
        for (int i = 0; i < 10; i++) {
            log.note(EndpointTableTest.entry(100 + i, "SERVING"));
        }
        take(log, changes(2, EndpointTableTest.entry(1, "DRAINING")));
        log.close();
        assertThat(sorted(found(folder))).isEqualTo(sorted(table)).hasSize(3);
    }

    /** A later process adds to what it found, and a torn end is cut off before. */
    @Test void whatIsFoundIsGoneOnWith() throws IOException {
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, 3));
        log.begin();
        log.note(EndpointTableTest.entry(7, "SERVING"));
        log.close();
        Files.writeString(folder.resolve(ListLog.NAME), Files.readString(folder.resolve(ListLog.NAME)) + "0\thalf a li");
        ListLog second = new ListLog(folder, ROOM);
        second.look();
        second.tell(table.sink());
        take(second, changes(2, EndpointTableTest.entry(1, "DRAINING")));
        second.close();
        assertThat(sorted(found(folder))).isEqualTo(sorted(table)).hasSize(3)
                .contains(EndpointTableTest.entry(1, "DRAINING"));
    }

    /** A long list is written in slices; what changes between them is in it, and one that is not finished does not count. */
    @Test void aSnapshotInSlicesHoldsWhatChangedMeanwhile() throws IOException {
        int count = 5 * ListLog.SLICE;
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, count));
        assertThat(log.slices()).as("too long for one slice").isTrue();
        assertThat(folder.resolve(ListLog.NAME)).doesNotExist();
        take(log, changes(2, EndpointTableTest.entry(3, "DRAINING"), EndpointTableTest.entry(count - 1, "DELETED")));
        log.slice(table);
        take(log, changes(3, EndpointTableTest.entry(4, "DELETED"), EndpointTableTest.entry(count + 1, "SERVING")));
        slices(log, table);
        log.close();
        assertThat(sorted(found(folder))).isEqualTo(sorted(table)).hasSize(count - 1);
        assertThat(folder.resolve(ListLog.NEXT)).doesNotExist();
    }

    /** Guards what a list tells against a new snapshot that is ready between its pieces; and the loop against one that never ends. */
    @Test void aSnapshotThatIsReadyWhileAListComesMissesNothing() throws IOException {
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, 3 * ListLog.SLICE));
        assertThat(log.slices()).isTrue();
        ListSink sink = table.sink(log::note);
        sink.begin();
        log.begin();
        sink.entry(EndpointTableTest.entry(7, "DRAINING"));
        for (int i = 0; log.slices(); i++) {
            assertThat(i).as("slices").isLessThan(10);
            log.slice(table);
            table.settle(ListLog.SLICE);
        }
        sink.entry(EndpointTableTest.entry(2900, "DRAINING"));
        sink.end(2, false);
        log.commit(2, FROM, table);
        slices(log, table);
        log.close();
        assertThat(sorted(found(folder))).isEqualTo(sorted(table)).filteredOn(e -> e.status().equals("DRAINING")).hasSize(2);
    }

    /** It does not grow for ever: changes time and again leave a file of the list's own length. */
    @Test void aLogThatHasDoubledIsWrittenAnew() throws IOException {
        ListLog log = new ListLog(folder, ROOM);
        take(log, EndpointTableTest.whole(1, 100));
        for (int i = 2; i < 2000; i++) {
            take(log, changes(i, EndpointTableTest.entry(i % 100, i % 2 == 0 ? "DRAINING" : "SERVING")));
            assertThat(Files.size(folder.resolve(ListLog.NAME))).isLessThan(20_000);
        }
        log.close();
        assertThat(sorted(found(folder))).isEqualTo(sorted(table));
    }

    /** The size to come, 1.3% of it drained and back time and again, half of it in the middle of a new snapshot: all stays bounded. */
    @Test void atTheSizeThoseThatFlapLeaveTableAndFileBounded() throws IOException {
        table = new EndpointTable(64_000_000, "a test");
        ListLog log = new ListLog(folder, 50 * 64_000_000L);
        take(log, EndpointTableTest.whole(1, EndpointTableTest.SIZE));
        slices(log, table);
        long bytes = table.bytes();
        long file = Files.size(folder.resolve(ListLog.NAME));
        ListLine.Entry[] down = new ListLine.Entry[EndpointTableTest.SIZE * 13 / 1000];
        ListLine.Entry[] up = new ListLine.Entry[down.length];
        for (int i = 0; i < down.length; i++) {
            down[i] = EndpointTableTest.entry(i * 76, "DRAINING");
            up[i] = EndpointTableTest.entry(i * 76, "SERVING");
        }
        int anew = 0;
        for (int i = 2; i < 202; i++) {
            long before = Files.size(folder.resolve(ListLog.NAME));
            take(log, changes(i, i % 2 == 0 ? down : up));
            for (int slice = 0; slice < 100; slice++) {
                log.slice(table);
            }
            assertThat(table.bytes()).isEqualTo(bytes);
            long after = Files.size(folder.resolve(ListLog.NAME));
            assertThat(after).isLessThan(2 * file + 4 * file / 50);
            anew += after < before ? 1 : 0;
        }
        assertThat(anew).as("written anew").isPositive();
        take(log, changes(202, down));
        log.close();
        EndpointTable later = new EndpointTable(64_000_000, "a test");
        ListLog next = new ListLog(folder, 50 * 64_000_000L);
        assertThat(next.look().index()).isEqualTo(202);
        next.tell(later.sink());
        next.close();
        assertThat(later.size()).isEqualTo(EndpointTableTest.SIZE);
        for (int i = 0; i < EndpointTableTest.SIZE; i++) {
            ListLine.Entry entry = EndpointTableTest.entry(i, "SERVING");
            assertThat(later.status(later.find(entry.name()))).isEqualTo(table.status(table.find(entry.name())));
        }
    }

    /** Where it has no room nothing older stays; once the list has shrunk it is kept again. */
    @Test void whatFindsNoRoomLeavesNothingOlder() throws IOException {
        ListLog log = new ListLog(folder, 50 * 2000);
        take(log, EndpointTableTest.whole(1, 3));
        assertThat(folder.resolve(ListLog.NAME)).exists();
        take(log, EndpointTableTest.whole(2, 200));
        assertThat(folder.resolve(ListLog.NAME)).doesNotExist();
        assertThat(folder.resolve(ListLog.NEXT)).doesNotExist();
        take(log, EndpointTableTest.whole(3, 4));
        log.close();
        assertThat(sorted(found(folder))).isEqualTo(sorted(table));
    }

    /** The form of the version before is read, and goes once the new one stands. */
    @Test void theFormBeforeIsRead() throws IOException {
        Files.writeString(folder.resolve(ListLog.FORM_1), "{\"form\":1,\"from\":\"" + FROM + "\",\"list\":{\"index\":7,"
                + "\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"\",\"type\":\"\","
                + "\"group\":1,\"status\":\"DRAINING\",\"weight\":2}]}}");
        ListLog log = new ListLog(folder, ROOM);
        assertThat(log.look()).isEqualTo(new ListLog.Kept(7, FROM));
        log.tell(table.sink());
        assertThat(table.whole().entries()).containsExactly(new ListLine.Entry("a", "127.0.0.1:1", "", "", 1, "DRAINING", 2));
        take(log, changes(8, EndpointTableTest.entry(1, "SERVING")));
        log.close();
        assertThat(folder.resolve(ListLog.FORM_1)).doesNotExist();
        assertThat(found(folder).size()).isEqualTo(2);
    }

    @Test void noListIsNoFault() throws IOException {
        assertThat(new ListLog(folder, ROOM).look()).isNull();
        Files.writeString(folder.resolve(ListLog.NAME), "something else\n");
        assertThatThrownBy(() -> new ListLog(folder, ROOM).look()).isInstanceOf(IOException.class);
    }
}
