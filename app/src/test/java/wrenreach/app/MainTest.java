package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    private static final Path SAMPLE = Path.of("deploy/sample.json");

    @ParameterizedTest
    @CsvSource({"help, 0", "version, 0", "nothing, 2", "serve, 2", "serve more, 2", "held --wrong, 2",
        "serve --config absent --state absent, 2", "held --state absent, 1"})
    void commandLinesReturnTheirExitCodes(String line, int code) {
        assertThat(Main.run(line.split(" "), Map.of())).isEqualTo(code);
    }

    @Test void anUnusableStateFolderIsExitCodeOne(@TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("file"), "");
        String[] args = {"serve", "--config", SAMPLE.toString(), "--state", file.toString()};
        assertThat(Main.run(args, Map.of())).isEqualTo(1);
    }
}
