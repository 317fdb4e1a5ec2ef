package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A process whose settings name no tenants, at which a client submits mails with texts that no record can hold. */
class OverlongTextTest {
    /** A byte that takes two bytes in a record. */
    private static final String NOISE = "\u00e9";
    @TempDir Path folder;
    private LoopbackReceiver receiver;
    private Process node;
    private int listenerPort;

    @BeforeEach void open() throws IOException {
        receiver = new LoopbackReceiver();
        listenerPort = ServeProcess.freePort();
    }

    @AfterEach void close() throws Exception {
        node.destroyForcibly().waitFor();
        receiver.close();
    }

    private void start(String store) throws Exception {
        Path operator = Files.writeString(folder.resolve("operator.toml"), "[store]\non = " + store + "\n");
        String json = ServeProcess.config(listenerPort, receiver.port()).replaceFirst("\"Tenants\": \\[\\{[^]]*]", "\"Tenants\": []");
        assertThat(json).contains("\"Tenants\": []");
        node = ServeProcess.start(folder, json, listenerPort, List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"),
                List.of("--operator", operator.toString()));
    }

    /** The first bytes of the replies to submissions whose fields hold the text, each on a connection of its own. */
    private String submit(String id, String... texts) throws IOException {
        StringBuilder replies = new StringBuilder();
        for (String text : texts) {
            String fields = "c=order,d=4000,k=" + id + ",dest=1" + text;
            byte[] request = new String(ClientRequests.command("ENQUEUE", id, fields, 4), StandardCharsets.US_ASCII)
                    .replace(fields.replaceAll("[^\\x00-\\x7f]", "?"), fields).getBytes(StandardCharsets.ISO_8859_1);
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
                client.setSoTimeout(ClientRequests.LIFETIME_MS);
                client.getOutputStream().write(request);
                replies.append((char) client.getInputStream().read());
            }
        }
        return replies.toString();
    }

    /** Guards against a text whose length is cut in its record: no process started on that folder any more (review/6). */
    @ParameterizedTest
    @ValueSource(strings = {"false", "true"})
    void processStartsAgainAfterOverlongTexts(String store) throws Exception {
        start(store);
        List<String> texts = new ArrayList<>();
        for (int length : new int[] {129, 33_000, 40_000, 65_000}) {
            texts.add(",t=" + NOISE.repeat(length));
            texts.add(",t=" + "x".repeat(length));
        }
        assertThat(submit("long", texts.toArray(String[]::new))).isEqualTo("-".repeat(texts.size()));
        assertThat(submit("short", ",t=" + NOISE.repeat(128))).isEqualTo("+");
        assertThat(ClientRequests.submit(listenerPort, 4, "usual-1")).isEqualTo(1);
        node.destroyForcibly().waitFor();
        start(store);
        assertThat(ClientRequests.submit(listenerPort, 4, "usual-2")).isEqualTo(1);
        for (int i = 0; i < 500 && !receiver.callsById().keySet().containsAll(List.of("short", "usual-1", "usual-2")); i++) {
            Thread.sleep(10);
        }
        assertThat(receiver.callsById()).containsKeys("short", "usual-1", "usual-2").doesNotContainKey("long");
    }
}
