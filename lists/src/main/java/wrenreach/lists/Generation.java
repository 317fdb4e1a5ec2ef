package wrenreach.lists;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wrenreach.endpoints.ListUpdate;

/**
 * One complete list. fingerprint: 12 hexadecimal digits that identify its content; label: the name that its writer chose;
 * endpoints: by the id under which the node knows them, in the order of the files; servingCounts: the number of serving
 * endpoints of each destination that the list names, 0 included.
 */
record Generation(String fingerprint, String label, Map<String, ListUpdate.Entry> endpoints, Map<Integer, Integer> servingCounts) {
    /** Status of an endpoint that takes new calls. */
    static final String SERVING = "SERVING";
    /** Status of an endpoint that ends its calls and takes no new ones. */
    static final String DRAINING = "DRAINING";
    /** Status of an endpoint that is removed. */
    static final String DELETED = "DELETED";
    /** Begins each id of an endpoint from files, so that none equals an id of discovery. */
    private static final String ID_PREFIX = "file:";

    /** Counts the serving endpoints of each destination. */
    Generation(String print, String label, Map<String, ListUpdate.Entry> endpoints) {
        this(print, label, endpoints, new HashMap<>());
        endpoints.values().forEach(entry -> servingCounts.merge(entry.group(), isServing(entry) ? 1 : 0, Integer::sum));
    }

    /** An id that is distinct from those of discovery, and from that of an endpoint of the same name at another destination. */
    static String idOf(int destination, String name) {
        return ID_PREFIX + destination + "/" + name;
    }

    /** The name of the endpoint, from an id that {@link #idOf} made. */
    static String nameOf(String id) {
        return id.substring(id.indexOf('/') + 1);
    }

    static boolean isServing(ListUpdate.Entry entry) {
        return entry != null && entry.status().equals(SERVING);
    }

    /** The ids of endpoints that are only in one of the lists or differ between them; previous may be null. */
    static List<String> differingIds(Generation previous, Generation next) {
        Map<String, ListUpdate.Entry> previousEntries = previous == null ? Map.of() : previous.endpoints;
        List<String> ids = new ArrayList<>();
        next.endpoints.forEach((id, entry) -> {
            if (!entry.equals(previousEntries.get(id))) {
                ids.add(id);
            }
        });
        previousEntries.keySet().forEach(id -> {
            if (!next.endpoints.containsKey(id)) {
                ids.add(id);
            }
        });
        return ids;
    }
}
