package wrenreach.lists;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wrenreach.endpoints.ListUpdate;

/**
 * One list as it was written whole. print: twelve letters that stand for its content; label: its writer's own name for
 * it; endpoints: by the id that the node knows them under, in the order of the files; serving: how many endpoints serve
 * each destination that the list names.
 */
record Generation(String fingerprint, String label, Map<String, ListUpdate.Entry> endpoints, Map<Integer, Integer> servingCounts) {
    static final String SERVING = "SERVING", DRAINING = "DRAINING", DELETED = "DELETED";
    private static final String ID_PREFIX = "file:";

    /** The same, with what serves each destination counted. */
    Generation(String print, String label, Map<String, ListUpdate.Entry> endpoints) {
        this(print, label, endpoints, new HashMap<>());
        endpoints.values().forEach(e -> servingCounts.merge(e.group(), isServing(e) ? 1 : 0, Integer::sum));
    }

    /** Guards against discovery's endpoints of the same name, and a name that stands at two destinations. */
    static String idOf(int destination, String name) {
        return ID_PREFIX + destination + "/" + name;
    }

    /** The name that an id was made of. */
    static String nameOf(String id) {
        return id.substring(id.indexOf('/') + 1);
    }

    static boolean isServing(ListUpdate.Entry entry) {
        return entry != null && entry.status().equals(SERVING);
    }

    /** The ids of endpoints that the two lists know differently; earlier may be null. */
    static List<String> differingIds(Generation earlier, Generation next) {
        Map<String, ListUpdate.Entry> before = earlier == null ? Map.of() : earlier.endpoints;
        List<String> ids = new ArrayList<>();
        next.endpoints.forEach((id, entry) -> {
            if (!entry.equals(before.get(id))) {
                ids.add(id);
            }
        });
        before.keySet().forEach(id -> {
            if (!next.endpoints.containsKey(id)) {
                ids.add(id);
            }
        });
        return ids;
    }
}
