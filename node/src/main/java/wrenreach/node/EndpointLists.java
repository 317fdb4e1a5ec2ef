package wrenreach.node;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.List;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListUpdate;
import wrenreach.endpoints.ListLog;
import wrenreach.endpoints.ListSink;
import wrenreach.endpoints.ForwardingListSink;
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
    private static final int RECLAIM_ROWS = 1000, RECLAIM_INTERVAL_MICROS = 2000;

    /** What the lists need of their node. */
    interface Host {
        /** Begins or joins an iteration of the event loop; its time. */
        long iterationTime();

        /** Runs news of the sockets on the loop; a throw ends the node. */
        void runInIteration(Runnable news);

        /** Ends the node where it can't go on. */
        void abort(boolean inTurn, Throwable thrown);

        void schedule(Runnable work, long delay);
    }

    private final Host node;
    private final Subsystems subsystems;
    private final EndpointTable latest;
    private final ListLog listLog;
    private final String sourceAddress;
    private EndpointTable inForce;
    private EndpointsInUse endpointsInUse;
    private Discovery discovery;
    private boolean reclaimScheduled;
    /** Until when nothing is sent by the list in the config alone. */
    private long sendingDelayedUntil = Long.MIN_VALUE;

    /** known: the list of the config; kept: where the last one that was told is kept. */
    EndpointLists(Host node, Subsystems subsystems, EndpointTable known, ListLog kept, String discoveryAddress) {
        this.node = node;
        this.subsystems = subsystems;
        this.listLog = kept;
        latest = inForce = known;
        sourceAddress = restoreStoredList(discoveryAddress);
    }

    /**
     * Takes what an earlier process was told, if the config's list is no newer, and tells where the list that holds came from. Drains
     * that it was told of hold for this one too, also while discovery says nothing. What can't be read is as if it were not there.
     */
    private String restoreStoredList(String here) {
        try {
            ListLog.StoredVersion earlier = listLog.inspect();
            if (earlier == null || earlier.index() < latest.index()) {
                return here;
            }
            listLog.replayTo(latest.sink());
            return earlier.discoveryAddress();
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "list.kept", "the list kept in the state folder can't be used: {why}",
                    "why", String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            return here;
        }
    }

    /** The version that was told last, by this process or the one before. */
    long index() {
        return latest.index();
    }

    /** The address of the discovery that this version is one of. */
    String sourceAddress() {
        return sourceAddress;
    }

    /** How many endpoints were told. */
    int size() {
        return latest.size();
    }

    /** Before the node starts: subsystems that decide what is in force begin with none. */
    EndpointTable initialTable() {
        if (subsystems.hasListFilter()) {
            inForce = latest.newEmpty();
        }
        return inForce;
    }

    /** The node starts: what is in force is used from here on. */
    void start(EndpointsInUse used, Discovery from, long now) {
        endpointsInUse = used;
        discovery = from;
        if (inForce == latest) {
            endpointsInUse.activateAll(now);
        } else {
            apply(subsystems.filter(latest.snapshot(), now));
        }
    }

    /**
     * Drains may have been told while no process ran: the list as known may be old, and what discovery has counts as told. It answers at
     * once; where it is silent, the list as known has to do from this instant on. A try that fails is no such silence, as the next may
     * be answered; one that is refused has no list to wait for.
     */
    void delaySendingUntil(long instant) {
        sendingDelayedUntil = instant;
    }

    /** Whether the list that is known may be used to send by. */
    boolean mayBeUsed(long now) {
        return now >= sendingDelayedUntil || discovery.refuses();
    }

    /** Takes a list from discovery as it comes. */
    ListSink newSink() {
        return new ForwardingListSink(latest.sink(listLog::stageEntry)) {
            @Override public void begin() {
                super.begin();
                listLog.begin();
            }

            @Override public void entry(ListUpdate.Entry entry) throws IOException {
                try {
                    super.entry(entry);
                } catch (Error e) {
                    node.abort(true, e);
                    throw e;
                }
            }

            @Override public void end(long index, boolean whole) throws IOException {
                node.iterationTime();
                super.end(index, whole);
                node.runInIteration(() -> listReceived(whole));
            }
        };
    }

    /** What discovery has told last is in the table: it is kept before anything is done by it. */
    private void listReceived(boolean whole) {
        for (int i = latest.implicitRemovalsFrom(); i < latest.changedRows(); i++) {
            listLog.stageEntry(latest.entry(latest.changedRows(i)));
        }
        listLog.commit(latest.index(), Addresses.format(discovery.address()), latest);
        if (latest == inForce) {
            sendingDelayedUntil = Long.MIN_VALUE;
            endpointsInUse.applyDelta(node.iterationTime());
        } else {
            apply(subsystems.filter(whole ? latest.snapshot() : latest.delta(), node.iterationTime()));
        }
        scheduleReclaim();
    }

    /** A subsystem says what is in force. */
    void apply(ListUpdate line) {
        long now = node.iterationTime();
        sendingDelayedUntil = Long.MIN_VALUE;
        try {
            inForce.apply(line);
            endpointsInUse.applyDelta(now);
        } catch (IOException e) {
            LogEvent.log(LOG, Level.ERROR, "list.toolarge", "{why}; the list in force stays", "why", e.getMessage());
        }
    }

    void prepare(List<ListUpdate.Entry> entries) {
        endpointsInUse.prepare(entries);
    }

    /** Gives back what lists have left and writes a new snapshot, a slice at a time. */
    private void scheduleReclaim() {
        if (!reclaimScheduled) {
            reclaimScheduled = true;
            node.schedule(() -> {
                reclaimScheduled = false;
                boolean done = latest.reclaim(RECLAIM_ROWS) & inForce.reclaim(RECLAIM_ROWS);
                listLog.writeSnapshotSlice(latest);
                if (!done || listLog.hasSnapshotWork()) {
                    scheduleReclaim();
                }
            }, RECLAIM_INTERVAL_MICROS);
        }
    }

    void close() throws IOException {
        listLog.close();
    }
}
