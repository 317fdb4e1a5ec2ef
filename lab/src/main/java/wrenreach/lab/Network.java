package wrenreach.lab;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import wrenreach.relay.LinkDirection;

/** The network between the parties: emulated, or the machine's loopback. All of it is used on the world's thread only. */
abstract class Network {
    /** One end of a connection. */
    interface End {
        /** Called when bytes have arrived. */
        void received(byte[] bytes);

        /** Called when the other side has closed, or the connection broke. */
        void closed();
    }

    /** Accepts connections at an address. */
    interface Listener {
        /** The party that listens. */
        Party party();

        /** Called for a new connection; returns the end that is told of its events. */
        End accepted(Link link, InetSocketAddress from);
    }

    /** Receives the result of a TCP connect; it is told nothing if there is no reply. */
    interface ConnectHandler {
        /** Called when the connection is established; returns the end that is told of its events. */
        End opened(Link link);

        void refused();
    }

    /** A process or machine with connections of its own. */
    static final class Party {
        final String name;
        final Set<Link> links = new LinkedHashSet<>();
        /** What it sent at {@link #sentAt}: a kill at the same time may take it back. */
        final List<EmulatedNetwork.InTransit> sentNow = new ArrayList<>();
        long sentAt = -1;
        boolean up = true;
        /** While it is not up: whether it vanished, so that its connections were neither closed nor reset. */
        boolean vanished;
        int zone;
        /** The parties that noticed that it is down, since it was last up. */
        final Set<Party> foundGoneBy = Collections.newSetFromMap(new IdentityHashMap<>());

        Party(String name) {
            this.name = name;
        }
    }

    /** One connection between the party that opened it and the one that accepted it. */
    abstract static class Link {
        final Party initiator;
        final Party acceptor;

        Link(Party initiator, Party acceptor) {
            this.initiator = initiator;
            this.acceptor = acceptor;
        }

        /** Sends bytes from one side. */
        abstract void send(End from, byte[] bytes);

        /** Closes one side; the other is told after everything that was sent has arrived. */
        abstract void close(End from);

        /** Whether the party that opened the connection has closed its side. */
        abstract boolean closedByInitiator();
    }

    abstract void listen(InetSocketAddress at, Listener listener);

    abstract void unlisten(InetSocketAddress at, Listener listener);

    /** Opens a connection: it is established, refused, or gets no reply. */
    abstract void connect(Party from, InetSocketAddress own, InetSocketAddress to, ConnectHandler handler);

    /** One direction of the link between two parties, by their names; whoever changes it calls {@link #impairmentsChanged} after it. */
    abstract LinkDirection direction(String from, String to);

    /** Tells that the impairments of the link between the two parties have changed, in either direction. */
    abstract void impairmentsChanged(String a, String b);

    /** Resets all connections between the two parties. */
    abstract void reset(String a, String b);

    /** Stops the relay between the two parties, which breaks all connections through it, or starts it again. */
    abstract void setRelayDead(String a, String b, boolean dead);

    /** Ends the party's process: its connections break. takeBack: what it sent at the current time is dropped, as if it had never left the process. */
    abstract void die(Party party, boolean takeBack);

    /** Makes the party's machine vanish: its connections are neither closed nor reset. */
    abstract void vanish(Party party);

    /** Brings the party back after {@link #die} or {@link #vanish}. */
    abstract void revive(Party party);
}
