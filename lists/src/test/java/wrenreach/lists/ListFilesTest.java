package wrenreach.lists;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ListFilesTest {
    private static final ListFiles.Bounds BOUNDS = new ListFiles.Bounds(1 << 20, 5, 3);
    private static final Path FILE = Path.of("part");
    private static final String HEAD = "{\"format\":\"wrenreach-list\",\"version\":1}\n";
    @TempDir Path folder;

    private static Generation readPart(String text) throws InvalidListException {
        ListFiles.ListReader reader = new ListFiles.ListReader(BOUNDS, null);
        reader.readPart(FILE, new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
        return new Generation("", "", reader.endpoints);
    }

    private static String endpoint(String moreFields) {
        return "{\"destination\":1,\"name\":\"a\",\"address\":\"127.0.0.1:80\"" + moreFields + "}\n";
    }

    @Test void aListIsReadAsItWasWritten() throws Exception {
        Generation list = Lists.list("1/a@n 1/b@s! 2/a@n");
        Files.createDirectories(folder);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ListFiles.write(out, list);
        Files.write(folder.resolve("kept"), out.toByteArray());
        assertThat(ListFiles.readStored(folder.resolve("kept"), BOUNDS)).isEqualTo(list);
        assertThat(readPart(HEAD + endpoint("") + "{\"end\":1}").endpoints().values()).first().hasToString(
                "Entry[name=file:1/a, address=127.0.0.1:80, zone=, type=, group=1, status=SERVING, weight=1.0]");
    }

    /** A partly written part or manifest, truncated at any byte, must be an error, never a shorter list. */
    @Test void aFileTruncatedAtAnyByteIsInvalid() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ListFiles.write(out, Lists.list("1/a@n 1/b@s! 2/a@n"));
        byte[] whole = out.toByteArray();
        byte[] manifest = ListFiles.write(new ListFiles.Manifest("l", "c", List.of(
                new ListFiles.Part("a", "0".repeat(64)), new ListFiles.Part("b", "1".repeat(64)))));
        assertThat(ListFiles.parseManifest(FILE, manifest).parts()).hasSize(2);
        for (int cut = 0; cut < whole.length - 1; cut++) {
            byte[] bytes = Arrays.copyOf(whole, cut);
            assertThat(catchThrowable(() -> new ListFiles.ListReader(BOUNDS, null).readPart(FILE, new ByteArrayInputStream(bytes)))).as("cut at " + cut)
                    .isInstanceOf(InvalidListException.class);
        }
        for (int cut = 0; cut < manifest.length - 1; cut++) {
            byte[] bytes = Arrays.copyOf(manifest, cut);
            assertThat(catchThrowable(() -> ListFiles.parseManifest(FILE, bytes))).as("cut at " + cut)
                    .isInstanceOf(InvalidListException.class);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{\"end\":1} | part:2: its end says another number of endpoints than the 0 before it",
        "E{\"end\":0} | part:3: its end says another number of endpoints than the 1 before it",
        "E{\"end\":1}E | part:3: something follows its end",
        "EE | part:3: destination 1 has two endpoints of the name a",
        "{\"destination\":1,\"address\":\"127.0.0.1:80\"} | part:2: an endpoint has a \"destination\" and a \"name\"",
        "{\"destination\":-1,\"name\":\"a\"} | part:2: \"destination\" is a whole number, not -1",
        "{\"destination\":1,\"name\":\"a\",\"address\":\"host:80\"} | part:2: \"address\": not an address: host:80",
        "{\"destination\":1,\"name\":\"a\",\"address\":\"127.0.0.1\"} | part:2: \"address\": not an address: 127.0.0.1",
        "{\"weight\":0,\"destination\":1,\"name\":\"a\"} | part:2: \"weight\" is above 0 and at most 1e9, not 0.0",
        "{\"weight\":\"2\"} | part:2: \"weight\" is a number, not 2",
        "{\"status\":\"up\",\"destination\":1,\"name\":\"a\"} | part:2: \"status\" is serving or draining, not up",
        "{\"wieght\":2} | part:2: \"wieght\" is not known",
        "{\"name\":\"a\\u0007\"} | part:2: \"name\" holds a control character",
        "[] | part:2: it ends without {\"end\": 0}: cut off",
    })
    void errorsNameTheLine(String text, String message) {
        assertThatThrownBy(() -> readPart(HEAD + text.replace("E", endpoint("")))).isInstanceOf(InvalidListException.class)
                .hasMessage(message);
    }

    @Test void allLimitsOfAListAreEnforced() {
        StringBuilder many = new StringBuilder(HEAD);
        for (int i = 0; i < 6; i++) {
            many.append(endpoint("").replace("\"a\"", "\"a" + i + "\"").replace(":1,", ":" + i % 2 + ","));
        }
        assertThatThrownBy(() -> readPart(many.toString())).hasMessageContaining("more than 5 endpoints");
        assertThatThrownBy(() -> readPart(many.toString().replace(":0,", ":1,"))).hasMessageContaining("more than 3 endpoints");
        assertThatThrownBy(() -> readPart("{\"format\":\"wrenreach-list\",\"version\":2}\n{\"end\":0}"))
                .hasMessage("part:1: is not of the format wrenreach-list, version 1, but wrenreach-list, version 2");
        assertThatThrownBy(() -> readPart("{\"format\":\"other\",\"version\":1}\n")).isInstanceOf(InvalidListException.class);
    }

    @ParameterizedTest
    @CsvSource({"../a", "/a", "a/../b", "./a", "''"})
    void aPartOutsideTheFolderOfItsManifestIsRefused(String name) throws Exception {
        byte[] bytes = ListFiles.write(new ListFiles.Manifest("", "", List.of(new ListFiles.Part(name, "0".repeat(64)))));
        assertThatThrownBy(() -> ListFiles.parseManifest(FILE, bytes)).hasMessageContaining("a name beside the manifest");
    }

    /**
     * A part is parsed while its digest is computed. With a wrong digest it is reported as not written whole, whatever its
     * syntax errors; with the right digest, its syntax error is reported.
     */
    @ParameterizedTest
    @CsvSource({"true, 'can''t be read as JSON'", "false, not written whole"})
    void aWrongDigestIsReportedBeforeSyntaxErrors(boolean digestMatches, String message) throws Exception {
        Files.writeString(folder.resolve("a"), HEAD + endpoint("") + "{\"end\":" + "x".repeat(100_000));
        String digest = digestMatches ? ListFiles.sha256Hex(Files.readAllBytes(folder.resolve("a"))) : "0".repeat(64);
        Path file = folder.resolve("manifest");
        Files.write(file, ListFiles.write(new ListFiles.Manifest("", "", List.of(new ListFiles.Part("a", digest)))));
        ListFiles.ManifestFile manifestFile = ListFiles.loadManifest(file);
        ListFiles.Manifest manifest = ListFiles.parseManifest(file, manifestFile.bytes());
        assertThatThrownBy(() -> ListFiles.readList(manifestFile, manifest, BOUNDS, null)).hasMessageContaining(message);
        ListFiles.Bounds small = new ListFiles.Bounds(100_000, 5, 3);
        assertThatThrownBy(() -> ListFiles.readList(manifestFile, manifest, small, null)).hasMessageContaining("larger than 100000 bytes");
    }

    @Test void aPartOfAnotherManifestIsInvalid() throws Exception {
        Files.writeString(folder.resolve("a"), HEAD + endpoint("") + "{\"end\":1}");
        String digest = ListFiles.sha256Hex(Files.readAllBytes(folder.resolve("a")));
        for (String claimed : List.of(digest, "0".repeat(64))) {
            Path manifest = folder.resolve("manifest");
            Files.write(manifest, ListFiles.write(new ListFiles.Manifest("", "", List.of(new ListFiles.Part("a", claimed)))));
            ListFiles.ManifestFile manifestFile = ListFiles.loadManifest(manifest);
            Throwable thrown = catchThrowable(() -> ListFiles.readList(manifestFile, ListFiles.parseManifest(manifest, manifestFile.bytes()), BOUNDS, null));
            assertThat(thrown == null).isEqualTo(claimed.equals(digest));
        }
        assertThatThrownBy(() -> ListFiles.loadManifest(folder.resolve("absent"))).hasMessageEndingWith("no such file");
    }
}
