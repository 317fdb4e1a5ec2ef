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
    private static final long DRAIN = 10;
    private final Map<String, ListUpdate.Entry> published = new HashMap<>();

    private static ListUpdate.Entry entry(String name, int destination, String status) {
        return new ListUpdate.Entry(name, "127.0.0.1:1", "n", "small", destination, status, 1);
    }

    private static ListUpdate update(boolean whole, ListUpdate.Entry... entries) {
        return new ListUpdate(1, whole, List.of(entries));
    }

    /** What the module knows after a line, as short words. */
    private List<String> publishedAfter(ListUpdate line) {
        assertThat(line.whole()).isFalse();
        for (ListUpdate.Entry entry : line.entries()) {
            if (entry.status().equals(Generation.DELETED)) {
                assertThat(published.remove(entry.name())).as("gone and never told: " + entry).isNotNull();
            } else {
                published.put(entry.name(), entry);
            }
        }
        return published.values().stream().map(e -> e.group() + "/" + Generation.nameOf(e.name())
                + (Generation.isServing(e) ? "" : "!")).sorted().toList();
    }

    private Generation inForce;

    private ListUpdate accept(EndpointMerger roster, Generation next, long now) {
        List<String> differing = Generation.differingIds(inForce, next);
        inForce = next;
        return roster.listAccepted(next, differing, now);
    }

    @Test void theFirstListReplacesAndDrainsDiscoveredEndpoints() {
        EndpointMerger roster = new EndpointMerger(true, DRAIN, null);
        assertThat(publishedAfter(roster.discoveryUpdated(update(true, entry("x", 1, "SERVING"), entry("y", 2, "SERVING")), 0)))
                .containsExactly("1/x", "2/y");
        assertThat(publishedAfter(accept(roster, list("1/a@n"), 5))).containsExactly("1/a", "1/x!", "2/y!");
        assertThat(roster.nextRemovalAt()).isEqualTo(15);
        assertThat(publishedAfter(roster.discoveryUpdated(update(false, entry("x", 1, "SERVING"), entry("z", 1, "SERVING")), 6)))
                .containsExactly("1/a", "1/x!", "2/y!");
        assertThat(publishedAfter(roster.discoveryUpdated(update(false, entry("x", 1, "DELETED")), 7))).containsExactly("1/a", "2/y!");
        assertThat(publishedAfter(roster.removeDrained(14))).containsExactly("1/a", "2/y!");
        assertThat(publishedAfter(roster.removeDrained(15))).containsExactly("1/a");
        assertThat(roster.nextRemovalAt()).isEqualTo(Long.MAX_VALUE);
    }

    @Test void discoveryIsIgnoredForDestinationsNamedInFiles() {
        EndpointMerger roster = new EndpointMerger(false, DRAIN, inForce = list("1/a@n"));
        assertThat(publishedAfter(roster.discoveryUpdated(update(true, entry("x", 1, "SERVING"), entry("y", 2, "SERVING")), 0)))
                .containsExactly("1/a", "2/y");
        assertThat(publishedAfter(accept(roster, list("2/b@n"), 1))).containsExactly("1/a!", "1/x", "2/b", "2/y!");
        assertThat(publishedAfter(roster.removeDrained(20))).containsExactly("1/x", "2/b");
        assertThat(publishedAfter(roster.discoveryUpdated(update(true, entry("v", 1, "SERVING")), 21))).containsExactly("1/v", "2/b");
    }

    @Test void anEndpointThatReturnsWhileDrainingServesAgain() {
        EndpointMerger roster = new EndpointMerger(true, DRAIN, inForce = list("1/a@n 1/b@n"));
        assertThat(publishedAfter(roster.discoveryUpdated(update(true), 0))).containsExactly("1/a", "1/b");
        assertThat(publishedAfter(accept(roster, list("1/a@n"), 1))).containsExactly("1/a", "1/b!");
        assertThat(publishedAfter(accept(roster, list("1/a@n 1/b@n"), 2))).containsExactly("1/a", "1/b");
        assertThat(roster.removeDrained(100).entries()).isEmpty();
        assertThat(accept(roster, list("1/a@n 1/b@n"), 3).entries()).isEmpty();
    }

    /** Guards against mixtures: in any course of events a destination's serving endpoints are of one source. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noSequenceOfEventsMixesSources(long seed) {
        Random random = new Random(seed);
        boolean all = seed % 2 == 0;
        EndpointMerger roster = new EndpointMerger(all, DRAIN, null);
        Map<String, ListUpdate.Entry> known = new HashMap<>();
        Generation files = null;
        for (long now = 0; now < 2000; now++) {
            int kind = random.nextInt(10);
            if (kind == 0) {
                List<String> words = new ArrayList<>();
                for (int i = 0; i < 1 + random.nextInt(6); i++) {
                    words.add(random.nextInt(4) + "/e" + random.nextInt(4) + "@n" + (random.nextInt(5) == 0 ? "!" : ""));
                }
                files = list(String.join(" ", words.stream().distinct().toList()));
                publishedAfter(accept(roster, files, now));
            } else if (kind < 7) {
                boolean whole = kind == 1;
                int destination = random.nextInt(4);
                ListUpdate.Entry entry = entry("d" + destination + "-" + random.nextInt(3), destination,
                        List.of("SERVING", "DRAINING", "DELETED").get(whole ? 0 : random.nextInt(3)));
                if (whole) {
                    known.clear();
                }
                known.put(entry.name(), entry);
                known.values().removeIf(e -> e.status().equals("DELETED"));
                publishedAfter(roster.discoveryUpdated(update(whole, entry), now));
            } else {
                publishedAfter(roster.removeDrained(now));
            }
            Map<String, ListUpdate.Entry> expected = new HashMap<>();
            if (files != null) {
                expected.putAll(files.endpoints());
            }
            for (ListUpdate.Entry entry : known.values()) {
                if (files == null || !all && !files.servingCounts().containsKey(entry.group())) {
                    expected.put(entry.name(), entry);
                }
            }
            expected.values().removeIf(e -> !Generation.isServing(e));
            Map<String, ListUpdate.Entry> serving = new HashMap<>(published);
            serving.values().removeIf(e -> !Generation.isServing(e));
            assertThat(serving).as("after step " + now).isEqualTo(expected);
        }
        assertThat(publishedAfter(roster.removeDrained(Long.MAX_VALUE)).size()).isLessThanOrEqualTo(files.endpoints().size() + known.size());
    }
}
