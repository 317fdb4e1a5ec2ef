package wrenreach.lab;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wrenreach.relay.Impairment;
import wrenreach.relay.LinkDirection;

/** The emulated network: delay, fragments, cuts, refused and silent connects, half-open connections. */
final class EmulatedNetwork extends Network {
    /** Something under way on a connection, in its place behind what was sent before. */
    static final class InTransit {
        final long at;
        final Runnable arrives;
        /** It is the half that still goes through. */
        final boolean passesTruncation;
        boolean takenBack;

        InTransit(long at, Runnable arrives, boolean first) {
            this.at = at;
            this.arrives = arrives;
            this.passesTruncation = first;
        }
    }

    /** One connection, seen from whom it was asked for (a) and who took it (b). */
    private final class EmulatedLink extends Link {
        private End initiatorEnd;
        private End acceptorEnd;
        private boolean initiatorClosed;
        private boolean acceptorClosed;
        private boolean vanished;
        private final Deque<InTransit> inTransitToInitiator = new ArrayDeque<>();
        private final Deque<InTransit> inTransitToAcceptor = new ArrayDeque<>();
        private final LinkDirection directionToAcceptor;
        private final LinkDirection directionToInitiator;
        private long lastArrivalAtInitiator;
        private long lastArrivalAtAcceptor;

        private EmulatedLink(Party a, Party b) {
            super(a, b);
            directionToAcceptor = direction(a.name, b.name);
            directionToInitiator = direction(b.name, a.name);
            a.links.add(this);
            b.links.add(this);
        }

        /** Sends bytes from one side; they come in order, maybe in pieces. */
        @Override void send(End from, byte[] bytes) {
            boolean toB = from == initiatorEnd;
            Party sender = toB ? initiator : acceptor;
            int passes = (toB ? directionToAcceptor : directionToInitiator).passedBytes(bytes.length);
            if (passes < bytes.length) {
                sendPiece(toB, sender, Arrays.copyOf(bytes, passes), true);
                sendPiece(toB, sender, Arrays.copyOfRange(bytes, passes, bytes.length), false);
                return;
            }
            int pieces = bytes.length > 1 && world.withProbability(FRAGMENTATION_PROBABILITY) ? 2 + world.nextIntBelow(3) : 1;
            int at = 0;
            for (int i = 0; i < pieces; i++) {
                int end = i == pieces - 1 ? bytes.length : at + world.nextIntBelow(bytes.length - at);
                byte[] piece = Arrays.copyOfRange(bytes, at, end);
                at = end;
                if (piece.length > 0) {
                    sendPiece(toB, sender, piece, false);
                }
            }
        }

        private void sendPiece(boolean toB, Party sender, byte[] piece, boolean first) {
            transmit(toB, sender, piece.length, first, () -> {
                End to = toB ? acceptorEnd : initiatorEnd;
                if (to != null && !(toB ? acceptorClosed : initiatorClosed)) {
                    to.received(piece);
                } else if (vanished && (toB ? acceptor : initiator).up) {
                    // A machine that is back does not know the connection any more.
                    end(!toB);
                }
            });
        }

        /** One side closes; the other hears of it after all that was sent. */
        @Override void close(End from) {
            boolean byA = from == initiatorEnd;
            if (byA ? initiatorClosed : acceptorClosed) {
                return;
            }
            initiatorClosed |= byA;
            acceptorClosed |= !byA;
            (byA ? initiator : acceptor).links.remove(this);
            transmit(byA, byA ? initiator : acceptor, 0, false, () -> end(byA));
        }

        private void end(boolean atB) {
            if (!(atB ? acceptorClosed : initiatorClosed)) {
                initiatorClosed |= !atB;
                acceptorClosed |= atB;
                (atB ? acceptor : initiator).links.remove(this);
                End end = atB ? acceptorEnd : initiatorEnd;
                if (end != null) {
                    end.closed();
                }
            }
        }

        private void transmit(boolean toB, Party sender, int bytes, boolean first, Runnable work) {
            LinkDirection way = toB ? directionToAcceptor : directionToInitiator;
            long at = Math.max(world.now() + delay(initiator, acceptor) + way.delayNanos(world::nextUniform), (toB ? lastArrivalAtAcceptor : lastArrivalAtInitiator) + 1)
                    + way.transferNanos(bytes);
            lastArrivalAtAcceptor = toB ? at : lastArrivalAtAcceptor;
            lastArrivalAtInitiator = toB ? lastArrivalAtInitiator : at;
            InTransit flight = new InTransit(at, work, first);
            if (sender.sentAt != world.now()) {
                sender.sentAt = world.now();
                sender.sentNow.clear();
            }
            sender.sentNow.add(flight);
            (toB ? this.inTransitToAcceptor : inTransitToInitiator).addLast(flight);
            world.scheduleAt(at, () -> arrive(toB));
        }

        /** What has arrived is heard in its order; what a cut holds up is sent again, as TCP does, until it is over. */
        private void arrive(boolean atB) {
            Deque<InTransit> line = atB ? inTransitToAcceptor : inTransitToInitiator;
            while (!line.isEmpty() && line.peekFirst().at <= world.now()) {
                LinkDirection way = atB ? directionToAcceptor : directionToInitiator;
                if (way.isCut() || way.isTruncating() && !line.peekFirst().passesTruncation) {
                    world.scheduleIn(RETRANSMIT_INTERVAL_NS, () -> arrive(atB));
                    return;
                }
                InTransit flight = line.pollFirst();
                if (!flight.takenBack) {
                    flight.arrives.run();
                }
            }
        }

        /** Whether the one who asked for the connection has closed its side. */
        @Override boolean closedByInitiator() {
            return initiatorClosed;
        }
    }

    private static final double FRAGMENTATION_PROBABILITY = 0.05;
    private static final long RETRANSMIT_INTERVAL_NS = 50_000_000;
    private static final long MIN_DELAY_NS = 150_000, DELAY_SPREAD_NS = 300_000, CROSS_ZONE_DELAY_NS = 2_000_000;

    private final World world;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Map<String, Map<String, LinkDirection>> directions = new HashMap<>();
    private final Map<InetSocketAddress, Mailbox> mailboxes = new HashMap<>();

    EmulatedNetwork(World world) {
        this.world = world;
    }

    private long delay(Party from, Party to) {
        return MIN_DELAY_NS + world.nextIntBelow((int) DELAY_SPREAD_NS) + (from.zone != to.zone ? CROSS_ZONE_DELAY_NS : 0);
    }

    private boolean isCut(Party a, Party b) {
        return direction(a.name, b.name).isCut() || direction(b.name, a.name).isCut();
    }

    private boolean refuses(Party a, Party b) {
        return direction(a.name, b.name).refuses() || direction(b.name, a.name).refuses();
    }

    @Override LinkDirection direction(String from, String to) {
        return directions.computeIfAbsent(from, f -> new HashMap<>(2)).computeIfAbsent(to, t -> new LinkDirection());
    }

    /** What is under way looks at its way when it arrives. */
    @Override void impairmentsChanged(String a, String b) { }

    @Override void reset(String a, String b) {
        for (Listener listener : Set.copyOf(listeners.values())) {
            for (Link one : List.copyOf(listener.party().links)) {
                EmulatedLink link = (EmulatedLink) one;
                if (link.initiator.name.equals(a) && link.acceptor.name.equals(b) || link.initiator.name.equals(b) && link.acceptor.name.equals(a)) {
                    link.end(true);
                    link.end(false);
                }
            }
        }
    }

    @Override void setRelayDead(String a, String b, boolean dead) {
        Impairment gone = new Impairment(Impairment.Kind.REFUSE, 0, 0);
        if (dead) {
            direction(a, b).begin(gone);
            reset(a, b);
        } else {
            direction(a, b).end(gone);
        }
    }

    /** Who takes datagrams at an address. */
    interface Mailbox {
        Party party();

        void received(InetSocketAddress from, byte[] bytes);
    }

    /** Has datagrams to this address come to the mailbox; null: no more. */
    void datagrams(InetSocketAddress at, Mailbox mailbox) {
        if (mailbox == null) {
            mailboxes.remove(at);
        } else {
            mailboxes.put(at, mailbox);
        }
    }

    /** Sends a datagram; it comes once, never or twice, and nobody is told. */
    void datagram(Party from, InetSocketAddress own, InetSocketAddress to, byte[] bytes) {
        Mailbox asked = mailboxes.get(to);
        if (asked == null) {
            return;
        }
        LinkDirection way = direction(from.name, asked.party().name);
        for (int i = way.copies(world::nextUniform); i > 0; i--) {
            world.scheduleIn(delay(from, asked.party()) + way.delayNanos(world::nextUniform) + way.reorderingDelayNanos(world::nextUniform), () -> {
                Mailbox mailbox = mailboxes.get(to);
                if (mailbox != null && mailbox.party().up) {
                    mailbox.received(own, bytes);
                }
            });
        }
    }

    @Override void listen(InetSocketAddress at, Listener listener) {
        listeners.put(at, listener);
    }

    @Override void unlisten(InetSocketAddress at, Listener listener) {
        listeners.remove(at, listener);
    }

    /** Asks for a connection. Nothing is heard where a cut lies between, nor before a round trip has passed. */
    @Override void connect(Party from, InetSocketAddress own, InetSocketAddress to, ConnectHandler asks) {
        Listener known = listeners.get(to);
        Party other = known == null ? from : known.party();
        world.scheduleAt(world.now() + delay(from, other), () -> {
            Listener listener = listeners.get(to);
            if (listener != null && !listener.party().up) {
                listener.party().foundGoneBy.add(from);
            }
            if (listener != null && (isCut(from, listener.party()) || listener.party().vanished)) {
                return;
            }
            if (listener == null || !listener.party().up || refuses(from, listener.party())) {
                world.scheduleAt(world.now() + delay(from, other), asks::refused);
                return;
            }
            EmulatedLink link = new EmulatedLink(from, listener.party());
            link.acceptorEnd = listener.accepted(link, own);
            long back = world.now() + delay(from, other);
            link.lastArrivalAtInitiator = back;
            world.scheduleAt(back, () -> {
                if (!from.up) {
                    link.close(null);
                } else if (!link.initiatorClosed) {
                    link.initiatorEnd = asks.opened(link);
                } else {
                    asks.refused();
                }
            });
        });
    }

    @Override void revive(Party party) {
        party.vanished = false;
        party.up = true;
    }

    /** The party's machine is gone without a word: who is connected to it hears nothing. */
    @Override void vanish(Party party) {
        party.up = false;
        party.vanished = true;
        for (Link one : party.links) {
            EmulatedLink link = (EmulatedLink) one;
            link.initiatorClosed |= link.initiator == party;
            link.acceptorClosed |= link.acceptor == party;
            link.vanished = true;
        }
        party.links.clear();
    }

    /** The party's process dies: its connections break. takeBack: what it sent at this instant never left it. */
    @Override void die(Party party, boolean takeBack) {
        party.up = false;
        if (takeBack && party.sentAt == world.now()) {
            party.sentNow.forEach(flight -> flight.takenBack = true);
        }
        for (Link one : List.copyOf(party.links)) {
            EmulatedLink link = (EmulatedLink) one;
            boolean isA = link.initiator == party;
            party.foundGoneBy.add(isA ? link.acceptor : link.initiator);
            link.initiatorClosed |= isA;
            link.acceptorClosed |= !isA;
            world.scheduleAt(world.now() + delay(link.initiator, link.acceptor), () -> {
                if (!(isA ? link.directionToAcceptor : link.directionToInitiator).isCut()) {
                    link.end(isA);
                }
            });
        }
        party.links.clear();
    }
}
