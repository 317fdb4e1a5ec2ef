package wrenreach.bench.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Action;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.api.Settings.Effect;
import wrenreach.api.Settings.DeduplicationScope;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/**
 * Counts the calls to one destination that is down for a minute and returns, by all nodes that hold mails for it. The nodes are
 * simulated: each is a dispatcher alone, in virtual time, so the counts are the same each time.
 */
final class FleetSlopes {
    /** In microseconds, as all times here. */
    private static final long MILLISECOND = 1000;
    private static final long SECOND = 1_000_000;
    /** Step of the virtual time. */
    private static final long TICK = 5 * MILLISECOND;
    /** How long the destination is down. */
    private static final long OUTAGE = 60 * SECOND;
    /** How long the destination takes to reach its whole limit after it has returned. */
    private static final long SLOW_START = 10 * SECOND;
    /** Over how many seconds a receiver in slow start counts its calls. */
    static final long OVERLOAD_WINDOW_SECONDS = 3;
    /** The same in microseconds. */
    static final long OVERLOAD_WINDOW = OVERLOAD_WINDOW_SECONDS * SECOND;
    /** The receiver's limit. */
    private static final double CALLS_PER_SECOND = 10;
    /** Part of the limit that the receiver handles when it has just returned. */
    private static final double INITIAL_SHARE = 0.3;
    /** Multiple of its present limit that the receiver withstands. */
    private static final double OVERLOAD_FACTOR = 2;

    private record Event(long at, int node, DeliveryAttempt endedAttempt, Mail newMail) { }

    private FleetSlopes() { }

    static void measure(long seed, String build, int nodes, Consumer<Measurement> taker) {
        List<DeliveryDispatcher> dispatchers = new ArrayList<>();
        List<Endpoint> endpoints = new ArrayList<>();
        PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                : Integer.compare(a.node, b.node));
        Random random = new Random(seed);
        long start = 1000 * SECOND;
        for (int i = 0; i < nodes; i++) {
            DeliveryDispatcher dispatcher = new DeliveryDispatcher(settings(i, nodes, seed));
            Endpoint endpoint = new Endpoint(1, new Destination(1), 0, 0);
            dispatcher.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE,
                    List.of(new EndpointUpdate.Entry(endpoint, EndpointUpdate.State.READY, CALLS_PER_SECOND))), start);
            dispatchers.add(dispatcher);
            endpoints.add(endpoint);
            // Each node has a few mails, which wait for the whole outage.
            for (int m = 0; m < 3; m++) {
                Mail mail = new Mail(i * 10L + m, endpoint.destination, null, 0, 0, start, start + OUTAGE + 10 * SLOW_START);
                events.add(new Event(start + (long) (random.nextDouble() * 2 * SECOND), i, null, mail));
            }
        }
        long[] wakeTimes = new long[nodes];
        java.util.Arrays.fill(wakeTimes, start);
        long returnsAt = start + OUTAGE;
        int callsDuringOutage = 0, callsAfterReturn = 0, maxPerSecond = 0, notes = 0;
        int[] bySecond = new int[(int) (SLOW_START / SECOND)];
        ArrayDeque<Long> window = new ArrayDeque<>();
        double worst = 0;
        for (long now = start; now < returnsAt + SLOW_START; now += TICK) {
            boolean[] woken = new boolean[nodes];
            List<Action>[] actions = newLists(nodes);
            while (!events.isEmpty() && events.peek().at <= now) {
                Event e = events.poll();
                woken[e.node] = true;
                actions[e.node].addAll(e.newMail != null ? dispatchers.get(e.node).admit(e.newMail, now) : dispatchers.get(e.node).attemptEnded(e.endedAttempt,
                        e.endedAttempt.sentAt < returnsAt ? new Outcome.ConnectFailed() : new Outcome.Delivered(), new double[0],
                        e.endedAttempt.sentAt >= returnsAt, now));
            }
            for (int i = 0; i < nodes; i++) {
                if (!woken[i] && wakeTimes[i] > now) {
                    continue;
                }
                wakeTimes[i] = wakeTimes[i] <= now ? Long.MAX_VALUE : wakeTimes[i];
                actions[i].addAll(dispatchers.get(i).nextActions(now));
                for (Action action : actions[i]) {
                    if (action instanceof Action.WakeUp wake) {
                        wakeTimes[i] = Math.min(wakeTimes[i], now + wake.delay());
                    } else if (action instanceof Action.LogNote) {
                        notes += now < returnsAt ? 1 : 0;
                    } else if (action instanceof Action.Send send) {
                        events.add(new Event(now + 5 * MILLISECOND, i, send.attempt(), null));
                        if (now < returnsAt) {
                            callsDuringOutage++;
                        } else {
                            callsAfterReturn++;
                            maxPerSecond = Math.max(maxPerSecond, ++bySecond[(int) ((now - returnsAt) / SECOND)]);
                            window.addLast(now);
                            while (window.peekFirst() <= now - OVERLOAD_WINDOW) {
                                window.removeFirst();
                            }
                            double capacity = OVERLOAD_FACTOR * (INITIAL_SHARE + (1 - INITIAL_SHARE) * (now - returnsAt) / SLOW_START)
                                    * CALLS_PER_SECOND * OVERLOAD_WINDOW / SECOND;
                            worst = Math.max(worst, window.size() / (capacity + 2 * Math.sqrt(capacity) + 2));
                        }
                    }
                }
            }
        }
        taker.accept(new Measurement(build, "down.calls", nodes, callsDuringOutage / (OUTAGE / (double) SECOND), "calls a second", ""));
        taker.accept(new Measurement(build, "down.notes", nodes, notes * 3600.0 / (OUTAGE / (double) SECOND), "notes an hour", ""));
        taker.accept(new Measurement(build, "back.most", nodes, maxPerSecond, "calls in a second", String.format(java.util.Locale.ROOT,
                "it bears %.0f cold", OVERLOAD_FACTOR * INITIAL_SHARE * CALLS_PER_SECOND)));
        taker.accept(new Measurement(build, "back.window", nodes, worst, "parts of what it bears", String.format(java.util.Locale.ROOT,
                "in %d s, and 2 x root of it + 2", OVERLOAD_WINDOW_SECONDS)));
        taker.accept(new Measurement(build, "back.calls", nodes, callsAfterReturn, "calls in ten seconds", ""));
    }

    @SuppressWarnings("unchecked")
    private static List<Action>[] newLists(int nodes) {
        List<Action>[] lists = new List[nodes];
        java.util.Arrays.setAll(lists, i -> new ArrayList<>());
        return lists;
    }

    private static Settings settings(int nodeIndex, int nodes, long seed) {
        return new Settings(nodeIndex, nodes, 0, TICK, seed, 1000, 100, 1000, 1, false, true, true, 2 * SECOND, 5 * SECOND, SECOND, false, 10 * SECOND, true,
                false, 0.1, -1, -1, List.of(new Settings.QueueClass(2500 * MILLISECOND, OUTAGE + 20 * SLOW_START, 1, 0.3, false, Effect.REDELIVERABLE,
                DeduplicationScope.ALL, 7500 * MILLISECOND, false)), List.of(new Settings.DestinationKind(false, 1)), List.of(),
                new Settings.Rules(20 * MILLISECOND, 500 * MILLISECOND, INITIAL_SHARE, 10 * SECOND, OVERLOAD_FACTOR, OVERLOAD_WINDOW, 300 * MILLISECOND));
    }
}
