package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.IntFunction;

/** The sample config with another list, and lists of destinations in discovery's words. */
final class SampleConfig {
    private SampleConfig() { }

    /** Nobody listens there: loopback, whatever is called. */
    static String unreachable(int number) {
        return endpoint("endpoint-" + number, "127." + (1 + (number >> 16)) + "." + (number >> 8 & 255) + "." + (number & 255) + ":9", number);
    }

    static String endpoint(String name, String address, int group) {
        return String.format(Locale.ROOT, "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"home\",\"type\":\"small\",\"group\":%d,"
                + "\"status\":\"SERVING\",\"weight\":10,\"since_ms\":0}", name, address, group);
    }

    /** Destinations from one number to below another, each in the words that it is given. */
    static void list(Appendable to, long index, int from, int until, boolean whole, IntFunction<String> words) throws IOException {
        to.append("{\"index\":").append(Long.toString(index)).append(",\"snapshot\":").append(Boolean.toString(whole))
                .append(",\"endpoints\":[");
        for (int i = from; i < until; i++) {
            to.append(i == from ? "" : ",").append(words.apply(i));
        }
        to.append("]}");
    }

    static byte[] line(long index, int from, int until, boolean whole) throws IOException {
        StringBuilder text = new StringBuilder();
        list(text, index, from, until, whole, SampleConfig::unreachable);
        return text.append('\n').toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** A config that knows so many destinations, with the size's memory and disk, and discovery on a port of loopback. */
    static Path write(Path file, SizeFile size, int known, IntFunction<String> words, int discovery) throws IOException {
        String sample = Files.readString(Path.of("deploy/sample.json"));
        int a = sample.indexOf("\"known\":"), b = sample.indexOf("\"settings\":");
        StringBuilder text = new StringBuilder(sample.substring(0, a)).append("\"known\": ");
        list(text, 0, 1, known + 1, true, words);
        text.append(",\n  ").append(sample.substring(b));
        return Files.writeString(file, text.toString().replace("127.0.0.1:9\",\n  \"seed", "127.0.0.1:" + discovery + "\",\n  \"seed")
                .replace("\"memory_mb\": 192", "\"memory_mb\": " + size.count("memory_mb"))
                .replace("\"disk_mb\": 2}", "\"disk_mb\": " + size.count("disk_mb") + "}"));
    }
}
