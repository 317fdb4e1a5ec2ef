package wrenreach.bench.capacity;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Properties;

/** The text file of a size, in "key = value" lines. A missing or malformed value is an error that names the file and the key. */
final class SizeFile {
    private final Path file;
    private final Properties values = new Properties();

    SizeFile(Path file) throws IOException {
        this.file = file;
        try (Reader in = Files.newBufferedReader(file)) {
            values.load(in);
        }
    }

    double number(String key) {
        try {
            return Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(file + ": " + key + ": not a number: " + text(key), e);
        }
    }

    int count(String key) {
        return (int) number(key);
    }

    int[] counts(String key) {
        try {
            return Arrays.stream(text(key).split(",")).map(String::strip).mapToInt(Integer::parseInt).toArray();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(file + ": " + key + ": not numbers: " + text(key), e);
        }
    }

    private String text(String key) {
        String value = values.getProperty(key);
        if (value == null) {
            throw new IllegalArgumentException(file + ": " + key + " is missing");
        }
        return value.strip();
    }
}
