package wrenreach.node;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.EndpointUpdate;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListUpdate;
import wrenreach.log.LogEvent;
import wrenreach.net.Addresses;
import wrenreach.net.Calls;
import wrenreach.state.Destination;
import wrenreach.state.Directory;
import wrenreach.state.Endpoint;

/**
 * What of the list the module and the calls know. While the list is short that is all of it; of a longer one only the
 * destinations that mails came for, the others stand in the table alone. One that is as new again, with nothing that it
 * remembers, is given back when another one needs its place, the least lately used first. It decides nothing: what is made
 * anew is as it was before its first mail.
 */
final class EndpointsInUse {
    private static final System.Logger LOG = System.getLogger(EndpointsInUse.class.getName());
    /**
     * One part in so many of the memory, and of the heap, is for destinations in use; each takes about so many bytes with one
     * endpoint, measured (docs/CAPACITY.md).
     */
    private static final int MEMORY_DIVISOR = 16, HEAP_DIVISOR = 8, DESTINATION_BYTES = 1500;
    /** How many are looked at for one that can be given back. */
    private static final int MAX_EVICTION_CANDIDATES = 16;
    /** A list is short that takes one part in so many of that: all of it in use at once is a turn of a few milliseconds. */
    private static final int SHORT_LIST_DIVISOR = 8;
    /** Zones that the settings don't name and that are told apart: guards memory against lists that always bring new ones. */
    private static final int MAX_UNNAMED_ZONES = 64;

    private final Config config;
    private final Directory<String> directory;
    private final Dispatcher dispatcher;
    private final Calls calls;
    private final Consumer<List<Action>> actionSink;
    private final EndpointTable table;
    private final int maxInUse;
    private final int maxShortList;
    /** By their numbers, the least lately used first. */
    private final Map<Integer, Destination> inUse = new LinkedHashMap<>(16, 0.75f, true);
    /** As what each endpoint was listed last. */
    private final Map<Endpoint, ListUpdate.Entry> lastEntries = new IdentityHashMap<>();
    /** Zones that the settings don't name, in the order seen. */
    private final List<String> unnamedZones = new ArrayList<>();
    private long endpointsCreated;

    EndpointsInUse(Config config, EndpointTable table, Directory<String> directory, Dispatcher module, Calls calls,
                   Consumer<List<Action>> answers) {
        this(config, table, directory, module, calls, answers, (int) Math.min(config.memoryBytes() / MEMORY_DIVISOR / DESTINATION_BYTES,
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / DESTINATION_BYTES), SHORT_LIST_DIVISOR);
    }

    /** most: destinations that may be in use at a time, but for those that owe something; a list is short up to that over part. */
    EndpointsInUse(Config config, EndpointTable table, Directory<String> directory, Dispatcher module, Calls calls,
                   Consumer<List<Action>> answers, int most, int part) {
        maxShortList = most / part;
        this.config = config;
        this.table = table;
        this.directory = directory;
        this.dispatcher = module;
        this.calls = calls;
        this.actionSink = answers;
        this.maxInUse = Math.max(1, most);
    }

    /** The name of an endpoint that is listed, or "". */
    String endpointName(Endpoint endpoint) {
        ListUpdate.Entry entry = lastEntries.get(endpoint);
        return entry == null ? "" : entry.name();
    }

    /** How many destinations are in use. */
    int size() {
        return inUse.size();
    }

    /** The module knows the destination from here on, if the list in force has it. */
    void activate(int group, long now) {
        if (inUse.get(group) == null) {
            int[] rows = table.rowsOf(group);
            if (rows.length > 0) {
                List<ListUpdate.Entry> entries = new ArrayList<>(rows.length);
                addDestination(group, rows, entries);
                applyEntries(entries, EndpointUpdate.Scope.CHANGES, now);
                evictUnused(now);
            }
        }
    }

    /** All of the list in force, if it is short: at the start. */
    void activateAll(long now) {
        List<ListUpdate.Entry> entries = new ArrayList<>();
        for (int row = 0; table.size() <= maxShortList && row < table.rows(); row++) {
            if (table.status(row) != EndpointTable.ABSENT && inUse.get(table.group(row)) == null) {
                addDestination(table.group(row), table.rowsOf(table.group(row)), entries);
            }
        }
        applyEntries(entries, EndpointUpdate.Scope.CACHED, now);
    }

    /** The table's last list is in force: what it changes of destinations in use, and all of it if it is short. */
    void applyDelta(long now) {
        List<ListUpdate.Entry> entries = new ArrayList<>();
        boolean all = table.size() <= maxShortList && inUse.size() < maxInUse;
        if (!all && table.changedRows() > inUse.size()) {
            // Guards the turn against a list that names hundreds of thousands: those in use are bounded.
            for (int group : inUse.keySet()) {
                for (int row : table.changedRowsOf(group)) {
                    collectChange(row, false, entries);
                }
            }
        } else {
            for (int i = 0; i < table.changedRows(); i++) {
                collectChange(table.changedRows(i), all, entries);
            }
        }
        applyEntries(entries, EndpointUpdate.Scope.CHANGES, now);
    }

    private void collectChange(int row, boolean all, List<ListUpdate.Entry> entries) {
        boolean gone = table.status(row) == EndpointTable.ABSENT;
        if (inUse.containsKey(table.group(row))) {
            // One that goes on in another row, under other circumstances, is told by that row, if that is told of.
            int other = gone ? table.find(table.name(row)) : EndpointTable.NONE;
            if (other == EndpointTable.NONE || !all && !inUse.containsKey(table.group(other))) {
                entries.add(table.entry(row));
            }
        } else if (!gone && all) {
            addDestination(table.group(row), table.rowsOf(table.group(row)), entries);
        }
    }

    private void addDestination(int group, int[] rows, List<ListUpdate.Entry> entries) {
        inUse.put(group, directory.destination(group));
        for (int row : rows) {
            entries.add(table.entry(row));
        }
    }

    /** Gives destinations back that are over the number; a list of few is never over it. */
    private void evictUnused(long now) {
        for (int looked = 0; inUse.size() > maxInUse && looked < MAX_EVICTION_CANDIDATES; looked++) {
            Iterator<Map.Entry<Integer, Destination>> eldest = inUse.entrySet().iterator();
            Map.Entry<Integer, Destination> entry = eldest.next();
            Destination destination = entry.getValue();
            // Over twice the number also those are forgotten whose receivers failed: nobody has had a mail for them for longest.
            if (inUse.size() > 2 * maxInUse ? destination.hasPendingWork(now) : destination.hasLearnedState(now)) {
                inUse.get(entry.getKey());
                continue;
            }
            eldest.remove();
            List<EndpointUpdate.Entry> gone = new ArrayList<>();
            for (Endpoint endpoint : destination.endpoints) {
                gone.add(new EndpointUpdate.Entry(endpoint, EndpointUpdate.State.GONE, 0));
            }
            directory.removeDestination(destination);
            actionSink.accept(dispatcher.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.CHANGES, gone), now));
            for (EndpointUpdate.Entry one : gone) {
                directory.removeEndpoint(endpointName(one.endpoint()));
                lastEntries.remove(one.endpoint());
                calls.remove(one.endpoint());
            }
        }
    }

    private void applyEntries(List<ListUpdate.Entry> line, EndpointUpdate.Scope scope, long now) {
        List<EndpointUpdate.Entry> entries = new ArrayList<>(line.size());
        for (ListUpdate.Entry entry : line) {
            Endpoint before = directory.endpoint(entry.name());
            Endpoint endpoint = resolveEndpoint(entry);
            if (before != null && before != endpoint) {
                entries.add(new EndpointUpdate.Entry(before, EndpointUpdate.State.GONE, 0));
            }
            EndpointUpdate.State state = switch (entry.status()) {
                case "SERVING" -> EndpointUpdate.State.READY;
                case "DRAINING" -> EndpointUpdate.State.DRAINING;
                default -> EndpointUpdate.State.GONE;
            };
            try {
                if (state != EndpointUpdate.State.GONE) {
                    updateAddress(endpoint, entry);
                }
                entries.add(new EndpointUpdate.Entry(endpoint, state, entry.weight()));
            } catch (IllegalArgumentException e) {
                LogEvent.log(LOG, Level.WARNING, "list.endpoint", "discovery: endpoint {endpoint}: {why}",
                        "endpoint", entry.name(), "why", e.getMessage());
            }
        }
        actionSink.accept(dispatcher.endpointsUpdated(new EndpointUpdate(scope, entries), now));
        // Guards memory and descriptors: new endpoints under new ids replace old ones for as long as the node runs.
        for (EndpointUpdate.Entry entry : entries) {
            if (entry.state() == EndpointUpdate.State.GONE && !entry.endpoint().listed) {
                lastEntries.remove(entry.endpoint());
                calls.remove(entry.endpoint());
            }
        }
    }

    /**
     * The endpoint of this name. Guards mails against another destination's receiver, and repeats against another zone's:
     * a name that comes back with another group, kind or zone is another endpoint.
     */
    private Endpoint resolveEndpoint(ListUpdate.Entry entry) {
        int listedAs = config.kinds().indexOf(entry.type());
        int kind = listedAs < 0 ? config.kinds().size() : listedAs;
        int zone = zoneNumber(entry.zone());
        Endpoint known = directory.endpoint(entry.name());
        if (known != null && !entry.status().equals("DELETED")
                && (known.destination.number != entry.group() || known.kind != kind || known.zone != zone)) {
            directory.removeEndpoint(entry.name());
        }
        return directory.endpoint(entry.name(),
                () -> new Endpoint(endpointsCreated++, directory.destination(entry.group()), kind, zone));
    }

    /** Its number in the settings; below -1 where they don't name it, as no two of those are one zone. */
    private int zoneNumber(String name) {
        int named = config.zones().indexOf(name);
        if (named < 0 && !name.isEmpty() && !unnamedZones.contains(name) && unnamedZones.size() < MAX_UNNAMED_ZONES) {
            unnamedZones.add(name);
        }
        return named >= 0 ? named : unnamedZones.contains(name) ? -2 - unnamedZones.indexOf(name) : -1;
    }

    private void updateAddress(Endpoint endpoint, ListUpdate.Entry entry) {
        ListUpdate.Entry before = lastEntries.get(endpoint);
        if (before == null || !before.address().equals(entry.address())) {
            calls.setAddress(endpoint, Addresses.parse(entry.address()));
        }
        lastEntries.put(endpoint, entry);
    }

    /** Makes ready what a line to come will name for the first time, as far as there is room. */
    void prepare(List<ListUpdate.Entry> entries) {
        for (ListUpdate.Entry entry : entries) {
            if (lastEntries.size() < maxShortList && directory.endpoint(entry.name()) == null) {
                updateAddress(resolveEndpoint(entry), entry);
            }
        }
    }
}
