package wrenreach.lists;

import static org.assertj.core.api.Assertions.assertThat;
import static wrenreach.lists.Lists.list;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.endpoints.ListUpdate;

class EndpointMergerTest {
    /** Drain time, in microseconds. */
    private static final long DRAIN = 10;
    /** The endpoints as the decisions know them. */
    private final Map<String, ListUpdate.Entry> published = new HashMap<>();

    private static ListUpdate.Entry entry(String name, int destination, String status) {
        return new ListUpdate.Entry(name, "127.0.0.1:1", "n", "small", destination, status, 1);
    }

    private static ListUpdate update(boolean whole, ListUpdate.Entry... entries) {
        return new ListUpdate(1, whole, List.of(entries));
    }

    /** Applies an update; the endpoints that are known then, as destination/name, followed by ! if draining. */
    private List<String> publishedAfter(ListUpdate update) {
        assertThat(update.whole()).isFalse();
        for (ListUpdate.Entry entry : update.entries()) {
            if (entry.status().equals(Generation.DELETED)) {
                assertThat(published.remove(entry.name())).as("gone and never told: " + entry).isNotNull();
            } else {
                published.put(entry.name(), entry);
            }
        }
        return published.values().stream().map(entry -> entry.group() + "/" + Generation.nameOf(entry.name())
                + (Generation.isServing(entry) ? "" : "!")).sorted().toList();
    }

    private Generation inForce;

    private ListUpdate accept(EndpointMerger merger, Generation next, long now) {
        List<String> differingIds = Generation.differingIds(inForce, next);
        inForce = next;
        return merger.listAccepted(next, differingIds, now);
    }

    @Test void theFirstListReplacesAndDrainsDiscoveredEndpoints() {
        EndpointMerger merger = new EndpointMerger(true, DRAIN, null);
        assertThat(publishedAfter(merger.discoveryUpdated(update(true, entry("x", 1, "SERVING"), entry("y", 2, "SERVING")), 0)))
                .containsExactly("1/x", "2/y");
        assertThat(publishedAfter(accept(merger, list("1/a@n"), 5))).containsExactly("1/a", "1/x!", "2/y!");
        assertThat(merger.nextRemovalAt()).isEqualTo(15);
        assertThat(publishedAfter(merger.discoveryUpdated(update(false, entry("x", 1, "SERVING"), entry("z", 1, "SERVING")), 6)))
                .containsExactly("1/a", "1/x!", "2/y!");
        assertThat(publishedAfter(merger.discoveryUpdated(update(false, entry("x", 1, "DELETED")), 7))).containsExactly("1/a", "2/y!");
        assertThat(publishedAfter(merger.removeDrained(14))).containsExactly("1/a", "2/y!");
        assertThat(publishedAfter(merger.removeDrained(15))).containsExactly("1/a");
        assertThat(merger.nextRemovalAt()).isEqualTo(Long.MAX_VALUE);
    }

    @Test void discoveryIsIgnoredForDestinationsNamedInFiles() {
        EndpointMerger merger = new EndpointMerger(false, DRAIN, inForce = list("1/a@n"));
        assertThat(publishedAfter(merger.discoveryUpdated(update(true, entry("x", 1, "SERVING"), entry("y", 2, "SERVING")), 0)))
                .containsExactly("1/a", "2/y");
        assertThat(publishedAfter(accept(merger, list("2/b@n"), 1))).containsExactly("1/a!", "1/x", "2/b", "2/y!");
        assertThat(publishedAfter(merger.removeDrained(20))).containsExactly("1/x", "2/b");
        assertThat(publishedAfter(merger.discoveryUpdated(update(true, entry("v", 1, "SERVING")), 21))).containsExactly("1/v", "2/b");
    }

    @Test void anEndpointThatReturnsWhileDrainingServesAgain() {
        EndpointMerger merger = new EndpointMerger(true, DRAIN, inForce = list("1/a@n 1/b@n"));
        assertThat(publishedAfter(merger.discoveryUpdated(update(true), 0))).containsExactly("1/a", "1/b");
        assertThat(publishedAfter(accept(merger, list("1/a@n"), 1))).containsExactly("1/a", "1/b!");
        assertThat(publishedAfter(accept(merger, list("1/a@n 1/b@n"), 2))).containsExactly("1/a", "1/b");
        assertThat(merger.removeDrained(100).entries()).isEmpty();
        assertThat(accept(merger, list("1/a@n 1/b@n"), 3).entries()).isEmpty();
    }

    /** Whatever the sequence of events, the serving endpoints of a destination come from one source: files or discovery. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noSequenceOfEventsMixesSources(long seed) {
        Random random = new Random(seed);
        boolean filesOnly = seed % 2 == 0;
        EndpointMerger merger = new EndpointMerger(filesOnly, DRAIN, null);
        Map<String, ListUpdate.Entry> known = new HashMap<>();
        Generation fileList = null;
        for (long now = 0; now < 2000; now++) {
            int event = random.nextInt(10);
            if (event == 0) {
                List<String> words = new ArrayList<>();
                for (int i = 0; i < 1 + random.nextInt(6); i++) {
                    words.add(random.nextInt(4) + "/e" + random.nextInt(4) + "@n" + (random.nextInt(5) == 0 ? "!" : ""));
                }
                fileList = list(String.join(" ", words.stream().distinct().toList()));
                publishedAfter(accept(merger, fileList, now));
            } else if (event < 7) {
                boolean whole = event == 1;
                int destination = random.nextInt(4);
                ListUpdate.Entry entry = entry("d" + destination + "-" + random.nextInt(3), destination,
                        List.of("SERVING", "DRAINING", "DELETED").get(whole ? 0 : random.nextInt(3)));
                if (whole) {
                    known.clear();
                }
                known.put(entry.name(), entry);
                known.values().removeIf(one -> one.status().equals("DELETED"));
                publishedAfter(merger.discoveryUpdated(update(whole, entry), now));
            } else {
                publishedAfter(merger.removeDrained(now));
            }
            Map<String, ListUpdate.Entry> expected = new HashMap<>();
            if (fileList != null) {
                expected.putAll(fileList.endpoints());
            }
            for (ListUpdate.Entry entry : known.values()) {
                if (fileList == null || !filesOnly && !fileList.servingCounts().containsKey(entry.group())) {
                    expected.put(entry.name(), entry);
                }
            }
            expected.values().removeIf(one -> !Generation.isServing(one));
            Map<String, ListUpdate.Entry> serving = new HashMap<>(published);
            serving.values().removeIf(one -> !Generation.isServing(one));
            assertThat(serving).as("after step " + now).isEqualTo(expected);
        }
        assertThat(publishedAfter(merger.removeDrained(Long.MAX_VALUE)).size()).isLessThanOrEqualTo(fileList.endpoints().size() + known.size());
    }
}
