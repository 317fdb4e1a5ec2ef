package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReloadTest {
    @TempDir Path folder;
    private final List<Integer> ports = new ArrayList<>();

    private void heard(InetSocketAddress address) {
        ports.add(address.getPort());
    }

    private Path config(String discovery) throws IOException {
        return Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("deploy/sample.json"))
                .replace("\"discovery\": \"127.0.0.1:9\"", "\"discovery\": \"" + discovery + "\""));
    }

    @Test void eachSignalTellsTheAddressThatTheFileThenNames() throws IOException {
        Reload reload = new Reload(config("127.0.0.1:11"));
        reload.signalled();
        assertThat(ports).isEmpty();
        reload.tell(this::heard);
        config("127.0.0.1:12");
        reload.signalled();
        assertThat(ports).containsExactly(11, 12);
    }

    /** Guards a node against a file that is being written, is malformed or gone. */
    @Test void aFileThatCantBeUsedChangesNothing() throws IOException {
        Path file = config("nowhere");
        Reload reload = new Reload(file);
        reload.tell(this::heard);
        reload.signalled();
        Files.writeString(file, "{\"discovery\": \"127.0");
        reload.signalled();
        Files.delete(file);
        reload.signalled();
        assertThat(ports).isEmpty();
    }
}
