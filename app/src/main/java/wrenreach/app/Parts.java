package wrenreach.app;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import wrenreach.frame.Command;
import wrenreach.frame.Subsystem;
import wrenreach.operator.Section;

/** All that this build can be switched on to do. Asked only where there is an operator's file, or an unknown command. */
final class Parts {
    private Parts() { }

    /** The subsystems of the jar, in the order of their names. */
    static List<Subsystem<?>> subsystems() {
        List<Subsystem<?>> all = new ArrayList<>();
        ServiceLoader.load(Subsystem.class, Parts.class.getClassLoader()).forEach(all::add);
        all.sort((a, b) -> a.section().name().compareTo(b.section().name()));
        return all;
    }

    /** The tables that an operator's file may hold. */
    static List<Section<?>> sections() {
        List<Section<?>> all = new ArrayList<>();
        all.add(LogSection.SECTION);
        subsystems().forEach(subsystem -> all.add(subsystem.section()));
        return all;
    }

    static List<Command> commands() {
        List<Command> all = new ArrayList<>();
        subsystems().forEach(subsystem -> all.addAll(subsystem.commands()));
        ServiceLoader.load(Command.class, Parts.class.getClassLoader()).forEach(all::add);
        return all;
    }
}
