package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Measures the slopes of a size, plots them, and computes the capacity page. Each figure is printed as soon as it is measured. */
public final class Capacity {
    private static final String USAGE = """
            bench/capacity.sh measure SIZE.properties OUT.csv NAME=CHECKOUT...   measures builds by their built checkouts, in turns
            bench/capacity.sh plot CSV FOLDER                                    draws each slope as a PNG
            bench/capacity.sh page SIZE.properties CSV docs/CAPACITY.md          writes the page's figures anew
            Alone on the machine, some minutes. Run from the root of a built checkout. Exit codes: 0, 2 usage or a file.""";

    private Capacity() { }

    public static void main(String[] words) throws IOException, InterruptedException {
        try {
            System.exit(run(words));
        } catch (IllegalArgumentException | java.nio.file.NoSuchFileException e) {
            System.err.println("capacity: " + e.getMessage());
            System.exit(2);
        }
    }

    private static int run(String[] words) throws IOException, InterruptedException {
        if (words.length >= 4 && words[0].equals("measure")) {
            measure(new SizeFile(Path.of(words[1])), Path.of(words[2]), List.of(words).subList(3, words.length));
        } else if (words.length == 3 && words[0].equals("plot")) {
            plot(Measurement.read(Path.of(words[1])), Path.of(words[2]));
        } else if (words.length == 4 && words[0].equals("page")) {
            CapacityPage.write(new SizeFile(Path.of(words[1])), Measurement.read(Path.of(words[2])), Path.of(words[3]));
        } else {
            boolean help = words.length > 0 && words[0].endsWith("help");
            (help ? System.out : System.err).println(USAGE);
            return help ? 0 : 2;
        }
        return 0;
    }

    static void measure(SizeFile size, Path csv, List<String> builds) throws IOException, InterruptedException {
        List<String> lines = new ArrayList<>(List.of(Measurement.HEAD));
        Consumer<Measurement> taker = m -> {
            lines.add(m.line());
            System.err.println(m.line());
        };
        Path folder = Files.createTempDirectory("capacity");
        for (int count : size.counts("list_sizes")) {
            for (String build : builds) {
                new ListSlopes(size, name(build), checkout(build), folder, taker).measure(count);
            }
        }
        String last = builds.get(builds.size() - 1);
        for (int held : size.counts("held_sizes")) {
            HeldSlopes.measure(size, name(last), checkout(last), folder, held, taker);
        }
        for (int count : size.counts("traffic_sizes")) {
            new TrafficSlopes(size, name(last), checkout(last), folder, taker).measure(count);
        }
        for (int nodes : size.counts("watch_sizes")) {
            DiscoverySlopes.measure(size, name(last), checkout(last), folder, nodes, taker);
        }
        for (int nodes : size.counts("fleet_sizes")) {
            FleetSlopes.measure((long) size.number("seed"), name(last), nodes, taker);
        }
        Files.write(csv, lines);
    }

    private static String name(String build) {
        return part(build, 0);
    }

    private static Path checkout(String build) {
        return Path.of(part(build, 1)).toAbsolutePath();
    }

    private static String part(String build, int part) {
        String[] parts = build.split("=", 2);
        if (parts.length != 2 || !Files.exists(Path.of(parts[1], "target/wrenreach.jar"))) {
            throw new IllegalArgumentException(build + ": not NAME=CHECKOUT with a target/wrenreach.jar");
        }
        return parts[part];
    }

    private static void plot(List<Measurement> all, Path folder) throws IOException {
        Files.createDirectories(folder);
        for (String slope : all.stream().map(Measurement::slope).distinct().toList()) {
            XYSeriesCollection data = new XYSeriesCollection();
            List<Measurement> points = all.stream().filter(m -> m.slope().equals(slope) && !Double.isNaN(m.value())).toList();
            for (String build : points.stream().map(Measurement::build).distinct().toList()) {
                XYSeries series = new XYSeries(build);
                points.stream().filter(m -> m.build().equals(build)).forEach(m -> series.add(m.size(), m.value()));
                data.addSeries(series);
            }
            if (!points.isEmpty()) {
                ChartUtils.saveChartAsPNG(folder.resolve(slope + ".png").toFile(), ChartFactory.createXYLineChart(slope, "size",
                        points.get(0).unit(), data), 640, 400);
            }
        }
    }
}
