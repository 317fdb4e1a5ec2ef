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

/** The emulated network: delays, fragmentation, cuts, TCP connects that are refused or get no reply, half-open connections, datagrams. */
final class EmulatedNetwork extends Network {
    /** Something in transit on a connection, in order behind what was sent before. */
    static final class InTransit {
        final long at;
        final Runnable arrives;
        /** It is the part of a message that still passes a direction that truncates. */
        final boolean passesTruncation;
        /** The sender was killed before it was really sent: nothing arrives. */
        boolean takenBack;

        InTransit(long at, Runnable arrives, boolean passesTruncation) {
            this.at = at;
            this.arrives = arrives;
            this.passesTruncation = passesTruncation;
        }
    }

    /** One connection between the party that opened it and the one that accepted it. */
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

        private EmulatedLink(Party initiator, Party acceptor) {
            super(initiator, acceptor);
            directionToAcceptor = direction(initiator.name, acceptor.name);
            directionToInitiator = direction(acceptor.name, initiator.name);
            initiator.links.add(this);
            acceptor.links.add(this);
        }

        /** Sends bytes from one side; they arrive in order, possibly in fragments. */
        @Override void send(End from, byte[] bytes) {
            boolean toAcceptor = from == initiatorEnd;
            Party sender = toAcceptor ? initiator : acceptor;
            int passing = (toAcceptor ? directionToAcceptor : directionToInitiator).passedBytes(bytes.length);
            if (passing < bytes.length) {
                sendPiece(toAcceptor, sender, Arrays.copyOf(bytes, passing), true);
                sendPiece(toAcceptor, sender, Arrays.copyOfRange(bytes, passing, bytes.length), false);
                return;
            }
            int pieces = bytes.length > 1 && world.withProbability(FRAGMENTATION_PROBABILITY) ? 2 + world.nextIntBelow(3) : 1;
            int at = 0;
            for (int i = 0; i < pieces; i++) {
                int end = i == pieces - 1 ? bytes.length : at + world.nextIntBelow(bytes.length - at);
                byte[] piece = Arrays.copyOfRange(bytes, at, end);
                at = end;
                if (piece.length > 0) {
                    sendPiece(toAcceptor, sender, piece, false);
                }
            }
        }

        private void sendPiece(boolean toAcceptor, Party sender, byte[] piece, boolean passesTruncation) {
            transmit(toAcceptor, sender, piece.length, passesTruncation, () -> {
                End to = toAcceptor ? acceptorEnd : initiatorEnd;
                if (to != null && !(toAcceptor ? acceptorClosed : initiatorClosed)) {
                    to.received(piece);
                } else if (vanished && (toAcceptor ? acceptor : initiator).up) {
                    // A machine that is back does not know the connection any more, so the sender sees it reset.
                    end(!toAcceptor);
                }
            });
        }

        /** Closes one side; the other is told after everything that was sent has arrived. */
        @Override void close(End from) {
            boolean byInitiator = from == initiatorEnd;
            if (byInitiator ? initiatorClosed : acceptorClosed) {
                return;
            }
            initiatorClosed |= byInitiator;
            acceptorClosed |= !byInitiator;
            (byInitiator ? initiator : acceptor).links.remove(this);
            transmit(byInitiator, byInitiator ? initiator : acceptor, 0, false, () -> end(byInitiator));
        }

        private void end(boolean atAcceptor) {
            if (!(atAcceptor ? acceptorClosed : initiatorClosed)) {
                initiatorClosed |= !atAcceptor;
                acceptorClosed |= atAcceptor;
                (atAcceptor ? acceptor : initiator).links.remove(this);
                End end = atAcceptor ? acceptorEnd : initiatorEnd;
                if (end != null) {
                    end.closed();
                }
            }
        }

        private void transmit(boolean toAcceptor, Party sender, int bytes, boolean passesTruncation, Runnable work) {
            LinkDirection direction = toAcceptor ? directionToAcceptor : directionToInitiator;
            long at = Math.max(world.now() + delay(initiator, acceptor) + direction.delayNanos(world::nextUniform),
                    (toAcceptor ? lastArrivalAtAcceptor : lastArrivalAtInitiator) + 1)
                    + direction.transferNanos(bytes);
            lastArrivalAtAcceptor = toAcceptor ? at : lastArrivalAtAcceptor;
            lastArrivalAtInitiator = toAcceptor ? lastArrivalAtInitiator : at;
            InTransit message = new InTransit(at, work, passesTruncation);
            if (sender.sentAt != world.now()) {
                sender.sentAt = world.now();
                sender.sentNow.clear();
            }
            sender.sentNow.add(message);
            (toAcceptor ? this.inTransitToAcceptor : inTransitToInitiator).addLast(message);
            world.scheduleAt(at, () -> arrive(toAcceptor));
        }

        /** Delivers what has arrived, in order. What a cut holds up is retransmitted, as TCP does, until the cut is over. */
        private void arrive(boolean atAcceptor) {
            Deque<InTransit> inTransit = atAcceptor ? inTransitToAcceptor : inTransitToInitiator;
            while (!inTransit.isEmpty() && inTransit.peekFirst().at <= world.now()) {
                LinkDirection direction = atAcceptor ? directionToAcceptor : directionToInitiator;
                if (direction.isCut() || direction.isTruncating() && !inTransit.peekFirst().passesTruncation) {
                    world.scheduleIn(RETRANSMIT_INTERVAL_NS, () -> arrive(atAcceptor));
                    return;
                }
                InTransit message = inTransit.pollFirst();
                if (!message.takenBack) {
                    message.arrives.run();
                }
            }
        }

        /** Whether the party that opened the connection has closed its side. */
        @Override boolean closedByInitiator() {
            return initiatorClosed;
        }
    }

    /** Share of the messages that arrive in fragments. */
    private static final double FRAGMENTATION_PROBABILITY = 0.05;
    /** Interval between two attempts to transmit what a cut holds up, in nanoseconds. */
    private static final long RETRANSMIT_INTERVAL_NS = 50_000_000;
    /** Least one-way delay, in nanoseconds. */
    private static final long MIN_DELAY_NS = 150_000;
    /** Range of the random part of the one-way delay, in nanoseconds. */
    private static final long DELAY_SPREAD_NS = 300_000;
    /** Additional one-way delay between two zones, in nanoseconds. */
    private static final long CROSS_ZONE_DELAY_NS = 2_000_000;

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

    /** Does nothing: what is in transit checks its direction when it arrives. */
    @Override void impairmentsChanged(String a, String b) { }

    @Override void reset(String a, String b) {
        for (Listener listener : Set.copyOf(listeners.values())) {
            for (Link open : List.copyOf(listener.party().links)) {
                EmulatedLink link = (EmulatedLink) open;
                if (link.initiator.name.equals(a) && link.acceptor.name.equals(b) || link.initiator.name.equals(b) && link.acceptor.name.equals(a)) {
                    link.end(true);
                    link.end(false);
                }
            }
        }
    }

    @Override void setRelayDead(String a, String b, boolean dead) {
        Impairment refusal = new Impairment(Impairment.Kind.REFUSE, 0, 0);
        if (dead) {
            direction(a, b).begin(refusal);
            reset(a, b);
        } else {
            direction(a, b).end(refusal);
        }
    }

    /** Receives the datagrams to an address. */
    interface Mailbox {
        Party party();

        void received(InetSocketAddress from, byte[] bytes);
    }

    /** Delivers datagrams to this address to the mailbox from now on; null for none. */
    void datagrams(InetSocketAddress at, Mailbox mailbox) {
        if (mailbox == null) {
            mailboxes.remove(at);
        } else {
            mailboxes.put(at, mailbox);
        }
    }

    /** Sends a datagram; it arrives once, never or twice, and the sender is not told. */
    void datagram(Party from, InetSocketAddress own, InetSocketAddress to, byte[] bytes) {
        Mailbox target = mailboxes.get(to);
        if (target == null) {
            return;
        }
        LinkDirection direction = direction(from.name, target.party().name);
        for (int i = direction.copies(world::nextUniform); i > 0; i--) {
            world.scheduleIn(delay(from, target.party()) + direction.delayNanos(world::nextUniform) + direction.reorderingDelayNanos(world::nextUniform), () -> {
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

    /** Opens a connection. There is no reply if the link is cut, and none before a round trip has passed. */
    @Override void connect(Party from, InetSocketAddress own, InetSocketAddress to, ConnectHandler handler) {
        Listener listenerNow = listeners.get(to);
        Party other = listenerNow == null ? from : listenerNow.party();
        world.scheduleAt(world.now() + delay(from, other), () -> {
            Listener listener = listeners.get(to);
            if (listener != null && !listener.party().up) {
                listener.party().foundGoneBy.add(from);
            }
            if (listener != null && (isCut(from, listener.party()) || listener.party().vanished)) {
                return;
            }
            if (listener == null || !listener.party().up || refuses(from, listener.party())) {
                world.scheduleAt(world.now() + delay(from, other), handler::refused);
                return;
            }
            EmulatedLink link = new EmulatedLink(from, listener.party());
            link.acceptorEnd = listener.accepted(link, own);
            long openedAt = world.now() + delay(from, other);
            link.lastArrivalAtInitiator = openedAt;
            world.scheduleAt(openedAt, () -> {
                if (!from.up) {
                    link.close(null);
                } else if (!link.initiatorClosed) {
                    link.initiatorEnd = handler.opened(link);
                } else {
                    handler.refused();
                }
            });
        });
    }

    @Override void revive(Party party) {
        party.vanished = false;
        party.up = true;
    }

    /** Makes the party's machine vanish: the parties connected to it are told nothing. */
    @Override void vanish(Party party) {
        party.up = false;
        party.vanished = true;
        for (Link open : party.links) {
            EmulatedLink link = (EmulatedLink) open;
            link.initiatorClosed |= link.initiator == party;
            link.acceptorClosed |= link.acceptor == party;
            link.vanished = true;
        }
        party.links.clear();
    }

    /** Ends the party's process: its connections break. takeBack: what it sent at the current time is dropped, as if it had never left the process. */
    @Override void die(Party party, boolean takeBack) {
        party.up = false;
        if (takeBack && party.sentAt == world.now()) {
            party.sentNow.forEach(message -> message.takenBack = true);
        }
        for (Link open : List.copyOf(party.links)) {
            EmulatedLink link = (EmulatedLink) open;
            boolean isInitiator = link.initiator == party;
            party.foundGoneBy.add(isInitiator ? link.acceptor : link.initiator);
            link.initiatorClosed |= isInitiator;
            link.acceptorClosed |= !isInitiator;
            world.scheduleAt(world.now() + delay(link.initiator, link.acceptor), () -> {
                if (!(isInitiator ? link.directionToAcceptor : link.directionToInitiator).isCut()) {
                    link.end(isInitiator);
                }
            });
        }
        party.links.clear();
    }
}
