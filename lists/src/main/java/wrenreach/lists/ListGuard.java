package wrenreach.lists;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import wrenreach.endpoints.ListUpdate;

/**
 * Decides whether a complete list takes effect. A list that empties a destination or removes a large share of a zone is held
 * back until it is read again with a confirmation that names its fingerprint. Recent small removals are added up, so that a
 * faulty writer that drops a few endpoints with each list is held back as well. Does no I/O; the time is passed in, in
 * microseconds.
 */
final class ListGuard {
    /** Reasons that are listed one by one; the rest are only counted. */
    private static final int MAX_REASONS = 5;

    /** maxRemovedShare: the share (0 to 1) of a zone's endpoints that may be removed within the window (microseconds) without a confirmation. */
    record Limits(double maxRemovedShare, long window) { }

    /** The decision on a list. */
    sealed interface Verdict { }

    /** The list is in force already. */
    record Unchanged() implements Verdict { }

    /** The list takes effect; confirmed: it would have been held back without its confirmation. */
    record Accepted(boolean confirmed) implements Verdict { }

    /** The list waits for a confirmation. */
    record HeldBack(List<String> reasons) implements Verdict { }

    /** removedAt: microseconds. */
    private record RemovedEndpoint(String zone, long removedAt) { }

    /** Endpoints that lists within the window have removed and none has restored, by id; no more than were listed within it. */
    private final Map<String, RemovedEndpoint> recentlyRemoved = new HashMap<>();
    private Limits limits;
    private Generation inForce;

    /** inForce: the list that an earlier process used; null: none. */
    ListGuard(Limits limits, Generation inForce) {
        this.limits = limits;
        this.inForce = inForce;
    }

    void setLimits(Limits newLimits) {
        limits = newLimits;
    }

    /** The list in force; null: none yet. */
    Generation inForce() {
        return inForce;
    }

    /** Decides on a list; confirm: the fingerprint that its writer confirms, or "". An accepted list is in force from here on. */
    Verdict judge(Generation next, String confirm, long now) {
        if (inForce != null && inForce.fingerprint().equals(next.fingerprint())) {
            return new Unchanged();
        }
        recentlyRemoved.values().removeIf(removed -> removed.removedAt() + limits.window() <= now);
        List<String> reasons = objections(next);
        boolean confirmed = confirm.equals(next.fingerprint());
        if (!reasons.isEmpty() && !confirmed) {
            return new HeldBack(reasons);
        }
        if (!reasons.isEmpty()) {
            // A confirmed list is the new baseline: earlier removals no longer count.
            recentlyRemoved.clear();
        } else if (inForce != null) {
            inForce.endpoints().forEach((id, entry) -> {
                if (Generation.isServing(entry) && !Generation.isServing(next.endpoints().get(id))) {
                    recentlyRemoved.put(id, new RemovedEndpoint(entry.zone(), now));
                }
            });
            recentlyRemoved.keySet().removeIf(id -> Generation.isServing(next.endpoints().get(id)));
        }
        inForce = next;
        return new Accepted(!reasons.isEmpty());
    }

    private List<String> objections(Generation next) {
        List<String> reasons = new ArrayList<>();
        if (next.endpoints().values().stream().noneMatch(Generation::isServing)) {
            reasons.add("it names no endpoint that serves");
        }
        if (inForce == null) {
            return reasons;
        }
        Map<Integer, Integer> countsAfter = next.servingCounts();
        Set<Integer> emptied = new TreeSet<>();
        new TreeMap<>(inForce.servingCounts()).forEach((destination, count) -> {
            if (count > 0 && countsAfter.getOrDefault(destination, 0) == 0) {
                emptied.add(destination);
                reasons.add("destination " + destination + " would lose " + (count == 1 ? "its only endpoint"
                        : "all of its " + count + " endpoints"));
            }
        });
        Map<String, Set<String>> idsByZone = new TreeMap<>();
        for (ListUpdate.Entry entry : inForce.endpoints().values()) {
            if (Generation.isServing(entry)) {
                idsByZone.computeIfAbsent(entry.zone(), zone -> new HashSet<>()).add(entry.name());
            }
        }
        recentlyRemoved.forEach((id, removed) -> idsByZone.computeIfAbsent(removed.zone(), zone -> new HashSet<>()).add(id));
        List<String> zoneReasons = new ArrayList<>();
        idsByZone.forEach((zone, ids) -> {
            long missing = ids.stream().filter(id -> !Generation.isServing(next.endpoints().get(id))).count();
            if (missing > limits.maxRemovedShare() * ids.size()) {
                zoneReasons.add(String.format(Locale.ROOT, "zone %s would lose %d of %d endpoints, at most %.0f%% may go",
                        zone.isEmpty() ? "\"\"" : zone, missing, ids.size(), 100 * limits.maxRemovedShare()));
            }
        });
        reasons.addAll(0, zoneReasons);
        if (reasons.size() > MAX_REASONS) {
            int omitted = reasons.size() - MAX_REASONS;
            reasons.subList(MAX_REASONS, reasons.size()).clear();
            reasons.add("and " + omitted + " more");
        }
        return reasons;
    }
}
