package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.function.IntFunction;

/** Writes the sample configuration with another list of endpoints, and lists of destinations in discovery's format. */
final class SampleConfig {
    private SampleConfig() { }

    /** An endpoint at a loopback address where nothing listens, so that no attempt can leave the machine. */
    static String unreachable(int number) {
        return endpoint("endpoint-" + number, "127." + (1 + (number >> 16)) + "." + (number >> 8 & 255) + "." + (number & 255) + ":9", number);
    }

    static String endpoint(String name, String address, int group) {
        return String.format(Locale.ROOT, "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"home\",\"type\":\"small\",\"group\":%d,"
                + "\"status\":\"SERVING\",\"weight\":10,\"since_ms\":0}", name, address, group);
    }

    /** Appends a list of the destinations from a number (inclusive) until another (exclusive); the function gives the JSON of each one's endpoints. */
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

    /** Writes a configuration with this many known destinations, memory and disk of the size file, and discovery on a loopback port. */
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
