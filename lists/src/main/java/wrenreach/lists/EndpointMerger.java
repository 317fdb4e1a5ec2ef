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
 * Merges the endpoints of the list in force with those of discovery into what the decisions are told, never mixing the two
 * sources for one destination. Where the list takes precedence (scope "all", or a destination that it names), the endpoints
 * of discovery are not used. An endpoint that a new list omits is drained for a while before it is deleted; one that
 * discovery deletes is deleted at once. Does no I/O; the time is passed in, in microseconds. Each result holds changes only,
 * and all changes of a new list are in one result.
 */
final class EndpointMerger {
    /** Whether a list takes precedence for all destinations, not only for those that it names. */
    private final boolean filesOnly;
    /** Microseconds. */
    private long drainTime;
    /** The list in force, or null. */
    private Generation inForce;
    private Set<Integer> namedDestinations = Set.of();
    /** The endpoints that discovery knows, by id, including those that are not used. */
    private final Map<String, ListUpdate.Entry> discovery = new LinkedHashMap<>();
    /** The endpoints as last told to the decisions, by id, including those that are being drained. */
    private final Map<String, ListUpdate.Entry> published = new HashMap<>();
    /** When the drain of each omitted endpoint ends, by id, in the order in which they were omitted. */
    private final Map<String, Long> drainingUntil = new LinkedHashMap<>();
    private boolean discoverySeen;
    /** Discovery's version of its last update; every result carries it. */
    private long index;

    /** filesOnly: a list takes precedence for all destinations; drainTime: microseconds; inForce: the list at the start, or null. */
    EndpointMerger(boolean filesOnly, long drainTime, Generation inForce) {
        this.filesOnly = filesOnly;
        this.drainTime = drainTime;
        setInForce(inForce);
    }

    /** Whether a list is in force that takes precedence for all destinations. */
    boolean replacesDiscovery() {
        return filesOnly && inForce != null;
    }

    void setDrainTime(long micros) {
        drainTime = micros;
    }

    private void setInForce(Generation next) {
        inForce = next;
        namedDestinations = next == null ? Set.of() : next.servingCounts().keySet();
    }

    /** Applies an update of discovery. The result of the first one also holds the endpoints of the list in force. */
    ListUpdate discoveryUpdated(ListUpdate update, long now) {
        index = update.index();
        Set<String> touched = new LinkedHashSet<>();
        if (!discoverySeen && inForce != null) {
            touched.addAll(inForce.endpoints().keySet());
        }
        discoverySeen = true;
        if (update.whole()) {
            touched.addAll(discovery.keySet());
            discovery.clear();
        }
        for (ListUpdate.Entry entry : update.entries()) {
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
     * Replaces the list in force; differing: the ids of endpoints that differ between the two. They are computed by the
     * caller, so that a large list costs an iteration of the event loop only what has changed in it.
     */
    ListUpdate listAccepted(Generation next, List<String> differing, long now) {
        Set<String> touched = new LinkedHashSet<>(differing);
        if (inForce == null || !filesOnly && !namedDestinations.equals(next.servingCounts().keySet())) {
            touched.addAll(discovery.keySet());
        }
        setInForce(next);
        return publishChanges(touched, true, now);
    }

    /** Deletes the endpoints whose drain time is over. */
    ListUpdate removeDrained(long now) {
        List<ListUpdate.Entry> changes = new ArrayList<>();
        drainingUntil.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue() <= now;
            if (expired) {
                changes.add(withStatus(published.remove(entry.getKey()), Generation.DELETED));
            }
            return expired;
        });
        return new ListUpdate(index, false, changes);
    }

    /** When {@link #removeDrained} has to be called next, in microseconds; Long.MAX_VALUE: never. */
    long nextRemovalAt() {
        return drainingUntil.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    }

    /** The entry that the decisions should know for an id; null: none. */
    private ListUpdate.Entry wantedEntry(String id) {
        ListUpdate.Entry entry = inForce == null ? null : inForce.endpoints().get(id);
        if (entry == null) {
            entry = discovery.get(id);
            boolean overridden = entry != null && inForce != null && (filesOnly || namedDestinations.contains(entry.group()));
            return overridden ? null : entry;
        }
        return entry;
    }

    /** Brings what is published up to date; drainFirst: an endpoint that is no longer wanted is drained first, not deleted at once. */
    private ListUpdate publishChanges(Set<String> touched, boolean drainFirst, long now) {
        List<ListUpdate.Entry> changes = new ArrayList<>();
        for (String id : touched) {
            ListUpdate.Entry wanted = wantedEntry(id);
            ListUpdate.Entry current = published.get(id);
            if (wanted != null) {
                if (drainingUntil.remove(id) != null || !wanted.equals(current)) {
                    published.put(id, wanted);
                    changes.add(wanted);
                }
            } else if (current != null && (drainFirst || drainingUntil.containsKey(id) && discovery.containsKey(id))) {
                if (drainingUntil.putIfAbsent(id, now + drainTime) == null) {
                    changes.add(withStatus(current, Generation.DRAINING));
                }
            } else if (current != null) {
                published.remove(id);
                drainingUntil.remove(id);
                changes.add(withStatus(current, Generation.DELETED));
            }
        }
        return new ListUpdate(index, false, changes);
    }

    private static ListUpdate.Entry withStatus(ListUpdate.Entry entry, String status) {
        return new ListUpdate.Entry(entry.name(), entry.address(), entry.zone(), entry.type(), entry.group(), status,
                entry.weight());
    }
}
