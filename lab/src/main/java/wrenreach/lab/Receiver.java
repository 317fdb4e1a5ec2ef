package wrenreach.lab;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A stand-in for one endpoint: it has slots, a queue before them and a service time, is slow at first after a return (slow start), and can be made
 * to fail in several ways.
 */
final class Receiver implements Network.Listener {
    private static final long NS_PER_SECOND = 1_000_000_000;

    /** A call that arrived, and whether its node had noticed that the receiver was down. */
    private record ReceivedCall(long at, boolean fromNodeThatFoundItGone) { }

    /** Number of calls that are served at a time. */
    private static final int SLOTS = 6;
    /** Number of calls that may wait for a slot; further ones are answered with 503. */
    private static final int QUEUE_LIMIT = 12;
    /** Below so many calls chance has more weight, and a larger tolerance is granted. */
    private static final int SMALL_BUDGET_CALLS = 30;
    /** The time after which a call is refused where calls are not refused at once, in nanoseconds. */
    private static final long REJECTION_NS = 77 * NS_PER_SECOND / 1000;
    /** Spreads the numbers of the responses over all values of the id in their bodies. */
    private static final long BODY_MULTIPLIER = 0x9E3779B97F4A7C15L;
    /** Mean service time at full speed, in nanoseconds. */
    private static final double MEAN_SERVICE_NS = 0.03 * NS_PER_SECOND;

    final String name;
    final InetSocketAddress address;
    final int destination;
    final Network.Party party;
    FaultKind failing;
    boolean draining;
    final ResponseFaults responseFaults;
    private final World world;
    private final double coldStartShare;
    private final double warmUpSeconds;
    private final double overloadFactor;
    private final double overloadWindowSeconds;
    private int busySlots;
    private long responsesSent;
    /** Calls that wait for a slot. */
    private final Deque<Runnable> queue = new ArrayDeque<>();
    /** Counts the times that it went down: calls begun before the last one are never completed. */
    private int generation;
    private long backAt = Long.MIN_VALUE / 2;
    private boolean pushedOver;
    private final Deque<ReceivedCall> recentCalls = new ArrayDeque<>();
    private final Set<Network.Party> foundGoneBy = Collections.newSetFromMap(new IdentityHashMap<>());
    /** The connections with an unanswered call, by the id of the mail. */
    private final Map<String, List<Network.Link>> unansweredLinks = new HashMap<>();

    /** The last four figures are those of the settings, with times in seconds. */
    Receiver(World world, String name, InetSocketAddress address, int destination, int zone,
             double coldStartShare, double warmUpSeconds, double overloadFactor, double overloadWindowSeconds) {
        this.world = world;
        this.name = name;
        this.address = address;
        this.destination = destination;
        responseFaults = new ResponseFaults(world);
        this.coldStartShare = coldStartShare;
        this.warmUpSeconds = warmUpSeconds;
        this.overloadFactor = overloadFactor;
        this.overloadWindowSeconds = overloadWindowSeconds;
        party = new Network.Party(name);
        party.zone = zone;
        world.network.listen(address, this);
    }

    /** The body of the next 200, another one for each unless the responses are made alike. */
    private String nextBody() {
        return responseFaults.strikes(FaultKind.ALIKE) ? "ok" : String.format("%016x", (++responsesSent << Short.SIZE | number()) * BODY_MULTIPLIER);
    }

    /** The number that is part of its name. */
    int number() {
        return Integer.parseInt(name.substring(1));
    }

    @Override public Network.Party party() {
        return party;
    }

    /** Makes the machine vanish: its connections are neither closed nor reset. */
    void vanish() {
        world.network.vanish(party);
        resetState();
    }

    /** Takes the machine down, or brings it back, after which it is in slow start. */
    void setUp(boolean up) {
        if (!up) {
            world.network.die(party, false);
            resetState();
        } else {
            world.network.revive(party);
            backAt = world.now();
            pushedOver = false;
            recentCalls.clear();
            foundGoneBy.clear();
            foundGoneBy.addAll(party.foundGoneBy);
            party.foundGoneBy.clear();
            world.record(new Fact.Back(backAt, name));
        }
    }

    private void resetState() {
        busySlots = 0;
        generation++;
        queue.clear();
        unansweredLinks.clear();
    }

    /** The current speed as a share of the full speed: rises linearly in the slow start. */
    private double speedFactor() {
        double warmUpProgress = Math.min(1, (world.now() - backAt) / (warmUpSeconds * NS_PER_SECOND));
        return coldStartShare + (1 - coldStartShare) * warmUpProgress;
    }

    /**
     * Counts a call, and records once per return that the receiver was pushed over: it got more recent calls than a receiver in slow start can bear,
     * and at least two thirds of them came from nodes that had noticed that it was down.
     */
    private void checkOverload(Network.Party from) {
        recentCalls.addLast(new ReceivedCall(world.now(), foundGoneBy.contains(from)));
        long since = world.now() - (long) (overloadWindowSeconds * NS_PER_SECOND);
        while (recentCalls.peekFirst().at < since) {
            recentCalls.pollFirst();
        }
        boolean inSlowStart = world.now() - backAt < warmUpSeconds * NS_PER_SECOND && world.now() - backAt > overloadWindowSeconds * NS_PER_SECOND;
        double budget = overloadFactor * speedFactor() * SLOTS / MEAN_SERVICE_NS * NS_PER_SECOND * overloadWindowSeconds;
        // Each node decides at random what it sends, so that a certain excess of the total over the budget is no fault of the nodes.
        if (inSlowStart && !pushedOver && recentCalls.size() > toleratedCalls(budget)
                && 3 * recentCalls.stream().filter(ReceivedCall::fromNodeThatFoundItGone).count() >= 2 * recentCalls.size()) {
            pushedOver = true;
            world.record(new Fact.PushedOver(world.now(), name));
        }
    }

    /**
     * The number of calls that a receiver in slow start tolerates for a budget of N calls, whatever the number of nodes:
     * N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 for N below 30.
     */
    static double toleratedCalls(double budget) {
        int factor = budget < SMALL_BUDGET_CALLS ? 3 : 2;
        return budget + factor * Math.sqrt(budget) + factor;
    }

    @Override public Network.End accepted(Network.Link link, InetSocketAddress from) {
        return new CallConnection(link);
    }

    /** A connection of a node, which carries one call at a time. */
    private final class CallConnection extends HttpConnection {
        private String currentId = "";
        private String answeredWith200 = "";
        private final ResponseFaults.Connection responses = responseFaults.new Connection(this::write);

        CallConnection(Network.Link link) {
            super(link);
        }

        @Override void requestBegins(String head) {
            world.record(new Fact.Begun(world.now(), head.lines().findFirst().orElse(""),
                    link.initiator.name, name));
        }

        @Override void requestReceived(Request request) {
            answeredWith200 = "";
            currentId = request.headers().getOrDefault("x-call-id", "");
            Network.Party from = link.initiator;
            List<Network.Link> unanswered = unansweredLinks.computeIfAbsent(currentId, id -> new ArrayList<>());
            unanswered.removeIf(Network.Link::closedByInitiator);
            // A call that the network delayed until the node had abandoned it is not a second copy by the node.
            boolean second = !unanswered.isEmpty() && !link.closedByInitiator();
            unanswered.add(link);
            world.record(new Fact.Called(world.now(), currentId, from.name, name, destination, second));
            checkOverload(from);
            responses.requestReceived();
            serve(request);
        }

        private void serve(Request request) {
            String id = currentId;
            if (failing == FaultKind.SILENT) {
                if (world.withProbability(0.5)) {
                    ran(request, id);
                }
            } else if (failing == FaultKind.FULL) {
                long wait = 400 + world.nextIntBelow(600);
                respond(id, "429 Too Many Requests", "", "Wait-Ms: " + wait);
                world.record(new Fact.ToldWait(world.now(), link.initiator.name, destination, wait * 1_000_000));
            } else if (busySlots >= SLOTS && queue.size() >= QUEUE_LIMIT || draining) {
                respond(id, "503 Service Unavailable", "");
            } else if (responseFaults.strikes(FaultKind.REJECTING)) {
                rejectLater(id);
            } else if (busySlots >= SLOTS) {
                queue.addLast(() -> work(request, id));
            } else {
                work(request, id);
            }
        }

        private void rejectLater(String id) {
            int currentGeneration = generation;
            world.scheduleIn(REJECTION_NS, () -> {
                if (currentGeneration == generation && !closed) {
                    respond(id, "503 Service Unavailable", "");
                }
            });
        }

        private void work(Request request, String id) {
            busySlots++;
            boolean fails = failing == FaultKind.ERRING && world.withProbability(0.7);
            long serviceTime = (long) ((failing == FaultKind.SLOW ? 20 : 1) * MEAN_SERVICE_NS / speedFactor()
                    * (0.5 + world.nextIntBelow(1000) / 1000.0));
            ran(request, id);
            int currentGeneration = generation;
            world.scheduleIn(serviceTime, () -> {
                if (currentGeneration != generation) {
                    return;
                }
                busySlots--;
                if (!closed) {
                    if (!fails) {
                        world.record(new Fact.Delivered(world.now(), id, name));
                        answeredWith200 = id;
                    }
                    respond(id, fails ? "500 Internal Server Error" : "200 OK", fails ? "" : nextBody());
                    if (!fails && responses.lastWasSpoilt()) {
                        // A node that can't read it whole can't tell whose response it is.
                        world.record(new Fact.Closed(world.now(), id, name));
                    }
                }
                if (!queue.isEmpty()) {
                    queue.pollFirst().run();
                }
            });
        }

        private void ran(Request request, String id) {
            world.record(new Fact.Ran(world.now(), id, name, request.headers().getOrDefault("idempotency-key", ""),
                    link.closedByInitiator()));
        }

        private void respond(String id, String status, String body, String... headers) {
            forget(id);
            currentId = "";
            responses.respond(response(status, body, headers));
        }

        @Override public void closed() {
            super.closed();
            if (!answeredWith200.isEmpty()) {
                world.record(new Fact.Closed(world.now(), answeredWith200, name));
            }
            forget(currentId);
        }

        private void forget(String id) {
            unansweredLinks.computeIfPresent(id, (key, links) -> {
                links.remove(link);
                return links.isEmpty() ? null : links;
            });
        }
    }
}
