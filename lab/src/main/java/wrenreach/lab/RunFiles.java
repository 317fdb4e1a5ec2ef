package wrenreach.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.HdrHistogram.HistogramLogWriter;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/**
 * The folder of one run: results.csv with a line a day, delays.hlog with the delays of each point in HdrHistogram's log
 * format, breakers.csv, timing.csv (the only file that differs from run to run) and report.html. It appears whole or not at
 * all.
 */
final class RunFiles implements AutoCloseable {
    /** What is known of a run from its folder. figures: by value and dispatcher. */
    record Run(String about, String mode, String sweptFigure, Map<Integer, Map<String, DeliveryMetrics>> metrics) { }

    private static final String RESULTS_FILE = "results.csv", DELAYS_FILE = "delays.hlog", BREAKERS_FILE = "breakers.csv", TIMING_FILE = "timing.csv",
            REPORT_FILE = "report.html";
    private static final String[] RESULT_COLUMNS = {"about", "how", "figure", "value", "dispatcher", "seed", "mails", "delivered", "in_time",
        "importance", "delivered_importance", "calls", "breaks", "p50_ms", "p99_ms", "p999_ms", "max_ms", "print"};

    private final Path folder;
    private final Path partialFolder;

    /** Makes room for the folder before anything is played; an IOException tells why there is none. */
    RunFiles(Path folder) throws IOException {
        this.folder = folder.toAbsolutePath();
        if (Files.exists(this.folder) && (!Files.isDirectory(this.folder) || !isEmpty(this.folder))) {
            throw new IOException(folder + " is there already and not an empty folder");
        }
        Path beside = this.folder.getParent();
        if (beside == null) {
            throw new IOException(folder + " can't be written");
        }
        Files.createDirectories(beside);
        partialFolder = Files.createDirectory(beside.resolve(this.folder.getFileName() + ".part-" + ProcessHandle.current().pid()));
    }

    private static boolean isEmpty(Path folder) throws IOException {
        try (Stream<Path> in = Files.list(folder)) {
            return in.findAny().isEmpty();
        }
    }

    /** Writes all of it, and only then gives the folder its name. */
    void write(Experiment experiment, List<ExperimentRunner.DayResult> trials, boolean real) throws IOException {
        String how = real ? "real nodes on loopback" : "emulated";
        writeResults(experiment, trials, how);
        writeDelays(trials, how);
        writeBreakers(trials);
        writeTiming(trials);
        Run run = new Run(experiment.about().about(), how, experiment.sweep().figure(), ExperimentRunner.mergeDays(trials));
        Files.writeString(partialFolder.resolve(REPORT_FILE), new Report().page(run));
        Files.deleteIfExists(folder);
        Files.move(partialFolder, folder, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The folder for the logs of days that processes play. */
    Path logFolder() throws IOException {
        return Files.createDirectories(partialFolder.resolve("days"));
    }

    private CSVPrinter openCsv(String name, String... columns) throws IOException {
        return new CSVPrinter(Files.newBufferedWriter(partialFolder.resolve(name)),
                CSVFormat.DEFAULT.builder().setHeader(columns).get());
    }

    private void writeResults(Experiment experiment, List<ExperimentRunner.DayResult> trials, String how) throws IOException {
        try (CSVPrinter out = openCsv(RESULTS_FILE, RESULT_COLUMNS)) {
            for (ExperimentRunner.DayResult t : trials) {
                DeliveryMetrics f = t.metrics();
                out.printRecord(experiment.about().about(), how, experiment.sweep().figure(), t.value(), t.dispatcher(), t.seed(), f.mails(),
                        f.delivered(), f.inTime(), f.importance(), f.deliveredImportance(), f.calls(), f.violations(), f.delayPercentileMs(50),
                        f.delayPercentileMs(99), f.delayPercentileMs(99.9), f.delays().getMaxValue() / 1000.0, t.fingerprint());
            }
        }
    }

    private void writeDelays(List<ExperimentRunner.DayResult> trials, String how) throws IOException {
        try (PrintStream to = new PrintStream(Files.newOutputStream(partialFolder.resolve(DELAYS_FILE)), false, StandardCharsets.UTF_8)) {
            HistogramLogWriter log = new HistogramLogWriter(to);
            log.outputComment("[" + how + ": delays in microseconds, from the instant a writer had the mail ready]");
            log.outputLogFormatVersion();
            log.outputLegend();
            ExperimentRunner.mergeDays(trials).forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, figures) -> {
                Histogram delays = figures.delays();
                delays.setTag(pointTag(value, dispatcher));
                delays.setStartTimeStamp(0);
                delays.setEndTimeStamp(1000);
                log.outputIntervalHistogram(delays);
            }));
        }
    }

    private static String pointTag(int value, String dispatcher) {
        return value + "/" + dispatcher.replace(' ', '_');
    }

    private void writeBreakers(List<ExperimentRunner.DayResult> trials) throws IOException {
        try (CSVPrinter out = openCsv(BREAKERS_FILE, "value", "dispatcher", "seed", "at_ns", "open", "half_open")) {
            for (ExperimentRunner.DayResult t : trials) {
                for (DeliveryMetrics.BreakerCounts p : t.metrics().breakerHistory()) {
                    out.printRecord(t.value(), t.dispatcher(), t.seed(), p.at(), p.open(), p.halfOpen());
                }
            }
        }
    }

    private void writeTiming(List<ExperimentRunner.DayResult> trials) throws IOException {
        try (CSVPrinter out = openCsv(TIMING_FILE, "value", "dispatcher", "seed", "emulated_s", "took_s", "emulated_s_a_second")) {
            for (ExperimentRunner.DayResult t : trials) {
                out.printRecord(t.value(), t.dispatcher(), t.seed(), formatSeconds(t.emulatedNanos()), formatSeconds(t.tookNanos()),
                        String.format(Locale.ROOT, "%.2f", t.emulatedNanos() / (double) t.tookNanos()));
            }
        }
    }

    private static String formatSeconds(long nanos) {
        return String.format(Locale.ROOT, "%.3f", nanos / 1e9);
    }

    /** A run as its folder tells it. */
    static Run read(Path folder) throws IOException {
        Map<String, Histogram> delays = new LinkedHashMap<>();
        try (HistogramLogReader log = new HistogramLogReader(folder.resolve(DELAYS_FILE).toFile())) {
            for (var next = log.nextIntervalHistogram(); next != null; next = log.nextIntervalHistogram()) {
                delays.put(next.getTag(), (Histogram) next);
            }
        }
        Map<String, List<DeliveryMetrics.BreakerCounts>> breakers = new LinkedHashMap<>();
        Map<String, String> firstSeed = new LinkedHashMap<>();
        for (CSVRecord line : readRecords(folder.resolve(BREAKERS_FILE))) {
            String point = pointTag(intColumn(line, "value"), line.get("dispatcher"));
            if (line.get("seed").equals(firstSeed.computeIfAbsent(point, p -> line.get("seed")))) {
                breakers.computeIfAbsent(point, p -> new ArrayList<>()).add(new DeliveryMetrics.BreakerCounts(Long.parseLong(line.get("at_ns")),
                        intColumn(line, "open"), intColumn(line, "half_open")));
            }
        }
        String about = "";
        String how = "";
        String figure = "";
        Map<Integer, Map<String, List<DeliveryMetrics>>> days = new LinkedHashMap<>();
        for (CSVRecord line : readRecords(folder.resolve(RESULTS_FILE))) {
            about = line.get("about");
            how = line.get("how");
            figure = line.get("figure");
            int value = intColumn(line, "value");
            String point = pointTag(value, line.get("dispatcher"));
            List<DeliveryMetrics> ofPoint = days.computeIfAbsent(value, v -> new LinkedHashMap<>())
                    .computeIfAbsent(line.get("dispatcher"), d -> new ArrayList<>());
            // The delays stand by points: they come with a point's first day.
            Histogram own = ofPoint.isEmpty() ? delays.getOrDefault(point, DeliveryMetrics.newDelayHistogram()) : DeliveryMetrics.newDelayHistogram();
            ofPoint.add(new DeliveryMetrics(intColumn(line, "mails"), intColumn(line, "delivered"), intColumn(line, "in_time"),
                    Double.parseDouble(line.get("importance")), Double.parseDouble(line.get("delivered_importance")),
                    intColumn(line, "calls"), intColumn(line, "breaks"), own, breakers.getOrDefault(point, List.of())));
        }
        if (days.isEmpty()) {
            throw new IOException(folder.resolve(RESULTS_FILE) + " holds no results");
        }
        Map<Integer, Map<String, DeliveryMetrics>> merged = new LinkedHashMap<>();
        days.forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, figures) -> merged
                .computeIfAbsent(value, v -> new LinkedHashMap<>()).put(dispatcher, DeliveryMetrics.merge(figures))));
        return new Run(about, how, figure, merged);
    }

    private static List<CSVRecord> readRecords(Path file) throws IOException {
        try (CSVParser in = CSVParser.parse(file, StandardCharsets.UTF_8,
                CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).get())) {
            return in.getRecords();
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    private static int intColumn(CSVRecord line, String column) throws IOException {
        try {
            return Integer.parseInt(line.get(column));
        } catch (IllegalArgumentException e) {
            throw new IOException("line " + line.getRecordNumber() + ": " + column + " is no whole number", e);
        }
    }

    /** Takes away what was begun, if the folder has not got its name. */
    @Override public void close() throws IOException {
        ProcessTrials.deleteFolder(partialFolder);
    }
}
