package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListUpdate;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.Submission;

/** The processor time that a restart takes until the node is ready; the time on the clock follows from the share of a core that it has. */
class ReadyTest {
    /** Ready within 10 s at a third of a core. The test runs without the class-data archive, which saves more than a tenth of a second. */
    private static final Duration MAX_CPU_TIME = Duration.ofMillis(10_000 / 3);
    /** The disk limit of the node. */
    private static final long DISK_LIMIT_BYTES = 8_000_000;
    private static final int ENDPOINT_COUNT = 300;
    @TempDir Path folder;

    /** As many mails as the disk limit allows, with a stored endpoint list and with discovery down. */
    @Test void aRestartWithAFullStateFolderIsReadyInTime() throws Exception {
        Path state = Files.createDirectories(folder.resolve("state"));
        int mails = 0;
        try (Journal journal = Journal.open(state, DISK_LIMIT_BYTES)) {
            long ends = 1000 * (System.currentTimeMillis() + 3_600_000);
            for (; journal.fits(100, 0, 4); mails++) {
                journal.accepted(new HeldMail(new Submission("m" + mails, "", "order", "shop", "t" + mails, mails % ENDPOINT_COUNT, new byte[100]), ends));
            }
            List<ListUpdate.Entry> entries = new ArrayList<>();
            for (int i = 0; i < ENDPOINT_COUNT; i++) {
                entries.add(new ListUpdate.Entry("receiver-" + i, "127.0.0.1:9", "home", "small", i, "SERVING", 10));
            }
            EndpointTable list = new EndpointTable(1_000_000, "a test");
            list.apply(new ListUpdate(9, true, entries));
            journal.listLog().commit(9, "127.0.0.1:9", list);
            journal.listLog().close();
            journal.write();
        }
        int listenerPort;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listenerPort = free.getLocalPort();
        }
        Path config = Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("deploy/sample.json"))
                .replace("127.0.0.1:0", "127.0.0.1:" + listenerPort).replace("\"disk_mb\": 2", "\"disk_mb\": " + DISK_LIMIT_BYTES / 1_000_000)
                .replace("\"MaxOpen\": 100", "\"MaxOpen\": " + 2 * mails));
        Path log = folder.resolve("log");
        Process node = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "@deploy/serve.options",
                "-cp", System.getProperty("java.class.path"), "wrenreach.app.Launch", "serve", "--config", config.toString(),
                "--state", state.toString()).redirectErrorStream(true).redirectOutput(log.toFile()).start();
        try {
            for (int i = 0; !answersPing(listenerPort); i++) {
                assertThat(node.isAlive() && i < 6000).as(Files.readString(log)).isTrue();
                Thread.sleep(10);
            }
            Duration spent = node.info().totalCpuDuration().orElseThrow();
            System.out.println("ready with " + mails + " mails and " + ENDPOINT_COUNT + " endpoints after " + spent.toMillis() + " ms of processor time");
            assertThat(Files.readString(log)).contains("recovered " + mails + " mails");
            assertThat(spent).isLessThan(MAX_CPU_TIME);
        } finally {
            node.destroyForcibly().waitFor(20, TimeUnit.SECONDS);
        }
    }

    private static boolean answersPing(int listenerPort) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
            client.setSoTimeout(60_000);
            client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
            return client.getInputStream().read() == '+';
        } catch (IOException e) {
            return false; // It does not listen yet.
        }
    }
}
