package wrenreach.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import wrenreach.api.Settings.Effect;

/**
 * Generates one day of the soak test from its seed: a fleet of processes, its traffic, and one to four incidents. An incident is one
 * fault or a series of them, of a process (signals, reloads), of its machine (system calls, clock, folder), of its receivers or of its
 * links. The order of the calls of the random generator decides what a seed stands for.
 */
final class SoakDay {
    /** Incidents of a day, at most. */
    private static final int MAX_INCIDENTS = 4;
    /** Nodes of a fleet that is not a large one, at most. */
    private static final int MAX_SMALL_FLEET_NODES = 5;
    /** Nodes of a large fleet. */
    private static final int LARGE_FLEET_NODES = 20;
    /** One fleet in so many is a large one, on average. */
    private static final int LARGE_FLEET_ONE_IN = 12;
    /** The time in which mails come, in milliseconds, without a quiet time. */
    private static final int LENGTH_MS = 9000;
    /** The time without faults at the begin of some days, in milliseconds. */
    private static final int QUIET_MS = 5000;
    /** Incidents begin at least so long after the quiet time, in milliseconds. */
    private static final int EARLIEST_MS = 700;
    /** Incidents begin before this time after the quiet time, in milliseconds. */
    private static final int LATEST_MS = 5500;
    /** The largest share of a kind of system calls that is drawn to fail; short transfers get up to twice this share. */
    private static final double MAX_FAILURE_SHARE = 0.3;

    /** One day in so many has a crowd of idle clients, on average. */
    private static final int CROWD_ONE_IN = 5;
    /** Idle clients of a crowd, at most; a node has 512 descriptors. */
    private static final int MAX_CROWD = 400;

    private final UniformRandomProvider random;
    private final int nodes;
    private final int receivers;
    private final List<Scenario.Fault> faults = new ArrayList<>();

    private SoakDay(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 53 + 11);
        nodes = random.nextInt(LARGE_FLEET_ONE_IN) == 0 ? LARGE_FLEET_NODES : 3 + random.nextInt(MAX_SMALL_FLEET_NODES - 2);
        receivers = 2 * (1 + random.nextInt(3));
    }

    /** The day of this seed. */
    static Scenario generate(long seed) {
        SoakDay day = new SoakDay(seed);
        // On some days the incidents come only after a long time without faults.
        int quiet = day.random.nextInt(4) == 0 ? QUIET_MS : 0;
        int incidents = 1 + day.random.nextInt(MAX_INCIDENTS);
        for (int i = 0; i < incidents; i++) {
            day.addIncident(quiet + EARLIEST_MS + day.random.nextInt(LATEST_MS - EARLIEST_MS));
        }
        Map<Scenario.Figure, Integer> figures = new EnumMap<>(Scenario.Figure.class);
        figures.put(Scenario.Figure.NODES, day.nodes);
        figures.put(Scenario.Figure.DESTINATIONS, day.receivers / 2);
        figures.put(Scenario.Figure.ENDPOINTS, 2);
        figures.put(Scenario.Figure.ZONES, 1 + day.random.nextInt(2));
        figures.put(Scenario.Figure.RATE, 30 + day.random.nextInt(60));
        figures.put(Scenario.Figure.LENGTH, LENGTH_MS + quiet);
        List<Scenario.QueueClass> classes = day.generateClasses();
        // Drawn last, so that all else of a day is what its seed stood for before these were added.
        figures.put(Scenario.Figure.CONNECTIONS, 1 + day.random.nextInt(2));
        if (day.random.nextInt(3) > 0) {
            Scenario.addResponseFaults(day.random, quiet + EARLIEST_MS, quiet + LENGTH_MS, day.faults);
        }
        if (day.random.nextInt(CROWD_ONE_IN) == 0) {
            day.addFaultWithFigure(FaultKind.CROWD, day.random.nextInt(day.nodes), 50 + day.random.nextInt(MAX_CROWD - 50),
                    quiet + EARLIEST_MS + day.random.nextInt(LATEST_MS - EARLIEST_MS), 3000);
        }
        day.faults.sort(Comparator.comparingInt(Scenario.Fault::atMs));
        return new Scenario(seed, figures, classes, day.faults);
    }

    private List<Scenario.QueueClass> generateClasses() {
        List<Scenario.QueueClass> all = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            all.add(new Scenario.QueueClass(effect.name().toLowerCase(java.util.Locale.ROOT), effect, 1 + random.nextInt(5),
                    800 + random.nextInt(800), 2500 + random.nextInt(3500), 1 + random.nextInt(3)));
        }
        return all;
    }

    private void addIncident(int at) {
        switch (random.nextInt(4)) {
            case 0 -> addProcessIncident(at);
            case 1 -> addMachineIncident(at);
            case 2 -> addReceiverIncident(at);
            default -> addLinkIncident(at);
        }
    }

    private void addProcessIncident(int at) {
        int node = random.nextInt(nodes);
        switch (random.nextInt(9)) {
            case 0 -> addFault(FaultKind.KILL, node, at, 300);
            case 8 -> addFault(FaultKind.KILL_IN_WRITE, node, at, 300);
            case 1 -> addFault(FaultKind.STOP, node, at, 300);
            case 2 -> {
                addFault(FaultKind.RELOAD, node, at, 1500);
                addFault(FaultKind.STOP, node, at + 60, 300);
            }
            case 3 -> {
                addFault(FaultKind.STOP, node, at, 300);
                addFault(FaultKind.STOP, node, at + 200, 300);
            }
            case 4 -> {
                addFault(FaultKind.KILL, node, at, 200);
                addFault(FaultKind.STOP, node, at + 350, 300);
            }
            case 5 -> {
                addFault(FaultKind.RELOAD, node, at, 400);
                addFault(FaultKind.RELOAD, node, at + 700, 300);
            }
            case 6 -> addFault(FaultKind.FREEZE, node, at, 300 + random.nextInt(1500));
            default -> addFault(FaultKind.IGNORES_TERM, node, at, 300);
        }
    }

    private void addMachineIncident(int at) {
        int node = random.nextInt(nodes);
        int length = 500 + random.nextInt(3000);
        double share = 0.02 + random.nextDouble() * (MAX_FAILURE_SHARE - 0.02);
        switch (random.nextInt(9)) {
            case 0 -> addFaultWithFigure(FaultKind.SOCKET_FAILS, node, share, at, length);
            case 1 -> addFaultWithFigure(FaultKind.CONNECT_FAILS, node, share, at, length);
            case 2 -> addFaultWithFigure(FaultKind.ACCEPT_FAILS, node, share, at, length);
            case 3 -> addFaultWithFigure(FaultKind.TRANSFER_FAILS, node, share / 10, at, length);
            case 4 -> addFaultWithFigure(FaultKind.SHORT_TRANSFERS, node, 2 * share, at, length);
            case 5 -> addFaultWithFigure(FaultKind.WAITS_INTERRUPTED, node, share, at, length);
            case 6 -> addFaultWithFigure(FaultKind.FOLDER_FAILS, node, random.nextInt(2) == 0 ? 1 : share, at, Math.min(length, 2000));
            case 7 -> {
                addFaultWithFigure(FaultKind.WALL_AHEAD, node, 3600, at, 30_000);
                addFault(FaultKind.KILL, node, at + random.nextInt(400), 300);
            }
            default -> {
                addFault(FaultKind.KILL, node, at, 300);
                addFaultWithFigure(FaultKind.WALL_BEHIND, node, 3600, at + 100, 30_000);
            }
        }
    }

    private void addReceiverIncident(int at) {
        FaultKind[] kinds = {FaultKind.DOWN, FaultKind.VANISH, FaultKind.SILENT, FaultKind.SLOW, FaultKind.FULL,
            FaultKind.ERRING, FaultKind.DRAIN};
        addFault(kinds[random.nextInt(kinds.length)], random.nextInt(receivers), at, 500 + random.nextInt(2500));
    }

    private void addLinkIncident(int at) {
        String node = "n" + random.nextInt(nodes);
        String other = List.of("platform", "r" + random.nextInt(receivers), "receivers").get(random.nextInt(3));
        int length = 300 + random.nextInt(1500);
        switch (random.nextInt(5)) {
            case 0 -> faults.add(new Scenario.Fault(FaultKind.CUT, node + "-" + other, 0, 0, at, null, length));
            case 1 -> faults.add(new Scenario.Fault(FaultKind.REFUSE, node + "-" + other, 0, 0, at, null, length));
            case 2 -> faults.add(new Scenario.Fault(FaultKind.DELAY, node + "-" + other, 60, 30, at, null, length));
            case 3 -> faults.add(new Scenario.Fault(FaultKind.HALF, other + ">" + node, 0, 0, at, null, length));
            default -> {
                for (int i = 0; i < 10; i++) {
                    faults.add(new Scenario.Fault(FaultKind.RESET, "nodes-receivers", 0.3, 0, at + 100 * i, null, 1));
                }
            }
        }
    }

    private void addFault(FaultKind kind, int which, int at, int length) {
        faults.add(new Scenario.Fault(kind, which, at, length));
    }

    private void addFaultWithFigure(FaultKind kind, int node, double figure, int at, int length) {
        faults.add(new Scenario.Fault(kind, Integer.toString(node), Math.round(1000 * figure) / 1000.0, 0, at, null, length));
    }
}
