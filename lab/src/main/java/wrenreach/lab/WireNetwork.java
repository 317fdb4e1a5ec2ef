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
final class WireNetwork extends Network {
    /** Something under way on a connection, in its place behind what was sent before. */
    static final class Flight {
        final long at;
        final Runnable arrives;
        /** It is the half that still goes through. */
        final boolean first;
        boolean takenBack;

        Flight(long at, Runnable arrives, boolean first) {
            this.at = at;
            this.arrives = arrives;
            this.first = first;
        }
    }

    /** One connection, seen from whom it was asked for (a) and who took it (b). */
    private final class Wire extends Link {
        private End endA;
        private End endB;
        private boolean closedA;
        private boolean closedB;
        private boolean vanished;
        private final Deque<Flight> toA = new ArrayDeque<>();
        private final Deque<Flight> toB = new ArrayDeque<>();
        private final LinkDirection there;
        private final LinkDirection back;
        private long lastToA;
        private long lastToB;

        private Wire(Party a, Party b) {
            super(a, b);
            there = way(a.name, b.name);
            back = way(b.name, a.name);
            a.links.add(this);
            b.links.add(this);
        }

        /** Sends bytes from one side; they come in order, maybe in pieces. */
        @Override void send(End from, byte[] bytes) {
            boolean toB = from == endA;
            Party sender = toB ? a : b;
            int passes = (toB ? there : back).passedBytes(bytes.length);
            if (passes < bytes.length) {
                piece(toB, sender, Arrays.copyOf(bytes, passes), true);
                piece(toB, sender, Arrays.copyOfRange(bytes, passes, bytes.length), false);
                return;
            }
            int pieces = bytes.length > 1 && world.chance(FRAGMENTED) ? 2 + world.below(3) : 1;
            int at = 0;
            for (int i = 0; i < pieces; i++) {
                int end = i == pieces - 1 ? bytes.length : at + world.below(bytes.length - at);
                byte[] piece = Arrays.copyOfRange(bytes, at, end);
                at = end;
                if (piece.length > 0) {
                    piece(toB, sender, piece, false);
                }
            }
        }

        private void piece(boolean toB, Party sender, byte[] piece, boolean first) {
            carry(toB, sender, piece.length, first, () -> {
                End to = toB ? endB : endA;
                if (to != null && !(toB ? closedB : closedA)) {
                    to.received(piece);
                } else if (vanished && (toB ? b : a).up) {
                    // A machine that is back does not know the connection any more.
                    end(!toB);
                }
            });
        }

        /** One side closes; the other hears of it after all that was sent. */
        @Override void close(End from) {
            boolean byA = from == endA;
            if (byA ? closedA : closedB) {
                return;
            }
            closedA |= byA;
            closedB |= !byA;
            (byA ? a : b).links.remove(this);
            carry(byA, byA ? a : b, 0, false, () -> end(byA));
        }

        private void end(boolean atB) {
            if (!(atB ? closedB : closedA)) {
                closedA |= !atB;
                closedB |= atB;
                (atB ? b : a).links.remove(this);
                End end = atB ? endB : endA;
                if (end != null) {
                    end.closed();
                }
            }
        }

        private void carry(boolean toB, Party sender, int bytes, boolean first, Runnable work) {
            LinkDirection way = toB ? there : back;
            long at = Math.max(world.now() + delay(a, b) + way.delayNanos(world::share), (toB ? lastToB : lastToA) + 1)
                    + way.transferNanos(bytes);
            lastToB = toB ? at : lastToB;
            lastToA = toB ? lastToA : at;
            Flight flight = new Flight(at, work, first);
            if (sender.sentAt != world.now()) {
                sender.sentAt = world.now();
                sender.sent.clear();
            }
            sender.sent.add(flight);
            (toB ? this.toB : toA).addLast(flight);
            world.at(at, () -> arrive(toB));
        }

        /** What has arrived is heard in its order; what a cut holds up is sent again, as TCP does, until it is over. */
        private void arrive(boolean atB) {
            Deque<Flight> line = atB ? toB : toA;
            while (!line.isEmpty() && line.peekFirst().at <= world.now()) {
                LinkDirection way = atB ? there : back;
                if (way.isCut() || way.isTruncating() && !line.peekFirst().first) {
                    world.later(SENT_AGAIN, () -> arrive(atB));
                    return;
                }
                Flight flight = line.pollFirst();
                if (!flight.takenBack) {
                    flight.arrives.run();
                }
            }
        }

        /** Whether the one who asked for the connection has closed its side. */
        @Override boolean closedByAsker() {
            return closedA;
        }
    }

    private static final double FRAGMENTED = 0.05;
    private static final long SENT_AGAIN = 50_000_000;
    private static final long LEAST_DELAY = 150_000, MORE_DELAY = 300_000, BETWEEN_ZONES = 2_000_000;

    private final World world;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Map<String, Map<String, LinkDirection>> ways = new HashMap<>();
    private final Map<InetSocketAddress, Mailbox> mailboxes = new HashMap<>();

    WireNetwork(World world) {
        this.world = world;
    }

    private long delay(Party from, Party to) {
        return LEAST_DELAY + world.below((int) MORE_DELAY) + (from.zone != to.zone ? BETWEEN_ZONES : 0);
    }

    private boolean cut(Party a, Party b) {
        return way(a.name, b.name).isCut() || way(b.name, a.name).isCut();
    }

    private boolean refuses(Party a, Party b) {
        return way(a.name, b.name).refuses() || way(b.name, a.name).refuses();
    }

    @Override LinkDirection way(String from, String to) {
        return ways.computeIfAbsent(from, f -> new HashMap<>(2)).computeIfAbsent(to, t -> new LinkDirection());
    }

    /** What is under way looks at its way when it arrives. */
    @Override void changed(String a, String b) { }

    @Override void reset(String a, String b) {
        for (Listener listener : Set.copyOf(listeners.values())) {
            for (Link one : List.copyOf(listener.party().links)) {
                Wire link = (Wire) one;
                if (link.a.name.equals(a) && link.b.name.equals(b) || link.a.name.equals(b) && link.b.name.equals(a)) {
                    link.end(true);
                    link.end(false);
                }
            }
        }
    }

    @Override void relay(String a, String b, boolean dead) {
        Impairment gone = new Impairment(Impairment.Kind.REFUSE, 0, 0);
        if (dead) {
            way(a, b).begin(gone);
            reset(a, b);
        } else {
            way(a, b).end(gone);
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
        LinkDirection way = way(from.name, asked.party().name);
        for (int i = way.copies(world::share); i > 0; i--) {
            world.later(delay(from, asked.party()) + way.delayNanos(world::share) + way.reorderingDelayNanos(world::share), () -> {
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
    @Override void connect(Party from, InetSocketAddress own, InetSocketAddress to, Connecting asks) {
        Listener known = listeners.get(to);
        Party other = known == null ? from : known.party();
        world.at(world.now() + delay(from, other), () -> {
            Listener listener = listeners.get(to);
            if (listener != null && !listener.party().up) {
                listener.party().missedBy.add(from);
            }
            if (listener != null && (cut(from, listener.party()) || listener.party().vanished)) {
                return;
            }
            if (listener == null || !listener.party().up || refuses(from, listener.party())) {
                world.at(world.now() + delay(from, other), asks::refused);
                return;
            }
            Wire link = new Wire(from, listener.party());
            link.endB = listener.accepted(link, own);
            long back = world.now() + delay(from, other);
            link.lastToA = back;
            world.at(back, () -> {
                if (!from.up) {
                    link.close(null);
                } else if (!link.closedA) {
                    link.endA = asks.opened(link);
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
            Wire link = (Wire) one;
            link.closedA |= link.a == party;
            link.closedB |= link.b == party;
            link.vanished = true;
        }
        party.links.clear();
    }

    /** The party's process dies: its connections break. takeBack: what it sent at this instant never left it. */
    @Override void die(Party party, boolean takeBack) {
        party.up = false;
        if (takeBack && party.sentAt == world.now()) {
            party.sent.forEach(flight -> flight.takenBack = true);
        }
        for (Link one : List.copyOf(party.links)) {
            Wire link = (Wire) one;
            boolean isA = link.a == party;
            party.missedBy.add(isA ? link.b : link.a);
            link.closedA |= isA;
            link.closedB |= !isA;
            world.at(world.now() + delay(link.a, link.b), () -> {
                if (!(isA ? link.there : link.back).isCut()) {
                    link.end(isA);
                }
            });
        }
        party.links.clear();
    }
}
