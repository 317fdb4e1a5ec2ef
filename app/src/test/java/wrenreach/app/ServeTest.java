package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Node processes: which classes they load, how they reload their files, and when they refuse to start. */
class ServeTest {
    private static final Path SAMPLE = Path.of("deploy/sample.json");
    @TempDir Path folder;

    /** Replaces the operator's file at once: an empty one, as it is in the middle of a write in place, is valid and would be applied. */
    private Path operator(String text) throws IOException {
        Path next = Files.writeString(folder.resolve("operator.next"), text);
        return Files.move(next, folder.resolve("operator.toml"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts a node process; its log goes to the given file. */
    private Process startNode(Path log, boolean hangUpIgnored, List<String> javaOptions, String... more) throws IOException {
        List<String> words = new ArrayList<>();
        if (hangUpIgnored) {
            words.addAll(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        }
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(javaOptions);
        words.addAll(List.of("-cp", System.getProperty("java.class.path"), "wrenreach.app.Launch", "serve", "--state",
                folder.resolve("state").toString()));
        words.addAll(List.of(more));
        return new ProcessBuilder(words).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    private static void awaitLog(Path log, String line) throws Exception {
        String text = "";
        for (int i = 0; i < 1500 && !text.contains(line); i++) {
            Thread.sleep(20);
            text = Files.exists(log) ? Files.readString(log) : "";
        }
        assertThat(text).contains(line);
    }

    private static void terminate(Process node) throws InterruptedException {
        node.destroy();
        assertThat(node.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(node.exitValue()).isZero();
    }

    /** A subsystem that is off costs neither start time nor memory: its classes and the libraries that only it needs are not loaded. */
    @Test void disabledSubsystemsLoadNoClasses() throws Exception {
        Path log = folder.resolve("log");
        List<String> options = List.of("-Xlog:class+load:file=" + folder.resolve("classes"));
        Process plain = startNode(log, false, options, "--config", SAMPLE.toString(), "--check");
        assertThat(plain.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(plain.exitValue()).as(Files.readString(log)).isZero();
        String loaded = Files.readString(folder.resolve("classes"));
        assertThat(loaded).contains("wrenreach.node.DeliveryNode").doesNotContain("wrenreach.lists.")
                .doesNotContain("wrenreach.operator.Section").doesNotContain("ch.qos.logback").doesNotContain("org.slf4j")
                .doesNotContain("jackson.databind").doesNotContain("jackson.dataformat").doesNotContain("wrenreach.watch.FileWatch ");
        Process json = startNode(log, false, options, "--config", SAMPLE.toString(), "--check", "--operator",
                operator("[log]\nformat = \"json\"\n").toString());
        assertThat(json.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(Files.readString(log).lines()).isNotEmpty().allMatch(line -> line.startsWith("{\"time\":\"2"))
                .anyMatch(line -> line.contains("\"node\":\"sample\"") && line.contains("\"event\":\"phase\"")
                        && line.contains("\"to\":\"SERVING\""));
        assertThat(Files.readString(folder.resolve("classes"))).contains("ch.qos.logback")
                .doesNotContain("wrenreach.lists.WatchedLists");
    }

    /** Where SIGHUP is ignored, as under nohup, a node watches its files instead, and the log tells which of the two it does. */
    @ParameterizedTest
    @CsvSource({"true, whenever it changes", "false, on SIGHUP"})
    void aNodeReloadsItsFilesWithAndWithoutSigHup(boolean ignored, String way) throws Exception {
        Path log = folder.resolve("log");
        Path config = Files.copy(SAMPLE, folder.resolve("config.json"));
        Path operatorFile = operator("[log]\n");
        Process node = startNode(log, ignored, List.of(), "--config", config.toString(), "--operator", operatorFile.toString());
        try {
            awaitLog(log, "SERVING");
            awaitLog(log, "config is read again " + way);
            Files.writeString(folder.resolve("next"), Files.readString(SAMPLE).replace("\"discovery\": \"127.0.0.1:9\"",
                    "\"discovery\": \"127.0.0.1:19\""));
            Files.move(folder.resolve("next"), config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            sendHangUp(node, ignored);
            awaitLog(log, "discovery is 127.0.0.1:19");
            operator("[log]\nformat = \"jsn\"\n");
            sendHangUp(node, ignored);
            awaitLog(log, "operator.toml:2: log.format: is one of text, json, not jsn; did you mean json?; all stays as it was");
            operator("[log]\nformat = \"json\"\n[lists]\nmanifest = \"m\"\nkept = \"k\"\n");
            sendHangUp(node, ignored);
            awaitLog(log, "operator's file: lists was off, now on (needs a restart)");
            awaitLog(log, "log.format was \"text\", now \"json\"");
            terminate(node);
            assertThat(Files.readString(log)).contains("{\"time\"").contains("\"to\":\"STOPPED\"");
        } finally {
            node.destroyForcibly();
        }
    }

    private static void sendHangUp(Process node, boolean ignored) throws Exception {
        if (!ignored) {
            assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(node.pid())).start().waitFor()).isZero();
        }
    }

    @Test void aSubsystemThatCantStartOrAnInvalidFileEndsTheStartWithCodeTwo() throws Exception {
        File file = Files.createFile(folder.resolve("file")).toFile();
        Path operatorFile = operator("[lists]\nmanifest = \"m\"\nkept = \"" + file + "/kept\"\n");
        assertThat(serve(operatorFile)).startsWith("2 wrenreach: " + operatorFile + ": lists: the folder kept = ").doesNotContain("\n");
        assertThat(serve(operator("[lists]\nmanifst = \"m\"\n"))).isEqualTo("2 wrenreach: " + operatorFile
                + ":1: lists.manifest: is missing: the manifest that names the parts of the list\nwrenreach: " + operatorFile
                + ":1: lists.kept: is missing: a folder that lasts, for the list in force and what is said of it\nwrenreach: "
                + operatorFile + ":2: lists.manifst: is not known; did you mean manifest?");
        assertThat(serve(folder.resolve("absent"))).isEqualTo("2 wrenreach: " + folder.resolve("absent") + ": no such file");
    }

    private String serve(Path operatorFile) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = new Serve(SAMPLE, operatorFile, Map.of(), new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(folder.resolve("state"), true);
        return code + " " + err.toString(StandardCharsets.UTF_8).strip();
    }

    /** The sample of an operator's file under deploy/ stays valid. */
    @Test void theSampleOperatorFileIsValid() throws Exception {
        assertThat(new OperatorCommand().run(List.of("check", "deploy/operator.toml"), System.out, System.err)).isZero();
        assertThat(wrenreach.operator.OperatorFile.read(Path.of("deploy/operator.toml"), Parts.sections()).effectiveValues())
                .extracting(value -> value.key()).contains("log.format");
    }
}
