package wrenreach.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.node.Config;
import wrenreach.relay.Impairment;

/** Runs one scenario: builds its simulation, injects its faults and records what happens. All of it runs on the world's thread. */
final class ScenarioRun {
    static final long NS_PER_MS = 1_000_000;
    /** For how long receivers recognize a repeat by its tag ("Window" of the settings), in seconds. All scenarios share this and the settings below. */
    static final double DEDUPLICATION_WINDOW_S = 5;
    /** "DrainGrace" of the settings, in seconds. */
    static final double DRAIN_GRACE_S = 0.5;
    /** Speed of a receiver right after its return, as a share of its full speed. */
    static final double COLD_START_SHARE = 0.3;
    /** Time that a receiver takes from its return to its full speed, in seconds. */
    static final double WARM_UP_S = 12;
    /** Load at which a returning receiver is overloaded, as a multiple of its capacity at the time. */
    static final double OVERLOAD_FACTOR = 1.5;
    /** Time over which the load of a returning receiver is counted, in seconds. */
    static final double OVERLOAD_WINDOW_S = 2;
    /** "LateShare" of the settings of each class. */
    static final double LATE_SHARE = 0.5;
    private static final String[] EFFECTS = {"pure", "token", "side_effect"};
    /** Extra time at the end of a run, in nanoseconds: after the lifetime of the last mail its node may still have to restart. */
    private static final long SETTLE_TIME_NS = 6_000 * NS_PER_MS;
    /** Port of the platform and of discovery; the next port serves the same. */
    static final int PLATFORM_PORT = 8500;
    /** Port of every receiver. */
    static final int RECEIVER_PORT = 8080;
    /** Port at which a node accepts clients. */
    static final int LISTENER_PORT = 6379;
    /** Interval between two checks whether the condition that a fault waits for has come true, in nanoseconds. */
    private static final long TRIGGER_POLL_INTERVAL_NS = 5 * NS_PER_MS;

    final Scenario scenario;
    private Clients clients;
    final World world;
    final Settings settings;
    private final List<Receiver> receivers = new ArrayList<>();
    private final List<Platform> platforms = new ArrayList<>();
    private int listVersion = 1;
    private int replacements;
    /** The endpoint list as JSON text, by the node that reads it; all of them are of the version {@link #cachedListVersion}. */
    private final Map<Integer, String> listTexts = new HashMap<>();
    private int cachedListVersion;
    private final AddressPlan addresses;
    /** How many facts of a kind have been observed of a party, or of all nodes or all receivers; the key is the kind and the party. */
    private final Map<String, Integer> observedCounts = new HashMap<>();
    private int observedFacts;

    /** The addresses of the parties: their own in an emulated run, those of relays in a run with processes. */
    interface AddressPlan {
        /** The address of a party in the net of its kind. */
        InetSocketAddress addressOf(int net, int number, int port);

        /** The address at which a node reaches its platform. */
        default InetSocketAddress platformAddress(int node) {
            return addressOf(9, node, PLATFORM_PORT);
        }

        /** The address at which a node reaches a receiver. */
        default InetSocketAddress receiverAddress(int node, Receiver receiver) {
            return receiver.address;
        }

        /** Called when a receiver has been added. */
        default void receiverAdded(Receiver receiver) { }
    }

    /** Addresses of an emulated run, for thousands of parties of each kind; they have no meaning outside the simulation. */
    static final AddressPlan EMULATED = (net, number, port) ->
            new InetSocketAddress("127." + net + "." + number / 200 + "." + (number % 200 + 1), port);

    /** Creates a node of the fleet. */
    interface NodeFactory {
        FleetNode create(String name, Config config, String json, int zone);
    }

    /** Builds the parties of a scenario and starts its nodes; mails and faults come only after {@link #begin}. */
    ScenarioRun(Scenario scenario, World world, AddressPlan addresses, NodeFactory nodeFactory) {
        this.scenario = scenario;
        this.world = world;
        this.addresses = addresses;
        for (int i = 0; i < scenario.destinations() * scenario.endpoints(); i++) {
            addReceiver(i, i % scenario.destinations());
        }
        Config config = null;
        for (int i = 0; i < scenario.nodes(); i++) {
            int node = i;
            config = config(i);
            world.nodes.add(nodeFactory.create("n" + i, config, json(i), i % scenario.zones()));
            platforms.add(new Platform(world, "n" + i, addresses.addressOf(9, i, PLATFORM_PORT), () -> listText(node)));
        }
        settings = config.settings();
        world.nodes.forEach(FleetNode::start);
    }

    /** Runs a scenario to its end, with dispatchers made by this factory in its nodes. */
    static ScenarioRun of(Scenario scenario, Function<Settings, Dispatcher> dispatcherFactory) {
        return of(scenario, dispatcherFactory, world -> { });
    }

    /** The same, with an action on the world before the traffic begins. */
    static ScenarioRun of(Scenario scenario, Function<Settings, Dispatcher> dispatcherFactory, Consumer<World> before) {
        return of(scenario, dispatcherFactory, Experiment.Setup.NONE, before);
    }

    /** The same, with the subsystems that the operator's files switch on. */
    static ScenarioRun of(Scenario scenario, Function<Settings, Dispatcher> dispatcherFactory, Experiment.Setup setup, Consumer<World> before) {
        World world = new World(scenario.seed());
        ScenarioRun run = new ScenarioRun(scenario, world, EMULATED, (name, config, json, zone) ->
                new InMemoryNode(world, name, config, json, zone, scenario.usesStore(), dispatcherFactory, setup.inMemoryOperatorFile(name)));
        before.accept(world);
        world.runUntil(run.begin());
        return run;
    }

    /** Starts the traffic and the faults; returns the time at which the run is over. */
    long begin() {
        long begin = world.now();
        long length = scenario.lengthMs() * NS_PER_MS;
        clients = new Clients(world, scenario.destinations(), scenario.effectiveClasses(), scenario.keepsConnections());
        world.scheduleIn(500 * NS_PER_MS, () -> clients.submitMails(scenario.rate(), begin + length));
        List<Scenario.Fault> waiting = new ArrayList<>();
        for (Scenario.Fault fault : scenario.faults()) {
            if (fault.once() == null) {
                world.scheduleAt(begin + fault.atMs() * NS_PER_MS, () -> begin(fault));
            } else {
                waiting.add(fault);
            }
        }
        if (!waiting.isEmpty()) {
            startTriggeredFaults(waiting, begin + length);
        }
        int lifetime = scenario.effectiveClasses().stream().mapToInt(Scenario.QueueClass::lifetimeMs).max().orElseThrow();
        return begin + length + lifetime * NS_PER_MS + SETTLE_TIME_NS;
    }

    /** Starts the waiting faults whose condition has come true; those that still wait at the end of the traffic are recorded and dropped. */
    private void startTriggeredFaults(List<Scenario.Fault> waiting, long until) {
        for (; observedFacts < world.facts.size(); observedFacts++) {
            Fact fact = world.facts.get(observedFacts);
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                countObserved(Scenario.Once.Seen.TAKEN, answered.node());
            } else if (fact instanceof Fact.Delivered delivered) {
                countObserved(Scenario.Once.Seen.DELIVERED, delivered.receiver());
            } else if (fact instanceof Fact.Called called) {
                countObserved(Scenario.Once.Seen.CALLED, called.receiver());
            } else if (fact instanceof Fact.Noticed noticed) {
                countObserved(Scenario.Once.Seen.NOTICED, noticed.node());
            } else if (fact instanceof Fact.Died died) {
                countObserved(Scenario.Once.Seen.DIED, died.node());
            } else if (fact instanceof Fact.Serves serves) {
                countObserved(Scenario.Once.Seen.SERVES, serves.node());
            }
        }
        List<Scenario.Fault> triggered = waiting.stream().filter(fault -> observedCounts.getOrDefault(fault.once().seen() + " "
                + fault.once().party(), 0) >= fault.once().count()).toList();
        waiting.removeAll(triggered);
        triggered.forEach(this::begin);
        if (world.now() >= until) {
            waiting.forEach(fault -> world.record(new Fact.NeverCame(world.now(), fault.text())));
        } else if (!waiting.isEmpty()) {
            world.scheduleIn(TRIGGER_POLL_INTERVAL_NS, () -> startTriggeredFaults(waiting, until));
        }
    }

    private void countObserved(Scenario.Once.Seen what, String party) {
        String set = party.startsWith("n") ? "nodes" : "receivers";
        observedCounts.merge(what + " " + party, 1, Integer::sum);
        observedCounts.merge(what + " " + set, 1, Integer::sum);
    }

    private void addReceiver(int number, int destination) {
        Receiver receiver = new Receiver(world, "r" + number, addresses.addressOf(8, number, RECEIVER_PORT),
                destination, number / scenario.destinations() % scenario.zones(), COLD_START_SHARE, WARM_UP_S, OVERLOAD_FACTOR, OVERLOAD_WINDOW_S);
        receivers.add(receiver);
        addresses.receiverAdded(receiver);
    }

    /** The endpoint list for a node. In an emulated run all nodes share one text, as the addresses are the same for each. */
    private String listText(int node) {
        if (cachedListVersion != listVersion) {
            cachedListVersion = listVersion;
            listTexts.clear();
        }
        return listTexts.computeIfAbsent(addresses == EMULATED ? 0 : node, this::renderList);
    }

    private String renderList(int node) {
        return "{\"index\":" + listVersion + ",\"snapshot\":true,\"endpoints\":[" + receivers.stream().map(r -> String.format(
                Locale.ROOT, "{\"name\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z%d\",\"type\":\"small\",\"group\":%d,"
                + "\"status\":\"%s\",\"weight\":100}", r.name, addresses.receiverAddress(node, r).getHostString(), RECEIVER_PORT, r.party.zone, r.destination,
                r.draining ? "DRAINING" : "SERVING")).collect(Collectors.joining(",")) + "]}";
    }

    private Config config(int number) {
        try {
            return Config.parse(json(number).getBytes(StandardCharsets.UTF_8), Map.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String json(int number) {
        InetSocketAddress platform = addresses.platformAddress(number);
        return String.format(Locale.ROOT, """
                {"name":"n%d","listen":"%s:6379","discovery":"%s:%d","seed":"%x",
                 "limits":{"cores":1,"memory_mb":192,"sockets":512,"disk_mb":2},"known":%s,
                 "settings":{"Me":%d,"GroupSize":%d,"Zone":%d,"Areas":[%s],"Kinds":["small"],"Tick":0.005,
                 "Discovery":"push","Weights":"nominal","OverShareWorth":0.5,
                 "Classes":[%s],
                 "Tenants":[{"Name":"shop","QuotaPerS":1000,"Share":1}],
                 "FamilyInfo":{"MaxCalls":12,"KindApart":[false],"BatchByKind":[1],"Decay":"even"},
                 "Feedback":{"How":"piggyback","Names":["x0","x1"]},
                 "Limits":{"MaxOpen":400,"TryLimit":4,"MaxStreams":1,"ParallelTries":false,"Cancelling":true,
                 "RetryAfter":true,"MaxRetryAfter":3,"ConnIdle":6,"ConnectTimeout":1},
                 "Rules":{"AnswerSlack":0.02,"DrainGrace":%.1f,"ColdFrom":%.2f,"Cold":%.1f,"OverloadFactor":%.1f,
                 "TipAfter":%.1f,"OrderSettle":0.1}}}
                """, number, addresses.addressOf(7, number, LISTENER_PORT).getHostString(), platform.getHostString(), platform.getPort(),
                scenario.seed() * 64 + number & Long.MAX_VALUE, listText(number), number,
                scenario.nodes(), number % scenario.zones(), IntStream.range(0, scenario.zones()).mapToObj(z -> "\"z" + z + "\"")
                .collect(Collectors.joining(",")), classes(), DRAIN_GRACE_S, COLD_START_SHARE, WARM_UP_S,
                OVERLOAD_FACTOR, OVERLOAD_WINDOW_S);
    }

    private String classes() {
        return scenario.effectiveClasses().stream().map(one -> String.format(Locale.ROOT, "{\"Name\":\"%s\",\"Promise\":%.3f,"
                + "\"Deadline\":%.3f,\"Value\":%s,\"LateShare\":%s,\"Effect\":\"%s\",\"KeyScope\":\"all\",\"Window\":%.1f,"
                + "\"InTurn\":true,\"Stream\":false}", one.name(), one.targetMs() / 1000.0, one.lifetimeMs() / 1000.0,
                one.importance(), LATE_SHARE, EFFECTS[one.effect().ordinal()], DEDUPLICATION_WINDOW_S)).collect(Collectors.joining(","));
    }

    private void begin(Scenario.Fault fault) {
        long length = fault.forMs() * NS_PER_MS;
        world.record(new Fact.Fault(world.now(), fault.text(), world.now() + length, fault));
        switch (fault.kind().targetType) {
            case NODE -> fault.targetIndexes(world.nodes.size()).forEach(i -> begin(fault, world.nodes.get(i), length));
            case RECEIVER -> fault.targetIndexes(receivers.size()).forEach(i -> begin(fault, receivers.get(i), length));
            default -> beginOnLinks(fault, length);
        }
    }

    private void begin(Scenario.Fault fault, Receiver receiver, long length) {
        switch (fault.kind()) {
            case DOWN -> {
                if (receiver.party.up) {
                    receiver.setUp(false);
                    world.scheduleIn(length, () -> receiver.setUp(true));
                }
            }
            case VANISH -> {
                if (receiver.party.up) {
                    receiver.vanish();
                    world.scheduleIn(length, () -> receiver.setUp(true));
                }
            }
            case DRAIN -> drain(receiver);
            default -> {
                if (fault.kind().ofResponses()) {
                    receiver.responseFaults.begin(fault);
                } else {
                    receiver.failing = fault.kind();
                    world.scheduleIn(length, () -> receiver.failing = null);
                }
            }
        }
    }

    private void begin(Scenario.Fault fault, FleetNode node, long length) {
        Runnable restart = () -> restart(node);
        switch (fault.kind()) {
            case KILL -> {
                node.kill();
                world.scheduleIn(length, restart);
            }
            case KILL_WRITTEN -> inMemory(node).killAtWrite(1, InMemoryNode.KillMoment.WRITTEN, () -> world.scheduleIn(length, restart));
            case KILL_TORN -> inMemory(node).killAtWrite(1, InMemoryNode.KillMoment.TORN, () -> world.scheduleIn(length, restart));
            case VANISH_NODE -> {
                node.vanish();
                world.scheduleIn(length, restart);
            }
            case STOP -> node.stop(length);
            case RELOAD -> {
                node.reload(PLATFORM_PORT + 1);
                world.scheduleIn(length, () -> node.reload(PLATFORM_PORT));
            }
            case WRITE_FAILS -> inMemory(node).failWrite();
            case DISK_FULL -> {
                inMemory(node).fillDisk(true);
                world.scheduleIn(length, () -> inMemory(node).fillDisk(false));
            }
            case FREEZE -> {
                node.freeze(true);
                world.scheduleIn(length, () -> node.freeze(false));
            }
            case IGNORES_TERM -> {
                node.setIgnoresTerm(true);
                node.stop(length);
                world.scheduleIn(FleetNode.STOP_TIMEOUT_NS + length, () -> node.setIgnoresTerm(false));
            }
            case BROKEN_START -> {
                node.setFailsToStart(true);
                node.kill();
                restart.run();
                world.scheduleIn(length, () -> {
                    node.setFailsToStart(false);
                    restart.run();
                });
            }
            case SLOW_START -> {
                node.kill();
                node.freezeAtNextStart(length);
                restart.run();
            }
            case OLD_STATE -> {
                node.changeStateFolder(FleetNode.State.KEPT_ASIDE);
                world.scheduleIn(length, () -> changeState(node, FleetNode.State.PUT_BACK, restart));
            }
            case LOSE_STATE -> {
                changeState(node, FleetNode.State.LOST, () -> { });
                world.scheduleIn(length, restart);
            }
            case READONLY_STATE -> {
                node.kill();
                node.changeStateFolder(FleetNode.State.READ_ONLY);
                restart.run();
                world.scheduleIn(length, () -> {
                    node.kill();
                    node.changeStateFolder(FleetNode.State.WRITABLE);
                    restart.run();
                });
            }
            case CUT_PLATFORM, CUT_CLIENTS, CUT_RECEIVER -> {
                String other = fault.kind() == FaultKind.CUT_PLATFORM ? "platform-" + node.name
                        : fault.kind() == FaultKind.CUT_CLIENTS ? "clients"
                        : receivers.get(Math.floorMod(Integer.parseInt(fault.target()), receivers.size())).name;
                impair(List.of(new FaultText.DirectedLink(node.name, other), new FaultText.DirectedLink(other, node.name)),
                        new Impairment(Impairment.Kind.CUT, 0, 0), length);
            }
            case NOTICES_REFUSED, NOTICE_COPIES, LIST_COPIES -> platforms.get(world.nodes.indexOf(node)).begin(fault);
            case CROWD -> clients.openCrowd(node, (int) fault.figure(), length);
            case KILL_IN_WRITE -> node.killInWrite(length);
            case WALL_AHEAD, WALL_BEHIND -> {
                long step = (long) ((fault.kind() == FaultKind.WALL_AHEAD ? 1e9 : -1e9) * fault.figure());
                node.stepWallClock(step);
                world.scheduleIn(length, () -> node.stepWallClock(-step));
            }
            default -> {
                SystemCallFaults.Call call = fault.kind().failingCall();
                if (call == null) {
                    beginOnLinks(fault, length);
                } else {
                    node.failCalls(call, fault.figure(), (int) fault.more());
                    world.scheduleIn(length, () -> node.failCalls(call, 0, SystemCallFaults.RANDOM_ERROR));
                }
            }
        }
    }

    private void changeState(FleetNode node, FleetNode.State what, Runnable then) {
        node.kill();
        node.changeStateFolder(what);
        world.record(new Fact.StateLost(world.now(), node.name));
        then.run();
    }

    private void beginOnLinks(Scenario.Fault fault, long length) {
        List<FaultText.DirectedLink> directions = FaultText.directedLinks(fault, world.nodes.size(), receivers.size());
        switch (fault.kind()) {
            case RESET -> distinctPairs(directions).forEach(link -> {
                if (fault.figure() >= 1 || world.withProbability(fault.figure())) {
                    world.network.reset(link.from(), link.to());
                }
            });
            case RELAY_DIES -> distinctPairs(directions).forEach(link -> {
                world.network.setRelayDead(link.from(), link.to(), true);
                world.scheduleIn(length, () -> world.network.setRelayDead(link.from(), link.to(), false));
            });
            case PARTITION, MUTE, DEAF, RING -> impair(directions, new Impairment(Impairment.Kind.CUT, 0, 0), length);
            default -> impair(directions, new Impairment(Impairment.Kind.valueOf(fault.kind().name()), fault.figure(), fault.more()), length);
        }
    }

    /** Reduces directions to pairs of parties: each pair once, whichever way. */
    private static List<FaultText.DirectedLink> distinctPairs(List<FaultText.DirectedLink> directions) {
        Set<FaultText.DirectedLink> pairs = new LinkedHashSet<>();
        directions.stream().filter(direction -> !pairs.contains(new FaultText.DirectedLink(direction.to(), direction.from()))).forEach(pairs::add);
        return List.copyOf(pairs);
    }

    private void impair(List<FaultText.DirectedLink> directions, Impairment impairment, long length) {
        directions.forEach(direction -> world.network.direction(direction.from(), direction.to()).begin(impairment));
        distinctPairs(directions).forEach(link -> world.network.impairmentsChanged(link.from(), link.to()));
        world.scheduleIn(length, () -> {
            directions.forEach(direction -> world.network.direction(direction.from(), direction.to()).end(impairment));
            distinctPairs(directions).forEach(link -> world.network.impairmentsChanged(link.from(), link.to()));
        });
    }

    /** The node as an emulated one; the faults that need it are never played by processes. */
    private static InMemoryNode inMemory(FleetNode node) {
        return (InMemoryNode) node;
    }

    private void restart(FleetNode node) {
        if (!node.up()) {
            node.start();
        }
    }

    /** Drains a receiver and adds another one in its place; the old one stays in the list, as draining. */
    private void drain(Receiver old) {
        if (old.draining) {
            return;
        }
        int number = receivers.size() + replacements++;
        addReceiver(number, old.destination);
        old.draining = true;
        listVersion++;
        world.nodes.stream().filter(FleetNode::up)
                .forEach(node -> world.record(new Fact.ToldDrain(world.now(), node.name, old.name)));
        platforms.forEach(Platform::listChanged);
    }

    /** All facts as lines of text. */
    List<String> timeline() {
        return world.facts.stream().map(Fact::timelineLine).toList();
    }
}
