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
 * The folder of one run of an experiment: results.csv with a line a day, delays.hlog with the delays of each point (a value of the
 * sweep and a dispatcher) in HdrHistogram's log format, breakers.csv, timing.csv (the only file that differs from run to run) and
 * report.html. The files are written to a partial folder beside it, which gets the final name only when it is complete.
 */
final class RunFiles implements AutoCloseable {
    /** A run as its folder holds it. mode: emulated or with real nodes; metrics: by value of the sweep and dispatcher. */
    record Run(String about, String mode, String sweptFigure, Map<Integer, Map<String, DeliveryMetrics>> metrics) { }

    /** A line a day with its metrics. */
    private static final String RESULTS_FILE = "results.csv";
    /** The delays of each point, in microseconds. */
    private static final String DELAYS_FILE = "delays.hlog";
    /** The history of the circuit breakers of each day. */
    private static final String BREAKERS_FILE = "breakers.csv";
    /** How long each day took to play; differs from run to run. */
    private static final String TIMING_FILE = "timing.csv";
    /** The page for readers. */
    private static final String REPORT_FILE = "report.html";
    private static final String[] RESULT_COLUMNS = {"about", "how", "figure", "value", "dispatcher", "seed", "mails", "delivered", "in_time",
        "importance", "delivered_importance", "calls", "breaks", "p50_ms", "p99_ms", "p999_ms", "max_ms", "print"};

    private final Path folder;
    private final Path partialFolder;

    /** Creates the partial folder before anything is played; an IOException tells why the run could not be written. */
    RunFiles(Path folder) throws IOException {
        this.folder = folder.toAbsolutePath();
        if (Files.exists(this.folder) && (!Files.isDirectory(this.folder) || !isEmpty(this.folder))) {
            throw new IOException(folder + " is there already and not an empty folder");
        }
        Path parent = this.folder.getParent();
        if (parent == null) {
            throw new IOException(folder + " can't be written");
        }
        Files.createDirectories(parent);
        partialFolder = Files.createDirectory(parent.resolve(this.folder.getFileName() + ".part-" + ProcessHandle.current().pid()));
    }

    private static boolean isEmpty(Path folder) throws IOException {
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.findAny().isEmpty();
        }
    }

    /** Writes all files, and only then gives the folder its name. */
    void write(Experiment experiment, List<ExperimentRunner.DayResult> results, boolean real) throws IOException {
        String mode = real ? "real nodes on loopback" : "emulated";
        writeResults(experiment, results, mode);
        writeDelays(results, mode);
        writeBreakers(results);
        writeTiming(results);
        Run run = new Run(experiment.about().about(), mode, experiment.sweep().figure(), ExperimentRunner.mergeDays(results));
        Files.writeString(partialFolder.resolve(REPORT_FILE), new Report().page(run));
        Files.deleteIfExists(folder);
        Files.move(partialFolder, folder, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The folder for the logs of days that are played with processes. */
    Path logFolder() throws IOException {
        return Files.createDirectories(partialFolder.resolve("days"));
    }

    private CSVPrinter openCsv(String name, String... columns) throws IOException {
        return new CSVPrinter(Files.newBufferedWriter(partialFolder.resolve(name)),
                CSVFormat.DEFAULT.builder().setHeader(columns).get());
    }

    private void writeResults(Experiment experiment, List<ExperimentRunner.DayResult> results, String mode) throws IOException {
        try (CSVPrinter out = openCsv(RESULTS_FILE, RESULT_COLUMNS)) {
            for (ExperimentRunner.DayResult result : results) {
                DeliveryMetrics metrics = result.metrics();
                out.printRecord(experiment.about().about(), mode, experiment.sweep().figure(), result.value(), result.dispatcher(),
                        result.seed(), metrics.mails(), metrics.delivered(), metrics.inTime(), metrics.importance(), metrics.deliveredImportance(),
                        metrics.calls(), metrics.violations(), metrics.delayPercentileMs(50), metrics.delayPercentileMs(99),
                        metrics.delayPercentileMs(99.9), metrics.delays().getMaxValue() / 1000.0, result.fingerprint());
            }
        }
    }

    private void writeDelays(List<ExperimentRunner.DayResult> results, String mode) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(partialFolder.resolve(DELAYS_FILE)), false, StandardCharsets.UTF_8)) {
            HistogramLogWriter log = new HistogramLogWriter(out);
            log.outputComment("[" + mode + ": delays in microseconds, from the instant a writer had the mail ready]");
            log.outputLogFormatVersion();
            log.outputLegend();
            ExperimentRunner.mergeDays(results).forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, metrics) -> {
                Histogram delays = metrics.delays();
                delays.setTag(pointTag(value, dispatcher));
                delays.setStartTimeStamp(0);
                delays.setEndTimeStamp(1000);
                log.outputIntervalHistogram(delays);
            }));
        }
    }

    /** The name of a point of the sweep in the files. */
    private static String pointTag(int value, String dispatcher) {
        return value + "/" + dispatcher.replace(' ', '_');
    }

    private void writeBreakers(List<ExperimentRunner.DayResult> results) throws IOException {
        try (CSVPrinter out = openCsv(BREAKERS_FILE, "value", "dispatcher", "seed", "at_ns", "open", "half_open")) {
            for (ExperimentRunner.DayResult result : results) {
                for (DeliveryMetrics.BreakerCounts counts : result.metrics().breakerHistory()) {
                    out.printRecord(result.value(), result.dispatcher(), result.seed(), counts.at(), counts.open(), counts.halfOpen());
                }
            }
        }
    }

    private void writeTiming(List<ExperimentRunner.DayResult> results) throws IOException {
        try (CSVPrinter out = openCsv(TIMING_FILE, "value", "dispatcher", "seed", "emulated_s", "took_s", "emulated_s_a_second")) {
            for (ExperimentRunner.DayResult result : results) {
                out.printRecord(result.value(), result.dispatcher(), result.seed(), formatSeconds(result.emulatedNanos()), formatSeconds(result.tookNanos()),
                        String.format(Locale.ROOT, "%.2f", result.emulatedNanos() / (double) result.tookNanos()));
            }
        }
    }

    private static String formatSeconds(long nanos) {
        return String.format(Locale.ROOT, "%.3f", nanos / 1e9);
    }

    /** Reads a run from its folder; an IOException tells what is missing or invalid. */
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
        String mode = "";
        String figure = "";
        Map<Integer, Map<String, List<DeliveryMetrics>>> days = new LinkedHashMap<>();
        for (CSVRecord line : readRecords(folder.resolve(RESULTS_FILE))) {
            about = line.get("about");
            mode = line.get("how");
            figure = line.get("figure");
            int value = intColumn(line, "value");
            String point = pointTag(value, line.get("dispatcher"));
            List<DeliveryMetrics> ofPoint = days.computeIfAbsent(value, v -> new LinkedHashMap<>())
                    .computeIfAbsent(line.get("dispatcher"), d -> new ArrayList<>());
            // Delays are stored by point, not by day, so the first day of a point gets all of them.
            Histogram pointDelays = ofPoint.isEmpty() ? delays.getOrDefault(point, DeliveryMetrics.newDelayHistogram()) : DeliveryMetrics.newDelayHistogram();
            ofPoint.add(new DeliveryMetrics(intColumn(line, "mails"), intColumn(line, "delivered"), intColumn(line, "in_time"),
                    Double.parseDouble(line.get("importance")), Double.parseDouble(line.get("delivered_importance")),
                    intColumn(line, "calls"), intColumn(line, "breaks"), pointDelays, breakers.getOrDefault(point, List.of())));
        }
        if (days.isEmpty()) {
            throw new IOException(folder.resolve(RESULTS_FILE) + " holds no results");
        }
        Map<Integer, Map<String, DeliveryMetrics>> merged = new LinkedHashMap<>();
        days.forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, figures) -> merged
                .computeIfAbsent(value, v -> new LinkedHashMap<>()).put(dispatcher, DeliveryMetrics.merge(figures))));
        return new Run(about, mode, figure, merged);
    }

    private static List<CSVRecord> readRecords(Path file) throws IOException {
        try (CSVParser parser = CSVParser.parse(file, StandardCharsets.UTF_8,
                CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).get())) {
            return parser.getRecords();
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

    /** Removes the partial folder, if the run was not completed. */
    @Override public void close() throws IOException {
        ProcessTrials.deleteFolder(partialFolder);
    }
}
