package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.api.Action;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/**
 * Whole fleets of the module against one receiver that was down and is back cold, in virtual time: what all nodes send together stays
 * under what it bears. Beyond the budget of N calls only twice the root of N, and two, are put down to chance.
 */
class SlowStartFleetTest {
    private static final long MS = 1000, SECOND = 1000 * MS;
    private static final long DOWN_AT = 8 * SECOND, BACK_AT = 18 * SECOND, SERVICE_TIME = 200 * MS, OVERLOAD_WINDOW = 3 * SECOND, SLOW_START_DURATION = 10 * SECOND;
    private static final double SLOW_START_INITIAL_SHARE = 0.25, OVERLOAD_FACTOR = 1.5;

    private record ScheduledTask(long at, long sequence, Runnable task) { }

    /** A call; knew: its node had seen one fail in the outage. */
    private record ReceivedCall(long at, boolean nodeSawOutage) { }

    /** What came to the receiver: the worst window, in parts of its bound, and the part of the budget used on the ramp. */
    private record ReceivedLoad(double worstWindow, double budgetUsed, int calls, double budget) { }

    /** One day of a fleet. */
    private static final class FleetSimulation {
        private final int nodeCount;
        private final double capacity;
        private final SplittableRandom random;
        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                : Long.compare(a.sequence, b.sequence));
        private final Deque<ReceivedCall> recentCalls = new ArrayDeque<>();
        private final List<Node> fleet = new ArrayList<>();
        private long now;
        private long nextSequence;
        private double worstWindow;
        private int callCount;

        FleetSimulation(int nodes, double capacity, long seed) {
            this.nodeCount = nodes;
            this.capacity = capacity;
            random = new SplittableRandom(seed);
            for (int i = 0; i < nodes; i++) {
                fleet.add(new Node(i, seed));
            }
        }

        private void schedule(long when, Runnable work) {
            tasks.add(new ScheduledTask(Math.max(when, now), nextSequence++, work));
        }

        private double windowBudget(long since) {
            double warm = Math.min(1, (double) since / SLOW_START_DURATION);
            return OVERLOAD_FACTOR * (SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * warm) * capacity * OVERLOAD_WINDOW / SECOND;
        }

        private boolean isDown() {
            return now >= DOWN_AT && now < BACK_AT;
        }

        private void recordCall(boolean knew) {
            if (now < BACK_AT) {
                return;
            }
            callCount++;
            recentCalls.addLast(new ReceivedCall(now, knew));
            while (recentCalls.peekFirst().at <= now - OVERLOAD_WINDOW) {
                recentCalls.pollFirst();
            }
            double most = windowBudget(now - BACK_AT);
            if (3 * recentCalls.stream().filter(ReceivedCall::nodeSawOutage).count() > 2 * recentCalls.size()) {
                worstWindow = Math.max(worstWindow, recentCalls.size() / (most + 2 * Math.sqrt(most) + 2));
            }
        }

        /** load: part of the receiver's capacity that comes; restarts: every so-manieth node starts anew twice on the ramp. */
        ReceivedLoad run(double load, int restarts) {
            double sum = 0;
            for (int i = 0; i < nodeCount; i++) {
                sum += fleet.get(i).relativeTraffic;
            }
            for (Node node : fleet) {
                node.arrivalRate = load * capacity * node.relativeTraffic / sum;
                schedule(node.nextArrivalAt(), node::submitMail);
                if (restarts > 0 && node.number % restarts == 0) {
                    schedule(BACK_AT + 2 * SECOND, node::restart);
                    schedule(BACK_AT + 5 * SECOND, node::restart);
                }
            }
            while (!tasks.isEmpty() && tasks.peek().at < BACK_AT + SLOW_START_DURATION) {
                ScheduledTask due = tasks.poll();
                now = due.at;
                due.task.run();
            }
            double allowed = 0;
            for (long t = 0; t < SLOW_START_DURATION; t += 100 * MS) {
                allowed += windowBudget(t) / OVERLOAD_WINDOW * 100 * MS;
            }
            return new ReceivedLoad(worstWindow, callCount / allowed, callCount, allowed);
        }

        private final class Node {
            final int number;
            /** Uneven: some get several times the mean. */
            final double relativeTraffic;
            private final long seed;
            private double arrivalRate;
            private int incarnation;
            private boolean sawOutage;
            private long nextMailId;
            private DeliveryDispatcher dispatcher;
            private Endpoint endpoint;
            private Destination destination;

            Node(int number, long seed) {
                this.number = number;
                this.seed = seed * 1000 + number;
                relativeTraffic = 0.2 - Math.log(1 - random.nextDouble());
                start();
            }

            private void start() {
                dispatcher = new DeliveryDispatcher(new Settings(number, nodeCount, 0, 5 * MS, seed, 1000, 100, 6, 1, false, true, true, 2 * SECOND,
                        5 * SECOND, SECOND, false, 10 * SECOND, true, false, 0.1, 0, 1,
                        List.of(new Settings.QueueClass(2500 * MS, 28 * SECOND, 1, 0.3, false, Settings.Effect.TAGGED,
                                Settings.DeduplicationScope.ALL, 7500 * MS, false)),
                        List.of(new Settings.DestinationKind(false, 1)), List.of(),
                        new Settings.Rules(20 * MS, 500 * MS, SLOW_START_INITIAL_SHARE, SLOW_START_DURATION, OVERLOAD_FACTOR, OVERLOAD_WINDOW, 300 * MS)));
                destination = new Destination(1);
                endpoint = new Endpoint(1, destination, 0, 0);
                carryOut(dispatcher.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE, List.of(new EndpointUpdate.Entry(endpoint, EndpointUpdate.State.READY, capacity))), now));
            }

            long nextArrivalAt() {
                return now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / arrivalRate);
            }

            void submitMail() {
                carryOut(dispatcher.admit(new Mail(nextMailId++, destination, null, 0, -1, now, now + 28 * SECOND), now));
                carryOut(dispatcher.nextActions(now));
                schedule(nextArrivalAt(), this::submitMail);
            }

            void restart() {
                incarnation++;
                start();
            }

            private void carryOut(List<Action> answers) {
                for (Action answer : answers) {
                    int mine = incarnation;
                    if (answer instanceof Action.Send send) {
                        onSend(send.attempt());
                    } else if (answer instanceof Action.WakeUp wake) {
                        schedule(now + wake.delay(), () -> {
                            if (mine == incarnation) {
                                carryOut(dispatcher.nextActions(now));
                            }
                        });
                    }
                }
            }

            private void onSend(DeliveryAttempt connect) {
                int mine = incarnation;
                boolean lost = isDown();
                sawOutage |= lost;
                recordCall(sawOutage);
                schedule(now + (lost ? 2 * MS : SERVICE_TIME), () -> {
                    if (mine == incarnation) {
                        carryOut(dispatcher.attemptEnded(connect, lost ? new Outcome.ConnectFailed() : new Outcome.Delivered(), new double[0], !lost, now));
                        carryOut(dispatcher.nextActions(now));
                    }
                });
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 4", "20, 4", "30, 4", "100, 4", "650, 4", "3, 40", "20, 40", "30, 40", "100, 40", "650, 40"})
    void theFleetStaysWithinTheBudgetOfAReceiverInSlowStart(int nodes, double capacity) {
        for (int restarts : new int[] {0, 3}) {
            double worst = 0, used = 0;
            for (int seed = 1; seed <= 5; seed++) {
                ReceivedLoad came = new FleetSimulation(nodes, capacity, seed).run(0.9, restarts);
                worst = Math.max(worst, came.worstWindow);
                used += came.budgetUsed / 5;
            }
            System.out.printf("%d nodes, capacity %.0f, %s: worst window %.2f of its bound, %.2f of the budget used%n", nodes, capacity,
                    restarts > 0 ? "restarts" : "no restart", worst, used);
            assertThat(worst).as("%d nodes, restarts %d", nodes, restarts).isLessThanOrEqualTo(1);
        }
    }
}
