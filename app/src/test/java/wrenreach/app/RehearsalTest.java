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

    /** Mails are accepted, relayed and ended with notices; otherwise the class-data archive would lack classes of these paths. */
    @Test void mailsPassThroughTheNode() throws Exception {
        Config config = Config.parse(Files.readAllBytes(Path.of("deploy/sample.json")), Map.of());
        assertThat(Rehearsal.run(config, state)).isZero();
        assertThat(Journal.read(state)).isEmpty();
    }
}
