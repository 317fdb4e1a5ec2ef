package wrenreach.lists;

import java.util.HashMap;
import java.util.Map;
import wrenreach.net.ListLine;

/**
 * One list as it was written whole. print: twelve letters that stand for its content; label: its writer's own name for
 * it; endpoints: by the id that the node knows them under, in the order of the files.
 */
record Generation(String print, String label, Map<String, ListLine.Entry> endpoints) {
    static final String SERVING = "SERVING", DRAINING = "DRAINING", DELETED = "DELETED";
    private static final String PREFIX = "file:";

    /** Guards against discovery's endpoints of the same name, and a name that stands at two destinations. */
    static String id(int destination, String name) {
        return PREFIX + destination + "/" + name;
    }

    /** The name that an id was made of. */
    static String name(String id) {
        return id.substring(id.indexOf('/') + 1);
    }

    static boolean serves(ListLine.Entry entry) {
        return entry != null && entry.status().equals(SERVING);
    }

    /** How many endpoints serve each destination that the list names. */
    Map<Integer, Integer> serving() {
        Map<Integer, Integer> counts = new HashMap<>();
        endpoints.values().forEach(e -> counts.merge(e.group(), serves(e) ? 1 : 0, Integer::sum));
        return counts;
    }
}
