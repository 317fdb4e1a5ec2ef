package wrenreach.node;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wrenreach.api.Answer;
import wrenreach.api.Dispatcher;
import wrenreach.api.Listing;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListLine;
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
    private static final int PART_OF_MEMORY = 16, PART_OF_HEAP = 8, BYTES = 1500;
    /** How many are looked at for one that can be given back. */
    private static final int LOOKS = 16;
    /** A list is short that takes one part in so many of that: all of it in use at once is a turn of a few milliseconds. */
    private static final int SHORT_PART = 8;
    /** Zones that the settings don't name and that are told apart: guards memory against lists that always bring new ones. */
    private static final int OTHER_ZONES = 64;

    private final Config config;
    private final Directory<String> directory;
    private final Dispatcher module;
    private final Calls calls;
    private final Consumer<List<Answer>> answers;
    private final EndpointTable table;
    private final int most;
    private final int brief;
    /** By their numbers, the least lately used first. */
    private final Map<Integer, Destination> inUse = new LinkedHashMap<>(16, 0.75f, true);
    /** As what each endpoint was listed last. */
    private final Map<Endpoint, ListLine.Entry> listed = new IdentityHashMap<>();
    /** Zones that the settings don't name, in the order seen. */
    private final List<String> otherZones = new ArrayList<>();
    private long endpointsSeen;

    EndpointsInUse(Config config, EndpointTable table, Directory<String> directory, Dispatcher module, Calls calls,
                   Consumer<List<Answer>> answers) {
        this(config, table, directory, module, calls, answers, (int) Math.min(config.memoryBytes() / PART_OF_MEMORY / BYTES,
                Runtime.getRuntime().maxMemory() / PART_OF_HEAP / BYTES), SHORT_PART);
    }

    /** most: destinations that may be in use at a time, but for those that owe something; a list is short up to that over part. */
    EndpointsInUse(Config config, EndpointTable table, Directory<String> directory, Dispatcher module, Calls calls,
                   Consumer<List<Answer>> answers, int most, int part) {
        brief = most / part;
        this.config = config;
        this.table = table;
        this.directory = directory;
        this.module = module;
        this.calls = calls;
        this.answers = answers;
        this.most = Math.max(1, most);
    }

    /** The name of an endpoint that is listed, or "". */
    String name(Endpoint endpoint) {
        ListLine.Entry entry = listed.get(endpoint);
        return entry == null ? "" : entry.name();
    }

    /** How many destinations are in use. */
    int size() {
        return inUse.size();
    }

    /** The module knows the destination from here on, if the list in force has it. */
    void use(int group, long now) {
        if (inUse.get(group) == null) {
            int[] rows = table.rowsOf(group);
            if (rows.length > 0) {
                List<ListLine.Entry> entries = new ArrayList<>(rows.length);
                enter(group, rows, entries);
                tell(entries, Listing.Scope.CHANGES, now);
                giveBack(now);
            }
        }
    }

    /** All of the list in force, if it is short: at the start. */
    void useAll(long now) {
        List<ListLine.Entry> entries = new ArrayList<>();
        for (int row = 0; table.size() <= brief && row < table.rows(); row++) {
            if (table.status(row) != EndpointTable.ABSENT && inUse.get(table.group(row)) == null) {
                enter(table.group(row), table.rowsOf(table.group(row)), entries);
            }
        }
        tell(entries, Listing.Scope.CACHED, now);
    }

    /** The table's last list is in force: what it changes of destinations in use, and all of it if it is short. */
    void changed(long now) {
        List<ListLine.Entry> entries = new ArrayList<>();
        boolean all = table.size() <= brief && inUse.size() < most;
        if (!all && table.touched() > inUse.size()) {
            // Guards the turn against a list that names hundreds of thousands: those in use are bounded.
            for (int group : inUse.keySet()) {
                for (int row : table.touchedOf(group)) {
                    change(row, false, entries);
                }
            }
        } else {
            for (int i = 0; i < table.touched(); i++) {
                change(table.touched(i), all, entries);
            }
        }
        tell(entries, Listing.Scope.CHANGES, now);
    }

    private void change(int row, boolean all, List<ListLine.Entry> entries) {
        boolean gone = table.status(row) == EndpointTable.ABSENT;
        if (inUse.containsKey(table.group(row))) {
            // One that goes on in another row, under other circumstances, is told by that row, if that is told of.
            int other = gone ? table.find(table.name(row)) : EndpointTable.NONE;
            if (other == EndpointTable.NONE || !all && !inUse.containsKey(table.group(other))) {
                entries.add(table.entry(row));
            }
        } else if (!gone && all) {
            enter(table.group(row), table.rowsOf(table.group(row)), entries);
        }
    }

    private void enter(int group, int[] rows, List<ListLine.Entry> entries) {
        inUse.put(group, directory.destination(group));
        for (int row : rows) {
            entries.add(table.entry(row));
        }
    }

    /** Gives destinations back that are over the number; a list of few is never over it. */
    private void giveBack(long now) {
        for (int looked = 0; inUse.size() > most && looked < LOOKS; looked++) {
            Iterator<Map.Entry<Integer, Destination>> eldest = inUse.entrySet().iterator();
            Map.Entry<Integer, Destination> entry = eldest.next();
            Destination destination = entry.getValue();
            // Over twice the number also those are forgotten whose receivers failed: nobody has had a mail for them for longest.
            if (inUse.size() > 2 * most ? destination.owes(now) : destination.remembers(now)) {
                inUse.get(entry.getKey());
                continue;
            }
            eldest.remove();
            List<Listing.Entry> gone = new ArrayList<>();
            for (Endpoint endpoint : destination.endpoints) {
                gone.add(new Listing.Entry(endpoint, Listing.State.GONE, 0));
            }
            directory.forget(destination);
            answers.accept(module.listed(new Listing(Listing.Scope.CHANGES, gone), now));
            for (Listing.Entry one : gone) {
                directory.drop(name(one.endpoint()));
                listed.remove(one.endpoint());
                calls.drop(one.endpoint());
            }
        }
    }

    private void tell(List<ListLine.Entry> line, Listing.Scope scope, long now) {
        List<Listing.Entry> entries = new ArrayList<>(line.size());
        for (ListLine.Entry entry : line) {
            Endpoint before = directory.endpoint(entry.name());
            Endpoint endpoint = endpoint(entry);
            if (before != null && before != endpoint) {
                entries.add(new Listing.Entry(before, Listing.State.GONE, 0));
            }
            Listing.State state = switch (entry.status()) {
                case "SERVING" -> Listing.State.READY;
                case "DRAINING" -> Listing.State.DRAINING;
                default -> Listing.State.GONE;
            };
            try {
                if (state != Listing.State.GONE) {
                    locate(endpoint, entry);
                }
                entries.add(new Listing.Entry(endpoint, state, entry.weight()));
            } catch (IllegalArgumentException e) {
                LogEvent.tell(LOG, Level.WARNING, "list.endpoint", "discovery: endpoint {endpoint}: {why}",
                        "endpoint", entry.name(), "why", e.getMessage());
            }
        }
        answers.accept(module.listed(new Listing(scope, entries), now));
        // Guards memory and descriptors: new endpoints under new ids replace old ones for as long as the node runs.
        for (Listing.Entry entry : entries) {
            if (entry.state() == Listing.State.GONE && !entry.endpoint().listed) {
                listed.remove(entry.endpoint());
                calls.drop(entry.endpoint());
            }
        }
    }

    /**
     * The endpoint of this name. Guards mails against another destination's receiver, and repeats against another zone's:
     * a name that comes back with another group, kind or zone is another endpoint.
     */
    private Endpoint endpoint(ListLine.Entry entry) {
        int listedAs = config.kinds().indexOf(entry.type());
        int kind = listedAs < 0 ? config.kinds().size() : listedAs;
        int zone = zone(entry.zone());
        Endpoint known = directory.endpoint(entry.name());
        if (known != null && !entry.status().equals("DELETED")
                && (known.to.number != entry.group() || known.kind != kind || known.zone != zone)) {
            directory.drop(entry.name());
        }
        return directory.endpoint(entry.name(),
                () -> new Endpoint(endpointsSeen++, directory.destination(entry.group()), kind, zone));
    }

    /** Its number in the settings; below -1 where they don't name it, as no two of those are one zone. */
    private int zone(String name) {
        int named = config.zones().indexOf(name);
        if (named < 0 && !name.isEmpty() && !otherZones.contains(name) && otherZones.size() < OTHER_ZONES) {
            otherZones.add(name);
        }
        return named >= 0 ? named : otherZones.contains(name) ? -2 - otherZones.indexOf(name) : -1;
    }

    private void locate(Endpoint endpoint, ListLine.Entry entry) {
        ListLine.Entry before = listed.get(endpoint);
        if (before == null || !before.address().equals(entry.address())) {
            calls.locate(endpoint, Addresses.parse(entry.address()));
        }
        listed.put(endpoint, entry);
    }

    /** Makes ready what a line to come will name for the first time, as far as there is room. */
    void prepare(List<ListLine.Entry> entries) {
        for (ListLine.Entry entry : entries) {
            if (listed.size() < brief && directory.endpoint(entry.name()) == null) {
                locate(endpoint(entry), entry);
            }
        }
    }
}
