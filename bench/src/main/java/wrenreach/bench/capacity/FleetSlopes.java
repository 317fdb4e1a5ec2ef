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
 * Calls at one destination that is down for a minute and comes back, by the nodes that have mails for it: hollow nodes, each
 * the decision module alone, in virtual time. Counts, so the same each time.
 */
final class FleetSlopes {
    private static final long MILLISECOND = 1000, SECOND = 1_000_000, TICK = 5 * MILLISECOND, OUTAGE = 60 * SECOND, SLOW_START = 10 * SECOND;
    /** So long a receiver counts its calls when it is cold. */
    static final long OVERLOAD_WINDOW_SECONDS = 3, OVERLOAD_WINDOW = OVERLOAD_WINDOW_SECONDS * SECOND;
    /** The receiver's limit in calls a second, what it takes when it returns cold, and the overload it bears. */
    private static final double CALLS_PER_SECOND = 10, INITIAL_SHARE = 0.3, OVERLOAD_FACTOR = 2;

    private record Event(long at, int node, DeliveryAttempt endedAttempt, Mail newMail) { }

    private FleetSlopes() { }

    static void measure(long seed, String build, int nodes, Consumer<Measurement> taker) {
        List<DeliveryDispatcher> choices = new ArrayList<>();
        List<Endpoint> endpoints = new ArrayList<>();
        PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                : Integer.compare(a.node, b.node));
        Random random = new Random(seed);
        long start = 1000 * SECOND;
        for (int i = 0; i < nodes; i++) {
            DeliveryDispatcher choice = new DeliveryDispatcher(settings(i, nodes, seed));
            Endpoint endpoint = new Endpoint(1, new Destination(1), 0, 0);
            choice.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE,
                    List.of(new EndpointUpdate.Entry(endpoint, EndpointUpdate.State.READY, CALLS_PER_SECOND))), start);
            choices.add(choice);
            endpoints.add(endpoint);
            // Each node has a few mails, that wait for the whole outage.
            for (int m = 0; m < 3; m++) {
                Mail mail = new Mail(i * 10L + m, endpoint.destination, null, 0, 0, start, start + OUTAGE + 10 * SLOW_START);
                events.add(new Event(start + (long) (random.nextDouble() * 2 * SECOND), i, null, mail));
            }
        }
        long[] wakes = new long[nodes];
        java.util.Arrays.fill(wakes, start);
        long back = start + OUTAGE;
        int down = 0, returning = 0, mostInASecond = 0, notes = 0;
        int[] bySecond = new int[(int) (SLOW_START / SECOND)];
        ArrayDeque<Long> window = new ArrayDeque<>();
        double worst = 0;
        for (long now = start; now < back + SLOW_START; now += TICK) {
            boolean[] woken = new boolean[nodes];
            List<Action>[] said = newLists(nodes);
            while (!events.isEmpty() && events.peek().at <= now) {
                Event e = events.poll();
                woken[e.node] = true;
                said[e.node].addAll(e.newMail != null ? choices.get(e.node).admit(e.newMail, now) : choices.get(e.node).attemptEnded(e.endedAttempt,
                        e.endedAttempt.sentAt < back ? new Outcome.ConnectFailed() : new Outcome.Delivered(), new double[0], e.endedAttempt.sentAt >= back, now));
            }
            for (int i = 0; i < nodes; i++) {
                if (!woken[i] && wakes[i] > now) {
                    continue;
                }
                wakes[i] = wakes[i] <= now ? Long.MAX_VALUE : wakes[i];
                said[i].addAll(choices.get(i).nextActions(now));
                for (Action answer : said[i]) {
                    if (answer instanceof Action.WakeUp wake) {
                        wakes[i] = Math.min(wakes[i], now + wake.delay());
                    } else if (answer instanceof Action.LogNote) {
                        notes += now < back ? 1 : 0;
                    } else if (answer instanceof Action.Send send) {
                        events.add(new Event(now + 5 * MILLISECOND, i, send.attempt(), null));
                        if (now < back) {
                            down++;
                        } else {
                            returning++;
                            mostInASecond = Math.max(mostInASecond, ++bySecond[(int) ((now - back) / SECOND)]);
                            window.addLast(now);
                            while (window.peekFirst() <= now - OVERLOAD_WINDOW) {
                                window.removeFirst();
                            }
                            double can = OVERLOAD_FACTOR * (INITIAL_SHARE + (1 - INITIAL_SHARE) * (now - back) / SLOW_START) * CALLS_PER_SECOND * OVERLOAD_WINDOW / SECOND;
                            worst = Math.max(worst, window.size() / (can + 2 * Math.sqrt(can) + 2));
                        }
                    }
                }
            }
        }
        taker.accept(new Measurement(build, "down.calls", nodes, down / (OUTAGE / (double) SECOND), "calls a second", ""));
        taker.accept(new Measurement(build, "down.notes", nodes, notes * 3600.0 / (OUTAGE / (double) SECOND), "notes an hour", ""));
        taker.accept(new Measurement(build, "back.most", nodes, mostInASecond, "calls in a second", String.format(java.util.Locale.ROOT,
                "it bears %.0f cold", OVERLOAD_FACTOR * INITIAL_SHARE * CALLS_PER_SECOND)));
        taker.accept(new Measurement(build, "back.window", nodes, worst, "parts of what it bears", String.format(java.util.Locale.ROOT,
                "in %d s, and 2 x root of it + 2", OVERLOAD_WINDOW_SECONDS)));
        taker.accept(new Measurement(build, "back.calls", nodes, returning, "calls in ten seconds", ""));
    }

    @SuppressWarnings("unchecked")
    private static List<Action>[] newLists(int nodes) {
        List<Action>[] lists = new List[nodes];
        java.util.Arrays.setAll(lists, i -> new ArrayList<>());
        return lists;
    }

    private static Settings settings(int me, int nodes, long seed) {
        return new Settings(me, nodes, 0, TICK, seed, 1000, 100, 1000, 1, false, true, true, 2 * SECOND, 5 * SECOND, SECOND, false, 10 * SECOND, true,
                false, 0.1, -1, -1, List.of(new Settings.QueueClass(2500 * MILLISECOND, OUTAGE + 20 * SLOW_START, 1, 0.3, false, Effect.REDELIVERABLE,
                DeduplicationScope.ALL, 7500 * MILLISECOND, false)), List.of(new Settings.DestinationKind(false, 1)), List.of(),
                new Settings.Rules(20 * MILLISECOND, 500 * MILLISECOND, INITIAL_SHARE, 10 * SECOND, OVERLOAD_FACTOR, OVERLOAD_WINDOW, 300 * MILLISECOND));
    }
}
