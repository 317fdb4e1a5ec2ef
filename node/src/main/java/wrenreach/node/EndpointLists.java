package wrenreach.node;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.List;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ForwardingListSink;
import wrenreach.endpoints.ListLog;
import wrenreach.endpoints.ListSink;
import wrenreach.endpoints.ListUpdate;
import wrenreach.log.LogEvent;
import wrenreach.net.Addresses;
import wrenreach.net.Discovery;

/**
 * The endpoint lists of a node: the latest one from discovery, stored in the state folder for the next process, and the one in force,
 * which is the same unless a subsystem filters it. Owned by the node's event loop.
 */
final class EndpointLists {
    private static final System.Logger LOG = System.getLogger(EndpointLists.class.getName());
    /** Rows of the list that are reclaimed in one slice of work. */
    private static final int RECLAIM_ROWS = 1000;
    /** Microseconds until the next slice. */
    private static final int RECLAIM_INTERVAL_MICROS = 2000;

    /** What the lists need from their node. */
    interface Host {
        /** Begins or joins an iteration of the event loop; returns its time in microseconds. */
        long iterationTime();

        /** Runs work that the sockets brought on the event loop; an exception ends the node. */
        void runInIteration(Runnable work);

        /** Ends a node that can't go on; duringIteration: whether the failure came about in an iteration. */
        void abort(boolean duringIteration, Throwable thrown);

        /** Runs the work on the event loop after a delay in microseconds. */
        void schedule(Runnable work, long delay);

        /** The list in force is no longer only that of an earlier process. */
        void listConfirmed();
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
    /** Whether this process has had a list, so that the one of the process before is no longer in force. */
    private boolean confirmed;

    /** known: the list of the config; listLog: where the latest list from discovery is stored. */
    EndpointLists(Host node, Subsystems subsystems, EndpointTable known, ListLog listLog, String discoveryAddress) {
        this.node = node;
        this.subsystems = subsystems;
        this.listLog = listLog;
        latest = inForce = known;
        sourceAddress = restoreStoredList(discoveryAddress);
    }

    /**
     * Restores the list that an earlier process received, unless the config's list is newer, and returns the discovery address that the
     * known list came from. Drains that the earlier process received thus apply to this one too, also while discovery does not answer. A
     * stored list that can't be read is ignored.
     */
    private String restoreStoredList(String discoveryAddress) {
        try {
            ListLog.StoredVersion stored = listLog.inspect();
            if (stored == null || stored.index() < latest.index()) {
                return discoveryAddress;
            }
            listLog.replayTo(latest.sink());
            return stored.discoveryAddress();
        } catch (IOException e) {
            LogEvent.log(LOG, Level.WARNING, "list.kept", "the list kept in the state folder can't be used: {why}",
                    "why", String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            return discoveryAddress;
        }
    }

    /** The index of the latest list from discovery, received by this process or the one before. */
    long index() {
        return latest.index();
    }

    /** The address of the discovery service that the known list came from. */
    String sourceAddress() {
        return sourceAddress;
    }

    /** The number of endpoints in the latest list. */
    int size() {
        return latest.size();
    }

    /** Returns the table in force before the node starts; where a subsystem filters the lists it is empty at first. */
    EndpointTable initialTable() {
        if (subsystems.hasListFilter()) {
            inForce = latest.newEmpty();
        }
        return inForce;
    }

    /** Called as the node starts: uses the list in force from now on. */
    void start(EndpointsInUse used, Discovery source, long now) {
        endpointsInUse = used;
        discovery = source;
        if (inForce == latest) {
            endpointsInUse.activateAll(now);
        } else {
            apply(subsystems.filter(latest.snapshot(), now));
        }
    }

    /** Where discovery has refused to send a list, the known one is all there is. */
    void checkRefusal() {
        if (discovery.refuses()) {
            confirm();
        }
    }

    /** Reports once that there is a list of this process. */
    private void confirm() {
        if (!confirmed) {
            confirmed = true;
            node.listConfirmed();
        }
    }

    /** Returns a sink that takes a list from discovery as it arrives. */
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

    /** Called once the table holds the latest list from discovery: stores it before anything acts on it. */
    private void listReceived(boolean whole) {
        for (int i = latest.implicitRemovalsFrom(); i < latest.changedRows(); i++) {
            listLog.stageEntry(latest.entry(latest.changedRows(i)));
        }
        listLog.commit(latest.index(), Addresses.format(discovery.address()), latest);
        confirm();
        if (latest == inForce) {
            endpointsInUse.applyDelta(node.iterationTime());
        } else {
            apply(subsystems.filter(whole ? latest.snapshot() : latest.delta(), node.iterationTime()));
        }
        scheduleReclaim();
    }

    /** Applies an update that a subsystem has made or let through to the list in force. */
    void apply(ListUpdate update) {
        long now = node.iterationTime();
        if (subsystems.replaceDiscovery()) {
            confirm();
        }
        try {
            inForce.apply(update);
            endpointsInUse.applyDelta(now);
        } catch (IOException e) {
            LogEvent.log(LOG, Level.ERROR, "list.toolarge", "{why}; the list in force stays", "why", e.getMessage());
        }
    }

    /** Creates the endpoints that a coming update will name, see {@link EndpointsInUse#prepare}. */
    void prepare(List<ListUpdate.Entry> entries) {
        endpointsInUse.prepare(entries);
    }

    /** Schedules the next slice of work: reclaims rows that lists have left and writes the new snapshot. */
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
