package wrenreach.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorFileTest {
    record Sample(
            @Key(about = "how often", byDefault = "2s", unit = Unit.DURATION, least = "10ms", most = "1h", live = true)
            long lookEvery,
            @Key(about = "how much", byDefault = "64KiB", unit = Unit.SIZE, most = "1MiB") long mostBytes,
            @Key(about = "which part", byDefault = "0.5", least = "0", most = "1") double share,
            @Key(about = "which", byDefault = "all", oneOf = {"all", "named"}) String scope,
            @Key(about = "where") Path folder,
            @Key(about = "who", byDefault = "") List<String> names,
            @Key(about = "how many", byDefault = "3", least = "1") int count) {
        Sample {
            if (count > 5 && scope.equals("named")) {
                throw new IllegalArgumentException("count is at most 5 where scope is named");
            }
        }
    }

    record Other(@Key(about = "whether", byDefault = "false") boolean loud) { }

    private static final Section<Sample> SAMPLE = new Section<>("sample", Sample.class);
    private static final Section<Other> OTHER = new Section<>("other", Other.class);
    private static final Path FILE = Path.of("own.toml");
    @TempDir Path folder;

    private static OperatorFile parse(String text) throws OperatorFile.InvalidFileException {
        return OperatorFile.parse(FILE, text.getBytes(StandardCharsets.UTF_8), List.of(SAMPLE, OTHER));
    }

    private static List<String> problems(String text) {
        try {
            parse(text);
            return List.of();
        } catch (OperatorFile.InvalidFileException e) {
            return e.faults().stream().map(problem -> problem.format(FILE)).toList();
        }
    }

    @Test void valuesAreReadWithTheirUnitsAndDefaults() throws Exception {
        OperatorFile file = parse("""
                # a comment = "x"
                [sample]
                look_every = "500ms"
                folder = "/var/lib"   # where
                names = ["a",
                  "share = 7", "c#"]
                share = 1
                """);
        assertThat(file.section(SAMPLE)).contains(new Sample(500_000, 65_536, 1, "all", Path.of("/var/lib"),
                List.of("a", "share = 7", "c#"), 3));
        assertThat(file.section(OTHER)).isEmpty();
        assertThat(file.effectiveValues()).extracting(value -> value.key() + " " + value.value() + " " + value.origin())
                .containsExactly("sample.look_every \"500ms\" own.toml:3", "sample.most_bytes \"64KiB\" default",
                        "sample.share 1.0 own.toml:7", "sample.scope \"all\" default",
                        "sample.folder \"/var/lib\" own.toml:4", "sample.names [\"a\", \"share = 7\", \"c#\"] own.toml:5",
                        "sample.count 3 default");
    }

    @Test void allProblemsAreReportedAtOnceWithLineAndSuggestion() {
        assertThat(problems("""
                [sampel]
                [other]
                loud = "yes"
                [sample]
                look_evry = "1s"
                most_bytes = "2MiB"
                share = 1.5
                scope = "nmed"
                names = ["a", 3]
                count = 0
                """)).containsExactly(
                "own.toml:1: sampel: is not known; did you mean sample?",
                "own.toml:3: other.loud: is true or false, not \"yes\"",
                "own.toml:4: sample.folder: is missing: where",
                "own.toml:5: sample.look_evry: is not known; did you mean look_every?",
                "own.toml:6: sample.most_bytes: is \"2MiB\", but at most 1MiB is allowed",
                "own.toml:7: sample.share: is 1.5, but at most 1 is allowed",
                "own.toml:8: sample.scope: is one of all, named, not nmed; did you mean named?",
                "own.toml:9: sample.names: is a list of texts, not [\"a\",3]",
                "own.toml:10: sample.count: is 0, but at least 1 is allowed");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "sample = 3 | own.toml:1: sample: is a table: [sample]",
        "[sample]\\nfolder='f'\\nlook_every = 5 | own.toml:3: sample.look_every: is a time such as \"500ms\" (us, ms, s, m, h), not 5",
        "[sample]\\nfolder='f'\\nmost_bytes = '9QB' | own.toml:3: sample.most_bytes: is a size such as \"64KiB\" (B, KiB, MiB, GiB), not \"9QB\"",
        "[sample]\\nfolder='f'\\nmost_bytes = '99999999999GiB' | own.toml:3: sample.most_bytes: \"99999999999GiB\" is too large",
        "[sample]\\nfolder='f'\\nscope='named'\\ncount=6 | own.toml:1: sample: count is at most 5 where scope is named",
        "[sample]\\nfolder='f'\\nshare=inf | own.toml:3: sample.share: is not a finite number",
        "[sample]\\non = 1\\nfolder='f' | own.toml:2: sample.on: is true or false, not 1",
    })
    void eachProblemIsReportedAsOneLine(String text, String problem) {
        assertThat(problems(text.replace("\\n", "\n"))).containsExactly(problem);
    }

    /** A file that is not TOML is rejected with the line of the problem; a valid file that is cut off anywhere is either valid or rejected. */
    @Test void invalidTomlIsOneProblemWithItsLine() {
        assertThat(problems("[sample]\nfolder = \"f\"\ncount = = 3\n").get(0)).startsWith("own.toml:3: can't be read as TOML");
        assertThat(problems("[sample]\nfolder = 'f'\nfolder = 'g'\n").get(0)).startsWith("own.toml:").contains("TOML");
        String whole = "[other]\nloud = true\n[sample]\nfolder = \"f\"\nnames = [\"\"\"a\n[x]\nb = 3\"\"\", 'c']\n";
        assertThat(problems(whole)).isEmpty();
        for (int cut = 0; cut < whole.length(); cut++) {
            for (String problem : problems(whole.substring(0, cut))) {
                assertThat(problem).startsWith("own.toml");
            }
        }
        assertThatThrownBy(() -> OperatorFile.parse(FILE, new byte[] {(byte) 0xC3, 40}, List.of()))
                .hasMessage("own.toml: is not UTF-8");
        assertThatThrownBy(() -> OperatorFile.read(folder.resolve("absent"), List.of())).hasMessageEndingWith("no such file");
        assertThatThrownBy(() -> OperatorFile.read(folder, List.of())).hasMessageContaining("can't be read");
    }

    @Test void aReloadReportsChangesAndWhichNeedARestart() throws Exception {
        OperatorFile before = parse("[sample]\nfolder='f'\n");
        assertThat(before.changes(parse("[sample]\nfolder='f'\nlook_every='2s'"))).isEmpty();
        assertThat(before.changes(parse("[sample]\nfolder='g'\nlook_every='3s'\n[other]\n"))).containsExactly(
                new OperatorFile.Change("sample.look_every", "\"2s\"", "\"3s\"", true),
                new OperatorFile.Change("sample.folder", "\"f\"", "\"g\"", false),
                new OperatorFile.Change("other", "off", "on", false));
        Sample active = before.section(SAMPLE).orElseThrow();
        Sample newer = parse("[sample]\nfolder='g'\nlook_every='3s'\ncount=4").section(SAMPLE).orElseThrow();
        assertThat(SAMPLE.mergeReloaded(active, newer)).isEqualTo(
                new Sample(3_000_000, 65_536, 0.5, "all", Path.of("f"), List.of(), 3));
        assertThat(OperatorFile.none().changes(before)).containsExactly(
                new OperatorFile.Change("sample", "off", "on", false));
        assertThat(before.changes(parse("[sample]\non=false\nfolder='f'"))).containsExactly(
                new OperatorFile.Change("sample", "on", "off", false));
    }

    @Test void formattedUnitsAreParsedBack() throws Exception {
        Files.writeString(folder.resolve("own.toml"), "[sample]\nfolder='f'\n");
        assertThat(OperatorFile.read(folder.resolve("own.toml"), List.of(SAMPLE)).section(SAMPLE)).isPresent();
        for (long value : new long[] {0, 1, 999, 1000, 1024, 60_000_000, 3_600_000_000L, 1L << 30}) {
            assertThat(Unit.DURATION.parse(Unit.DURATION.format(value))).isEqualTo(value);
            assertThat(Unit.SIZE.parse(Unit.SIZE.format(value))).isEqualTo(value);
        }
    }
}
