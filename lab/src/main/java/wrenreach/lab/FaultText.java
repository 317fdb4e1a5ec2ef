package wrenreach.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Reads and writes faults as text, the same for fleets in memory and fleets of processes: KIND [TARGET] [FIGURE [MORE]] at MS for MS
 * [every MS], or once WHAT PARTY COUNT in place of at MS.
 */
final class FaultText {
    private static final String SYNTAX = "KIND WHICH [FIGURE [MORE]] at MS|once SEEN PARTY COUNT for MS [every MS]";
    private static final String NUMBER_PATTERN = "\\d{1,9}(\\.\\d{1,6})?";
    /** Faults that one text with "every" may stand for. */
    private static final int MAX_REPEATS = 10_000;

    private FaultText() { }

    /**
     * The faults of a text. A repeated one strikes the next target each time; until: repeats begin before this instant, in
     * milliseconds. Throws IllegalArgumentException where the text is no fault.
     */
    static List<Scenario.Fault> parse(String text, int until) {
        List<String> words = new ArrayList<>(Arrays.asList(text.split("\\s+")));
        FaultKind kind = Scenario.parseEnum(FaultKind.values(), words.remove(0));
        String target = kind.targetType == FaultKind.TargetType.NODES ? "all" : nextWord(words, text);
        checkTarget(kind, target);
        List<Double> figures = new ArrayList<>();
        while (!words.isEmpty() && words.get(0).matches(NUMBER_PATTERN)) {
            figures.add(Double.parseDouble(words.remove(0)));
        }
        checkFigures(kind, figures);
        int at = 0;
        Scenario.Once once = null;
        String when = nextWord(words, text);
        if (when.equals("at")) {
            at = Scenario.parsePositive(nextWord(words, text));
        } else if (when.equals("once")) {
            once = new Scenario.Once(Scenario.parseEnum(Scenario.Once.Seen.values(), nextWord(words, text)), checkParty(nextWord(words, text)),
                    Scenario.parsePositive(nextWord(words, text)));
        } else {
            throw new IllegalArgumentException("is no fault of the form " + SYNTAX + ": " + text);
        }
        if (!nextWord(words, text).equals("for")) {
            throw new IllegalArgumentException("is no fault of the form " + SYNTAX + ": " + text);
        }
        int length = Scenario.parsePositive(nextWord(words, text));
        int every = Scenario.MAX_NUMBER;
        if (!words.isEmpty() && words.get(0).equals("every") && once == null && words.size() == 2) {
            every = Scenario.parsePositive(words.get(1));
        } else if (!words.isEmpty()) {
            throw new IllegalArgumentException("is no fault of the form " + SYNTAX + ": " + text);
        }
        List<Scenario.Fault> all = new ArrayList<>();
        for (long i = 0; i == 0 || at + i * every < until && i < MAX_REPEATS; i++) {
            String next = target.matches("-?\\d+") ? Long.toString(Integer.parseInt(target) + i) : target;
            all.add(new Scenario.Fault(kind, next, figures.isEmpty() ? kind == FaultKind.RESET ? 1 : 0 : figures.get(0),
                    figures.size() < 2 ? 0 : figures.get(1), (int) (at + i * every), once, length));
        }
        return all;
    }

    /** The fault as the text that {@link #parse} reads. */
    static String format(Scenario.Fault fault) {
        String target = fault.kind().targetType == FaultKind.TargetType.NODES ? "" : " " + fault.target();
        String figures = maxFigures(fault.kind()) == 0 ? "" : " " + formatNumber(fault.figure())
                + (fault.more() > 0 ? " " + formatNumber(fault.more()) : "");
        return fault.kind().keyword() + target + figures + " "
                + (fault.once() == null ? "at " + fault.atMs() : fault.once().text()) + " for " + fault.forMs();
    }

    private static String formatNumber(double figure) {
        return figure == Math.rint(figure) ? Long.toString((long) figure) : String.format(Locale.ROOT, "%.6f", figure).replaceAll("0+$", "");
    }

    private static String nextWord(List<String> words, String text) {
        if (words.isEmpty()) {
            throw new IllegalArgumentException("is no fault of the form " + SYNTAX + ": " + text);
        }
        return words.remove(0);
    }

    /** How many figures a fault of this kind may have. */
    private static int maxFigures(FaultKind kind) {
        return switch (kind) {
            case DELAY, REORDERING -> 2;
            case RESET, RATE, LOSS, DOUBLING, WALL_AHEAD, WALL_BEHIND, CROWD -> 1;
            default -> kind.failingCall() == null && !kind.ofResponses() ? 0 : 2;
        };
    }

    private static void checkFigures(FaultKind kind, List<Double> figures) {
        int max = maxFigures(kind);
        int min = kind == FaultKind.RESET ? 0 : max == 2 && kind == FaultKind.REORDERING ? 2 : Math.min(1, max);
        if (figures.size() < min || figures.size() > max) {
            throw new IllegalArgumentException(kind.keyword() + " takes " + min + " to " + max + " figures, not " + figures.size());
        }
        boolean share = kind == FaultKind.RESET || kind == FaultKind.LOSS || kind == FaultKind.DOUBLING
                || kind == FaultKind.REORDERING || kind.failingCall() != null || kind.ofResponses();
        if (!figures.isEmpty() && (share && figures.get(0) > 1 || !(figures.get(0) > 0))) {
            throw new IllegalArgumentException(kind.keyword() + ": " + formatNumber(figures.get(0)) + " is "
                    + (share ? "no share above 0, up to 1" : "not above 0"));
        }
    }

    private static void checkTarget(FaultKind kind, String target) {
        switch (kind.targetType) {
            case NODE, RECEIVER -> {
                if (!target.matches("-?\\d{1,9}|third|half|all")) {
                    throw new IllegalArgumentException(kind.keyword() + " is of a number, third, half or all, not of " + target);
                }
            }
            case LINK -> parseLink(target);
            case SETS -> {
                if (!target.contains("|")) {
                    throw new IllegalArgumentException(kind.keyword() + " is of sets as n0,n1|n2, not of " + target);
                }
                Arrays.stream(target.split("[|,]")).forEach(FaultText::checkParty);
            }
            default -> { }
        }
    }

    private static String checkParty(String name) {
        if (!name.matches("[nr]\\d{1,4}|nodes|receivers|clients|platform")) {
            throw new IllegalArgumentException(name + " is no party: there are n0, r0, nodes, receivers, clients, platform");
        }
        return name;
    }

    /** The two parties of a link as they are written, the sender of a one-way link first. */
    private static String[] parseLink(String target) {
        String[] sides = target.split("[->]");
        if (sides.length != 2) {
            throw new IllegalArgumentException(target + " is no link: there are A-B and A>B");
        }
        checkParty(sides[0]);
        checkParty(sides[1]);
        return sides;
    }

    /** The parties that a fault's target and trigger name. */
    static Set<String> parties(Scenario.Fault fault) {
        Set<String> all = new LinkedHashSet<>();
        if (fault.kind().targetType == FaultKind.TargetType.LINK || fault.kind().targetType == FaultKind.TargetType.SETS) {
            all.addAll(List.of(fault.target().split("[|,>-]")));
        }
        if (fault.once() != null) {
            all.add(fault.once().party());
        }
        return all;
    }

    /** One direction between two parties, by their names; a node's platform is platform-NAME. */
    record DirectedLink(String from, String to) { }

    /** The directed links that a fault strikes, in a fleet of so many nodes and receivers. */
    static List<DirectedLink> directedLinks(Scenario.Fault fault, int nodes, int receivers) {
        Set<DirectedLink> all = new LinkedHashSet<>();
        switch (fault.kind()) {
            case PARTITION -> {
                String[] sets = fault.target().split("\\|");
                for (String a : sets) {
                    for (String b : sets) {
                        if (!a.equals(b)) {
                            addLinks(all, a, b, nodes, receivers);
                        }
                    }
                }
            }
            case MUTE, DEAF -> fault.targetIndexes(nodes).forEach(node -> {
                for (String other : List.of("nodes", "receivers", "clients", "platform")) {
                    if (fault.kind() == FaultKind.MUTE) {
                        addLinks(all, "n" + node, other, nodes, receivers);
                    } else {
                        addLinks(all, other, "n" + node, nodes, receivers);
                    }
                }
            });
            case RING -> {
                for (int a = 0; a < nodes; a++) {
                    for (int b = 0; b < nodes; b++) {
                        int apart = Math.floorMod(a - b, nodes);
                        if (apart > 1 && apart < nodes - 1) {
                            all.add(new DirectedLink("n" + a, "n" + b));
                        }
                    }
                }
            }
            default -> {
                String[] sides = parseLink(fault.target());
                addLinks(all, sides[0], sides[1], nodes, receivers);
                if (fault.target().contains("-")) {
                    addLinks(all, sides[1], sides[0], nodes, receivers);
                }
            }
        }
        return List.copyOf(all);
    }

    /** Adds the links from one set of parties to another; only those to or from a node exist. */
    private static void addLinks(Set<DirectedLink> all, String from, String to, int nodes, int receivers) {
        for (String a : expandSet(from, nodes, receivers)) {
            for (String b : expandSet(to, nodes, receivers)) {
                if (a.startsWith("n") && !a.equals(b)) {
                    all.add(new DirectedLink(a, b.equals("platform") ? "platform-" + a : b));
                } else if (b.startsWith("n") && !a.equals(b)) {
                    all.add(new DirectedLink(a.equals("platform") ? "platform-" + b : a, b));
                }
            }
        }
    }

    /** The parties of a set, with nodes and receivers written out. */
    private static List<String> expandSet(String set, int nodes, int receivers) {
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
