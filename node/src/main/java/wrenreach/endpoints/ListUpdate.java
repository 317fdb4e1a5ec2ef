package wrenreach.endpoints;

import java.util.List;

/**
 * A list as discovery sends it.
 *
 * @param index its version
 * @param whole true: a snapshot of the whole list; false: a delta of the endpoints that changed
 */
public record ListUpdate(long index, boolean whole, List<Entry> entries) {
    /** One endpoint in discovery's terms; group: number of its destination; status: SERVING, DRAINING or DELETED. */
    public record Entry(String name, String address, String zone, String type, int group, String status,
                        double weight) { }
}
