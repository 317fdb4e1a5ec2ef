package wrenreach.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import wrenreach.api.Settings.Effect;

/**
 * One day to play: who is there, how much comes, what goes wrong. As text one statement a line; what it does not say is
 * drawn from the seed. classes empty: one class, how often its mails may take effect following from the seed.
 */
record Scenario(long seed, Map<Figure, Integer> figures, List<QueueClass> classes, List<Fault> faults) {
    private static final int MOST = 100_000_000;

    /** The numbers of a day; ledger: 1 the journal, 2 the store; the rate in mails a second over all nodes, the length in ms. */
    enum Figure {
        NODES(1), DESTINATIONS(1), ENDPOINTS(1), ZONES(1), LEDGER(1), RATE(20), LENGTH(10_000);

        final int byDefault;

        Figure(int byDefault) {
            this.byDefault = byDefault;
        }

        /** As it stands in a file. */
        String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** What may go wrong; which: the number of a node or receiver, taken modulo how many there are. */
    enum Kind {
        KILL(true), KILL_WRITTEN(false), KILL_TORN(false), VANISH_NODE(false), STOP(true), RELOAD(false), DISK_FULL(false),
        WRITE_FAILS(false), CUT_PLATFORM(false), CUT_RECEIVER(false), CUT_CLIENTS(false), DOWN(true), VANISH(false),
        SILENT(true), SLOW(true), FULL(true), ERRING(true), DRAIN(true);

        /** Whether it can be played on real sockets too. */
        final boolean real;

        Kind(boolean real) {
            this.real = real;
        }
    }

    /** One fault: from then on, for so long, in milliseconds. */
    record Fault(Kind kind, int which, int atMs, int forMs) {
        String text() {
            return String.format(Locale.ROOT, "fault %s %d at %d for %d", kind.name().toLowerCase(Locale.ROOT), which, atMs,
                    forMs);
        }
    }

    /** One queue class; share: of the mails, against the shares of the others. Times in milliseconds. */
    record QueueClass(String name, Effect effect, double importance, int targetMs, int lifetimeMs, int share) {
        String text() {
            return String.format(Locale.ROOT, "class %s %s importance %s target %d lifetime %d share %d", name,
                    effect.name().toLowerCase(Locale.ROOT), importance, targetMs, lifetimeMs, share);
        }
    }

    /** A scenario can't be read; the message names its line. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;
        /** Counted from one. */
        final int line;

        Unreadable(int line, String what) {
            super("line " + line + ": " + what);
            this.line = line;
        }
    }

    Scenario {
        EnumMap<Figure, Integer> all = new EnumMap<>(Figure.class);
        for (Figure figure : Figure.values()) {
            all.put(figure, figures.getOrDefault(figure, figure.byDefault));
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

    /** Whether nodes keep what they owe in the store. */
    boolean store() {
        return figures.get(Figure.LEDGER) == 2;
    }

    int rate() {
        return figures.get(Figure.RATE);
    }

    int lengthMs() {
        return figures.get(Figure.LENGTH);
    }

    /** The classes that the day is played with. */
    List<QueueClass> playedClasses() {
        return classes.isEmpty() ? List.of(new QueueClass("order", Effect.values()[(int) Math.floorMod(seed + 1, 3L)], 1, 2000,
                8000, 1)) : classes;
    }

    /** A small fleet with a few faults, drawn from the seed. */
    static Scenario drawn(long seed) {
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
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int at = 500 + random.nextInt(length - 2000);
            faults.add(new Fault(kind, random.nextInt(12), at, 300 + random.nextInt(4000)));
        }
        faults.sort(Comparator.comparingInt(Fault::atMs));
        return new Scenario(seed, figures, classes, faults);
    }

    Scenario with(List<Fault> fewer) {
        return new Scenario(seed, figures, classes, fewer);
    }

    Scenario with(Figure figure, int value) {
        Map<Figure, Integer> changed = new EnumMap<>(figures);
        changed.put(figure, value);
        return new Scenario(seed, changed, classes, faults);
    }

    Scenario withSeed(long other) {
        return new Scenario(other, figures, classes, faults);
    }

    /** The scenario as text that {@link #parse} reads. */
    String text() {
        StringBuilder text = new StringBuilder("seed " + seed + System.lineSeparator());
        figures.forEach((figure, value) -> text.append(figure.word()).append(' ').append(value).append(System.lineSeparator()));
        classes.forEach(one -> text.append(one.text()).append(System.lineSeparator()));
        faults.forEach(fault -> text.append(fault.text()).append(System.lineSeparator()));
        return text.toString();
    }

    static Scenario parse(List<String> lines) throws Unreadable {
        long seed = 1;
        Map<Figure, Integer> figures = new EnumMap<>(Figure.class);
        List<String> names = Arrays.stream(Figure.values()).map(Figure::word).toList();
        List<QueueClass> classes = new ArrayList<>();
        List<Fault> faults = new ArrayList<>();
        int until = lines.stream().filter(line -> line.matches("\\s*length\\s+\\d{1,9}\\b.*"))
                .map(line -> Integer.parseInt(line.strip().split("\\s+")[1])).findFirst().orElse(Figure.LENGTH.byDefault);
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
                    figures.put(Figure.values()[names.indexOf(words[0])], positive(words[1]));
                } else if (words[0].equals("class")) {
                    classes.add(queueClass(text.substring(5).strip()));
                } else if (words[0].equals("fault")) {
                    faults.addAll(faults(text.substring(5).strip(), until));
                } else {
                    throw new IllegalArgumentException("not understood: " + text);
                }
            } catch (IllegalArgumentException e) {
                throw new Unreadable(number, e.getMessage());
            }
        }
        faults.sort(Comparator.comparingInt(Fault::atMs));
        return new Scenario(seed, figures, classes, faults);
    }

    /** A fault as KIND WHICH at MS for MS [every MS]: each time it comes back, the next one is hit; until: the last instant. */
    static List<Fault> faults(String text, int until) {
        String[] words = text.split("\\s+");
        if (!(words.length == 6 || words.length == 8 && words[6].equals("every")) || !words[2].equals("at")
                || !words[4].equals("for")) {
            throw new IllegalArgumentException("is no fault of the form KIND WHICH at MS for MS [every MS]: " + text);
        }
        Kind kind = named(Kind.values(), words[0]);
        int which = Integer.parseInt(words[1]);
        int at = positive(words[3]);
        int length = positive(words[5]);
        int every = words.length == 8 ? positive(words[7]) : MOST;
        List<Fault> all = new ArrayList<>();
        for (long i = 0; i == 0 || at + i * every < until && i < 10_000; i++) {
            all.add(new Fault(kind, which + (int) i, (int) (at + i * every), length));
        }
        return all;
    }

    /** A class as NAME EFFECT importance X target MS lifetime MS share N. */
    static QueueClass queueClass(String text) {
        String[] words = text.split("\\s+");
        if (words.length != 10 || !words[2].equals("importance") || !words[4].equals("target") || !words[6].equals("lifetime")
                || !words[8].equals("share") || !words[0].matches("[A-Za-z0-9_]{1,40}")) {
            throw new IllegalArgumentException(
                    "is no class of the form NAME EFFECT importance X target MS lifetime MS share N: " + text);
        }
        double importance = Double.parseDouble(words[3]);
        QueueClass read = new QueueClass(words[0], named(Effect.values(), words[1]), importance, positive(words[5]),
                positive(words[7]), positive(words[9]));
        if (!(importance > 0) || read.targetMs > read.lifetimeMs) {
            throw new IllegalArgumentException("its importance is above 0 and its target no longer than its lifetime: " + text);
        }
        return read;
    }

    static <E extends Enum<E>> E named(E[] all, String word) {
        return Arrays.stream(all).filter(one -> one.name().equalsIgnoreCase(word)).findFirst()
                .orElseThrow(() -> new IllegalArgumentException(word + " is not known: there are "
                        + String.join(", ", Arrays.stream(all).map(one -> one.name().toLowerCase(Locale.ROOT)).toList())));
    }

    static int positive(String word) {
        int value = word.matches("\\d{1,9}") ? Integer.parseInt(word) : 0;
        if (value <= 0 || value > MOST) {
            throw new IllegalArgumentException(word + " is not between 1 and 100000000");
        }
        return value;
    }
}
