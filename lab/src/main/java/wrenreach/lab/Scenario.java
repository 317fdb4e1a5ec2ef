package wrenreach.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import wrenreach.api.Settings.Effect;

/**
 * One day, that is one run of a fleet: the fleet's size, its traffic and a schedule of faults. As text it has one statement a
 * line; what the text does not say is drawn from the seed. If classes is empty there is one class, whose effect follows from the
 * seed.
 */
record Scenario(long seed, Map<Figure, Integer> figures, List<QueueClass> classes, List<Fault> faults) {
    /** The largest whole number that a scenario's text may hold. */
    static final int MAX_NUMBER = 100_000_000;

    /**
     * The numeric parameters of a day. LEDGER: 1 is the journal, 2 the store; RATE: mails a second over all nodes; LENGTH: ms;
     * CONNECTIONS: 1 is a client's connection for each mail, 2 are connections that are kept until the node closes them.
     */
    enum Figure {
        NODES(1), DESTINATIONS(1), ENDPOINTS(1), ZONES(1), LEDGER(1), RATE(20), LENGTH(10_000), CONNECTIONS(1);

        final int defaultValue;

        Figure(int byDefault) {
            this.defaultValue = byDefault;
        }

        /** The parameter's name in a file. */
        String keyword() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** The trigger of a fault that has no fixed time: it begins once an event has been observed count times of one party. */
    record Once(Seen seen, String party, int count) {
        /** Events that clients, receivers and the platform observe. */
        enum Seen { TAKEN, DELIVERED, CALLED, NOTICED, DIED, SERVES }

        String text() {
            return "once " + seen.name().toLowerCase(Locale.ROOT) + " " + party + " " + count;
        }
    }

    /**
     * One fault: it begins at atMs, or once its trigger is met, and lasts forMs milliseconds. target: which node or receiver (a
     * number, taken modulo how many there are; third, half, all), or links (A-B both ways, A>B one way), or sets of parties.
     * figure, more: parameters of a link's impairment, see {@link wrenreach.relay.Impairment}.
     */
    record Fault(FaultKind kind, String target, double figure, double more, int atMs, Once once, int forMs) {
        Fault(FaultKind kind, int which, int atMs, int forMs) {
            this(kind, Integer.toString(which), 0, 0, atMs, null, forMs);
        }

        /** The indexes that the fault strikes, out of so many. */
        List<Integer> targetIndexes(int count) {
            int step = switch (target) {
                case "all" -> 1;
                case "half" -> 2;
                case "third" -> 3;
                default -> 0;
            };
            if (step == 0) {
                return List.of(Math.floorMod(Integer.parseInt(target), count));
            }
            return IntStream.range(0, count).filter(i -> i % step == 0).boxed().toList();
        }

        String text() {
            return "fault " + FaultText.format(this);
        }
    }

    /** One queue class; share: its weight among the classes when a mail's class is drawn. Times in milliseconds. */
    record QueueClass(String name, Effect effect, double importance, int targetMs, int lifetimeMs, int share) {
        String text() {
            return String.format(Locale.ROOT, "class %s %s importance %s target %d lifetime %d share %d", name,
                    effect.name().toLowerCase(Locale.ROOT), importance, targetMs, lifetimeMs, share);
        }
    }

    /** A scenario's text is invalid; the message names the line. */
    static final class InvalidScenarioException extends Exception {
        private static final long serialVersionUID = 1;
        /** The line's number, from 1. */
        final int line;

        InvalidScenarioException(int line, String what) {
            super("line " + line + ": " + what);
            this.line = line;
        }
    }

    Scenario {
        EnumMap<Figure, Integer> all = new EnumMap<>(Figure.class);
        for (Figure figure : Figure.values()) {
            all.put(figure, figures.getOrDefault(figure, figure.defaultValue));
        }
        figures = Collections.unmodifiableMap(all);
        classes = List.copyOf(classes);
        faults = List.copyOf(faults);
    }

    int nodes() {
        return figures.get(Figure.NODES);
    }

    int destinations() {
        return figures.get(Figure.DESTINATIONS);
    }

    int endpoints() {
        return figures.get(Figure.ENDPOINTS);
    }

    int zones() {
        return figures.get(Figure.ZONES);
    }

    /** Whether nodes keep their accepted mails in the store instead of the journal. */
    boolean usesStore() {
        return figures.get(Figure.LEDGER) == 2;
    }

    /** Whether clients keep their connections. */
    boolean keepsConnections() {
        return figures.get(Figure.CONNECTIONS) == 2;
    }

    int rate() {
        return figures.get(Figure.RATE);
    }

    int lengthMs() {
        return figures.get(Figure.LENGTH);
    }

    /** The classes that the day is played with: those given, or else one whose effect follows from the seed. */
    List<QueueClass> effectiveClasses() {
        return classes.isEmpty() ? List.of(new QueueClass("order", Effect.values()[(int) Math.floorMod(seed + 1, 3L)], 1, 2000,
                8000, 1)) : classes;
    }

    /** A small fleet with a few faults, generated from the seed; the same seed always gives the same scenario. */
    static Scenario generate(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 7);
        int length = 6000 + random.nextInt(8000);
        Map<Figure, Integer> figures = new EnumMap<>(Figure.class);
        figures.put(Figure.NODES, 1 + random.nextInt(3));
        figures.put(Figure.DESTINATIONS, 1 + random.nextInt(4));
        figures.put(Figure.ENDPOINTS, 1 + random.nextInt(3));
        figures.put(Figure.ZONES, 1 + random.nextInt(2));
        figures.put(Figure.LEDGER, 1 + random.nextInt(2));
        figures.put(Figure.RATE, 10 + random.nextInt(40));
        figures.put(Figure.LENGTH, length);
        List<QueueClass> classes = new ArrayList<>();
        if (random.nextInt(3) == 0) {
            for (Effect effect : Effect.values()) {
                classes.add(new QueueClass(effect.name().toLowerCase(Locale.ROOT), effect, 1 + random.nextInt(9),
                        500 + random.nextInt(3000), 4000 + random.nextInt(5000), 1 + random.nextInt(4)));
            }
        }
        List<Fault> faults = new ArrayList<>();
        List<FaultKind> kinds = Arrays.stream(FaultKind.values())
                .filter(kind -> kind.environment != FaultKind.Environment.PROCESSES && kind.ordinal() < FaultKind.REJECTING.ordinal()).toList();
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            int at = 500 + random.nextInt(length - 2000);
            faults.add(generate(kind, random.nextInt(12), figures, at, 300 + random.nextInt(4000)));
        }
        // Faults of responses are drawn after all others, so that the rest of the day is what the seed stood for before there were any.
        if (random.nextInt(3) == 0) {
            addResponseFaults(random, 500, length, faults);
        }
        faults.sort(Comparator.comparingInt(Fault::atMs));
        return new Scenario(seed, figures, classes, faults);
    }

    /**
     * Adds one to three faults of the responses of all receivers or platforms, between these times in milliseconds, and refused calls: a
     * copy of a 200 shows only where the response in whose place it comes is another.
     */
    static void addResponseFaults(UniformRandomProvider random, int from, int until, List<Fault> faults) {
        List<FaultKind> kinds = Arrays.stream(FaultKind.values()).filter(kind -> kind.ofResponses() && kind != FaultKind.REJECTING).toList();
        faults.add(new Fault(FaultKind.REJECTING, "all", Math.round(100 * (0.1 + 0.3 * random.nextDouble())) / 100.0, 0, from, null, until - from));
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            int at = from + random.nextInt(Math.max(1, (until - from) / 2));
            double share = Math.round(100 * (0.05 + 0.4 * random.nextDouble())) / 100.0;
            // Most copies come within some milliseconds, some within a second.
            int delay = random.nextInt(4) == 0 ? 1000 : 1 + random.nextInt(40);
            faults.add(new Fault(kind, "all", share, delay, at, null, until - at));
        }
    }

    /** A fault of this kind whose target follows from the number; at and length in milliseconds. */
    private static Fault generate(FaultKind kind, int number, Map<Figure, Integer> figures, int at, int length) {
        String node = "n" + number % figures.get(Figure.NODES);
        String receiver = "r" + number % (figures.get(Figure.DESTINATIONS) * figures.get(Figure.ENDPOINTS));
        String other = List.of("platform", receiver, receiver, "clients").get(number % 4);
        String target = switch (kind.targetType) {
            case LINK -> number % 3 == 0 ? node + ">" + other : number % 3 == 1 ? other + ">" + node : node + "-" + other;
            case SETS -> node + "|" + other;
            default -> Integer.toString(number);
        };
        double figure = switch (kind) {
            case DELAY -> 20 * (1 + number);
            case RATE -> 500 * (1 + number);
            case LOSS, DOUBLING, REORDERING -> 0.3;
            default -> kind == FaultKind.RESET ? 1 : 0;
        };
        return new Fault(kind, target, figure, kind == FaultKind.DELAY || kind == FaultKind.REORDERING ? 50 : 0, at, null, length);
    }

    /** Why the scenario can't be played, in memory or (real) with processes; empty if it can. */
    List<String> objections(boolean real) {
        List<String> all = new ArrayList<>();
        for (Fault fault : faults) {
            if (fault.kind.environment == (real ? FaultKind.Environment.MEMORY : FaultKind.Environment.PROCESSES)) {
                all.add("fault " + fault.kind.keyword() + " is played " + (real ? "in virtual time" : "by processes") + " only");
            }
            for (String party : FaultText.parties(fault)) {
                int number = party.matches("[nr]\\d+") ? Integer.parseInt(party.substring(1)) : -1;
                if (number >= (party.startsWith("n") ? nodes() : destinations() * endpoints())) {
                    all.add("fault " + fault.kind.keyword() + ": there is no " + party);
                }
            }
        }
        return all.stream().distinct().toList();
    }

    Scenario with(List<Fault> newFaults) {
        return new Scenario(seed, figures, classes, newFaults);
    }

    Scenario with(Figure figure, int value) {
        Map<Figure, Integer> changed = new EnumMap<>(figures);
        changed.put(figure, value);
        return new Scenario(seed, changed, classes, faults);
    }

    Scenario withSeed(long newSeed) {
        return new Scenario(newSeed, figures, classes, faults);
    }

    /** The scenario as text that {@link #parse} reads. */
    String text() {
        StringBuilder text = new StringBuilder("seed " + seed + System.lineSeparator());
        figures.forEach((figure, value) -> text.append(figure.keyword()).append(' ').append(value).append(System.lineSeparator()));
        classes.forEach(one -> text.append(one.text()).append(System.lineSeparator()));
        faults.forEach(fault -> text.append(fault.text()).append(System.lineSeparator()));
        return text.toString();
    }

    /** Reads what {@link #text} writes; a # begins a comment. */
    static Scenario parse(List<String> lines) throws InvalidScenarioException {
        long seed = 1;
        Map<Figure, Integer> figures = new EnumMap<>(Figure.class);
        List<String> names = Arrays.stream(Figure.values()).map(Figure::keyword).toList();
        List<QueueClass> classes = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        int until = lines.stream().filter(line -> line.matches("\\s*length\\s+\\d{1,9}\\b.*"))
                .map(line -> Integer.parseInt(line.strip().split("\\s+")[1])).findFirst().orElse(Figure.LENGTH.defaultValue);
        int number = 0;
        for (String line : lines) {
            number++;
            String text = line.replaceFirst("#.*", "").strip();
            String[] words = text.split("\\s+");
            try {
                if (text.isEmpty()) {
                    continue;
                } else if (words[0].equals("seed") && words.length == 2) {
                    seed = Long.parseLong(words[1]);
                } else if (names.contains(words[0]) && words.length == 2) {
                    figures.put(Figure.values()[names.indexOf(words[0])], parsePositive(words[1]));
                } else if (words[0].equals("class")) {
                    classes.add(parseQueueClass(text.substring(5).strip()));
                } else if (words[0].equals("fault")) {
                    faults.addAll(FaultText.parse(text.substring(5).strip(), until));
                } else {
                    throw new IllegalArgumentException("not understood: " + text);
                }
            } catch (IllegalArgumentException e) {
                throw new InvalidScenarioException(number, e.getMessage());
            }
        }
        faults.sort(Comparator.comparingInt(Fault::atMs));
        return new Scenario(seed, figures, classes, faults);
    }

    /** Reads a class of the form NAME EFFECT importance X target MS lifetime MS share N. */
    static QueueClass parseQueueClass(String text) {
        String[] words = text.split("\\s+");
        if (words.length != 10 || !words[2].equals("importance") || !words[4].equals("target") || !words[6].equals("lifetime")
                || !words[8].equals("share") || !words[0].matches("[A-Za-z0-9_]{1,40}")) {
            throw new IllegalArgumentException(
                    "is no class of the form NAME EFFECT importance X target MS lifetime MS share N: " + text);
        }
        double importance = Double.parseDouble(words[3]);
        QueueClass read = new QueueClass(words[0], parseEnum(Effect.values(), words[1]), importance, parsePositive(words[5]),
                parsePositive(words[7]), parsePositive(words[9]));
        if (!(importance > 0) || read.targetMs > read.lifetimeMs) {
            throw new IllegalArgumentException("its importance is above 0 and its target no longer than its lifetime: " + text);
        }
        return read;
    }

    /** The constant of this name in any case; throws IllegalArgumentException with the known names if there is none. */
    static <E extends Enum<E>> E parseEnum(E[] all, String word) {
        return Arrays.stream(all).filter(one -> one.name().equalsIgnoreCase(word)).findFirst()
                .orElseThrow(() -> new IllegalArgumentException(word + " is not known: there are "
                        + String.join(", ", Arrays.stream(all).map(one -> one.name().toLowerCase(Locale.ROOT)).toList())));
    }

    /** Reads a whole number from 1 to {@link #MAX_NUMBER}; throws IllegalArgumentException for all else. */
    static int parsePositive(String word) {
        int value = word.matches("\\d{1,9}") ? Integer.parseInt(word) : 0;
        if (value <= 0 || value > MAX_NUMBER) {
            throw new IllegalArgumentException(word + " is not between 1 and 100000000");
        }
        return value;
    }
}
