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
 * A fleet of dispatchers sends to one receiver that was down and returns in slow start, in virtual time: what all nodes send together must stay within what
 * the receiver bears. Above a budget of N calls only twice the square root of N, plus 2, is accepted as chance. Times are in microseconds.
 */
class SlowStartFleetTest {
    private static final long MS = 1000, SECOND = 1000 * MS;
    /** When the receiver goes down. */
    private static final long DOWN_AT = 8 * SECOND;
    /** When the receiver is back, in slow start. */
    private static final long BACK_AT = 18 * SECOND;
    /** How long the receiver takes for a call. */
    private static final long SERVICE_TIME = 200 * MS;
    /** The receiver's load is judged over windows of this length. */
    private static final long OVERLOAD_WINDOW = 3 * SECOND;
    /** How long after its return the receiver's capacity rises from SLOW_START_INITIAL_SHARE to the whole. */
    private static final long SLOW_START_DURATION = 10 * SECOND;
    /** The part of its capacity with which the receiver returns. */
    private static final double SLOW_START_INITIAL_SHARE = 0.25;
    /** The receiver bears so many times its present capacity. */
    private static final double OVERLOAD_FACTOR = 1.5;

    private record ScheduledTask(long at, long sequence, Runnable task) { }

    /** A call that the receiver got; nodeSawOutage: a call of its node had failed in the outage. */
    private record ReceivedCall(long at, boolean nodeSawOutage) { }

    /**
     * The load of the receiver after its return: worstWindow is the fullest window as a ratio to its bound, of those windows in which more than 2 of 3 calls
     * come from nodes that saw the outage; budgetUsed is the part of the budget of the whole slow start that was used.
     */
    private record ReceivedLoad(double worstWindow, double budgetUsed, int calls, double budget) { }

    /** Runs a fleet and its receiver in virtual time. */
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

        FleetSimulation(int nodeCount, double capacity, long seed) {
            this.nodeCount = nodeCount;
            this.capacity = capacity;
            random = new SplittableRandom(seed);
            for (int i = 0; i < nodeCount; i++) {
                fleet.add(new Node(i, seed));
            }
        }

        private void schedule(long at, Runnable task) {
            tasks.add(new ScheduledTask(Math.max(at, now), nextSequence++, task));
        }

        /** How many calls the receiver bears in a window that ends so long after its return. */
        private double windowBudget(long sinceReturn) {
            double rampedPart = Math.min(1, (double) sinceReturn / SLOW_START_DURATION);
            return OVERLOAD_FACTOR * (SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * rampedPart) * capacity * OVERLOAD_WINDOW / SECOND;
        }

        private boolean isDown() {
            return now >= DOWN_AT && now < BACK_AT;
        }

        private void recordCall(boolean nodeSawOutage) {
            if (now < BACK_AT) {
                return;
            }
            callCount++;
            recentCalls.addLast(new ReceivedCall(now, nodeSawOutage));
            while (recentCalls.peekFirst().at <= now - OVERLOAD_WINDOW) {
                recentCalls.pollFirst();
            }
            double budget = windowBudget(now - BACK_AT);
            if (3 * recentCalls.stream().filter(ReceivedCall::nodeSawOutage).count() > 2 * recentCalls.size()) {
                worstWindow = Math.max(worstWindow, recentCalls.size() / (budget + 2 * Math.sqrt(budget) + 2));
            }
        }

        /** load: what is sent, as a part of the receiver's capacity; restarts: if positive, every so many nodes one restarts twice during the slow start. */
        ReceivedLoad run(double load, int restarts) {
            double totalTraffic = 0;
            for (int i = 0; i < nodeCount; i++) {
                totalTraffic += fleet.get(i).relativeTraffic;
            }
            for (Node node : fleet) {
                node.arrivalRate = load * capacity * node.relativeTraffic / totalTraffic;
                schedule(node.nextArrivalAt(), node::submitMail);
                if (restarts > 0 && node.number % restarts == 0) {
                    schedule(BACK_AT + 2 * SECOND, node::restart);
                    schedule(BACK_AT + 5 * SECOND, node::restart);
                }
            }
            while (!tasks.isEmpty() && tasks.peek().at < BACK_AT + SLOW_START_DURATION) {
                ScheduledTask next = tasks.poll();
                now = next.at;
                next.task.run();
            }
            double totalBudget = 0;
            for (long t = 0; t < SLOW_START_DURATION; t += 100 * MS) {
                totalBudget += windowBudget(t) / OVERLOAD_WINDOW * 100 * MS;
            }
            return new ReceivedLoad(worstWindow, callCount / totalBudget, callCount, totalBudget);
        }

        private final class Node {
            final int number;
            /** Uneven: some nodes get several times the mean. */
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
                carryOut(dispatcher.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE,
                        List.of(new EndpointUpdate.Entry(endpoint, EndpointUpdate.State.READY, capacity))), now));
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

            private void carryOut(List<Action> actions) {
                for (Action action : actions) {
                    int scheduledBy = incarnation;
                    if (action instanceof Action.Send send) {
                        onSend(send.attempt());
                    } else if (action instanceof Action.WakeUp wakeUp) {
                        schedule(now + wakeUp.delay(), () -> {
                            if (scheduledBy == incarnation) {
                                carryOut(dispatcher.nextActions(now));
                            }
                        });
                    }
                }
            }

            private void onSend(DeliveryAttempt attempt) {
                int sentBy = incarnation;
                boolean receiverDown = isDown();
                sawOutage |= receiverDown;
                recordCall(sawOutage);
                schedule(now + (receiverDown ? 2 * MS : SERVICE_TIME), () -> {
                    if (sentBy == incarnation) {
                        carryOut(dispatcher.attemptEnded(attempt, receiverDown ? new Outcome.ConnectFailed() : new Outcome.Delivered(), new double[0],
                                !receiverDown, now));
                        carryOut(dispatcher.nextActions(now));
                    }
                });
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 4", "20, 4", "30, 4", "100, 4", "650, 4", "3, 40", "20, 40", "30, 40", "100, 40", "650, 40"})
    void theFleetStaysWithinTheBudgetOfAReceiverInSlowStart(int nodeCount, double capacity) {
        for (int restarts : new int[] {0, 3}) {
            double worstWindow = 0, budgetUsed = 0;
            for (int seed = 1; seed <= 5; seed++) {
                ReceivedLoad load = new FleetSimulation(nodeCount, capacity, seed).run(0.9, restarts);
                worstWindow = Math.max(worstWindow, load.worstWindow);
                budgetUsed += load.budgetUsed / 5;
            }
            System.out.printf("%d nodes, capacity %.0f, %s: worst window %.2f of its bound, %.2f of the budget used%n", nodeCount, capacity,
                    restarts > 0 ? "restarts" : "no restart", worstWindow, budgetUsed);
            assertThat(worstWindow).as("%d nodes, restarts %d", nodeCount, restarts).isLessThanOrEqualTo(1);
        }
    }
}
