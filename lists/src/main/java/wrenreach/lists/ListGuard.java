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
 * Decides whether a list that was read whole is put in force. Free of I/O; the clock is handed in. One that empties a
 * destination or takes away much of a zone is held back until it comes again with a confirmation that names just it.
 * What small steps took away of late counts together: a faulty writer that drops some with each list is held as well.
 */
final class ListGuard {
    /** Reasons that are told one by one; the rest are counted. */
    private static final int MAX_REASONS = 5;

    /** mostGone: the part of a zone's endpoints that may go within the window (microseconds) unconfirmed. */
    record Limits(double maxRemovedShare, long window) { }

    /** What becomes of a list. */
    sealed interface Verdict { }

    /** It is in force already. */
    record Unchanged() implements Verdict { }

    /** It takes effect; confirmed: somebody had to say so. */
    record Accepted(boolean confirmed) implements Verdict { }

    /** It waits for a confirmation. */
    record HeldBack(List<String> reasons) implements Verdict { }

    private record RemovedEndpoint(String zone, long removedAt) { }

    /** What lists within the window have taken away and none has brought back; at most what was listed in it. */
    private final Map<String, RemovedEndpoint> recentlyRemoved = new HashMap<>();
    private Limits limits;
    private Generation inForce;

    /** inForce: the list that an earlier process went by; null: none. */
    ListGuard(Limits limits, Generation inForce) {
        this.limits = limits;
        this.inForce = inForce;
    }

    void setLimits(Limits now) {
        limits = now;
    }

    /** The list in force; null: none yet. */
    Generation inForce() {
        return inForce;
    }

    /** What becomes of the list; confirm: the print that its writer confirms, or "". An accepted one is in force. */
    Verdict judge(Generation next, String confirm, long now) {
        if (inForce != null && inForce.fingerprint().equals(next.fingerprint())) {
            return new Unchanged();
        }
        recentlyRemoved.values().removeIf(one -> one.removedAt() + limits.window() <= now);
        List<String> reasons = objections(next);
        boolean confirmed = confirm.equals(next.fingerprint());
        if (!reasons.isEmpty() && !confirmed) {
            return new HeldBack(reasons);
        }
        if (!reasons.isEmpty()) {
            // What somebody has confirmed is the new measure.
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
        Map<Integer, Integer> after = next.servingCounts();
        Set<Integer> emptied = new TreeSet<>();
        new TreeMap<>(inForce.servingCounts()).forEach((destination, count) -> {
            if (count > 0 && after.getOrDefault(destination, 0) == 0) {
                emptied.add(destination);
                reasons.add("destination " + destination + " would lose " + (count == 1 ? "its only endpoint"
                        : "all of its " + count + " endpoints"));
            }
        });
        Map<String, Set<String>> had = new TreeMap<>();
        for (ListUpdate.Entry entry : inForce.endpoints().values()) {
            if (Generation.isServing(entry)) {
                had.computeIfAbsent(entry.zone(), zone -> new HashSet<>()).add(entry.name());
            }
        }
        recentlyRemoved.forEach((id, one) -> had.computeIfAbsent(one.zone(), zone -> new HashSet<>()).add(id));
        List<String> zones = new ArrayList<>();
        had.forEach((zone, ids) -> {
            long lost = ids.stream().filter(id -> !Generation.isServing(next.endpoints().get(id))).count();
            if (lost > limits.maxRemovedShare() * ids.size()) {
                zones.add(String.format(Locale.ROOT, "zone %s would lose %d of %d endpoints, at most %.0f%% may go",
                        zone.isEmpty() ? "\"\"" : zone, lost, ids.size(), 100 * limits.maxRemovedShare()));
            }
        });
        reasons.addAll(0, zones);
        if (reasons.size() > MAX_REASONS) {
            int more = reasons.size() - MAX_REASONS;
            reasons.subList(MAX_REASONS, reasons.size()).clear();
            reasons.add("and " + more + " more");
        }
        return reasons;
    }
}
