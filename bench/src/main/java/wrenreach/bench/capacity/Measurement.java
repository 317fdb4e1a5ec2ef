package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** One measured figure: of a build, of a slope, at a size. value is NaN where it could not be had, and note says why. */
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
            String[] w = line.split(",", -1);
            if (w.length != 6) {
                throw new IOException(csv + ": not six fields: " + line);
            }
            read.add(new Measurement(w[0], w[1], Long.parseLong(w[2]), w[3].isEmpty() ? Double.NaN : Double.parseDouble(w[3]),
                    w[4], w[5]));
        }
        return read;
    }
}
