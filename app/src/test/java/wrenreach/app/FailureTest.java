package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.held.Journal;
import wrenreach.held.HeldMail;
import wrenreach.held.Submission;

/** Processes that can't go on: they end with exit code 1 (2 where the config is rejected) and one line, and leave the state folder as it was. */
class FailureTest {
    private static final Path SAMPLE = Path.of("deploy/sample.json");
    @TempDir Path folder;

    private Path state() {
        return folder.resolve("state");
    }

    /** Prepares a state folder with one outstanding mail. */
    private void writeOutstandingMail() throws IOException {
        Files.createDirectories(state());
        Journal journal = Journal.open(state(), 2_000_000);
        Submission mail = new Submission("m1", "", "order", "shop", "k-1", 1, "body".getBytes(StandardCharsets.US_ASCII));
        journal.accepted(new HeldMail(mail, 1000 * (System.currentTimeMillis() + 3_600_000)));
        journal.write();
        journal.close();
    }

    private Map<String, String> stateFiles() throws IOException {
        Map<String, String> files = new TreeMap<>();
        try (Stream<Path> all = Files.list(state())) {
            for (Path file : all.toList()) {
                files.put(file.getFileName().toString(), Files.readString(file, StandardCharsets.ISO_8859_1));
            }
        }
        return files;
    }

    private Process start(Path log, List<String> options, String... words) throws IOException {
        List<String> all = new ArrayList<>();
        all.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        all.addAll(options);
        all.addAll(List.of("-cp", System.getProperty("java.class.path")));
        all.addAll(List.of(words));
        return new ProcessBuilder(all).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Without special handling, an exception in a task of the event loop would at most be logged, and the process would stay. */
    @ParameterizedTest
    @CsvSource({"LISTED, MEMORY", "LISTED, STACK", "LISTED, DEFECT", "RECOVERED, MEMORY", "RECOVERED, ASSERTION", "TURN, MEMORY",
        "TURN, STACK", "TURN, DEFECT", "REQUEST, MEMORY", "REQUEST, STACK", "REQUEST, DEFECT", "TASK, MEMORY", "TASK, ASSERTION",
        "TASK, DEFECT"})
    void anUnrecoverableNodeEndsWithOneLogLine(FailingNode.Place place, FailingNode.Kind kind) throws Exception {
        writeOutstandingMail();
        Map<String, String> before = stateFiles();
        int listenerPort;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listenerPort = free.getLocalPort();
        }
        Path config = Files.writeString(folder.resolve("config.json"),
                Files.readString(SAMPLE).replace("127.0.0.1:0", "127.0.0.1:" + listenerPort));
        Path log = folder.resolve("log");
        Process node = start(log, List.of("-XX:+UseSerialGC", "-Xmx32m", "-XX:TieredStopAtLevel=1"), FailingNode.class.getName(),
                place.name(), kind.name(), config.toString(), state().toString());
        try {
            if (place == FailingNode.Place.REQUEST) {
                submit(node, listenerPort);
            }
            assertThat(node.waitFor(20, TimeUnit.SECONDS)).as("it ends: %s", Files.readString(log)).isTrue();
            String text = Files.readString(log);
            assertThat(node.exitValue()).as(text).isEqualTo(1);
            assertThat(text.lines().filter(line -> line.contains("SEVERE"))).as(text).singleElement().asString()
                    .contains("the node ends: ").contains(switch (kind) {
                        case MEMORY -> "out of memory (Java heap space): the heap has 3";
                        case STACK -> "java.lang.StackOverflowError at FailingNode.java:";
                        case DEFECT -> "java.lang.IllegalStateException: a defect of two lines at FailingNode.java:";
                        case ASSERTION -> "java.lang.AssertionError: not so at FailingNode.java:";
                    }).contains("stays in the state folder: " + (kind == FailingNode.Kind.MEMORY ? "give it more memory (-Xmx" : "a defect, report"));
            assertThat(text).doesNotContain("\tat ").doesNotContain("Exception in thread");
            assertThat(stateFiles()).isEqualTo(before);
        } finally {
            node.destroyForcibly();
        }
    }

    private static void submit(Process node, int listenerPort) throws Exception {
        for (int i = 0; node.isAlive() && i < 2000; i++) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
                client.setSoTimeout(20_000);
                client.getOutputStream().write(("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm2\r\n$35\r\nc=order,t=shop,d=15000,k=k-2,dest=1\r\n"
                        + "$5\r\nhello\r\n").getBytes(StandardCharsets.US_ASCII));
                assertThat(client.getInputStream().read()).isEqualTo(-1);
                return;
            } catch (IOException e) {
                Thread.sleep(10); // It does not listen yet, or has ended already.
            }
        }
    }

    /** A list that is too long for the memory limit of the config is rejected with the figures, before the state folder is touched. */
    @Test void aConfigTooLargeForMemoryIsRejectedWithTheFigures() throws Exception {
        writeOutstandingMail();
        Map<String, String> before = stateFiles();
        Path config = folder.resolve("config.json");
        String sample = Files.readString(SAMPLE);
        int at = sample.indexOf("{\"name\": \"receiver-1\"");
        try (BufferedWriter out = Files.newBufferedWriter(config)) {
            out.write(sample.substring(0, at));
            for (int i = 0; i < 600_000; i++) {
                out.write("{\"name\": \"r" + i + "\", \"address\": \"127.0.0.1:9\", \"group\": " + i
                        + ", \"status\": \"SERVING\", \"weight\": 10},\n");
            }
            out.write(sample.substring(at));
        }
        Path log = folder.resolve("log");
        Process node = start(log, List.of("@deploy/serve.options"), "wrenreach.app.Launch", "serve", "--config", config.toString(),
                "--state", state().toString());
        try {
            assertThat(node.waitFor(20, TimeUnit.SECONDS)).as("it ends: %s", Files.readString(log)).isTrue();
            String text = Files.readString(log);
            assertThat(node.exitValue()).as(text).isEqualTo(2);
            assertThat(text.lines()).as(text).last().asString().startsWith("wrenreach: config ").contains("\"known\": a list of more than 3")
                    .contains("bytes that a list may take here (an eighth of limits.memory_mb, and half of the heap), line 3");
            assertThat(text).doesNotContain("\tat ").doesNotContain("Exception in thread");
            assertThat(stateFiles()).isEqualTo(before);
        } finally {
            node.destroyForcibly();
        }
    }
}
