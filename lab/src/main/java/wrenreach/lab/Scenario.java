package wrenreach.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One day to play: who is there, how much comes, what goes wrong. As text one statement a line; what it does not say is
 * drawn from the seed. Times in milliseconds; rate in mails a second over all nodes.
 */
record Scenario(long seed, int nodes, int destinations, int endpoints, int rate, int lengthMs, List<Fault> faults) {
    /** What may go wrong; which: the number of a node or receiver, taken modulo how many there are. */
    enum Kind { KILL, KILL_WRITTEN, KILL_TORN, DOWN, SILENT, SLOW, FULL, ERRING, DRAIN, CUT_PLATFORM, CUT_RECEIVER }

    /** One fault: from then on, for so long. */
    record Fault(Kind kind, int which, int atMs, int forMs) {
        String text() {
            return String.format(Locale.ROOT, "fault %s %d at %d for %d", kind.name().toLowerCase(Locale.ROOT), which, atMs,
                    forMs);
        }
    }

    /** A scenario can't be read; the message names its line. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(int line, String what) {
            super("line " + line + ": " + what);
        }
    }

    /** A small fleet with a few faults, drawn from the seed. */
    static Scenario drawn(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 31 + 7);
        int nodes = 1 + random.nextInt(3);
        int destinations = 1 + random.nextInt(4);
        int length = 6000 + random.nextInt(8000);
        List<Fault> faults = new ArrayList<>();
        int count = random.nextInt(6);
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int at = 500 + random.nextInt(length - 2000);
            faults.add(new Fault(kind, random.nextInt(12), at, 300 + random.nextInt(4000)));
        }
        faults.sort(Comparator.comparingInt(Fault::atMs));
        return new Scenario(seed, nodes, destinations, 1 + random.nextInt(3), 10 + random.nextInt(40), length,
                List.copyOf(faults));
    }

    Scenario with(List<Fault> fewer) {
        return new Scenario(seed, nodes, destinations, endpoints, rate, lengthMs, List.copyOf(fewer));
    }

    /** The scenario as text that {@link #parse} reads. */
    String text() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "seed %d%nnodes %d%ndestinations %d%nendpoints %d%nrate %d%nlength %d%n", seed, nodes, destinations,
                endpoints, rate, lengthMs));
        faults.forEach(fault -> text.append(fault.text()).append(System.lineSeparator()));
        return text.toString();
    }

    static Scenario parse(List<String> lines) throws Unreadable {
        long seed = 1;
        int[] counts = {1, 1, 1, 20, 10_000};
        List<String> names = List.of("nodes", "destinations", "endpoints", "rate", "length");
        List<Fault> faults = new ArrayList<>();
        int number = 0;
        for (String line : lines) {
            number++;
            String[] words = line.replaceFirst("#.*", "").strip().split("\\s+");
            try {
                if (words[0].isEmpty()) {
                    continue;
                } else if (words[0].equals("seed") && words.length == 2) {
                    seed = Long.parseLong(words[1]);
                } else if (names.contains(words[0]) && words.length == 2) {
                    counts[names.indexOf(words[0])] = positive(words[1]);
                } else if (words[0].equals("fault") && words.length == 7 && words[3].equals("at") && words[5].equals("for")) {
                    faults.add(new Fault(Kind.valueOf(words[1].toUpperCase(Locale.ROOT)), Integer.parseInt(words[2]),
                            positive(words[4]), positive(words[6])));
                } else {
                    throw new IllegalArgumentException("not understood: " + line.strip());
                }
            } catch (IllegalArgumentException e) {
                throw new Unreadable(number, e.getMessage());
            }
        }
        return new Scenario(seed, counts[0], counts[1], counts[2], counts[3], counts[4], List.copyOf(faults));
    }

    private static int positive(String word) {
        int value = Integer.parseInt(word);
        if (value <= 0 || value > 100_000_000) {
            throw new IllegalArgumentException(word + " is not between 1 and 100000000");
        }
        return value;
    }
}
