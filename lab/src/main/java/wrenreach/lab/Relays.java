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
 * The relays between the parties of one fleet of processes: from clients to each node, from each node to its platform and to each receiver, and for
 * datagrams between each two nodes. Each listens at an address of its own and connects from one that belongs to its client side, so that the
 * accepting party knows who opened a connection. All of it is used on one event loop. The number of relays is bounded by the fleet: nodes times
 * nodes, receivers and three more.
 */
final class Relays implements ScenarioRun.AddressPlan {
    private static final Impairment CUT = new Impairment(Impairment.Kind.CUT, 0, 0);
    /** Net (third byte of the address) at which clients reach the nodes. */
    private static final int CLIENT_NET = 10;
    /** Net at which nodes reach their platforms. */
    private static final int PLATFORM_NET = 11;
    /** Net at which node 0 reaches the receivers; those of the other nodes follow. */
    private static final int FIRST_RECEIVER_NET = 20;
    /** Net to which node 0 sends datagrams for other nodes; those of the other nodes follow. */
    private static final int FIRST_PEER_NET = 60;
    /** Net from which the relays connect on behalf of node 0; those of the other nodes follow. */
    private static final int FIRST_SOURCE_NET = 100;
    /** Limit of the parties of a kind. */
    private static final int MAX_PARTIES = 200;

    private record PlacedRelay(String from, String to, TcpRelay relay) {
        boolean between(String a, String b) {
            return from.equals(a) && to.equals(b) || from.equals(b) && to.equals(a);
        }

        boolean of(String party) {
            return from.equals(party) || to.equals(party);
        }
    }

    private final EventLoop loop;
    /** The second byte of every address of the run. */
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

    /** log receives a line for each event of a link. */
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

    /** The address at which clients reach a node. */
    InetSocketAddress clientAddress(int node) {
        return address(CLIENT_NET, node, ScenarioRun.LISTENER_PORT);
    }

    /** The address to which a node sends its datagrams for another node. */
    InetSocketAddress peerAddress(int node, int other, int port) {
        return address(FIRST_PEER_NET + node, other, port);
    }

    @Override public void receiverAdded(Receiver receiver) {
        for (int node = 0; node < nodes; node++) {
            addRelay("n" + node, receiver.name, receiverAddress(node, receiver), address(FIRST_SOURCE_NET + node, 0, 0), receiver.address);
        }
    }

    /** Starts all relays of a node but those to receivers. */
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

    /** Starts the datagram relays between all nodes, each of which receives at this port of its own address. */
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

    /** Why the machine refused to set up a relay or a listening socket; empty if it did not. */
    String failed() {
        return failed;
    }

    /** Reports that something the fleet needs can't be set up, which makes the run void. */
    void failed(String why) {
        failed = why;
        log.accept(why);
    }

    Network.Party partyAt(InetAddress from) {
        return partiesBySource.computeIfAbsent(from, address -> new Network.Party("?"));
    }

    /** All nodes, as the parties that receivers see. */
    Collection<Network.Party> allNodes() {
        return parties.values();
    }

    LinkDirection direction(String from, String to) {
        return directions.computeIfAbsent(from + ">" + to, name -> new LinkDirection());
    }

    void impairmentsChanged(String a, String b) {
        relays.stream().filter(placed -> placed.between(a, b)).forEach(placed -> placed.relay.changed());
        log.accept(a + "-" + b + " changes: " + describe(a, b) + ", " + describe(b, a));
    }

    private String describe(String a, String b) {
        LinkDirection direction = direction(a, b);
        return a + ">" + b + (direction.isHealthy() ? " sound" : direction.isCut() ? " cut" : direction.refuses() ? " refuses" : " troubled");
    }

    void reset(String a, String b) {
        relays.stream().filter(placed -> placed.between(a, b)).forEach(placed -> {
            log.accept(a + "-" + b + ": " + placed.relay.open() + " connections reset");
            placed.relay.reset();
        });
    }

    void setDead(String a, String b, boolean dead) {
        log.accept(a + "-" + b + ": relay " + (dead ? "dies" : "starts"));
        relays.stream().filter(placed -> placed.between(a, b)).forEach(placed -> {
            if (dead) {
                placed.relay.stop();
            } else {
                placed.relay.start();
            }
        });
    }

    /** Sets whether the party is listening. */
    void setListening(String party, boolean on) {
        relays.stream().filter(placed -> placed.to.equals(party)).forEach(placed -> placed.relay.targetUp(on));
    }

    /** Cuts all links of the party, or restores them with all their connections reset, as a machine that is back knows none of them. */
    void isolate(String party, boolean on) {
        if (!(on ? isolated.add(party) : isolated.remove(party))) {
            return;
        }
        relays.stream().filter(placed -> placed.of(party)).forEach(placed -> {
            for (LinkDirection direction : List.of(direction(placed.from, placed.to), direction(placed.to, placed.from))) {
                if (on) {
                    direction.begin(CUT);
                } else {
                    direction.end(CUT);
                }
            }
        });
        // Several relays may share a link, so they are told only after all directions have changed.
        relays.stream().filter(placed -> placed.of(party)).forEach(placed -> {
            if (!on) {
                placed.relay.reset();
            }
            placed.relay.changed();
        });
    }

    /** Stops all relays, including the plain sockets that cut links listen with, which no event loop closes by itself. */
    void close() {
        relays.forEach(placed -> placed.relay.stop());
        peers.values().forEach(UdpRelay::stop);
    }

    /** What each link carried, one line per link. */
    List<String> trafficSummary() {
        List<String> summary = new ArrayList<>();
        relays.forEach(placed -> summary.add(placed.from + ">" + placed.to + ": " + placed.relay.opened() + " connections"));
        peers.forEach((name, relay) -> summary.add(name + ": " + relay.passed() + " passed, " + relay.lost() + " lost"));
        return summary;
    }
}
