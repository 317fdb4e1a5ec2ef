package wrenreach.lists;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wrenreach.endpoints.ListUpdate;

/**
 * Decides which endpoints the module knows of: those of the files in force and those of discovery, never a mixture for
 * one destination. Where files rule (scope all, or a destination that they name), discovery's endpoints are not used.
 * What a change of files leaves out is drained for a while before it goes; what discovery deletes goes as it says. Free
 * of I/O; the clock is handed in. It tells changes only, and each change of files at one stroke.
 */
final class EndpointMerger {
    private final boolean filesOnly;
    private long drainTime;
    private Generation inForce;
    private Set<Integer> namedDestinations = Set.of();
    private final Map<String, ListUpdate.Entry> discovery = new LinkedHashMap<>();
    /** What the module was told last, by id; those that leave included. */
    private final Map<String, ListUpdate.Entry> published = new HashMap<>();
    /** Until when those that files left out are drained, in the order they left. */
    private final Map<String, Long> drainingUntil = new LinkedHashMap<>();
    private boolean discoverySeen;
    private long index;

    /** all: files rule everywhere once there are any; drain: microseconds; files: in force from the start, or null. */
    EndpointMerger(boolean all, long drain, Generation files) {
        this.filesOnly = all;
        this.drainTime = drain;
        setInForce(files);
    }

    void setDrainTime(long longest) {
        drainTime = longest;
    }

    private void setInForce(Generation next) {
        inForce = next;
        namedDestinations = next == null ? Set.of() : next.servingCounts().keySet();
    }

    /** News of discovery's. The first one also brings what the files say. */
    ListUpdate discoveryUpdated(ListUpdate line, long now) {
        index = line.index();
        Set<String> touched = new LinkedHashSet<>();
        if (!discoverySeen && inForce != null) {
            touched.addAll(inForce.endpoints().keySet());
        }
        discoverySeen = true;
        if (line.whole()) {
            touched.addAll(discovery.keySet());
            discovery.clear();
        }
        for (ListUpdate.Entry entry : line.entries()) {
            touched.add(entry.name());
            if (entry.status().equals(Generation.SERVING) || entry.status().equals(Generation.DRAINING)) {
                discovery.put(entry.name(), entry);
            } else {
                discovery.remove(entry.name());
            }
        }
        return publishChanges(touched, false, now);
    }

    /**
     * A list takes the place of the one in force; differing: the ids that both know differently. Guards the loop: a
     * large list costs a turn only what has changed in it.
     */
    ListUpdate listAccepted(Generation next, List<String> differing, long now) {
        Set<String> touched = new LinkedHashSet<>(differing);
        if (inForce == null || !filesOnly && !namedDestinations.equals(next.servingCounts().keySet())) {
            touched.addAll(discovery.keySet());
        }
        setInForce(next);
        return publishChanges(touched, true, now);
    }

    /** What has been drained for long enough goes. */
    ListUpdate removeDrained(long now) {
        List<ListUpdate.Entry> changes = new ArrayList<>();
        drainingUntil.entrySet().removeIf(entry -> {
            boolean over = entry.getValue() <= now;
            if (over) {
                changes.add(withStatus(published.remove(entry.getKey()), Generation.DELETED));
            }
            return over;
        });
        return new ListUpdate(index, false, changes);
    }

    /** When {@link #due} next has something to do; Long.MAX_VALUE: never. */
    long nextRemovalAt() {
        return drainingUntil.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    }

    private ListUpdate.Entry wantedEntry(String id) {
        ListUpdate.Entry entry = inForce == null ? null : inForce.endpoints().get(id);
        if (entry == null) {
            entry = discovery.get(id);
            boolean ruled = entry != null && inForce != null && (filesOnly || namedDestinations.contains(entry.group()));
            return ruled ? null : entry;
        }
        return entry;
    }

    private ListUpdate publishChanges(Set<String> touched, boolean drained, long now) {
        List<ListUpdate.Entry> changes = new ArrayList<>();
        for (String id : touched) {
            ListUpdate.Entry want = wantedEntry(id);
            ListUpdate.Entry have = published.get(id);
            if (want != null) {
                if (drainingUntil.remove(id) != null || !want.equals(have)) {
                    published.put(id, want);
                    changes.add(want);
                }
            } else if (have != null && (drained || drainingUntil.containsKey(id) && discovery.containsKey(id))) {
                if (drainingUntil.putIfAbsent(id, now + drainTime) == null) {
                    changes.add(withStatus(have, Generation.DRAINING));
                }
            } else if (have != null) {
                published.remove(id);
                drainingUntil.remove(id);
                changes.add(withStatus(have, Generation.DELETED));
            }
        }
        return new ListUpdate(index, false, changes);
    }

    private static ListUpdate.Entry withStatus(ListUpdate.Entry entry, String status) {
        return new ListUpdate.Entry(entry.name(), entry.address(), entry.zone(), entry.type(), entry.group(), status,
                entry.weight());
    }
}
