package wrenreach.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointTableTest {
    /** The size of list that the table is designed for. */
    static final int TARGET_ENDPOINTS = 310_000;
    private final EndpointTable table = new EndpointTable(24_000_000, "an eighth of something");

    static ListUpdate.Entry entry(int number, String status) {
        return new ListUpdate.Entry("endpoint-" + number, "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255)
                + ":8080", "zone-" + number % 5, "small", number, status, number % 7);
    }

    static ListUpdate snapshot(long index, int count) {
        List<ListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(i, "SERVING"));
        }
        return new ListUpdate(index, true, entries);
    }

    private Map<String, ListUpdate.Entry> entriesInForce() {
        Map<String, ListUpdate.Entry> found = new LinkedHashMap<>();
        table.snapshot().entries().forEach(e -> found.put(e.name(), e));
        return found;
    }

    /** Random lists, complete or abandoned, are compared with a map: the table returns, finds and counts the same endpoints. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomListsMatchAMapModel(long seed) throws IOException {
        Random random = new Random(seed);
        String[] addresses = {"10.0.0.1:80", "255.255.255.255:65535", "0.0.0.0:0", "[::1]:80", "010.0.0.1:80", "nonsense", "",
            "1.2.3.4:99999", "1.2.3:80"};
        Map<String, ListUpdate.Entry> model = new LinkedHashMap<>();
        for (int list = 1; list <= 300; list++) {
            boolean whole = random.nextInt(8) == 0;
            boolean ends = random.nextInt(6) > 0;
            Map<String, ListUpdate.Entry> modelAfter = whole ? new LinkedHashMap<>() : new LinkedHashMap<>(model);
            ListSink sink = table.sink();
            sink.begin();
            for (int i = random.nextInt(40); i > 0; i--) {
                String status = List.of("SERVING", "SERVING", "DRAINING", "DELETED").get(random.nextInt(4));
                ListUpdate.Entry entry = new ListUpdate.Entry("e" + "é".repeat(random.nextInt(3)) + random.nextInt(60),
                        addresses[random.nextInt(addresses.length)], "z" + random.nextInt(2), "t" + random.nextInt(2),
                        random.nextInt(10), status, random.nextInt(3));
                sink.entry(entry);
                if (status.equals("DELETED")) {
                    modelAfter.remove(entry.name());
                } else {
                    modelAfter.put(entry.name(), entry);
                }
            }
            assertThat(entriesInForce()).as("while list %d is being read", list).isEqualTo(model);
            if (ends) {
                sink.end(list, whole);
                model = modelAfter;
                assertThat(table.index()).isEqualTo(list);
            }
            assertThat(entriesInForce()).as("after list %d", list).isEqualTo(model);
            assertThat(table.size()).isEqualTo(model.size());
            for (int group = 0; group < 10; group++) {
                int number = group;
                List<String> names = new ArrayList<>();
                for (int row : table.rowsOf(group)) {
                    names.add(table.name(row));
                }
                assertThat(names).containsExactlyInAnyOrderElementsOf(model.values().stream()
                        .filter(e -> e.group() == number).map(ListUpdate.Entry::name).toList());
                assertThat(table.rowsOf(group).length > 0).isEqualTo(!names.isEmpty());
            }
            assertThat(table.find("e7") != EndpointTable.NONE).isEqualTo(model.containsKey("e7"));
            if (random.nextBoolean()) {
                table.reclaim(random.nextInt(30));
            }
        }
        table.begin();
        assertThat(table.bytes()).as("rows of removed endpoints are freed").isLessThan(100 * (model.size() + 1));
    }

    /** At the target size, with one endpoint a destination: all are removed, all are added again, and a change of every endpoint takes no second table. */
    @Test void targetSizeFitsTheLimitWhateverChanges() throws IOException {
        table.apply(snapshot(1, TARGET_ENDPOINTS));
        assertThat(table.size()).isEqualTo(TARGET_ENDPOINTS);
        long full = table.bytes();
        assertThat(full).isLessThan(24_000_000);
        assertThat(table.rowsOf(TARGET_ENDPOINTS - 1)).hasSize(1);
        List<ListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; i < TARGET_ENDPOINTS; i++) {
            ListUpdate.Entry old = entry(i, "DRAINING");
            entries.add(new ListUpdate.Entry(old.name(), "10.99.0.1:" + i % 60_000, old.zone(), old.type(), old.group(), old.status(), 1.25));
        }
        table.apply(new ListUpdate(2, false, entries));
        assertThat(table.bytes()).isEqualTo(full);
        assertThat(table.entry(table.find("endpoint-17"))).isEqualTo(entries.get(17));
        table.apply(new ListUpdate(3, true, List.of()));
        assertThat(table.size()).isZero();
        table.apply(snapshot(4, TARGET_ENDPOINTS));
        assertThat(table.size()).isEqualTo(TARGET_ENDPOINTS);
        assertThat(table.bytes()).isEqualTo(full);
    }

    /** A list beyond the limit is rejected as a whole, with the limit in the message; once it has shrunk it is applied. */
    @Test void listBeyondTheLimitLeavesThePreviousOneInForce() throws IOException {
        EndpointTable small = new EndpointTable(10_000, "an eighth of something");
        small.apply(snapshot(1, 3));
        assertThatThrownBy(() -> small.apply(snapshot(2, 1000))).isInstanceOf(EndpointTable.TooLarge.class)
                .hasMessageContaining("10000 bytes").hasMessageContaining("an eighth of something");
        assertThat(small.size()).isEqualTo(3);
        assertThat(small.index()).isEqualTo(1);
        assertThat(small.snapshot()).isEqualTo(snapshot(1, 3));
        small.apply(snapshot(3, 100));
        assertThat(small.index()).isEqualTo(3);
        assertThat(small.snapshot().entries()).containsExactlyInAnyOrderElementsOf(snapshot(3, 100).entries());
    }

    /** Rows of the previous list are reclaimed between the pieces of the next one: that must not lose staged drains. */
    @Test void stagedEntriesSurviveReclaim() throws IOException {
        EndpointTable table = new EndpointTable(1_000_000, "a test");
        table.apply(snapshot(1, 50));
        ListSink sink = table.sink();
        sink.begin();
        sink.entry(entry(3, "DRAINING"));
        sink.entry(entry(70, "SERVING"));
        table.reclaim(1000);
        sink.entry(entry(4, "DELETED"));
        assertThat(table.reclaim(1000)).as("nothing is left to do").isTrue();
        sink.end(2, false);
        assertThat(table.status(table.find(entry(3, "").name()))).isEqualTo(EndpointTable.DRAINING);
        assertThat(table.find(entry(70, "").name())).isNotEqualTo(EndpointTable.NONE);
        assertThat(table.find(entry(4, "").name())).isEqualTo(EndpointTable.NONE);
        assertThat(table.size()).isEqualTo(50);
        assertThat(table.reclaim(1000)).isTrue();
        assertThat(table.snapshot().entries()).hasSize(50);
    }

    /** A list that names the same few endpoints without end must not use up the memory. */
    @Test void endlessListIsRejected() {
        EndpointTable small = new EndpointTable(10_000, "an eighth of something");
        ListSink sink = small.sink();
        sink.begin();
        assertThatThrownBy(() -> {
            for (int i = 0; i < 1000; i++) {
                sink.entry(entry(1, "SERVING"));
            }
        }).isInstanceOf(EndpointTable.TooLarge.class);
    }

    /** Two lists that are read at the same time must not be mixed: the one that began first is rejected. */
    @Test void ofTwoConcurrentListsTheLaterOneIsApplied() throws IOException {
        ListSink first = table.sink();
        ListSink second = table.sink();
        first.begin();
        first.entry(entry(1, "SERVING"));
        second.begin();
        assertThatThrownBy(() -> first.entry(entry(2, "SERVING"))).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> first.end(5, true)).isInstanceOf(IOException.class);
        second.entry(entry(3, "SERVING"));
        second.end(6, true);
        assertThat(entriesInForce()).containsOnlyKeys("endpoint-3");
    }
}
