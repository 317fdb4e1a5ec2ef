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
 * One day to play: who is there, how much comes, what goes wrong. As text one statement a line; what it does not say is
 * drawn from the seed. classes empty: one class, how often its mails may take effect following from the seed.
 */
record Scenario(long seed, Map<Figure, Integer> figures, List<QueueClass> classes, List<Fault> faults) {
    static final int MOST = 100_000_000;

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

    /** What a fault is of. */
    enum Of { NODE, RECEIVER, LINK, SETS, NODES }

    /** Where a fault can be played. */
    enum Where { BOTH, MEMORY, PROCESSES }

    /** What may go wrong. New ones are added at the end: drawn days go by the order. */
    enum Kind {
        KILL(Of.NODE, Where.BOTH), KILL_WRITTEN(Of.NODE, Where.MEMORY), KILL_TORN(Of.NODE, Where.MEMORY),
        VANISH_NODE(Of.NODE, Where.BOTH), STOP(Of.NODE, Where.BOTH), RELOAD(Of.NODE, Where.BOTH),
        DISK_FULL(Of.NODE, Where.MEMORY), WRITE_FAILS(Of.NODE, Where.MEMORY), CUT_PLATFORM(Of.NODE, Where.BOTH),
        CUT_RECEIVER(Of.NODE, Where.BOTH), CUT_CLIENTS(Of.NODE, Where.BOTH), DOWN(Of.RECEIVER, Where.BOTH),
        VANISH(Of.RECEIVER, Where.BOTH), SILENT(Of.RECEIVER, Where.BOTH), SLOW(Of.RECEIVER, Where.BOTH),
        FULL(Of.RECEIVER, Where.BOTH), ERRING(Of.RECEIVER, Where.BOTH), DRAIN(Of.RECEIVER, Where.BOTH),
        /** The process stands still (SIGSTOP) and goes on (SIGCONT). */
        FREEZE(Of.NODE, Where.BOTH),
        /** A planned stop that the process does not hear; it is killed after the platform's patience. */
        IGNORES_TERM(Of.NODE, Where.BOTH),
        /** It is killed, and every start fails until the fault is over. */
        BROKEN_START(Of.NODE, Where.BOTH),
        /** It is killed at once, and the next process stands still for so long right after its start. */
        SLOW_START(Of.NODE, Where.BOTH),
        /** It is killed; its state folder is lost, or as it was when the fault began, or can't be written until it is over. */
        LOSE_STATE(Of.NODE, Where.BOTH), OLD_STATE(Of.NODE, Where.BOTH), READONLY_STATE(Of.NODE, Where.BOTH),
        CUT(Of.LINK, Where.BOTH), REFUSE(Of.LINK, Where.BOTH),
        /** A share of the links is reset at once; figure: the share, all by default. */
        RESET(Of.LINK, Where.BOTH),
        DELAY(Of.LINK, Where.BOTH), RATE(Of.LINK, Where.BOTH), HALF(Of.LINK, Where.BOTH), LOSS(Of.LINK, Where.BOTH),
        DOUBLING(Of.LINK, Where.BOTH), REORDERING(Of.LINK, Where.BOTH),
        /** The relay that carries the link dies with all its connections, and is there again after so long. */
        RELAY_DIES(Of.LINK, Where.BOTH),
        /** Nothing passes between sets of parties: n0,n1|n2,platform. */
        PARTITION(Of.SETS, Where.BOTH),
        /** It hears all and is heard by none; or the other way about. */
        MUTE(Of.NODE, Where.BOTH), DEAF(Of.NODE, Where.BOTH),
        /** Nodes hear only those before and after them. */
        RING(Of.NODES, Where.BOTH),
        /** Calls that the node's process makes to its machine fail; figure: the share, more: the errno, 0 for a drawn one. */
        SOCKET_FAILS(Of.NODE, Where.PROCESSES), CONNECT_FAILS(Of.NODE, Where.PROCESSES), ACCEPT_FAILS(Of.NODE, Where.PROCESSES),
        TRANSFER_FAILS(Of.NODE, Where.PROCESSES), SHORT_TRANSFERS(Of.NODE, Where.PROCESSES),
        WAITS_INTERRUPTED(Of.NODE, Where.PROCESSES), FOLDER_FAILS(Of.NODE, Where.PROCESSES),
        /** The wall clock of the node's machine is stepped, by so many seconds, and back again when the fault is over. */
        WALL_AHEAD(Of.NODE, Where.PROCESSES), WALL_BEHIND(Of.NODE, Where.PROCESSES),
        /** The process is killed in the middle of its next write to the state folder. */
        KILL_IN_WRITE(Of.NODE, Where.PROCESSES);

        final Of of;
        final Where where;

        Kind(Of of, Where where) {
            this.of = of;
            this.where = where;
        }

        String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Which of the process's system calls it makes fail; null: none. */
        SystemCallFaults.Call call() {
            return switch (this) {
                case SOCKET_FAILS -> SystemCallFaults.Call.SOCKET;
                case CONNECT_FAILS -> SystemCallFaults.Call.CONNECT;
                case ACCEPT_FAILS -> SystemCallFaults.Call.ACCEPT;
                case TRANSFER_FAILS -> SystemCallFaults.Call.TRANSFER;
                case SHORT_TRANSFERS -> SystemCallFaults.Call.SHORT;
                case WAITS_INTERRUPTED -> SystemCallFaults.Call.WAIT;
                case FOLDER_FAILS -> SystemCallFaults.Call.FOLDER;
                default -> null;
            };
        }
    }

    /** What is seen from outside and counted: a fault may wait until it has been seen so often of one party. */
    record Once(Seen seen, String party, int count) {
        /** What clients, receivers and the platform see. */
        enum Seen { TAKEN, DELIVERED, CALLED, NOTICED, DIED, SERVES }

        String text() {
            return "once " + seen.name().toLowerCase(Locale.ROOT) + " " + party + " " + count;
        }
    }

    /**
     * One fault: from an instant on, or once something has been seen, for so long, in milliseconds. target: which one (a
     * number, taken modulo how many there are; third, half, all), or links (A-B both ways, A>B one way), or sets; figure, more:
     * of a link's trouble, see {@link wrenreach.relay.Trouble}.
     */
    record Fault(Kind kind, String target, double figure, double more, int atMs, Once once, int forMs) {
        Fault(Kind kind, int which, int atMs, int forMs) {
            this(kind, Integer.toString(which), 0, 0, atMs, null, forMs);
        }

        /** Which of so many it strikes. */
        List<Integer> which(int many) {
            int step = switch (target) {
                case "all" -> 1;
                case "half" -> 2;
                case "third" -> 3;
                default -> 0;
            };
            if (step == 0) {
                return List.of(Math.floorMod(Integer.parseInt(target), many));
            }
            return IntStream.range(0, many).filter(i -> i % step == 0).boxed().toList();
        }

        String text() {
            return "fault " + FaultText.write(this);
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
        List<Kind> kinds = Arrays.stream(Kind.values()).filter(kind -> kind.where != Where.PROCESSES).toList();
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            int at = 500 + random.nextInt(length - 2000);
            faults.add(drawn(kind, random.nextInt(12), figures, at, 300 + random.nextInt(4000)));
        }
        faults.sort(Comparator.comparingInt(Fault::atMs));
        return new Scenario(seed, figures, classes, faults);
    }

    /** A fault of this kind on whom the number says. */
    private static Fault drawn(Kind kind, int number, Map<Figure, Integer> figures, int at, int length) {
        String node = "n" + number % figures.get(Figure.NODES);
        String receiver = "r" + number % (figures.get(Figure.DESTINATIONS) * figures.get(Figure.ENDPOINTS));
        String other = List.of("platform", receiver, receiver, "clients").get(number % 4);
        String target = switch (kind.of) {
            case LINK -> number % 3 == 0 ? node + ">" + other : number % 3 == 1 ? other + ">" + node : node + "-" + other;
            case SETS -> node + "|" + other;
            default -> Integer.toString(number);
        };
        double figure = switch (kind) {
            case DELAY -> 20 * (1 + number);
            case RATE -> 500 * (1 + number);
            case LOSS, DOUBLING, REORDERING -> 0.3;
            default -> kind == Kind.RESET ? 1 : 0;
        };
        return new Fault(kind, target, figure, kind == Kind.DELAY || kind == Kind.REORDERING ? 50 : 0, at, null, length);
    }

    /** What of it can't be played: in memory, or by processes where real; empty: all can. */
    List<String> objections(boolean real) {
        List<String> all = new ArrayList<>();
        for (Fault fault : faults) {
            if (fault.kind.where == (real ? Where.MEMORY : Where.PROCESSES)) {
                all.add("fault " + fault.kind.word() + " is played " + (real ? "in virtual time" : "by processes") + " only");
            }
            for (String party : FaultText.parties(fault)) {
                int number = party.matches("[nr]\\d+") ? Integer.parseInt(party.substring(1)) : -1;
                if (number >= (party.startsWith("n") ? nodes() : destinations() * endpoints())) {
                    all.add("fault " + fault.kind.word() + ": there is no " + party);
                }
            }
        }
        return all.stream().distinct().toList();
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
                    faults.addAll(FaultText.read(text.substring(5).strip(), until));
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
