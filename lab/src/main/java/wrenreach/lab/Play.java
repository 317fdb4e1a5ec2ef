package wrenreach.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.node.Config;

/** Plays one scenario: builds its world, lets its faults happen and hands back what happened. */
final class Play {
    static final long MS = 1_000_000;
    /** Figures of the settings that all scenarios share, in seconds. */
    static final double WINDOW = 5, GRACE = 0.5, COLD_FROM = 0.3, COLD = 12, OVERLOAD = 1.5, TIP_AFTER = 2, LATE_SHARE = 0.5;
    private static final String[] EFFECTS = {"pure", "token", "side_effect"};
    /** After the last mail's time the restart of its node may still pass. */
    private static final long AFTER = 6_000 * MS;
    private static final int PLATFORM = 8500, RECEIVER = 8080;

    final Scenario scenario;
    final World world;
    final Settings settings;
    private final List<Receiver> receivers = new ArrayList<>();
    private final List<Platform> platforms = new ArrayList<>();
    private int version = 1;
    private int replaced;
    /** The list as text, and of which version: each node reads it. */
    private String list;
    private int listed;

    /** Makes a node of the fleet. */
    interface NodeMaker {
        FleetNode node(String name, Config config, String json, int zone);
    }

    /** Builds what a scenario needs in its world and starts its nodes; nothing comes before {@link #begin}. */
    Play(Scenario scenario, World world, NodeMaker maker) {
        this.scenario = scenario;
        this.world = world;
        for (int i = 0; i < scenario.destinations() * scenario.endpoints(); i++) {
            receivers.add(receiver("r" + i, i, i % scenario.destinations()));
        }
        Config config = null;
        for (int i = 0; i < scenario.nodes(); i++) {
            InetSocketAddress agent = new InetSocketAddress(host(9, i), PLATFORM);
            config = config(i, agent);
            world.nodes.add(maker.node("n" + i, config, json(i, agent), i % scenario.zones()));
            platforms.add(new Platform(world, "n" + i, agent, this::list));
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
        World world = new World(scenario.seed());
        Play play = new Play(scenario, world, (name, config, json, zone) ->
                new LabNode(world, name, config.listen(), config, json, zone, scenario.store(), module));
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
        for (Scenario.Fault fault : scenario.faults()) {
            world.at(begin + fault.atMs() * MS, () -> begin(fault));
        }
        int lifetime = scenario.playedClasses().stream().mapToInt(Scenario.QueueClass::lifetimeMs).max().orElseThrow();
        return begin + length + lifetime * MS + AFTER;
    }

    private Receiver receiver(String name, int number, int destination) {
        return new Receiver(world, name, new InetSocketAddress(host(8, number), RECEIVER),
                destination, number / scenario.destinations() % scenario.zones(), COLD_FROM, COLD, OVERLOAD, TIP_AFTER);
    }

    private static String host(int net, int number) {
        return "127." + net + "." + number / 200 + "." + (number % 200 + 1);
    }

    private String list() {
        if (listed != version) {
            listed = version;
            list = written();
        }
        return list;
    }

    private String written() {
        return "{\"index\":" + version + ",\"snapshot\":true,\"endpoints\":[" + receivers.stream().map(r -> String.format(
                Locale.ROOT, "{\"name\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z%d\",\"type\":\"small\",\"group\":%d,"
                + "\"status\":\"%s\",\"weight\":100}", r.name, r.address.getHostString(), RECEIVER, r.party.zone, r.destination,
                r.draining ? "DRAINING" : "SERVING")).collect(Collectors.joining(",")) + "]}";
    }

    private Config config(int number, InetSocketAddress agent) {
        try {
            return Config.parse(json(number, agent).getBytes(StandardCharsets.UTF_8), Map.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String json(int number, InetSocketAddress agent) {
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
                """, number, host(7, number), agent.getHostString(), agent.getPort(), scenario.seed() * 64 + number & Long.MAX_VALUE, list(), number,
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
        world.record(new Fact.Fault(world.now(), fault.text()));
        FleetNode node = world.nodes.get(Math.floorMod(fault.which(), world.nodes.size()));
        Receiver receiver = receivers.get(Math.floorMod(fault.which(), receivers.size()));
        long length = fault.forMs() * MS;
        switch (fault.kind()) {
            case KILL -> {
                node.kill();
                world.later(length, () -> restart(node));
            }
            case KILL_WRITTEN -> lab(node).killAtWrite(1, LabNode.Moment.WRITTEN, () -> world.later(length, () -> restart(node)));
            case KILL_TORN -> lab(node).killAtWrite(1, LabNode.Moment.TORN, () -> world.later(length, () -> restart(node)));
            case DOWN -> {
                if (receiver.party.up) {
                    receiver.up(false);
                    world.later(length, () -> receiver.up(true));
                }
            }
            case VANISH_NODE -> {
                lab(node).vanish();
                world.later(length, () -> restart(node));
            }
            case STOP -> node.stop(length);
            case RELOAD -> {
                lab(node).reload(PLATFORM + 1);
                world.later(length, () -> lab(node).reload(PLATFORM));
            }
            case WRITE_FAILS -> lab(node).failWrite();
            case DISK_FULL -> {
                lab(node).fillDisk(true);
                world.later(length, () -> lab(node).fillDisk(false));
            }
            case CUT_CLIENTS -> cut(node.name, "clients", length);
            case VANISH -> {
                if (receiver.party.up) {
                    receiver.vanish();
                    world.later(length, () -> receiver.up(true));
                }
            }
            case SILENT, SLOW, FULL, ERRING -> {
                receiver.failing = fault.kind();
                world.later(length, () -> receiver.failing = null);
            }
            case DRAIN -> drain(receiver);
            case CUT_PLATFORM -> cut(node.name, "platform-" + node.name, length);
            case CUT_RECEIVER -> cut(node.name, receiver.name, length);
        }
    }

    /** Those faults that are not real are played in virtual time only. */
    private static LabNode lab(FleetNode node) {
        return (LabNode) node;
    }

    private void restart(FleetNode node) {
        if (!node.up()) {
            node.start();
        }
    }

    private void cut(String a, String b, long length) {
        world.network.cut(a, b, true);
        world.later(length, () -> world.network.cut(a, b, false));
    }

    /** A receiver is drained and another one takes its place; the old one leaves the list later. */
    private void drain(Receiver old) {
        if (old.draining) {
            return;
        }
        int number = receivers.size() + replaced++;
        receivers.add(receiver("r" + number, number, old.destination));
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
