package wrenreach.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * A fault as text, the same for the fleet in memory and for processes: KIND [TARGET] [FIGURE [MORE]] at MS for MS [every MS],
 * or once WHAT PARTY COUNT in place of at MS.
 */
final class FaultText {
    private static final String FORM = "KIND WHICH [FIGURE [MORE]] at MS|once SEEN PARTY COUNT for MS [every MS]";
    private static final String NUMBER = "\\d{1,9}(\\.\\d{1,6})?";
    private static final int MOST_TIMES = 10_000;

    private FaultText() { }

    /** Each time it comes back, the next one is hit; until: the last instant at which one begins. */
    static List<Scenario.Fault> read(String text, int until) {
        List<String> words = new ArrayList<>(Arrays.asList(text.split("\\s+")));
        Scenario.Kind kind = Scenario.named(Scenario.Kind.values(), words.remove(0));
        String target = kind.of == Scenario.Of.NODES ? "all" : take(words, text);
        target(kind, target);
        List<Double> figures = new ArrayList<>();
        while (!words.isEmpty() && words.get(0).matches(NUMBER)) {
            figures.add(Double.parseDouble(words.remove(0)));
        }
        figures(kind, figures);
        int at = 0;
        Scenario.Once once = null;
        String when = take(words, text);
        if (when.equals("at")) {
            at = Scenario.positive(take(words, text));
        } else if (when.equals("once")) {
            once = new Scenario.Once(Scenario.named(Scenario.Once.Seen.values(), take(words, text)), party(take(words, text)),
                    Scenario.positive(take(words, text)));
        } else {
            throw new IllegalArgumentException("is no fault of the form " + FORM + ": " + text);
        }
        if (!take(words, text).equals("for")) {
            throw new IllegalArgumentException("is no fault of the form " + FORM + ": " + text);
        }
        int length = Scenario.positive(take(words, text));
        int every = Scenario.MOST;
        if (!words.isEmpty() && words.get(0).equals("every") && once == null && words.size() == 2) {
            every = Scenario.positive(words.get(1));
        } else if (!words.isEmpty()) {
            throw new IllegalArgumentException("is no fault of the form " + FORM + ": " + text);
        }
        List<Scenario.Fault> all = new ArrayList<>();
        for (long i = 0; i == 0 || at + i * every < until && i < MOST_TIMES; i++) {
            String next = target.matches("-?\\d+") ? Long.toString(Integer.parseInt(target) + i) : target;
            all.add(new Scenario.Fault(kind, next, figures.isEmpty() ? kind == Scenario.Kind.RESET ? 1 : 0 : figures.get(0),
                    figures.size() < 2 ? 0 : figures.get(1), (int) (at + i * every), once, length));
        }
        return all;
    }

    /** The text that {@link #read} reads. */
    static String write(Scenario.Fault fault) {
        String target = fault.kind().of == Scenario.Of.NODES ? "" : " " + fault.target();
        String figures = most(fault.kind()) == 0 ? "" : " " + number(fault.figure())
                + (fault.more() > 0 ? " " + number(fault.more()) : "");
        return fault.kind().word() + target + figures + " "
                + (fault.once() == null ? "at " + fault.atMs() : fault.once().text()) + " for " + fault.forMs();
    }

    private static String number(double figure) {
        return figure == Math.rint(figure) ? Long.toString((long) figure) : String.format(Locale.ROOT, "%.6f", figure).replaceAll("0+$", "");
    }

    private static String take(List<String> words, String text) {
        if (words.isEmpty()) {
            throw new IllegalArgumentException("is no fault of the form " + FORM + ": " + text);
        }
        return words.remove(0);
    }

    private static int most(Scenario.Kind kind) {
        return switch (kind) {
            case DELAY, REORDERING -> 2;
            case RESET, RATE, LOSS, DOUBLING, WALL_AHEAD, WALL_BEHIND -> 1;
            default -> kind.call() == null ? 0 : 2;
        };
    }

    private static void figures(Scenario.Kind kind, List<Double> figures) {
        int most = most(kind);
        int least = kind == Scenario.Kind.RESET ? 0 : most == 2 && kind == Scenario.Kind.REORDERING ? 2 : Math.min(1, most);
        if (figures.size() < least || figures.size() > most) {
            throw new IllegalArgumentException(kind.word() + " takes " + least + " to " + most + " figures, not " + figures.size());
        }
        boolean share = kind == Scenario.Kind.RESET || kind == Scenario.Kind.LOSS || kind == Scenario.Kind.DOUBLING
                || kind == Scenario.Kind.REORDERING || kind.call() != null;
        if (!figures.isEmpty() && (share && figures.get(0) > 1 || !(figures.get(0) > 0))) {
            throw new IllegalArgumentException(kind.word() + ": " + number(figures.get(0)) + " is "
                    + (share ? "no share above 0, up to 1" : "not above 0"));
        }
    }

    private static void target(Scenario.Kind kind, String target) {
        switch (kind.of) {
            case NODE, RECEIVER -> {
                if (!target.matches("-?\\d{1,9}|third|half|all")) {
                    throw new IllegalArgumentException(kind.word() + " is of a number, third, half or all, not of " + target);
                }
            }
            case LINK -> links(target);
            case SETS -> {
                if (!target.contains("|")) {
                    throw new IllegalArgumentException(kind.word() + " is of sets as n0,n1|n2, not of " + target);
                }
                Arrays.stream(target.split("[|,]")).forEach(FaultText::party);
            }
            default -> { }
        }
    }

    private static String party(String name) {
        if (!name.matches("[nr]\\d{1,4}|nodes|receivers|clients|platform")) {
            throw new IllegalArgumentException(name + " is no party: there are n0, r0, nodes, receivers, clients, platform");
        }
        return name;
    }

    /** The two sides of a link, the first one's way first. */
    private static String[] links(String target) {
        String[] sides = target.split("[->]");
        if (sides.length != 2) {
            throw new IllegalArgumentException(target + " is no link: there are A-B and A>B");
        }
        party(sides[0]);
        party(sides[1]);
        return sides;
    }

    /** The parties that a fault names. */
    static Set<String> parties(Scenario.Fault fault) {
        Set<String> all = new LinkedHashSet<>();
        if (fault.kind().of == Scenario.Of.LINK || fault.kind().of == Scenario.Of.SETS) {
            all.addAll(List.of(fault.target().split("[|,>-]")));
        }
        if (fault.once() != null) {
            all.add(fault.once().party());
        }
        return all;
    }

    /** One way between two parties by their names; a node's platform is platform-NAME. */
    record OneWay(String from, String to) { }

    /** The ways that a fault of links is on, in a fleet of so many nodes and receivers. */
    static List<OneWay> ways(Scenario.Fault fault, int nodes, int receivers) {
        Set<OneWay> all = new LinkedHashSet<>();
        switch (fault.kind()) {
            case PARTITION -> {
                String[] sets = fault.target().split("\\|");
                for (String a : sets) {
                    for (String b : sets) {
                        if (!a.equals(b)) {
                            between(all, a, b, nodes, receivers);
                        }
                    }
                }
            }
            case MUTE, DEAF -> fault.which(nodes).forEach(node -> {
                for (String other : List.of("nodes", "receivers", "clients", "platform")) {
                    if (fault.kind() == Scenario.Kind.MUTE) {
                        between(all, "n" + node, other, nodes, receivers);
                    } else {
                        between(all, other, "n" + node, nodes, receivers);
                    }
                }
            });
            case RING -> {
                for (int a = 0; a < nodes; a++) {
                    for (int b = 0; b < nodes; b++) {
                        int apart = Math.floorMod(a - b, nodes);
                        if (apart > 1 && apart < nodes - 1) {
                            all.add(new OneWay("n" + a, "n" + b));
                        }
                    }
                }
            }
            default -> {
                String[] sides = links(fault.target());
                between(all, sides[0], sides[1], nodes, receivers);
                if (fault.target().contains("-")) {
                    between(all, sides[1], sides[0], nodes, receivers);
                }
            }
        }
        return List.copyOf(all);
    }

    private static void between(Set<OneWay> all, String from, String to, int nodes, int receivers) {
        for (String a : named(from, nodes, receivers)) {
            for (String b : named(to, nodes, receivers)) {
                if (a.startsWith("n") && !a.equals(b)) {
                    all.add(new OneWay(a, b.equals("platform") ? "platform-" + a : b));
                } else if (b.startsWith("n") && !a.equals(b)) {
                    all.add(new OneWay(a.equals("platform") ? "platform-" + b : a, b));
                }
            }
        }
    }

    private static List<String> named(String set, int nodes, int receivers) {
        List<String> all = new ArrayList<>();
        for (String one : set.split(",")) {
            if (one.equals("nodes") || one.equals("receivers")) {
                for (int i = 0; i < (one.equals("nodes") ? nodes : receivers); i++) {
                    all.add(one.charAt(0) + Integer.toString(i));
                }
            } else {
                all.add(one);
            }
        }
        return all;
    }
}
