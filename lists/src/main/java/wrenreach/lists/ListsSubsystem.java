package wrenreach.lists;

import java.util.List;
import wrenreach.frame.Command;
import wrenreach.frame.NodeContext;
import wrenreach.frame.RunningSubsystem;
import wrenreach.frame.Subsystem;
import wrenreach.operator.Section;

/** Provides lists from watched files as a subsystem of the node. */
public final class ListsSubsystem implements Subsystem<ListsSection> {
    @Override public Section<ListsSection> section() {
        return ListsSection.SECTION;
    }

    @Override public RunningSubsystem<ListsSection> start(ListsSection section, NodeContext node) throws StartException {
        return new WatchedLists(section, node);
    }

    @Override public List<Command> commands() {
        return List.of(new ListsCommand());
    }
}
