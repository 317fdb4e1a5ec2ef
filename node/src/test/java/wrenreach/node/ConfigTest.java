package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.api.Settings;

/** Configs read from the sample file and variants of it, and the order of a node's phases. */
class ConfigTest {
    private static final Path SAMPLE = Path.of("deploy/sample.json");

    @Test void settingsAreReadFromNestedJson() throws Exception {
        Config config = Config.read(SAMPLE, Map.of());
        Settings s = config.settings();
        assertThat(s.inFlightLimit()).isEqualTo(8);
        assertThat(s.seed()).isEqualTo(1);
        assertThat(s.classes()).hasSize(1);
        assertThat(s.classes().get(0).deduplicationWindow()).isEqualTo(5_000_000);
        assertThat(s.classes().get(0).ordered()).isTrue();
        assertThat(s.rules().orderSettleTime()).isEqualTo(100_000);
        assertThat(s.allowanceRateIndex()).isEqualTo(1);
        assertThat(config.queueClasses()).containsExactly("order");
        assertThat(config.tenants()).containsExactly("shop");
        assertThat(config.reportNames()).containsExactly("x0", "x1");
        assertThat(config.known().size()).isEqualTo(1);
        assertThat(config.known().index()).isZero();
        assertThat(config.diskBytes()).isEqualTo(2_000_000);
    }

    @Test void environmentOverridesTheFile() throws Exception {
        Config config = Config.read(SAMPLE, Map.of("GW_LISTEN", "127.0.0.2:7000"));
        assertThat(config.listen().getPort()).isEqualTo(7000);
        assertThat(config.discovery().getPort()).isEqualTo(9);
    }

    /** Guards against a config that is rejected for an address which the environment gives. */
    @Test void listenAddressMayComeFromTheEnvironmentAlone() throws Exception {
        String json = Files.readString(SAMPLE).replaceFirst("\"listen\": \"[^\"]*\",", "");
        assertThat(json).doesNotContain("listen");
        Config config = Config.parse(json.getBytes(StandardCharsets.UTF_8), Map.of("GW_LISTEN", "127.0.0.2:7000"));
        assertThat(config.listen().getPort()).isEqualTo(7000);
    }

    /** A call carries one mail even where kinds allow several: the protocol has no form for batches. */
    @Test void batchSizeIsAlwaysOne() throws IOException {
        String json = Files.readString(SAMPLE).replace("\"BatchByKind\": [1]", "\"BatchByKind\": [20]");
        Config config = Config.parse(json.getBytes(StandardCharsets.UTF_8), Map.of());
        assertThat(config.settings().kinds().get(0).batchSize()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"\"listen\":, \"lissen\":", "127.0.0.1:0, localhost:1", "\"sockets\": 512, \"sockets\": 0",
        "\"seed\": \"1\", \"seed\": \"x\"", "\"MaxCalls\": 8, \"MaxCalls\": -1", "\"index\": 0, \"index\": []", "{, ["})
    void configErrorsAreReportedInOneLine(String from, String to, @TempDir Path folder) throws IOException {
        Path file = Files.writeString(folder.resolve("c"), Files.readString(SAMPLE).replace(from, to));
        assertThatThrownBy(() -> Config.read(file, Map.of())).isInstanceOf(Config.InvalidConfigException.class)
                .hasMessageStartingWith("config " + file + ": ").message().hasLineCount(1);
    }

    @Test void phasesFollowInOneDirectionOnly() {
        Phase phase = Phase.STARTING.transitionTo(Phase.RECOVERING).transitionTo(Phase.SERVING).transitionTo(Phase.DRAINING).transitionTo(Phase.STOPPED);
        assertThatThrownBy(() -> phase.transitionTo(Phase.SERVING)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> Phase.STARTING.transitionTo(Phase.SERVING)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> Phase.DRAINING.transitionTo(Phase.SERVING)).isInstanceOf(IllegalStateException.class);
    }
}
