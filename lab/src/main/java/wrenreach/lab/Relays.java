package wrenreach.lab;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import wrenreach.relay.TcpRelay;
import wrenreach.relay.Impairment;
import wrenreach.relay.UdpRelay;
import wrenreach.relay.LinkDirection;

/**
 * The relays between the parties of one fleet of processes: from clients to each node, from each node to its platform and to
 * each receiver, and for datagrams between each two nodes. Each lies at an address of its own and comes from one of its own,
 * so that who asks is known. All of it is used on one loop. Bounded by the fleet: nodes times nodes, receivers and three more.
 */
final class Relays implements ScenarioRun.AddressPlan {
    private static final Impairment CUT = new Impairment(Impairment.Kind.CUT, 0, 0);
    /** Nets of a run: as seen by clients, platforms, receivers behind node 0 and so on, datagrams from node 0 and so on. */
    private static final int CLIENT_NET = 10, PLATFORM_NET = 11, FIRST_RECEIVER_NET = 20, FIRST_PEER_NET = 60, FIRST_SOURCE_NET = 100, MAX_PARTIES = 200;

    private record PlacedRelay(String from, String to, TcpRelay relay) {
        boolean between(String a, String b) {
            return from.equals(a) && to.equals(b) || from.equals(b) && to.equals(a);
        }

        boolean of(String party) {
            return from.equals(party) || to.equals(party);
        }
    }

    private final EventLoop loop;
    /** The second part of every address of the run. */
    private final int slot;
    private final int nodes;
    private final DoubleSupplier chance;
    private final Consumer<String> log;
    private final Map<String, LinkDirection> directions = new HashMap<>();
    private final List<PlacedRelay> relays = new ArrayList<>();
    private final Map<String, UdpRelay> peers = new LinkedHashMap<>();
    private final Map<InetAddress, Network.Party> partiesBySource = new HashMap<>();
    private final Map<String, Network.Party> parties = new LinkedHashMap<>();
    private final Set<String> isolated = new HashSet<>();
    private String failed = "";

    /** log: takes a line on each thing that happens to a link. */
    Relays(EventLoop loop, int slot, int nodes, DoubleSupplier chance, Consumer<String> log) {
        this.loop = loop;
        this.slot = slot;
        this.nodes = nodes;
        this.chance = chance;
        this.log = log;
    }

    private InetSocketAddress address(int net, int number, int port) {
        return new InetSocketAddress("127." + slot + "." + net + "." + (number + 1), port);
    }

    @Override public InetSocketAddress addressOf(int net, int number, int port) {
        if (number >= MAX_PARTIES) {
            throw new IllegalStateException("more than " + MAX_PARTIES + " parties of a kind");
        }
        return address(net, number, port);
    }

    @Override public InetSocketAddress platformAddress(int node) {
        return address(PLATFORM_NET, node, ScenarioRun.PLATFORM_PORT);
    }

    @Override public InetSocketAddress receiverAddress(int node, Receiver receiver) {
        return address(FIRST_RECEIVER_NET + node, receiver.number(), ScenarioRun.RECEIVER_PORT);
    }

    /** Where clients find a node. */
    InetSocketAddress clientAddress(int node) {
        return address(CLIENT_NET, node, ScenarioRun.LISTENER_PORT);
    }

    /** Where a node finds another one's datagrams. */
    InetSocketAddress peerAddress(int node, int other, int port) {
        return address(FIRST_PEER_NET + node, other, port);
    }

    @Override public void receiverAdded(Receiver receiver) {
        for (int node = 0; node < nodes; node++) {
            addRelay("n" + node, receiver.name, receiverAddress(node, receiver), address(FIRST_SOURCE_NET + node, 0, 0), receiver.address);
        }
    }

    /** Begins all links of a node but those to receivers. */
    void addNode(int node) {
        String name = "n" + node;
        Network.Party party = new Network.Party(name);
        parties.put(name, party);
        partiesBySource.put(address(FIRST_SOURCE_NET + node, 0, 0).getAddress(), party);
        addRelay("clients", name, clientAddress(node), address(FIRST_SOURCE_NET, MAX_PARTIES, 0), addressOf(7, node, ScenarioRun.LISTENER_PORT));
        setListening(name, false);
        for (int port : List.of(ScenarioRun.PLATFORM_PORT, ScenarioRun.PLATFORM_PORT + 1)) {
            addRelay(name, "platform-" + name, address(PLATFORM_NET, node, port), address(FIRST_SOURCE_NET + node, 0, 0), addressOf(9, node, port));
        }
    }

    /** Begins the links for datagrams between all nodes, each of which takes them at this port of its own address. */
    void peers(int port) {
        for (int a = 0; a < nodes; a++) {
            for (int b = a + 1; b < nodes; b++) {
                UdpRelay relay = new UdpRelay(loop, new UdpRelay.Side(addressOf(7, a, port), peerAddress(a, b, port)),
                        new UdpRelay.Side(addressOf(7, b, port), peerAddress(b, a, port)), direction("n" + a, "n" + b), direction("n" + b, "n" + a), chance);
                String name = "datagrams n" + a + "-n" + b;
                relay.start().addListener(done -> {
                    if (!done.isSuccess()) {
                        failed = name + ": " + done.cause().getMessage();
                    }
                });
                peers.put(name, relay);
            }
        }
    }

    private void addRelay(String from, String to, InetSocketAddress at, InetSocketAddress own, InetSocketAddress target) {
        TcpRelay relay = new TcpRelay(loop, at, own, target, direction(from, to), direction(to, from), chance, why -> {
            failed = from + ">" + to + ": " + why;
            log.accept(failed);
        });
        relays.add(new PlacedRelay(from, to, relay));
        relay.start();
    }

    /** What the machine refused; empty: nothing. */
    String failed() {
        return failed;
    }

    /** Something that the fleet stands on can't be had: the run is void. */
    void failed(String why) {
        failed = why;
        log.accept(why);
    }

    Network.Party partyAt(InetAddress from) {
        return partiesBySource.computeIfAbsent(from, address -> new Network.Party("?"));
    }

    /** All nodes, as receivers know them. */
    Collection<Network.Party> allNodes() {
        return parties.values();
    }

    LinkDirection direction(String from, String to) {
        return directions.computeIfAbsent(from + ">" + to, name -> new LinkDirection());
    }

    void impairmentsChanged(String a, String b) {
        relays.stream().filter(one -> one.between(a, b)).forEach(one -> one.relay.changed());
        log.accept(a + "-" + b + " changes: " + describe(a, b) + ", " + describe(b, a));
    }

    private String describe(String a, String b) {
        LinkDirection way = direction(a, b);
        return a + ">" + b + (way.isHealthy() ? " sound" : way.isCut() ? " cut" : way.refuses() ? " refuses" : " troubled");
    }

    void reset(String a, String b) {
        relays.stream().filter(one -> one.between(a, b)).forEach(one -> {
            log.accept(a + "-" + b + ": " + one.relay.open() + " connections reset");
            one.relay.reset();
        });
    }

    void setDead(String a, String b, boolean dead) {
        log.accept(a + "-" + b + ": relay " + (dead ? "dies" : "starts"));
        relays.stream().filter(one -> one.between(a, b)).forEach(one -> {
            if (dead) {
                one.relay.stop();
            } else {
                one.relay.start();
            }
        });
    }

    /** Whether somebody listens at the party. */
    void setListening(String party, boolean on) {
        relays.stream().filter(one -> one.to.equals(party)).forEach(one -> one.relay.targetUp(on));
    }

    /** Nothing passes to or from the party; when it is back, it knows none of its connections. */
    void isolate(String party, boolean on) {
        if (!(on ? isolated.add(party) : isolated.remove(party))) {
            return;
        }
        relays.stream().filter(one -> one.of(party)).forEach(one -> {
            for (LinkDirection way : List.of(direction(one.from, one.to), direction(one.to, one.from))) {
                if (on) {
                    way.begin(CUT);
                } else {
                    way.end(CUT);
                }
            }
        });
        // Several relays may share a link: each looks at its ways once all have changed.
        relays.stream().filter(one -> one.of(party)).forEach(one -> {
            if (!on) {
                one.relay.reset();
            }
            one.relay.changed();
        });
    }

    /** All of it is gone, walls too, which no loop closes by itself. */
    void close() {
        relays.forEach(one -> one.relay.stop());
        peers.values().forEach(UdpRelay::stop);
    }

    /** What each link carried, a line each. */
    List<String> trafficSummary() {
        List<String> all = new ArrayList<>();
        relays.forEach(one -> all.add(one.from + ">" + one.to + ": " + one.relay.opened() + " connections"));
        peers.forEach((name, relay) -> all.add(name + ": " + relay.passed() + " passed, " + relay.lost() + " lost"));
        return all;
    }
}
