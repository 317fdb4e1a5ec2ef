package wrenreach.endpoints;

import java.util.List;

/** News from discovery: version and entries, the whole list or what changed. */
public record ListUpdate(long index, boolean whole, List<Entry> entries) {
    /** One endpoint as discovery words it. */
    public record Entry(String name, String address, String zone, String type, int group, String status,
                        double weight) { }
}
