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
final class Roster {
    private final boolean all;
    private long drain;
    private Generation files;
    private Set<Integer> named = Set.of();
    private final Map<String, ListUpdate.Entry> discovery = new LinkedHashMap<>();
    /** What the module was told last, by id; those that leave included. */
    private final Map<String, ListUpdate.Entry> told = new HashMap<>();
    /** Until when those that files left out are drained, in the order they left. */
    private final Map<String, Long> leaving = new LinkedHashMap<>();
    private boolean begun;
    private long index;

    /** all: files rule everywhere once there are any; drain: microseconds; files: in force from the start, or null. */
    Roster(boolean all, long drain, Generation files) {
        this.all = all;
        this.drain = drain;
        rule(files);
    }

    void drainFor(long longest) {
        drain = longest;
    }

    private void rule(Generation next) {
        files = next;
        named = next == null ? Set.of() : next.serving().keySet();
    }

    /** News of discovery's. The first one also brings what the files say. */
    ListUpdate discovered(ListUpdate line, long now) {
        index = line.index();
        Set<String> touched = new LinkedHashSet<>();
        if (!begun && files != null) {
            touched.addAll(files.endpoints().keySet());
        }
        begun = true;
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
        return settle(touched, false, now);
    }

    /**
     * A list takes the place of the one in force; differing: the ids that both know differently. Guards the loop: a
     * large list costs a turn only what has changed in it.
     */
    ListUpdate accepted(Generation next, List<String> differing, long now) {
        Set<String> touched = new LinkedHashSet<>(differing);
        if (files == null || !all && !named.equals(next.serving().keySet())) {
            touched.addAll(discovery.keySet());
        }
        rule(next);
        return settle(touched, true, now);
    }

    /** What has been drained for long enough goes. */
    ListUpdate due(long now) {
        List<ListUpdate.Entry> changes = new ArrayList<>();
        leaving.entrySet().removeIf(entry -> {
            boolean over = entry.getValue() <= now;
            if (over) {
                changes.add(with(told.remove(entry.getKey()), Generation.DELETED));
            }
            return over;
        });
        return new ListUpdate(index, false, changes);
    }

    /** When {@link #due} next has something to do; Long.MAX_VALUE: never. */
    long dueAt() {
        return leaving.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    }

    private ListUpdate.Entry wanted(String id) {
        ListUpdate.Entry entry = files == null ? null : files.endpoints().get(id);
        if (entry == null) {
            entry = discovery.get(id);
            boolean ruled = entry != null && files != null && (all || named.contains(entry.group()));
            return ruled ? null : entry;
        }
        return entry;
    }

    private ListUpdate settle(Set<String> touched, boolean drained, long now) {
        List<ListUpdate.Entry> changes = new ArrayList<>();
        for (String id : touched) {
            ListUpdate.Entry want = wanted(id);
            ListUpdate.Entry have = told.get(id);
            if (want != null) {
                if (leaving.remove(id) != null || !want.equals(have)) {
                    told.put(id, want);
                    changes.add(want);
                }
            } else if (have != null && (drained || leaving.containsKey(id) && discovery.containsKey(id))) {
                if (leaving.putIfAbsent(id, now + drain) == null) {
                    changes.add(with(have, Generation.DRAINING));
                }
            } else if (have != null) {
                told.remove(id);
                leaving.remove(id);
                changes.add(with(have, Generation.DELETED));
            }
        }
        return new ListUpdate(index, false, changes);
    }

    private static ListUpdate.Entry with(ListUpdate.Entry entry, String status) {
        return new ListUpdate.Entry(entry.name(), entry.address(), entry.zone(), entry.type(), entry.group(), status,
                entry.weight());
    }
}
