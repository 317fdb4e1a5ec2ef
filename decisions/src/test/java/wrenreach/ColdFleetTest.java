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
import wrenreach.api.Answer;
import wrenreach.api.Listing;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.Connect;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/**
 * Whole fleets of the module against one receiver that was down and is back cold, in virtual time: what all nodes send together stays
 * under what it bears. Beyond the budget of N calls only twice the root of N, and two, are put down to chance.
 */
class ColdFleetTest {
    private static final long MS = 1000, SECOND = 1000 * MS;
    private static final long DOWN_AT = 8 * SECOND, BACK_AT = 18 * SECOND, SERVICE = 200 * MS, TIP = 3 * SECOND, COLD = 10 * SECOND;
    private static final double COLD_FROM = 0.25, OVERLOAD = 1.5;

    private record Due(long at, long order, Runnable work) { }

    /** A call; knew: its node had seen one fail in the outage. */
    private record Call(long at, boolean knew) { }

    /** What came to the receiver: the worst window, in parts of its bound, and the part of the budget used on the ramp. */
    private record Came(double worst, double used, int calls, double budget) { }

    /** One day of a fleet. */
    private static final class Day {
        private final int nodes;
        private final double capacity;
        private final SplittableRandom random;
        private final PriorityQueue<Due> queue = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                : Long.compare(a.order, b.order));
        private final Deque<Call> window = new ArrayDeque<>();
        private final List<Node> fleet = new ArrayList<>();
        private long now;
        private long order;
        private double worst;
        private int calls;

        Day(int nodes, double capacity, long seed) {
            this.nodes = nodes;
            this.capacity = capacity;
            random = new SplittableRandom(seed);
            for (int i = 0; i < nodes; i++) {
                fleet.add(new Node(i, seed));
            }
        }

        private void at(long when, Runnable work) {
            queue.add(new Due(Math.max(when, now), order++, work));
        }

        private double budget(long since) {
            double warm = Math.min(1, (double) since / COLD);
            return OVERLOAD * (COLD_FROM + (1 - COLD_FROM) * warm) * capacity * TIP / SECOND;
        }

        private boolean down() {
            return now >= DOWN_AT && now < BACK_AT;
        }

        private void came(boolean knew) {
            if (now < BACK_AT) {
                return;
            }
            calls++;
            window.addLast(new Call(now, knew));
            while (window.peekFirst().at <= now - TIP) {
                window.pollFirst();
            }
            double most = budget(now - BACK_AT);
            if (3 * window.stream().filter(Call::knew).count() > 2 * window.size()) {
                worst = Math.max(worst, window.size() / (most + 2 * Math.sqrt(most) + 2));
            }
        }

        /** load: part of the receiver's capacity that comes; restarts: every so-manieth node starts anew twice on the ramp. */
        Came play(double load, int restarts) {
            double sum = 0;
            for (int i = 0; i < nodes; i++) {
                sum += fleet.get(i).traffic;
            }
            for (Node node : fleet) {
                node.rate = load * capacity * node.traffic / sum;
                at(node.pause(), node::arrives);
                if (restarts > 0 && node.number % restarts == 0) {
                    at(BACK_AT + 2 * SECOND, node::restarts);
                    at(BACK_AT + 5 * SECOND, node::restarts);
                }
            }
            while (!queue.isEmpty() && queue.peek().at < BACK_AT + COLD) {
                Due due = queue.poll();
                now = due.at;
                due.work.run();
            }
            double allowed = 0;
            for (long t = 0; t < COLD; t += 100 * MS) {
                allowed += budget(t) / TIP * 100 * MS;
            }
            return new Came(worst, calls / allowed, calls, allowed);
        }

        private final class Node {
            final int number;
            /** Uneven: some get several times the mean. */
            final double traffic;
            private final long seed;
            private double rate;
            private int life;
            private boolean knows;
            private long ids;
            private Choice choice;
            private Endpoint endpoint;
            private Destination to;

            Node(int number, long seed) {
                this.number = number;
                this.seed = seed * 1000 + number;
                traffic = 0.2 - Math.log(1 - random.nextDouble());
                begin();
            }

            private void begin() {
                choice = new Choice(new Settings(number, nodes, 0, 5 * MS, seed, 1000, 100, 6, 1, false, true, true, 2 * SECOND,
                        5 * SECOND, SECOND, false, 10 * SECOND, true, false, 0.1, 0, 1,
                        List.of(new Settings.QueueClass(2500 * MS, 28 * SECOND, 1, 0.3, false, Settings.Effect.TAGGED,
                                Settings.RepeatGroup.ALL, 7500 * MS, false)),
                        List.of(new Settings.Kind(false, 1)), List.of(),
                        new Settings.Rules(20 * MS, 500 * MS, COLD_FROM, COLD, OVERLOAD, TIP, 300 * MS)));
                to = new Destination(1);
                endpoint = new Endpoint(1, to, 0, 0);
                answer(choice.listed(new Listing(Listing.Scope.WHOLE, List.of(new Listing.Entry(endpoint, Listing.State.READY, capacity))), now));
            }

            long pause() {
                return now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / rate);
            }

            void arrives() {
                answer(choice.admit(new Mail(ids++, to, null, 0, -1, now, now + 28 * SECOND), now));
                answer(choice.next(now));
                at(pause(), this::arrives);
            }

            void restarts() {
                life++;
                begin();
            }

            private void answer(List<Answer> answers) {
                for (Answer answer : answers) {
                    int mine = life;
                    if (answer instanceof Answer.Send send) {
                        sent(send.connect());
                    } else if (answer instanceof Answer.Wake wake) {
                        at(now + wake.delay(), () -> {
                            if (mine == life) {
                                answer(choice.next(now));
                            }
                        });
                    }
                }
            }

            private void sent(Connect connect) {
                int mine = life;
                boolean lost = down();
                knows |= lost;
                came(knows);
                at(now + (lost ? 2 * MS : SERVICE), () -> {
                    if (mine == life) {
                        answer(choice.ended(connect, lost ? new Outcome.ConnectFailed() : new Outcome.Delivered(), new double[0], !lost, now));
                        answer(choice.next(now));
                    }
                });
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 4", "20, 4", "30, 4", "100, 4", "650, 4", "3, 40", "20, 40", "30, 40", "100, 40", "650, 40"})
    void whatAllSendTogetherStaysUnderWhatAColdReceiverBears(int nodes, double capacity) {
        for (int restarts : new int[] {0, 3}) {
            double worst = 0, used = 0;
            for (int seed = 1; seed <= 5; seed++) {
                Came came = new Day(nodes, capacity, seed).play(0.9, restarts);
                worst = Math.max(worst, came.worst);
                used += came.used / 5;
            }
            System.out.printf("%d nodes, capacity %.0f, %s: worst window %.2f of its bound, %.2f of the budget used%n", nodes, capacity,
                    restarts > 0 ? "restarts" : "no restart", worst, used);
            assertThat(worst).as("%d nodes, restarts %d", nodes, restarts).isLessThanOrEqualTo(1);
        }
    }
}
