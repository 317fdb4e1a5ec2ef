package wrenreach.node;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.List;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListLine;
import wrenreach.endpoints.ListLog;
import wrenreach.endpoints.ListSink;
import wrenreach.endpoints.Passing;
import wrenreach.log.LogEvent;
import wrenreach.net.Addresses;
import wrenreach.net.Discovery;

/**
 * The lists of endpoints of a node: what discovery has told last, kept in the state folder for the next process, and what is in force,
 * which is the same unless a subsystem decides what of it goes on. Owned by the node's event loop.
 */
final class EndpointLists {
    private static final System.Logger LOG = System.getLogger(EndpointLists.class.getName());
    /** Rows of the list that are tidied up at once, and microseconds until the next ones are. */
    private static final int SLICE = 1000, TIDY_GAP = 2000;

    /** What the lists need of their node. */
    interface Node {
        /** Begins or joins an iteration of the event loop; its time. */
        long turn();

        /** Runs news of the sockets on the loop; a throw ends the node. */
        void enter(Runnable news);

        /** Ends the node where it can't go on. */
        void failed(boolean inTurn, Throwable thrown);

        void later(Runnable work, long delay);
    }

    private final Node node;
    private final Subsystems subsystems;
    private final EndpointTable told;
    private final ListLog kept;
    private final String recalledFrom;
    private EndpointTable inForce;
    private EndpointsInUse endpoints;
    private Discovery discovery;
    private boolean tidying;
    /** Until when nothing is sent by the list in the config alone. */
    private long listBy = Long.MIN_VALUE;

    /** known: the list of the config; kept: where the last one that was told is kept. */
    EndpointLists(Node node, Subsystems subsystems, EndpointTable known, ListLog kept, String discoveryAddress) {
        this.node = node;
        this.subsystems = subsystems;
        this.kept = kept;
        told = inForce = known;
        recalledFrom = recall(discoveryAddress);
    }

    /**
     * Takes what an earlier process was told, if the config's list is no newer, and tells where the list that holds came from. Drains
     * that it was told of hold for this one too, also while discovery says nothing. What can't be read is as if it were not there.
     */
    private String recall(String here) {
        try {
            ListLog.Kept earlier = kept.look();
            if (earlier == null || earlier.index() < told.index()) {
                return here;
            }
            kept.tell(told.sink());
            return earlier.from();
        } catch (IOException e) {
            LogEvent.tell(LOG, Level.WARNING, "list.kept", "the list kept in the state folder can't be used: {why}",
                    "why", String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            return here;
        }
    }

    /** The version that was told last, by this process or the one before. */
    long version() {
        return told.index();
    }

    /** The address of the discovery that this version is one of. */
    String recalledFrom() {
        return recalledFrom;
    }

    /** How many endpoints were told. */
    int size() {
        return told.size();
    }

    /** Before the node starts: subsystems that decide what is in force begin with none. */
    EndpointTable begin() {
        if (subsystems.gates()) {
            inForce = told.empty();
        }
        return inForce;
    }

    /** The node starts: what is in force is used from here on. */
    void start(EndpointsInUse used, Discovery from, long now) {
        endpoints = used;
        discovery = from;
        if (inForce == told) {
            endpoints.useAll(now);
        } else {
            take(subsystems.discovered(told.whole(), now));
        }
    }

    /**
     * Drains may have been told while no process ran: the list as known may be old, and what discovery has counts as told. It answers at
     * once; where it is silent, the list as known has to do from this instant on. A try that fails is no such silence, as the next may
     * be answered; one that is refused has no list to wait for.
     */
    void awaitUntil(long instant) {
        listBy = instant;
    }

    /** Whether the list that is known may be used to send by. */
    boolean usable(long now) {
        return now >= listBy || discovery.refuses();
    }

    /** Takes a list from discovery as it comes. */
    ListSink incoming() {
        return new Passing(told.sink(kept::note)) {
            @Override public void begin() {
                super.begin();
                kept.begin();
            }

            @Override public void entry(ListLine.Entry entry) throws IOException {
                try {
                    super.entry(entry);
                } catch (Error e) {
                    node.failed(true, e);
                    throw e;
                }
            }

            @Override public void end(long index, boolean whole) throws IOException {
                node.turn();
                super.end(index, whole);
                node.enter(() -> discovered(whole));
            }
        };
    }

    /** What discovery has told last is in the table: it is kept before anything is done by it. */
    private void discovered(boolean whole) {
        for (int i = told.leftFrom(); i < told.touched(); i++) {
            kept.note(told.entry(told.touched(i)));
        }
        kept.commit(told.index(), Addresses.text(discovery.address()), told);
        if (told == inForce) {
            listBy = Long.MIN_VALUE;
            endpoints.changed(node.turn());
        } else {
            take(subsystems.discovered(whole ? told.whole() : told.changes(), node.turn()));
        }
        tidy();
    }

    /** A subsystem says what is in force. */
    void take(ListLine line) {
        long now = node.turn();
        listBy = Long.MIN_VALUE;
        try {
            inForce.take(line);
            endpoints.changed(now);
        } catch (IOException e) {
            LogEvent.tell(LOG, Level.ERROR, "list.toolarge", "{why}; the list in force stays", "why", e.getMessage());
        }
    }

    void prepare(List<ListLine.Entry> entries) {
        endpoints.prepare(entries);
    }

    /** Gives back what lists have left and writes a new snapshot, a slice at a time. */
    private void tidy() {
        if (!tidying) {
            tidying = true;
            node.later(() -> {
                tidying = false;
                boolean done = told.settle(SLICE) & inForce.settle(SLICE);
                kept.slice(told);
                if (!done || kept.slices()) {
                    tidy();
                }
            }, TIDY_GAP);
        }
    }

    void close() throws IOException {
        kept.close();
    }
}
