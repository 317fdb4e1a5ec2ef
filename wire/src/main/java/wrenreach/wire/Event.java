package wrenreach.wire;

import java.util.List;

/** A record of a batch. The names follow the protocol of the simulator. */
public sealed interface Event {
    /** A node starts, with its seed and its settings as text. */
    record Enlist(int node, long seed, String conf) implements Event { }

    /** A list of hosts that views refer to by the number of its roster. */
    record Manifest(int roster, List<Host> hosts) implements Event { }

    /** An update of the endpoint list for a node; scope tells whether it is the whole list, a delta or a failure. */
    record View(int node, int scope, long version, int roster) implements Event { }

    /** A client submits a message to a node; expiresIn in microseconds. */
    record Req(int node, long call, int dest, int type, long subject, int opts, long expiresIn, long client)
            implements Event { }

    /** A stream has started to transfer data: neither the timeout nor the deadline applies to the attempt any more. */
    record Accepted(int node, long call, int number) implements Event { }

    /** An attempt has ended; detail is the retry-after in milliseconds, or whether there was no slot. */
    record Response(int node, long call, int number, long endpoint, int result, boolean done, long detail,
                    double[] feedback) implements Event { }

    /** The client has cancelled the message. */
    record Cancelled(int node, long call) implements Event { }

    /** A wake-up that the node asked for is due. */
    record Ring(int node, long label) implements Event { }

    /** The result of a single probe of an endpoint; not used. */
    record Probed(int node) implements Event { }

    /** A message from another node; not used. */
    record PeerData(int node) implements Event { }

    /** The node stops. */
    record Stop(int node) implements Event { }

    /** An entry of a manifest. */
    record Host(int dest, long endpoint, int availability, int sku, double share, int zone) { }

    /** A batch: the clock in microseconds, and the records in order. */
    record Batch(long clock, List<Event> events) { }
}
