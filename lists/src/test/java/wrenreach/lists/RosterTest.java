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

class RosterTest {
    private static final long DRAIN = 10;
    private final Map<String, ListUpdate.Entry> module = new HashMap<>();

    private static ListUpdate.Entry told(String name, int destination, String status) {
        return new ListUpdate.Entry(name, "127.0.0.1:1", "n", "small", destination, status, 1);
    }

    private static ListUpdate line(boolean whole, ListUpdate.Entry... entries) {
        return new ListUpdate(1, whole, List.of(entries));
    }

    /** What the module knows after a line, as short words. */
    private List<String> after(ListUpdate line) {
        assertThat(line.whole()).isFalse();
        for (ListUpdate.Entry entry : line.entries()) {
            if (entry.status().equals(Generation.DELETED)) {
                assertThat(module.remove(entry.name())).as("gone and never told: " + entry).isNotNull();
            } else {
                module.put(entry.name(), entry);
            }
        }
        return module.values().stream().map(e -> e.group() + "/" + Generation.name(e.name())
                + (Generation.serves(e) ? "" : "!")).sorted().toList();
    }

    private Generation inForce;

    private ListUpdate accept(Roster roster, Generation next, long now) {
        List<String> differing = Generation.differing(inForce, next);
        inForce = next;
        return roster.accepted(next, differing, now);
    }

    @Test void filesRuleFromTheFirstListOnAndDiscoveryIsDrained() {
        Roster roster = new Roster(true, DRAIN, null);
        assertThat(after(roster.discovered(line(true, told("x", 1, "SERVING"), told("y", 2, "SERVING")), 0)))
                .containsExactly("1/x", "2/y");
        assertThat(after(accept(roster, list("1/a@n"), 5))).containsExactly("1/a", "1/x!", "2/y!");
        assertThat(roster.dueAt()).isEqualTo(15);
        assertThat(after(roster.discovered(line(false, told("x", 1, "SERVING"), told("z", 1, "SERVING")), 6)))
                .containsExactly("1/a", "1/x!", "2/y!");
        assertThat(after(roster.discovered(line(false, told("x", 1, "DELETED")), 7))).containsExactly("1/a", "2/y!");
        assertThat(after(roster.due(14))).containsExactly("1/a", "2/y!");
        assertThat(after(roster.due(15))).containsExactly("1/a");
        assertThat(roster.dueAt()).isEqualTo(Long.MAX_VALUE);
    }

    @Test void whereFilesNameADestinationOnlyTheyCountForIt() {
        Roster roster = new Roster(false, DRAIN, inForce = list("1/a@n"));
        assertThat(after(roster.discovered(line(true, told("x", 1, "SERVING"), told("y", 2, "SERVING")), 0)))
                .containsExactly("1/a", "2/y");
        assertThat(after(accept(roster, list("2/b@n"), 1))).containsExactly("1/a!", "1/x", "2/b", "2/y!");
        assertThat(after(roster.due(20))).containsExactly("1/x", "2/b");
        assertThat(after(roster.discovered(line(true, told("v", 1, "SERVING")), 21))).containsExactly("1/v", "2/b");
    }

    @Test void whatComesBackWhileItIsDrainedServesAgain() {
        Roster roster = new Roster(true, DRAIN, inForce = list("1/a@n 1/b@n"));
        assertThat(after(roster.discovered(line(true), 0))).containsExactly("1/a", "1/b");
        assertThat(after(accept(roster, list("1/a@n"), 1))).containsExactly("1/a", "1/b!");
        assertThat(after(accept(roster, list("1/a@n 1/b@n"), 2))).containsExactly("1/a", "1/b");
        assertThat(roster.due(100).entries()).isEmpty();
        assertThat(accept(roster, list("1/a@n 1/b@n"), 3).entries()).isEmpty();
    }

    /** Guards against mixtures: in any course of events a destination's serving endpoints are of one source. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noCourseOfEventsMixesSources(long seed) {
        Random random = new Random(seed);
        boolean all = seed % 2 == 0;
        Roster roster = new Roster(all, DRAIN, null);
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
                after(accept(roster, files, now));
            } else if (kind < 7) {
                boolean whole = kind == 1;
                int destination = random.nextInt(4);
                ListUpdate.Entry entry = told("d" + destination + "-" + random.nextInt(3), destination,
                        List.of("SERVING", "DRAINING", "DELETED").get(whole ? 0 : random.nextInt(3)));
                if (whole) {
                    known.clear();
                }
                known.put(entry.name(), entry);
                known.values().removeIf(e -> e.status().equals("DELETED"));
                after(roster.discovered(line(whole, entry), now));
            } else {
                after(roster.due(now));
            }
            Map<String, ListUpdate.Entry> expected = new HashMap<>();
            if (files != null) {
                expected.putAll(files.endpoints());
            }
            for (ListUpdate.Entry entry : known.values()) {
                if (files == null || !all && !files.serving().containsKey(entry.group())) {
                    expected.put(entry.name(), entry);
                }
            }
            expected.values().removeIf(e -> !Generation.serves(e));
            Map<String, ListUpdate.Entry> serving = new HashMap<>(module);
            serving.values().removeIf(e -> !Generation.serves(e));
            assertThat(serving).as("after step " + now).isEqualTo(expected);
        }
        assertThat(after(roster.due(Long.MAX_VALUE)).size()).isLessThanOrEqualTo(files.endpoints().size() + known.size());
    }
}
