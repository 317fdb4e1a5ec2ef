package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One measured figure of a build, for a slope at a size. The value is NaN where it could not be measured; the note then says why. */
record Measurement(String build, String slope, long size, double value, String unit, String note) {
    static final String HEAD = "build,slope,size,value,unit,note";

    String line() {
        return String.format(Locale.ROOT, "%s,%s,%d,%s,%s,%s", build, slope, size, Double.isNaN(value) ? "" : plain(value), unit,
                note.replace(',', ';').replace('\n', ' '));
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.3f", value);
    }

    static List<Measurement> read(Path csv) throws IOException {
        List<Measurement> read = new ArrayList<>();
        for (String line : Files.readAllLines(csv)) {
            if (line.isBlank() || line.equals(HEAD)) {
                continue;
            }
            String[] fields = line.split(",", -1);
            if (fields.length != 6) {
                throw new IOException(csv + ": not six fields: " + line);
            }
            read.add(new Measurement(fields[0], fields[1], Long.parseLong(fields[2]), fields[3].isEmpty() ? Double.NaN : Double.parseDouble(fields[3]),
                    fields[4], fields[5]));
        }
        return read;
    }
}
