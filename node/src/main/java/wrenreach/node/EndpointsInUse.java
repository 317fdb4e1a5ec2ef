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
 * The part of the endpoint list that the decisions and the calls know. Of a short list that is all of it; of a longer one only the
 * destinations that mails arrived for, while the others stay in the table alone. A destination without pending work and learned state is
 * evicted when another one needs its place, the least recently used first. Eviction changes no decision: a destination that is created
 * again is as it was before its first mail.
 */
final class EndpointsInUse {
    private static final System.Logger LOG = System.getLogger(EndpointsInUse.class.getName());
    /** The memory limit divided by this is for destinations in use. */
    private static final int MEMORY_DIVISOR = 16;
    /** The maximum heap divided by this is for destinations in use. */
    private static final int HEAP_DIVISOR = 8;
    /** Bytes that a destination in use takes with one endpoint, about; measured (docs/CAPACITY.md). */
    private static final int DESTINATION_BYTES = 1500;
    /** Maximum number of destinations that one eviction pass examines. */
    private static final int MAX_EVICTION_CANDIDATES = 16;
    /**
     * A list is short if its size is at most the bound on destinations in use divided by this: activating all of it is an iteration of a
     * few milliseconds.
     */
    private static final int SHORT_LIST_DIVISOR = 8;
    /**
     * Maximum number of zones not named in the settings that are told apart; bounds the memory taken by lists that keep bringing new
     * ones.
     */
    private static final int MAX_UNNAMED_ZONES = 64;

    private final Config config;
    private final Directory<String> directory;
    private final Dispatcher dispatcher;
    private final Calls calls;
    private final Consumer<List<Action>> actionSink;
    private final EndpointTable table;
    private final int maxInUse;
    private final int maxShortList;
    /** Destinations in use by number, the least recently used first. */
    private final Map<Integer, Destination> inUse = new LinkedHashMap<>(16, 0.75f, true);
    /** The last list entry of each endpoint. */
    private final Map<Endpoint, ListUpdate.Entry> lastEntries = new IdentityHashMap<>();
    /** Zones that the settings don't name, in the order in which they were first seen. */
    private final List<String> unnamedZones = new ArrayList<>();
    private long endpointsCreated;

    EndpointsInUse(Config config, EndpointTable table, Directory<String> directory, Dispatcher dispatcher, Calls calls,
                   Consumer<List<Action>> actionSink) {
        this(config, table, directory, dispatcher, calls, actionSink, (int) Math.min(config.memoryBytes() / MEMORY_DIVISOR / DESTINATION_BYTES,
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR / DESTINATION_BYTES), SHORT_LIST_DIVISOR);
    }

    /**
     * maxInUse: how many destinations may be in use at a time, apart from those with pending work; shortListDivisor: a list is short up
     * to maxInUse / shortListDivisor endpoints.
     */
    EndpointsInUse(Config config, EndpointTable table, Directory<String> directory, Dispatcher dispatcher, Calls calls,
                   Consumer<List<Action>> actionSink, int maxInUse, int shortListDivisor) {
        maxShortList = maxInUse / shortListDivisor;
        this.config = config;
        this.table = table;
        this.directory = directory;
        this.dispatcher = dispatcher;
        this.calls = calls;
        this.actionSink = actionSink;
        this.maxInUse = Math.max(1, maxInUse);
    }

    /** The name of a listed endpoint, or "" for any other. */
    String endpointName(Endpoint endpoint) {
        ListUpdate.Entry entry = lastEntries.get(endpoint);
        return entry == null ? "" : entry.name();
    }

    /** The number of destinations in use. */
    int size() {
        return inUse.size();
    }

    /** Makes the destination known to the decisions, if the list in force names it. */
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

    /** At the start: activates all of the list in force, if it is short. */
    void activateAll(long now) {
        List<ListUpdate.Entry> entries = new ArrayList<>();
        for (int row = 0; table.size() <= maxShortList && row < table.rows(); row++) {
            if (table.status(row) != EndpointTable.ABSENT && inUse.get(table.group(row)) == null) {
                addDestination(table.group(row), table.rowsOf(table.group(row)), entries);
            }
        }
        applyEntries(entries, EndpointUpdate.Scope.CACHED, now);
    }

    /** Applies the list that the table has put in force last: its changes to destinations in use, and all of it if it is short. */
    void applyDelta(long now) {
        List<ListUpdate.Entry> entries = new ArrayList<>();
        boolean all = table.size() <= maxShortList && inUse.size() < maxInUse;
        if (!all && table.changedRows() > inUse.size()) {
            // Goes through the destinations in use, whose number is bounded: a list may name hundreds of thousands, which would make a
            // long iteration.
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
            // An endpoint that continues in another row, with other properties, is reported by that row, if that row is reported.
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

    /** Evicts destinations beyond the bound; a list with few destinations never exceeds it. */
    private void evictUnused(long now) {
        for (int examined = 0; inUse.size() > maxInUse && examined < MAX_EVICTION_CANDIDATES; examined++) {
            Iterator<Map.Entry<Integer, Destination>> leastRecentlyUsed = inUse.entrySet().iterator();
            Map.Entry<Integer, Destination> entry = leastRecentlyUsed.next();
            Destination destination = entry.getValue();
            // Beyond twice the bound, destinations whose receivers failed are evicted too: they are the ones that have had no mail for
            // longest.
            if (inUse.size() > 2 * maxInUse ? destination.hasPendingWork(now) : destination.hasLearnedState(now)) {
                // The access makes it the most recently used, so the next candidate is examined.
                inUse.get(entry.getKey());
                continue;
            }
            leastRecentlyUsed.remove();
            List<EndpointUpdate.Entry> removed = new ArrayList<>();
            for (Endpoint endpoint : destination.endpoints) {
                removed.add(new EndpointUpdate.Entry(endpoint, EndpointUpdate.State.GONE, 0));
            }
            directory.removeDestination(destination);
            actionSink.accept(dispatcher.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.CHANGES, removed), now));
            for (EndpointUpdate.Entry removedEntry : removed) {
                directory.removeEndpoint(endpointName(removedEntry.endpoint()));
                lastEntries.remove(removedEntry.endpoint());
                calls.remove(removedEntry.endpoint());
            }
        }
    }

    private void applyEntries(List<ListUpdate.Entry> listEntries, EndpointUpdate.Scope scope, long now) {
        List<EndpointUpdate.Entry> entries = new ArrayList<>(listEntries.size());
        for (ListUpdate.Entry entry : listEntries) {
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
        // New endpoints under new ids replace old ones for as long as the node runs, so the old ones' memory and descriptors are
        // released.
        for (EndpointUpdate.Entry entry : entries) {
            if (entry.state() == EndpointUpdate.State.GONE && !entry.endpoint().listed) {
                lastEntries.remove(entry.endpoint());
                calls.remove(entry.endpoint());
            }
        }
    }

    /**
     * The endpoint of this name. A name that is listed again with another group, kind or zone is another endpoint: otherwise mails would
     * go to another destination's receiver, and repeats to another zone's.
     */
    private Endpoint resolveEndpoint(ListUpdate.Entry entry) {
        int kindIndex = config.kinds().indexOf(entry.type());
        int kind = kindIndex < 0 ? config.kinds().size() : kindIndex;
        int zone = zoneNumber(entry.zone());
        Endpoint known = directory.endpoint(entry.name());
        if (known != null && !entry.status().equals("DELETED")
                && (known.destination.number != entry.group() || known.kind != kind || known.zone != zone)) {
            directory.removeEndpoint(entry.name());
        }
        return directory.endpoint(entry.name(),
                () -> new Endpoint(endpointsCreated++, directory.destination(entry.group()), kind, zone));
    }

    /**
     * The zone's number in the settings. A zone that they don't name gets a number below -1 of its own, since no two of those are one
     * zone; -1: no zone is given, or there are more than MAX_UNNAMED_ZONES.
     */
    private int zoneNumber(String name) {
        int index = config.zones().indexOf(name);
        if (index < 0 && !name.isEmpty() && !unnamedZones.contains(name) && unnamedZones.size() < MAX_UNNAMED_ZONES) {
            unnamedZones.add(name);
        }
        return index >= 0 ? index : unnamedZones.contains(name) ? -2 - unnamedZones.indexOf(name) : -1;
    }

    private void updateAddress(Endpoint endpoint, ListUpdate.Entry entry) {
        ListUpdate.Entry before = lastEntries.get(endpoint);
        if (before == null || !before.address().equals(entry.address())) {
            calls.setAddress(endpoint, Addresses.parse(entry.address()));
        }
        lastEntries.put(endpoint, entry);
    }

    /** Creates the endpoints that a coming list update will name for the first time, as far as there is room. */
    void prepare(List<ListUpdate.Entry> entries) {
        for (ListUpdate.Entry entry : entries) {
            if (lastEntries.size() < maxShortList && directory.endpoint(entry.name()) == null) {
                updateAddress(resolveEndpoint(entry), entry);
            }
        }
    }
}
