package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.watch.FileWatch;

class ReloadTest {
    private static final long PATIENCE = 60_000;
    @TempDir Path folder;
    private final List<Integer> ports = new CopyOnWriteArrayList<>();
    private final LinkedBlockingQueue<Integer> told = new LinkedBlockingQueue<>();

    private Path config(String discovery) throws IOException {
        Path next = Files.writeString(folder.resolve("next"), Files.readString(Path.of("deploy/sample.json"))
                .replace("\"discovery\": \"127.0.0.1:9\"", "\"discovery\": \"" + discovery + "\""));
        return Files.move(next, folder.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private void taken(Reload.Source json) throws Reload.Unusable {
        int port = Config.discovery(json).getPort();
        ports.add(port);
        told.add(port);
    }

    @Test void eachSignalTellsTheAddressThatTheFileThenNames() throws IOException {
        Reload reload = new Reload(config("127.0.0.1:11"), PATIENCE);
        reload.signalled();
        assertThat(ports).isEmpty();
        reload.tell(this::taken);
        config("127.0.0.1:12");
        reload.signalled();
        assertThat(ports).containsExactly(11, 12);
    }

    /** Guards a node against a file that is being written, is malformed or gone. */
    @Test void aFileThatCantBeUsedChangesNothing() throws IOException {
        Path file = config("nowhere");
        Reload reload = new Reload(file, PATIENCE);
        reload.tell(this::taken);
        reload.signalled();
        Files.writeString(file, "{\"discovery\": \"127.0");
        reload.signalled();
        Files.delete(file);
        reload.signalled();
        assertThat(ports).isEmpty();
    }

    /** Guards a signal that comes while the file is being written: it is read again until it is whole. */
    @Test void aFileThatIsHalfWrittenAtTheSignalIsReadAgain() throws Exception {
        Path file = config("127.0.0.1:13");
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(whole, 40));
        Reload reload = new Reload(file, 20_000_000);
        reload.tell(this::taken);
        Thread signal = new Thread(reload::signalled);
        signal.start();
        Files.write(file, whole);
        signal.join(20_000);
        assertThat(ports).containsExactly(13);
    }

    /** What is taken is what was read, also of a file that is replaced while it is looked at: once, and nothing is missed. */
    @Test void aFileThatIsReplacedAtTheLookIsTakenOnce() throws IOException {
        Reload reload = new Reload(config("127.0.0.1:51"), PATIENCE);
        reload.tell(json -> {
            if (ports.isEmpty()) {
                config("127.0.0.1:52");
            }
            taken(json);
        });
        for (int i = 0; i < 3; i++) {
            assertThat(reload.look()).isTrue();
        }
        assertThat(ports).containsExactly(52);
        config("127.0.0.1:53");
        assertThat(reload.look()).isTrue();
        assertThat(ports).containsExactly(52, 53);
    }

    /** Guards a node that was started with SIGHUP ignored (nohup, some supervisors): it follows the file itself. */
    @Test void aWatchedFileIsTakenWhenItChangesAndOnlyThen() throws Exception {
        Path file = config("127.0.0.1:21");
        Reload reload = new Reload(file, PATIENCE);
        reload.tell(this::taken);
        try (FileWatch watch = new FileWatch("test", () -> List.of(file), 200_000, PATIENCE, reload)) {
            watch.start();
            assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo(21);
            for (int port = 22; port < 40; port++) {
                config("127.0.0.1:" + port);
                assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo(port);
            }
            Files.writeString(file, "{\"discovery\": \"127.0");
            config("127.0.0.1:40");
            assertThat(told.poll(20, TimeUnit.SECONDS)).isEqualTo(40);
        }
        assertThat(ports).hasSize(20);
    }
}
