package wrenreach.app;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import wrenreach.frame.Command;
import wrenreach.frame.Subsystem;
import wrenreach.operator.Section;

/** The subsystems and commands that this build contains. Used only where there is an operator's file, or for a command that is not built in. */
final class Parts {
    private Parts() { }

    /** Returns all subsystems on the class path, sorted by name. */
    static List<Subsystem<?>> subsystems() {
        List<Subsystem<?>> all = new ArrayList<>();
        ServiceLoader.load(Subsystem.class, Parts.class.getClassLoader()).forEach(all::add);
        all.sort((a, b) -> a.section().name().compareTo(b.section().name()));
        return all;
    }

    /** Returns the sections that an operator's file may have. */
    static List<Section<?>> sections() {
        List<Section<?>> all = new ArrayList<>();
        all.add(LogSection.SECTION);
        subsystems().forEach(subsystem -> all.add(subsystem.section()));
        return all;
    }

    /** Returns the commands of subsystems, then those that are registered as services. */
    static List<Command> commands() {
        List<Command> all = new ArrayList<>();
        subsystems().forEach(subsystem -> all.addAll(subsystem.commands()));
        ServiceLoader.load(Command.class, Parts.class.getClassLoader()).forEach(all::add);
        return all;
    }
}
