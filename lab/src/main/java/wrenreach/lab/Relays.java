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
final class Relays implements Play.Places {
    private static final Impairment CUT = new Impairment(Impairment.Kind.CUT, 0, 0);
    /** Nets of a run: as seen by clients, platforms, receivers behind node 0 and so on, datagrams from node 0 and so on. */
    private static final int FRONT = 10, PLATFORM = 11, RECEIVERS = 20, PEERS = 60, ASKS = 100, MOST = 200;

    private record Lies(String from, String to, TcpRelay relay) {
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
    private final Map<String, LinkDirection> ways = new HashMap<>();
    private final List<Lies> relays = new ArrayList<>();
    private final Map<String, UdpRelay> peers = new LinkedHashMap<>();
    private final Map<InetAddress, Network.Party> askers = new HashMap<>();
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

    private InetSocketAddress at(int net, int number, int port) {
        return new InetSocketAddress("127." + slot + "." + net + "." + (number + 1), port);
    }

    @Override public InetSocketAddress place(int net, int number, int port) {
        if (number >= MOST) {
            throw new IllegalStateException("more than " + MOST + " parties of a kind");
        }
        return at(net, number, port);
    }

    @Override public InetSocketAddress platform(int node) {
        return at(PLATFORM, node, Play.PLATFORM);
    }

    @Override public InetSocketAddress receiver(int node, Receiver receiver) {
        return at(RECEIVERS + node, receiver.number(), Play.RECEIVER);
    }

    /** Where clients find a node. */
    InetSocketAddress front(int node) {
        return at(FRONT, node, Play.DOOR);
    }

    /** Where a node finds another one's datagrams. */
    InetSocketAddress peer(int node, int other, int port) {
        return at(PEERS + node, other, port);
    }

    @Override public void added(Receiver receiver) {
        for (int node = 0; node < nodes; node++) {
            relay("n" + node, receiver.name, receiver(node, receiver), at(ASKS + node, 0, 0), receiver.address);
        }
    }

    /** Begins all links of a node but those to receivers. */
    void node(int node) {
        String name = "n" + node;
        Network.Party party = new Network.Party(name);
        parties.put(name, party);
        askers.put(at(ASKS + node, 0, 0).getAddress(), party);
        relay("clients", name, front(node), at(ASKS, MOST, 0), place(7, node, Play.DOOR));
        listens(name, false);
        for (int port : List.of(Play.PLATFORM, Play.PLATFORM + 1)) {
            relay(name, "platform-" + name, at(PLATFORM, node, port), at(ASKS + node, 0, 0), place(9, node, port));
        }
    }

    /** Begins the links for datagrams between all nodes, each of which takes them at this port of its own address. */
    void peers(int port) {
        for (int a = 0; a < nodes; a++) {
            for (int b = a + 1; b < nodes; b++) {
                UdpRelay relay = new UdpRelay(loop, new UdpRelay.Side(place(7, a, port), peer(a, b, port)),
                        new UdpRelay.Side(place(7, b, port), peer(b, a, port)), way("n" + a, "n" + b), way("n" + b, "n" + a), chance);
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

    private void relay(String from, String to, InetSocketAddress at, InetSocketAddress own, InetSocketAddress target) {
        TcpRelay relay = new TcpRelay(loop, at, own, target, way(from, to), way(to, from), chance, why -> {
            failed = from + ">" + to + ": " + why;
            log.accept(failed);
        });
        relays.add(new Lies(from, to, relay));
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

    Network.Party asks(InetAddress from) {
        return askers.computeIfAbsent(from, address -> new Network.Party("?"));
    }

    /** All nodes, as receivers know them. */
    Collection<Network.Party> all() {
        return parties.values();
    }

    LinkDirection way(String from, String to) {
        return ways.computeIfAbsent(from + ">" + to, name -> new LinkDirection());
    }

    void changed(String a, String b) {
        relays.stream().filter(one -> one.between(a, b)).forEach(one -> one.relay.changed());
        log.accept(a + "-" + b + " changes: " + told(a, b) + ", " + told(b, a));
    }

    private String told(String a, String b) {
        LinkDirection way = way(a, b);
        return a + ">" + b + (way.isHealthy() ? " sound" : way.isCut() ? " cut" : way.refuses() ? " refuses" : " troubled");
    }

    void reset(String a, String b) {
        relays.stream().filter(one -> one.between(a, b)).forEach(one -> {
            log.accept(a + "-" + b + ": " + one.relay.open() + " connections reset");
            one.relay.reset();
        });
    }

    void dead(String a, String b, boolean dead) {
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
    void listens(String party, boolean on) {
        relays.stream().filter(one -> one.to.equals(party)).forEach(one -> one.relay.targetUp(on));
    }

    /** Nothing passes to or from the party; when it is back, it knows none of its connections. */
    void isolate(String party, boolean on) {
        if (!(on ? isolated.add(party) : isolated.remove(party))) {
            return;
        }
        relays.stream().filter(one -> one.of(party)).forEach(one -> {
            for (LinkDirection way : List.of(way(one.from, one.to), way(one.to, one.from))) {
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
    List<String> carried() {
        List<String> all = new ArrayList<>();
        relays.forEach(one -> all.add(one.from + ">" + one.to + ": " + one.relay.opened() + " connections"));
        peers.forEach((name, relay) -> all.add(name + ": " + relay.passed() + " passed, " + relay.lost() + " lost"));
        return all;
    }
}
