package wrenreach.node;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wrenreach.frame.ListFilter;
import wrenreach.frame.NodeEvent;
import wrenreach.frame.RunningSubsystem;
import wrenreach.log.LogEvent;
import wrenreach.endpoints.ListUpdate;

/** The subsystems of one node, on its loop. Guards the node: one that throws is left out from then on. */
final class Subsystems {
    private static final System.Logger LOG = System.getLogger(Subsystems.class.getName());

    private final Map<String, RunningSubsystem<?>> running = new LinkedHashMap<>();
    private final Map<String, Consumer<NodeEvent>> eventListeners = new LinkedHashMap<>();
    private final List<NodeEvent> queuedEvents = new ArrayList<>();
    private String listFilterOwner = "";
    private ListFilter listFilter;

    void add(String name, RunningSubsystem<?> subsystem) {
        running.put(name, subsystem);
        subsystem.eventListener().ifPresent(ear -> eventListeners.put(name, ear));
        subsystem.listFilter().ifPresent(brought -> {
            if (listFilter != null) {
                throw new IllegalStateException(name + " and " + listFilterOwner + " both bring lists");
            }
            listFilter = brought;
            listFilterOwner = name;
        });
    }

    /** Whether anybody hears of mails: where not, no event need be made. */
    boolean hasEventListeners() {
        return !eventListeners.isEmpty();
    }

    /** Keeps an event until the turn's records are written. */
    void queueEvent(NodeEvent event) {
        queuedEvents.add(event);
    }

    /** Tells what happened in the turn. */
    void deliverEvents() {
        if (queuedEvents.isEmpty()) {
            return;
        }
        List<NodeEvent> events = List.copyOf(queuedEvents);
        queuedEvents.clear();
        for (Iterator<Map.Entry<String, Consumer<NodeEvent>>> i = eventListeners.entrySet().iterator(); i.hasNext();) {
            Map.Entry<String, Consumer<NodeEvent>> ear = i.next();
            try {
                events.forEach(ear.getValue());
            } catch (RuntimeException e) {
                i.remove();
                logFailure(ear.getKey(), e);
            }
        }
    }

    /** Whether one of them decides what the module is told of discovery's lists. */
    boolean hasListFilter() {
        return listFilter != null;
    }

    /** What the module is told of a line of discovery's. */
    ListUpdate filter(ListUpdate line, long now) {
        if (listFilter == null) {
            return line;
        }
        try {
            return listFilter.filter(line, now);
        } catch (RuntimeException e) {
            // The list in force stays: never a mixture with what the gate would have kept out.
            logFailure(listFilterOwner, e);
            return new ListUpdate(line.index(), false, List.of());
        }
    }

    /** Calls all that run. */
    void forEach(Consumer<RunningSubsystem<?>> call) {
        running.entrySet().removeIf(entry -> {
            try {
                call.accept(entry.getValue());
                return false;
            } catch (RuntimeException e) {
                eventListeners.remove(entry.getKey());
                logFailure(entry.getKey(), e);
                return true;
            }
        });
    }

    /** Hands a section that has changed to its subsystem, where it runs. */
    void reloaded(String name, Record section) {
        RunningSubsystem<?> subsystem = running.get(name);
        if (subsystem != null) {
            try {
                reload(subsystem, section);
            } catch (RuntimeException e) {
                logFailure(name, e);
            }
        }
    }

    // The section was read by the subsystem's own description.
    @SuppressWarnings("unchecked")
    private static <S extends Record> void reload(RunningSubsystem<S> subsystem, Record section) {
        subsystem.reloaded((S) section);
    }

    private static void logFailure(String name, RuntimeException e) {
        LogEvent.log(LOG, Level.ERROR, e, "subsystem.failed", "{subsystem}: failed; the node goes on without it",
                "subsystem", name);
    }
}
