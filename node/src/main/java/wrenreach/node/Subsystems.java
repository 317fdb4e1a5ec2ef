package wrenreach.node;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wrenreach.frame.ListGate;
import wrenreach.frame.NodeEvent;
import wrenreach.frame.Running;
import wrenreach.log.LogEvent;
import wrenreach.endpoints.ListLine;

/** The subsystems of one node, on its loop. Guards the node: one that throws is left out from then on. */
final class Subsystems {
    private static final System.Logger LOG = System.getLogger(Subsystems.class.getName());

    private final Map<String, Running<?>> running = new LinkedHashMap<>();
    private final Map<String, Consumer<NodeEvent>> ears = new LinkedHashMap<>();
    private final List<NodeEvent> heard = new ArrayList<>();
    private String gateOf = "";
    private ListGate gate;

    void add(String name, Running<?> subsystem) {
        running.put(name, subsystem);
        subsystem.ear().ifPresent(ear -> ears.put(name, ear));
        subsystem.listGate().ifPresent(brought -> {
            if (gate != null) {
                throw new IllegalStateException(name + " and " + gateOf + " both bring lists");
            }
            gate = brought;
            gateOf = name;
        });
    }

    /** Whether anybody hears of mails: where not, no event need be made. */
    boolean hears() {
        return !ears.isEmpty();
    }

    /** Keeps an event until the turn's records are written. */
    void happened(NodeEvent event) {
        heard.add(event);
    }

    /** Tells what happened in the turn. */
    void tell() {
        if (heard.isEmpty()) {
            return;
        }
        List<NodeEvent> events = List.copyOf(heard);
        heard.clear();
        for (Iterator<Map.Entry<String, Consumer<NodeEvent>>> i = ears.entrySet().iterator(); i.hasNext();) {
            Map.Entry<String, Consumer<NodeEvent>> ear = i.next();
            try {
                events.forEach(ear.getValue());
            } catch (RuntimeException e) {
                i.remove();
                failed(ear.getKey(), e);
            }
        }
    }

    /** Whether one of them decides what the module is told of discovery's lists. */
    boolean gates() {
        return gate != null;
    }

    /** What the module is told of a line of discovery's. */
    ListLine discovered(ListLine line, long now) {
        if (gate == null) {
            return line;
        }
        try {
            return gate.discovered(line, now);
        } catch (RuntimeException e) {
            // The list in force stays: never a mixture with what the gate would have kept out.
            failed(gateOf, e);
            return new ListLine(line.index(), false, List.of());
        }
    }

    /** Calls all that run. */
    void each(Consumer<Running<?>> call) {
        running.entrySet().removeIf(entry -> {
            try {
                call.accept(entry.getValue());
                return false;
            } catch (RuntimeException e) {
                ears.remove(entry.getKey());
                failed(entry.getKey(), e);
                return true;
            }
        });
    }

    /** Hands a section that has changed to its subsystem, where it runs. */
    void reloaded(String name, Record section) {
        Running<?> subsystem = running.get(name);
        if (subsystem != null) {
            try {
                reload(subsystem, section);
            } catch (RuntimeException e) {
                failed(name, e);
            }
        }
    }

    // The section was read by the subsystem's own description.
    @SuppressWarnings("unchecked")
    private static <S extends Record> void reload(Running<S> subsystem, Record section) {
        subsystem.reloaded((S) section);
    }

    private static void failed(String name, RuntimeException e) {
        LogEvent.tell(LOG, Level.ERROR, e, "subsystem.failed", "{subsystem}: failed; the node goes on without it",
                "subsystem", name);
    }
}
