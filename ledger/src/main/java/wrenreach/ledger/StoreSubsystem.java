package wrenreach.ledger;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import wrenreach.frame.Command;
import wrenreach.frame.NodeContext;
import wrenreach.frame.RunningSubsystem;
import wrenreach.frame.Subsystem;
import wrenreach.held.Ledger;
import wrenreach.operator.Section;

/** The subsystem that keeps outstanding mails in a store, instead of the journal. */
public final class StoreSubsystem implements Subsystem<StoreSection> {
    @Override public Section<StoreSection> section() {
        return StoreSection.SECTION;
    }

    @Override public Optional<Ledger> ledger(StoreSection section, Path state, long limit) throws StartException {
        try {
            return Optional.of(StoreLedger.open(state, limit, section.durability().equals("sync"), section.remembered(),
                    (long) (section.rememberedPart() * limit)));
        } catch (IOException e) {
            throw new StartException("the store in " + state + " can't be used: " + e.getMessage());
        }
    }

    @Override public RunningSubsystem<StoreSection> start(StoreSection section, NodeContext host) {
        return new RunningSubsystem<>() { };
    }

    @Override public List<Command> commands() {
        return List.of(new StoreCommand());
    }
}
