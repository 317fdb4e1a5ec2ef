package wrenreach.wire;

import java.util.List;

/** A record of a batch. */
public sealed interface Event {
    /** A node begins a life, with its seed and its settings as text. */
    record Enlist(int node, long seed, String conf) implements Event { }

    /** Hosts that views refer to by the roster's number. */
    record Manifest(int roster, List<Host> hosts) implements Event { }

    /** What a node is told of the list: whole, changes or a failure, by scope. */
    record View(int node, int scope, long version, int roster) implements Event { }

    /** A client hands a message to a node; expiresIn in microseconds. */
    record Req(int node, long call, int dest, int type, long subject, int opts, long expiresIn, long client)
            implements Event { }

    /** A stream has started to flow: neither time-out nor deadline applies to the attempt any more. */
    record Accepted(int node, long call, int number) implements Event { }

    /** An attempt has ended; detail: a told wait in milliseconds, or whether there was no slot. */
    record Response(int node, long call, int number, long endpoint, int result, boolean done, long detail,
                    double[] feedback) implements Event { }

    /** The client wants the message no more. */
    record Cancelled(int node, long call) implements Event { }

    /** The time that the instance asked to be woken at has come. */
    record Ring(int node, long label) implements Event { }

    /** The result of a single touch of an endpoint; not used. */
    record Probed(int node) implements Event { }

    /** A message from a sibling instance; not used. */
    record PeerData(int node) implements Event { }

    /** The node's life ends. */
    record Stop(int node) implements Event { }

    /** An entry of a manifest. */
    record Host(int dest, long endpoint, int availability, int sku, double share, int zone) { }

    /** A batch: the clock in microseconds and its records in order. */
    record Batch(long clock, List<Event> events) { }
}
