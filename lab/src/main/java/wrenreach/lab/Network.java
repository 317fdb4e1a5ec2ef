package wrenreach.lab;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wrenreach.relay.LinkDirection;

/** What lies between parties: emulated, or the machine's loopback. All of it is used on the world's one thread. */
abstract class Network {
    /** One end of a connection. */
    interface End {
        /** Bytes have come. */
        void received(byte[] bytes);

        /** The other side has closed, or the connection broke. */
        void closed();
    }

    /** Who takes connections at an address. */
    interface Listener {
        /** The party that listens. */
        Party party();

        /** A connection has come up; the end that will hear of it. */
        End accepted(Link link, InetSocketAddress from);
    }

    /** Who waits for a connect. */
    interface ConnectHandler {
        /** It came up; the end that will hear of it. */
        End opened(Link link);

        void refused();
    }

    /** A process or machine with connections of its own. */
    static final class Party {
        final String name;
        final Set<Link> links = new LinkedHashSet<>();
        /** What it sent at the present instant: a kill at that instant may take it back. */
        final List<EmulatedNetwork.InTransit> sentNow = new ArrayList<>();
        long sentAt = -1;
        boolean up = true;
        /** While it is not up: whether it is gone without a word. */
        boolean vanished;
        int zone;
        /** Who found it gone since it was last up. */
        final Set<Party> foundGoneBy = Collections.newSetFromMap(new IdentityHashMap<>());

        Party(String name) {
            this.name = name;
        }
    }

    /** One connection, seen from whom it was asked for (a) and who took it (b). */
    abstract static class Link {
        final Party initiator;
        final Party acceptor;

        Link(Party a, Party b) {
            this.initiator = a;
            this.acceptor = b;
        }

        /** Sends bytes from one side. */
        abstract void send(End from, byte[] bytes);

        /** One side closes; the other hears of it after all that was sent. */
        abstract void close(End from);

        /** Whether the one who asked for the connection has closed its side. */
        abstract boolean closedByInitiator();
    }

    abstract void listen(InetSocketAddress at, Listener listener);

    abstract void unlisten(InetSocketAddress at, Listener listener);

    /** Asks for a connection; it comes up, is refused, or nothing is heard. */
    abstract void connect(Party from, InetSocketAddress own, InetSocketAddress to, ConnectHandler asks);

    /** One way between two parties, by their names; who changes it says so with {@link #changed}. */
    abstract LinkDirection direction(String from, String to);

    /** What is wrong between the two, either way, has changed. */
    abstract void impairmentsChanged(String a, String b);

    /** All connections between the two break. */
    abstract void reset(String a, String b);

    /** What carries the links between the two dies with all connections, or is there again. */
    abstract void setRelayDead(String a, String b, boolean dead);

    /** The party's process dies: its connections break. takeBack: what it sent at this instant never left it. */
    abstract void die(Party party, boolean takeBack);

    /** The party's machine is gone without a word. */
    abstract void vanish(Party party);

    /** The party is back. */
    abstract void revive(Party party);
}
