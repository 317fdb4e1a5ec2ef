package wrenreach.node;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wrenreach.endpoints.ListUpdate;
import wrenreach.frame.ListFilter;
import wrenreach.frame.NodeEvent;
import wrenreach.frame.RunningSubsystem;
import wrenreach.log.LogEvent;

/**
 * The subsystems of one node, on its event loop. An exception in one of them does not reach the node: the subsystem is left out from then
 * on.
 */
final class Subsystems {
    private static final System.Logger LOG = System.getLogger(Subsystems.class.getName());

    private final Map<String, RunningSubsystem<?>> running = new LinkedHashMap<>();
    private final Map<String, Consumer<NodeEvent>> eventListeners = new LinkedHashMap<>();
    private final List<NodeEvent> queuedEvents = new ArrayList<>();
    private String listFilterOwner = "";
    private ListFilter listFilter;

    /** Adds a subsystem; throws IllegalStateException if it is the second one with a list filter. */
    void add(String name, RunningSubsystem<?> subsystem) {
        running.put(name, subsystem);
        subsystem.eventListener().ifPresent(listener -> eventListeners.put(name, listener));
        subsystem.listFilter().ifPresent(filter -> {
            if (listFilter != null) {
                throw new IllegalStateException(name + " and " + listFilterOwner + " both bring lists");
            }
            listFilter = filter;
            listFilterOwner = name;
        });
    }

    /** Whether any subsystem listens to events of mails; where none does, no events need to be created. */
    boolean hasEventListeners() {
        return !eventListeners.isEmpty();
    }

    /** Queues an event until the records of the iteration are written. */
    void queueEvent(NodeEvent event) {
        queuedEvents.add(event);
    }

    /** Delivers the events of the iteration. */
    void deliverEvents() {
        if (queuedEvents.isEmpty()) {
            return;
        }
        List<NodeEvent> events = List.copyOf(queuedEvents);
        queuedEvents.clear();
        for (Iterator<Map.Entry<String, Consumer<NodeEvent>>> i = eventListeners.entrySet().iterator(); i.hasNext();) {
            Map.Entry<String, Consumer<NodeEvent>> listener = i.next();
            try {
                events.forEach(listener.getValue());
            } catch (RuntimeException e) {
                i.remove();
                logFailure(listener.getKey(), e);
            }
        }
    }

    /** Whether a subsystem filters the lists from discovery. */
    boolean hasListFilter() {
        return listFilter != null;
    }

    /** Whether a subsystem has a list in force that holds nothing from discovery. */
    boolean replaceDiscovery() {
        return listFilter != null && listFilter.replacesDiscovery();
    }

    /** Returns what is to be used of a list update from discovery. */
    ListUpdate filter(ListUpdate update, long now) {
        if (listFilter == null) {
            return update;
        }
        try {
            return listFilter.filter(update, now);
        } catch (RuntimeException e) {
            // The list in force stays: it is never mixed with what the filter would have kept out.
            logFailure(listFilterOwner, e);
            return new ListUpdate(update.index(), false, List.of());
        }
    }

    /** Calls all running subsystems. */
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

    /** Hands a changed section to its subsystem, if that is running. */
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

    // The unchecked cast is safe: the section was read by the subsystem's own description.
    @SuppressWarnings("unchecked")
    private static <S extends Record> void reload(RunningSubsystem<S> subsystem, Record section) {
        subsystem.reloaded((S) section);
    }

    private static void logFailure(String name, RuntimeException e) {
        LogEvent.log(LOG, Level.ERROR, e, "subsystem.failed", "{subsystem}: failed; the node goes on without it",
                "subsystem", name);
    }
}
