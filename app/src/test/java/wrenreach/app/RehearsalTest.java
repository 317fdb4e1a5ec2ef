package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.held.Journal;
import wrenreach.node.Config;

class RehearsalTest {
    @TempDir Path state;

    /** Guards the class-data archive: mails are taken, relayed and ended by notices, or it knows too little. */
    @Test void mailsPassThroughTheNode() throws Exception {
        Config config = Config.parse(Files.readAllBytes(Path.of("deploy/sample.json")), Map.of());
        assertThat(Rehearsal.run(config, state)).isZero();
        assertThat(Journal.read(state)).isEmpty();
    }
}
