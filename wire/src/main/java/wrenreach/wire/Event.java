package wrenreach.wire;

import java.util.List;

/** A record of a batch. */
public sealed interface Event {
    record Enlist(int node, long seed, String conf) implements Event { }

    record Manifest(int roster, List<Host> hosts) implements Event { }

    record View(int node, int scope, long version, int roster) implements Event { }

    record Req(int node, long call, int dest, int type, long subject, int opts, long expiresIn, long client)
            implements Event { }

    record Accepted(int node, long call, int number) implements Event { }

    record Response(int node, long call, int number, long endpoint, int result, boolean done, long detail,
                    double[] feedback) implements Event { }

    record Cancelled(int node, long call) implements Event { }

    record Ring(int node, long label) implements Event { }

    record Probed(int node) implements Event { }

    record PeerData(int node) implements Event { }

    record Stop(int node) implements Event { }

    /** An entry of a manifest. */
    record Host(int dest, long endpoint, int availability, int sku, double share, int zone) { }

    /** A batch: the clock in microseconds and its records in order. */
    record Batch(long clock, List<Event> events) { }
}
