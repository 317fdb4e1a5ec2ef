package wrenreach.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import wrenreach.frame.Subsystem;
import wrenreach.net.Addresses;
import wrenreach.operator.FileProblem;
import wrenreach.operator.Key;
import wrenreach.operator.OperatorFile;
import wrenreach.operator.Section;
import wrenreach.operator.Unit;

/** An experiment as its file describes it: a fleet, its traffic, faults, the parameter that is swept, seeds and dispatchers. */
record Experiment(About about, Scenario scenario, Sweep sweep, Setup setup) {
    /** The file's table [experiment]. */
    record About(@Key(about = "what the experiment shows, in one line") String about,
                 @Key(about = "days a point, each with a seed of its own", byDefault = "5", least = "1", most = "10000") int seeds,
                 @Key(about = "the first seed", byDefault = "1", least = "0") long firstSeed,
                 @Key(about = "what decides in the nodes", byDefault = "wrenreach") List<String> dispatchers) { }

    /** The file's table [fleet]. */
    record Fleet(@Key(about = "delivery nodes", byDefault = "3", least = "1", most = "2000") int nodes,
                 @Key(about = "receivers that mails are for", byDefault = "3", least = "1", most = "2000") int destinations,
                 @Key(about = "endpoints of each", byDefault = "1", least = "1", most = "64") int endpoints,
                 @Key(about = "zones that nodes and endpoints are spread over", byDefault = "1", least = "1", most = "8")
                 int zones,
                 @Key(about = "where nodes keep what they owe; real nodes have the store with sync", byDefault = "journal",
                         oneOf = {"journal", "store"}) String ledger,
                 @Key(about = "nodes of another build, by processes only: n1 = PATH of a jar or a checkout, or class NAME of this one", byDefault = "")
                 List<String> builds,
                 @Key(about = "the port of their own addresses at which nodes take datagrams from each other; 0: they don't",
                         byDefault = "0", least = "0", most = "65535") int datagrams) { }

    /** The file's table [operator]. */
    record Operator(@Key(about = "the text of the operator's file; {peers} stands for where the other nodes take datagrams") String file,
                    @Key(about = "the nodes that have it; none: all", byDefault = "") List<String> nodes) { }

    /**
     * The builds of the nodes and the operator's file that they get. builds: by node name, a path or class; datagrams: the port at
     * which nodes take datagrams from each other, 0: none.
     */
    record Setup(Operator operator, Map<String, String> builds, int datagrams) {
        /** Nodes of this build without an operator's file. */
        static final Setup NONE = new Setup(new Operator("", List.of()), Map.of(), 0);

        /** The build that a node's process is started from. */
        ProcessNode.Build build(String node) {
            return builds.containsKey(node) ? ProcessNode.Build.of(builds.get(node)) : ProcessNode.Build.own();
        }

        private boolean hasOperatorFile(String node) {
            return !operator.file.isEmpty() && (operator.nodes.isEmpty() || operator.nodes.contains(node));
        }

        /** The text of the operator's file for a node's process, with {peers} filled in; empty: it has none. */
        String operator(String node, Scenario day, Relays relays) {
            String text = hasOperatorFile(node) ? operator.file : "";
            if (datagrams > 0) {
                int ownIndex = Integer.parseInt(node.substring(1));
                text = text.replace("{peers}", IntStream.range(0, day.nodes()).filter(other -> other != ownIndex)
                        .mapToObj(other -> "\"" + Addresses.format(relays.peerAddress(ownIndex, other, datagrams)) + "\"")
                        .collect(Collectors.joining(", ")));
            }
            return day.usesStore() ? text + "\n[store]\ndurability = \"sync\"\n" : text;
        }

        /** The operator's file of a node in memory. */
        OperatorFile inMemoryOperatorFile(String node) {
            try {
                return hasOperatorFile(node) ? parse() : OperatorFile.none();
            } catch (OperatorFile.InvalidFileException e) {
                throw new IllegalStateException("objected to before", e);
            }
        }

        private OperatorFile parse() throws OperatorFile.InvalidFileException {
            return OperatorFile.parse(Path.of("operator.toml"), operator.file.getBytes(StandardCharsets.UTF_8),
                    virtualTimeSubsystems().stream().<Section<?>>map(Subsystem::section).toList());
        }

        /** All subsystems that can run in virtual time, in the order of their names. */
        static List<Subsystem<?>> virtualTimeSubsystems() {
            List<Subsystem<?>> all = new ArrayList<>();
            ServiceLoader.load(Subsystem.class, Setup.class.getClassLoader()).forEach(one -> {
                if (one.inVirtualTime()) {
                    all.add(one);
                }
            });
            all.sort(Comparator.comparing(one -> one.section().name()));
            return all;
        }

        /** Why the setup can't be played, in memory or (real) with processes; empty if it can. */
        List<String> objections(boolean real) {
            List<String> all = new ArrayList<>();
            if (!real && !builds.isEmpty()) {
                all.add("builds are played by processes only");
            }
            if (!real && !operator.file.isEmpty()) {
                try {
                    parse();
                } catch (OperatorFile.InvalidFileException e) {
                    e.faults().forEach(fault -> all.add("operator: what can be switched on in virtual time does not fit: "
                            + fault.format("operator.toml")));
                }
            }
            builds.forEach((node, place) -> {
                String objection = ProcessNode.Build.objection(place);
                if (!objection.isEmpty()) {
                    all.add("builds: " + node + ": " + objection);
                }
            });
            return all;
        }
    }

    /** Why the experiment can't be played, in memory or (real) with processes; empty if it can. */
    List<String> objections(boolean real) {
        List<String> all = new ArrayList<>(setup.objections(real));
        sweep.values.forEach(value -> all.addAll(scenarioAt(value, 0).objections(real)));
        return all.stream().distinct().toList();
    }

    /** The file's table [traffic]. */
    record Traffic(@Key(about = "mails a second over all nodes", least = "1", most = "1000000") int rate,
                   @Key(about = "for so long mails come", byDefault = "14s", unit = Unit.DURATION, least = "1s", most = "24h")
                   long length,
                   @Key(about = "queue classes: NAME EFFECT importance X target MS lifetime MS share N", byDefault = "")
                   List<String> classes) { }

    /** The file's table [faults]. */
    record Schedule(@Key(about = "what goes wrong: KIND WHICH at MS for MS [every MS]", byDefault = "") List<String> schedule) { }

    /** The file's table [sweep]. */
    record Sweep(@Key(about = "what is swept; size multiplies nodes, destinations and rate", oneOf = {"size", "nodes",
            "destinations", "endpoints", "zones", "ledger", "rate", "length"}) String figure,
                 @Key(about = "its values, the length in milliseconds") List<Integer> values) { }

    /** An experiment's file is invalid; each of its errors is a line of the message. */
    static final class InvalidExperimentException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidExperimentException(Path file, List<FileProblem> faults) {
            super(String.join(System.lineSeparator(), faults.stream().sorted(Comparator.comparingInt(FileProblem::line))
                    .map(fault -> fault.format(file)).toList()));
        }
    }

    private static final Section<About> ABOUT = new Section<>("experiment", About.class);
    private static final Section<Fleet> FLEET = new Section<>("fleet", Fleet.class);
    private static final Section<Traffic> TRAFFIC = new Section<>("traffic", Traffic.class);
    private static final Section<Schedule> FAULTS = new Section<>("faults", Schedule.class);
    private static final Section<Sweep> SWEEP = new Section<>("sweep", Sweep.class);
    private static final Section<Operator> OPERATOR = new Section<>("operator", Operator.class);
    /** The sweep that multiplies nodes, destinations and rate by its value. */
    private static final String SIZE = "size";

    /** Reads an experiment's file; reports all its errors at once. */
    static Experiment read(Path file) throws IOException, InvalidExperimentException {
        byte[] bytes = Files.readAllBytes(file);
        String text = new String(bytes, StandardCharsets.UTF_8);
        List<FileProblem> faults = new ArrayList<>();
        OperatorFile read = null;
        try {
            read = OperatorFile.parse(file, bytes, List.of(ABOUT, FLEET, TRAFFIC, FAULTS, SWEEP, OPERATOR));
        } catch (OperatorFile.InvalidFileException e) {
            faults.addAll(e.faults());
        }
        List<Scenario.QueueClass> classes = new ArrayList<>();
        List<Scenario.Fault> schedule = new ArrayList<>();
        Map<String, String> builds = new TreeMap<>();
        try {
            JsonNode tree = new TomlMapper().readTree(text);
            for (String table : List.of("experiment", "fleet", "traffic")) {
                if (!tree.path(table).isObject()) {
                    faults.add(new FileProblem(0, table, "is missing: [" + table + "]"));
                }
            }
            int length = read == null ? Scenario.Figure.LENGTH.defaultValue : lengthMs(read);
            forEachEntry(tree, text, "traffic", "classes", faults, one -> classes.add(Scenario.parseQueueClass(one)));
            forEachEntry(tree, text, "faults", "schedule", faults, one -> schedule.addAll(FaultText.parse(one, length)));
            forEachEntry(tree, text, "fleet", "builds", faults, one -> {
                if (!one.matches("n\\d{1,4} *= *\\S.*")) {
                    throw new IllegalArgumentException("is no build of the form n1 = PATH: " + one);
                }
                String[] sides = one.split(" *= *", 2);
                builds.put(sides[0], sides[1]);
            });
            forEachEntry(tree, text, "experiment", "dispatchers", faults, one -> {
                if (!Baseline.byName().containsKey(one)) {
                    throw new IllegalArgumentException(one + " is not known: there are " + String.join(", ",
                            Baseline.byName().keySet()));
                }
            });
        } catch (JsonProcessingException e) {
            // OperatorFile.parse has already reported that the file is no valid TOML.
            throw new InvalidExperimentException(file, faults);
        }
        if (!faults.isEmpty()) {
            throw new InvalidExperimentException(file, faults);
        }
        About about = read.section(ABOUT).orElseThrow();
        Fleet fleet = read.section(FLEET).orElseThrow();
        Map<Scenario.Figure, Integer> figures = new EnumMap<>(Scenario.Figure.class);
        figures.put(Scenario.Figure.NODES, fleet.nodes);
        figures.put(Scenario.Figure.DESTINATIONS, fleet.destinations);
        figures.put(Scenario.Figure.ENDPOINTS, fleet.endpoints);
        figures.put(Scenario.Figure.ZONES, fleet.zones);
        figures.put(Scenario.Figure.LEDGER, fleet.ledger.equals("store") ? 2 : 1);
        figures.put(Scenario.Figure.RATE, read.section(TRAFFIC).orElseThrow().rate);
        figures.put(Scenario.Figure.LENGTH, lengthMs(read));
        schedule.sort(Comparator.comparingInt(Scenario.Fault::atMs));
        Sweep sweep = read.section(SWEEP).orElse(new Sweep(SIZE, List.of(1)));
        if (sweep.values.isEmpty() || sweep.values.stream().anyMatch(value -> value < 1 || value > 100_000_000)) {
            throw new InvalidExperimentException(file, List.of(new FileProblem(lineOf(text, "values"), "sweep.values", "is a list of numbers of at least 1")));
        }
        Setup setup = new Setup(read.section(OPERATOR).orElse(Setup.NONE.operator), builds, fleet.datagrams);
        return new Experiment(about, new Scenario(about.firstSeed, figures, classes, schedule), sweep, setup);
    }

    private static int lengthMs(OperatorFile read) {
        return read.section(TRAFFIC).map(traffic -> (int) (traffic.length / 1000)).orElse(Scenario.Figure.LENGTH.defaultValue);
    }

    /** Parses each text of a list by itself, so that one error does not hide the next. */
    private static void forEachEntry(JsonNode tree, String text, String table, String key, List<FileProblem> faults, Consumer<String> parser) {
        for (JsonNode one : tree.path(table).path(key)) {
            try {
                if (one.isTextual()) {
                    parser.accept(one.textValue());
                }
            } catch (IllegalArgumentException e) {
                faults.add(new FileProblem(lineOf(text, one.textValue()), table + "." + key, e.getMessage()));
            }
        }
    }

    /** The number of the first line that holds this text, from 1; 0 if there is none. */
    private static int lineOf(String text, String part) {
        int at = text.indexOf(part);
        return at < 0 ? 0 : 1 + (int) text.substring(0, at).chars().filter(c -> c == '\n').count();
    }

    /** The day at one value of the sweep with its n-th seed, from 0. */
    Scenario scenarioAt(int value, int seedIndex) {
        Scenario day = scenario.withSeed(about.firstSeed + seedIndex);
        if (!sweep.figure.equals(SIZE)) {
            return day.with(Scenario.parseEnum(Scenario.Figure.values(), sweep.figure), value);
        }
        for (Scenario.Figure figure : List.of(Scenario.Figure.NODES, Scenario.Figure.DESTINATIONS, Scenario.Figure.RATE)) {
            day = day.with(figure, Math.multiplyExact(value, scenario.figures().get(figure)));
        }
        return day;
    }
}
