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

/** Plays one scenario: builds its world, lets its faults happen and hands back what happened. */
final class Play {
    static final long MS = 1_000_000;
    /** Figures of the settings that all scenarios share, in seconds. */
    static final double WINDOW = 5, GRACE = 0.5, COLD_FROM = 0.3, COLD = 12, OVERLOAD = 1.5, TIP_AFTER = 2, LATE_SHARE = 0.5;
    private static final String[] EFFECTS = {"pure", "token", "side_effect"};
    /** After the last mail's time the restart of its node may still pass. */
    private static final long AFTER = 6_000 * MS;
    static final int PLATFORM = 8500, RECEIVER = 8080, DOOR = 6379;
    /** Between two looks whether what a fault waits for has come. */
    private static final long LOOK = 5 * MS;

    final Scenario scenario;
    final World world;
    final Settings settings;
    private final List<Receiver> receivers = new ArrayList<>();
    private final List<Platform> platforms = new ArrayList<>();
    private int version = 1;
    private int replaced;
    /** The list as text as each node reads it, and of which version. */
    private final Map<Integer, String> lists = new HashMap<>();
    private int listed;
    private final Places places;
    /** Of which kind of thing, and of whom, how much has been seen. */
    private final Map<String, Integer> seen = new HashMap<>();
    private int seenFacts;

    /** Where the parties are: in memory each by its own address, by processes behind relays. */
    interface Places {
        /** An address of the net of parties of one kind. */
        InetSocketAddress place(int net, int number, int port);

        /** Where a node finds its platform, and one of its receivers. */
        default InetSocketAddress platform(int node) {
            return place(9, node, PLATFORM);
        }

        default InetSocketAddress receiver(int node, Receiver receiver) {
            return receiver.address;
        }

        /** There is one more receiver. */
        default void added(Receiver receiver) { }
    }

    /** In memory: thousands of each, at addresses that mean nothing outside. */
    static final Places EMULATED = (net, number, port) ->
            new InetSocketAddress("127." + net + "." + number / 200 + "." + (number % 200 + 1), port);

    /** Makes a node of the fleet. */
    interface NodeMaker {
        FleetNode node(String name, Config config, String json, int zone);
    }

    /** Builds what a scenario needs in its world and starts its nodes; nothing comes before {@link #begin}. */
    Play(Scenario scenario, World world, Places places, NodeMaker maker) {
        this.scenario = scenario;
        this.world = world;
        this.places = places;
        for (int i = 0; i < scenario.destinations() * scenario.endpoints(); i++) {
            add(i, i % scenario.destinations());
        }
        Config config = null;
        for (int i = 0; i < scenario.nodes(); i++) {
            int node = i;
            config = config(i);
            world.nodes.add(maker.node("n" + i, config, json(i), i % scenario.zones()));
            platforms.add(new Platform(world, "n" + i, places.place(9, i, PLATFORM), () -> list(node)));
        }
        settings = config.settings();
        world.nodes.forEach(FleetNode::start);
    }

    /** Plays a scenario with this module in its nodes, to its end. */
    static Play of(Scenario scenario, Function<Settings, Dispatcher> module) {
        return of(scenario, module, world -> { });
    }

    /** The same, with something done to its world before it begins. */
    static Play of(Scenario scenario, Function<Settings, Dispatcher> module, Consumer<World> before) {
        return of(scenario, module, Experiment.Setup.NONE, before);
    }

    /** The same with what the operator's files switch on. */
    static Play of(Scenario scenario, Function<Settings, Dispatcher> module, Experiment.Setup setup, Consumer<World> before) {
        World world = new World(scenario.seed());
        Play play = new Play(scenario, world, EMULATED, (name, config, json, zone) ->
                new LabNode(world, name, config, json, zone, scenario.store(), module, setup.inMemory(name)));
        before.accept(world);
        world.play(play.begin());
        return play;
    }

    /** Lets mails come and faults happen from now on; the instant at which all is over. */
    long begin() {
        long begin = world.now();
        long length = scenario.lengthMs() * MS;
        Clients clients = new Clients(world, scenario.destinations(), scenario.playedClasses());
        world.later(500 * MS, () -> clients.come(scenario.rate(), begin + length));
        List<Scenario.Fault> waiting = new ArrayList<>();
        for (Scenario.Fault fault : scenario.faults()) {
            if (fault.once() == null) {
                world.at(begin + fault.atMs() * MS, () -> begin(fault));
            } else {
                waiting.add(fault);
            }
        }
        if (!waiting.isEmpty()) {
            look(waiting, begin + length);
        }
        int lifetime = scenario.playedClasses().stream().mapToInt(Scenario.QueueClass::lifetimeMs).max().orElseThrow();
        return begin + length + lifetime * MS + AFTER;
    }

    /** Begins those faults that wait for something which has been seen by now; at the day's end they wait no longer. */
    private void look(List<Scenario.Fault> waiting, long until) {
        for (; seenFacts < world.facts.size(); seenFacts++) {
            Fact fact = world.facts.get(seenFacts);
            if (fact instanceof Fact.Answered answered && answered.answer().equals("OK")) {
                count(Scenario.Once.Seen.TAKEN, answered.node());
            } else if (fact instanceof Fact.Delivered delivered) {
                count(Scenario.Once.Seen.DELIVERED, delivered.receiver());
            } else if (fact instanceof Fact.Called called) {
                count(Scenario.Once.Seen.CALLED, called.receiver());
            } else if (fact instanceof Fact.Noticed noticed) {
                count(Scenario.Once.Seen.NOTICED, noticed.node());
            } else if (fact instanceof Fact.Died died) {
                count(Scenario.Once.Seen.DIED, died.node());
            } else if (fact instanceof Fact.Serves serves) {
                count(Scenario.Once.Seen.SERVES, serves.node());
            }
        }
        List<Scenario.Fault> come = waiting.stream().filter(fault -> seen.getOrDefault(fault.once().seen() + " "
                + fault.once().party(), 0) >= fault.once().count()).toList();
        waiting.removeAll(come);
        come.forEach(this::begin);
        if (world.now() >= until) {
            waiting.forEach(fault -> world.record(new Fact.NeverCame(world.now(), fault.text())));
        } else if (!waiting.isEmpty()) {
            world.later(LOOK, () -> look(waiting, until));
        }
    }

    private void count(Scenario.Once.Seen what, String party) {
        String set = party.startsWith("n") ? "nodes" : "receivers";
        seen.merge(what + " " + party, 1, Integer::sum);
        seen.merge(what + " " + set, 1, Integer::sum);
    }

    private void add(int number, int destination) {
        Receiver receiver = new Receiver(world, "r" + number, places.place(8, number, RECEIVER),
                destination, number / scenario.destinations() % scenario.zones(), COLD_FROM, COLD, OVERLOAD, TIP_AFTER);
        receivers.add(receiver);
        places.added(receiver);
    }

    /** In memory all nodes read the same text. */
    private String list(int node) {
        if (listed != version) {
            listed = version;
            lists.clear();
        }
        return lists.computeIfAbsent(places == EMULATED ? 0 : node, this::written);
    }

    private String written(int node) {
        return "{\"index\":" + version + ",\"snapshot\":true,\"endpoints\":[" + receivers.stream().map(r -> String.format(
                Locale.ROOT, "{\"name\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z%d\",\"type\":\"small\",\"group\":%d,"
                + "\"status\":\"%s\",\"weight\":100}", r.name, places.receiver(node, r).getHostString(), RECEIVER, r.party.zone, r.destination,
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
        InetSocketAddress agent = places.platform(number);
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
                """, number, places.place(7, number, DOOR).getHostString(), agent.getHostString(), agent.getPort(),
                scenario.seed() * 64 + number & Long.MAX_VALUE, list(number), number,
                scenario.nodes(), number % scenario.zones(), IntStream.range(0, scenario.zones()).mapToObj(z -> "\"z" + z + "\"")
                .collect(Collectors.joining(",")), classes(), GRACE, COLD_FROM, COLD,
                OVERLOAD, TIP_AFTER);
    }

    private String classes() {
        return scenario.playedClasses().stream().map(one -> String.format(Locale.ROOT, "{\"Name\":\"%s\",\"Promise\":%.3f,"
                + "\"Deadline\":%.3f,\"Value\":%s,\"LateShare\":%s,\"Effect\":\"%s\",\"KeyScope\":\"all\",\"Window\":%.1f,"
                + "\"InTurn\":true,\"Stream\":false}", one.name(), one.targetMs() / 1000.0, one.lifetimeMs() / 1000.0,
                one.importance(), LATE_SHARE, EFFECTS[one.effect().ordinal()], WINDOW)).collect(Collectors.joining(","));
    }

    private void begin(Scenario.Fault fault) {
        long length = fault.forMs() * MS;
        world.record(new Fact.Fault(world.now(), fault.text(), world.now() + length, fault));
        switch (fault.kind().of) {
            case NODE -> fault.which(world.nodes.size()).forEach(i -> begin(fault, world.nodes.get(i), length));
            case RECEIVER -> fault.which(receivers.size()).forEach(i -> begin(fault, receivers.get(i), length));
            default -> beginOnLinks(fault, length);
        }
    }

    private void begin(Scenario.Fault fault, Receiver receiver, long length) {
        switch (fault.kind()) {
            case DOWN -> {
                if (receiver.party.up) {
                    receiver.up(false);
                    world.later(length, () -> receiver.up(true));
                }
            }
            case VANISH -> {
                if (receiver.party.up) {
                    receiver.vanish();
                    world.later(length, () -> receiver.up(true));
                }
            }
            case DRAIN -> drain(receiver);
            default -> {
                receiver.failing = fault.kind();
                world.later(length, () -> receiver.failing = null);
            }
        }
    }

    private void begin(Scenario.Fault fault, FleetNode node, long length) {
        Runnable restart = () -> restart(node);
        switch (fault.kind()) {
            case KILL -> {
                node.kill();
                world.later(length, restart);
            }
            case KILL_WRITTEN -> lab(node).killAtWrite(1, LabNode.Moment.WRITTEN, () -> world.later(length, restart));
            case KILL_TORN -> lab(node).killAtWrite(1, LabNode.Moment.TORN, () -> world.later(length, restart));
            case VANISH_NODE -> {
                node.vanish();
                world.later(length, restart);
            }
            case STOP -> node.stop(length);
            case RELOAD -> {
                node.reload(PLATFORM + 1);
                world.later(length, () -> node.reload(PLATFORM));
            }
            case WRITE_FAILS -> lab(node).failWrite();
            case DISK_FULL -> {
                lab(node).fillDisk(true);
                world.later(length, () -> lab(node).fillDisk(false));
            }
            case FREEZE -> {
                node.freeze(true);
                world.later(length, () -> node.freeze(false));
            }
            case IGNORES_TERM -> {
                node.deafToTerm(true);
                node.stop(length);
                world.later(FleetNode.STOP_PATIENCE + length, () -> node.deafToTerm(false));
            }
            case BROKEN_START -> {
                node.brokenStart(true);
                node.kill();
                restart.run();
                world.later(length, () -> {
                    node.brokenStart(false);
                    restart.run();
                });
            }
            case SLOW_START -> {
                node.kill();
                node.slowStart(length);
                restart.run();
            }
            case OLD_STATE -> {
                node.state(FleetNode.State.KEPT_ASIDE);
                world.later(length, () -> changeState(node, FleetNode.State.PUT_BACK, restart));
            }
            case LOSE_STATE -> {
                changeState(node, FleetNode.State.LOST, () -> { });
                world.later(length, restart);
            }
            case READONLY_STATE -> {
                node.kill();
                node.state(FleetNode.State.READ_ONLY);
                restart.run();
                world.later(length, () -> {
                    node.kill();
                    node.state(FleetNode.State.WRITABLE);
                    restart.run();
                });
            }
            case CUT_PLATFORM, CUT_CLIENTS, CUT_RECEIVER -> {
                String other = fault.kind() == Scenario.Kind.CUT_PLATFORM ? "platform-" + node.name
                        : fault.kind() == Scenario.Kind.CUT_CLIENTS ? "clients"
                        : receivers.get(Math.floorMod(Integer.parseInt(fault.target()), receivers.size())).name;
                trouble(List.of(new FaultText.OneWay(node.name, other), new FaultText.OneWay(other, node.name)),
                        new Impairment(Impairment.Kind.CUT, 0, 0), length);
            }
            case KILL_IN_WRITE -> node.killInWrite(length);
            case WALL_AHEAD, WALL_BEHIND -> {
                long step = (long) ((fault.kind() == Scenario.Kind.WALL_AHEAD ? 1e9 : -1e9) * fault.figure());
                node.stepWall(step);
                world.later(length, () -> node.stepWall(-step));
            }
            default -> {
                SystemCallFaults.Call call = fault.kind().call();
                if (call == null) {
                    beginOnLinks(fault, length);
                } else {
                    node.failCalls(call, fault.figure(), (int) fault.more());
                    world.later(length, () -> node.failCalls(call, 0, SystemCallFaults.DRAWN));
                }
            }
        }
    }

    private void changeState(FleetNode node, FleetNode.State what, Runnable then) {
        node.kill();
        node.state(what);
        world.record(new Fact.StateLost(world.now(), node.name));
        then.run();
    }

    private void beginOnLinks(Scenario.Fault fault, long length) {
        List<FaultText.OneWay> ways = FaultText.ways(fault, world.nodes.size(), receivers.size());
        switch (fault.kind()) {
            case RESET -> links(ways).forEach(link -> {
                if (fault.figure() >= 1 || world.chance(fault.figure())) {
                    world.network.reset(link.from(), link.to());
                }
            });
            case RELAY_DIES -> links(ways).forEach(link -> {
                world.network.relay(link.from(), link.to(), true);
                world.later(length, () -> world.network.relay(link.from(), link.to(), false));
            });
            case PARTITION, MUTE, DEAF, RING -> trouble(ways, new Impairment(Impairment.Kind.CUT, 0, 0), length);
            default -> trouble(ways, new Impairment(Impairment.Kind.valueOf(fault.kind().name()), fault.figure(), fault.more()), length);
        }
    }

    /** Each pair of parties once. */
    private static List<FaultText.OneWay> links(List<FaultText.OneWay> ways) {
        Set<FaultText.OneWay> once = new LinkedHashSet<>();
        ways.stream().filter(way -> !once.contains(new FaultText.OneWay(way.to(), way.from()))).forEach(once::add);
        return List.copyOf(once);
    }

    private void trouble(List<FaultText.OneWay> ways, Impairment trouble, long length) {
        ways.forEach(way -> world.network.way(way.from(), way.to()).begin(trouble));
        links(ways).forEach(link -> world.network.changed(link.from(), link.to()));
        world.later(length, () -> {
            ways.forEach(way -> world.network.way(way.from(), way.to()).end(trouble));
            links(ways).forEach(link -> world.network.changed(link.from(), link.to()));
        });
    }

    /** Those faults that are of memory only are never played by processes. */
    private static LabNode lab(FleetNode node) {
        return (LabNode) node;
    }

    private void restart(FleetNode node) {
        if (!node.up()) {
            node.start();
        }
    }

    /** A receiver is drained and another one takes its place; the old one leaves the list later. */
    private void drain(Receiver old) {
        if (old.draining) {
            return;
        }
        int number = receivers.size() + replaced++;
        add(number, old.destination);
        old.draining = true;
        version++;
        world.nodes.stream().filter(FleetNode::up)
                .forEach(node -> world.record(new Fact.ToldDrain(world.now(), node.name, old.name)));
        platforms.forEach(Platform::changed);
    }

    /** The day as lines, with how it came out. */
    List<String> timeline() {
        return world.facts.stream().map(Fact::line).toList();
    }
}
