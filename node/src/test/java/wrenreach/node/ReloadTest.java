package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.watch.FileWatch;

/** A config file that is read again on signals, and when it changes. */
class ReloadTest {
    /** Microseconds for which an unusable file is read again. */
    private static final long RETRY_MICROS = 60_000;
    @TempDir Path folder;
    private final List<Integer> ports = new CopyOnWriteArrayList<>();
    private final LinkedBlockingQueue<Integer> portQueue = new LinkedBlockingQueue<>();

    private Path writeConfig(String discovery) throws IOException {
        Path next = Files.writeString(folder.resolve("next"), Files.readString(Path.of("deploy/sample.json"))
                .replace("\"discovery\": \"127.0.0.1:9\"", "\"discovery\": \"" + discovery + "\""));
        return Files.move(next, folder.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    private void apply(Reload.Source json) throws Reload.RejectedFileException {
        int port = Config.readDiscovery(json).getPort();
        ports.add(port);
        portQueue.add(port);
    }

    @Test void eachSignalAppliesTheAddressThatTheFileThenNames() throws IOException {
        Reload reload = new Reload(writeConfig("127.0.0.1:11"), RETRY_MICROS);
        reload.signalled();
        assertThat(ports).isEmpty();
        reload.setHandler(this::apply);
        writeConfig("127.0.0.1:12");
        reload.signalled();
        assertThat(ports).containsExactly(11, 12);
    }

    /** A file that is being written, is malformed or missing must not change the node. */
    @Test void unusableFileChangesNothing() throws IOException {
        Path file = writeConfig("nowhere");
        Reload reload = new Reload(file, RETRY_MICROS);
        reload.setHandler(this::apply);
        reload.signalled();
        Files.writeString(file, "{\"discovery\": \"127.0");
        reload.signalled();
        Files.delete(file);
        reload.signalled();
        assertThat(ports).isEmpty();
    }

    /** A signal may come while the file is being written: the file is read again until it is complete. */
    @Test void halfWrittenFileIsReadAgain() throws Exception {
        Path file = writeConfig("127.0.0.1:13");
        byte[] content = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(content, 40));
        Reload reload = new Reload(file, 20_000_000);
        reload.setHandler(this::apply);
        Thread signal = new Thread(reload::signalled);
        signal.start();
        Files.write(file, content);
        signal.join(20_000);
        assertThat(ports).containsExactly(13);
    }

    /** A file that is replaced while it is being checked is applied once, as it was read, and no change is missed. */
    @Test void fileReplacedWhileItIsCheckedIsAppliedOnce() throws IOException {
        Reload reload = new Reload(writeConfig("127.0.0.1:51"), RETRY_MICROS);
        reload.setHandler(json -> {
            if (ports.isEmpty()) {
                writeConfig("127.0.0.1:52");
            }
            apply(json);
        });
        for (int i = 0; i < 3; i++) {
            assertThat(reload.fileChanged()).isTrue();
        }
        assertThat(ports).containsExactly(52);
        writeConfig("127.0.0.1:53");
        assertThat(reload.fileChanged()).isTrue();
        assertThat(ports).containsExactly(52, 53);
    }

    /** Guards against a change between the reader's end and its close that is taken for applied: it was never read. */
    @Test void fileWrittenToAfterItsEndWasReadIsAppliedAgain() throws IOException {
        Path file = Files.writeString(folder.resolve("written"), "");
        List<String> applied = new CopyOnWriteArrayList<>();
        Reload reload = new Reload(file, RETRY_MICROS);
        reload.setHandler(source -> {
            try (InputStream in = source.open()) {
                applied.add(new String(in.readAllBytes(), StandardCharsets.UTF_8));
                if (applied.size() == 1) {
                    Files.writeString(file, "log on");
                }
            }
        });
        assertThat(reload.fileChanged()).isTrue();
        assertThat(reload.fileChanged()).isTrue();
        assertThat(applied).containsExactly("", "log on");
    }

    /** A node that was started with SIGHUP ignored (nohup, some supervisors) gets no signal and follows the file itself. */
    @Test void watchedFileIsAppliedOnlyWhenItChanges() throws Exception {
        Path file = writeConfig("127.0.0.1:21");
        Reload reload = new Reload(file, RETRY_MICROS);
        reload.setHandler(this::apply);
        try (FileWatch watch = new FileWatch("test", () -> List.of(file), 200_000, RETRY_MICROS, reload)) {
            watch.start();
            assertThat(portQueue.poll(20, TimeUnit.SECONDS)).isEqualTo(21);
            for (int port = 22; port < 40; port++) {
                writeConfig("127.0.0.1:" + port);
                assertThat(portQueue.poll(20, TimeUnit.SECONDS)).isEqualTo(port);
            }
            Files.writeString(file, "{\"discovery\": \"127.0");
            writeConfig("127.0.0.1:40");
            assertThat(portQueue.poll(20, TimeUnit.SECONDS)).isEqualTo(40);
        }
        assertThat(ports).hasSize(20);
    }
}
