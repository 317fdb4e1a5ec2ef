package wrenreach.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class JsonLogTest {
    private static final System.Logger LOG = System.getLogger("test.log");
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private static Map<String, String> parseObject(String line) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        try (JsonParser in = new JsonFactory().createParser(line)) {
            assertThat(in.nextToken()).isEqualTo(JsonToken.START_OBJECT);
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                assertThat(fields.put(name, in.getText())).isNull();
            }
            assertThat(in.nextToken()).isNull();
        }
        return fields;
    }

    private String[] lines() {
        return out.toString(StandardCharsets.UTF_8).split("\n");
    }

    @Test void eventIsOneJsonObjectWithItsFields() throws Exception {
        try (JsonLog log = JsonLog.start("n3", out)) {
            LogEvent.log(LOG, Level.WARNING, "disk.full", "refused: {held} mails held by {who}", "held", 7, "who", "a\nb\"");
            LOG.log(Level.INFO, "plain {0}", 5);
            LogEvent.log(LOG, Level.ERROR, new IOException("torn"), "turn.failed", "turn failed");
            assertThat(log.dropped()).isZero();
        }
        assertThat(lines()).hasSize(3);
        Map<String, String> first = parseObject(lines()[0]);
        assertThat(first).containsEntry("level", "WARN").containsEntry("event", "disk.full").containsEntry("node", "n3")
                .containsEntry("held", "7").containsEntry("who", "a\nb\"").containsEntry("logger", "test.log")
                .containsEntry("message", "refused: 7 mails held by a b\"");
        assertThat(first.get("time")).matches("20..-..-..T.*Z");
        assertThat(parseObject(lines()[1])).containsEntry("message", "plain 5").containsEntry("event", "line");
        assertThat(parseObject(lines()[2])).containsEntry("message", "turn failed");
        assertThat(parseObject(lines()[2]).get("thrown")).contains("torn");
    }

    /** A reader of the log that stalls costs lines, which are counted, but never blocks the event loop. */
    @Test void stalledReaderLosesLinesAndBlocksNobody() throws Exception {
        CountDownLatch resumed = new CountDownLatch(1);
        OutputStream stalled = new OutputStream() {
            @Override public void write(int b) {
                while (resumed.getCount() > 0) {
                    Thread.onSpinWait();
                }
                out.write(b);
            }
        };
        long dropped;
        try (JsonLog log = JsonLog.start("n3", stalled)) {
            for (int i = 0; i < 5000; i++) {
                LogEvent.log(LOG, Level.INFO, "many", "line {i}", "i", i);
            }
            dropped = log.dropped();
            resumed.countDown();
            while (out.size() < 200_000 && lines().length < 1000) {
                Thread.sleep(5);
            }
            LogEvent.log(LOG, Level.INFO, "after", "goes on");
        }
        assertThat(dropped).isBetween(3900L, 4100L);
        assertThat(lines()).hasSize((int) (5000 - dropped) + 2);
        assertThat(parseObject(lines()[lines().length - 2])).containsEntry("event", "log.dropped")
                .containsEntry("lines", Long.toString(dropped));
    }

    @Test void patternTakesFieldsByNameAndStaysOneLine() {
        assertThat(LogEvent.of("a", "{x} of {y}: {x}", "x", 1, "y", "two\nlines")).hasToString("1 of two lines: 1");
        assertThatThrownBy(() -> LogEvent.of("a", "{x}", "x")).isInstanceOf(IllegalArgumentException.class);
    }
}
