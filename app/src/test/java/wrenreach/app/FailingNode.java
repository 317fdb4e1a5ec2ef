package wrenreach.app;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.held.Journal;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Mail;

/** A node process that really fails at one place: it fills the heap, overflows the stack, or throws. */
public final class FailingNode {
    /** Where it fails: while it recovers (the list, an outstanding mail), in an iteration, at a client's request, or in a scheduled task. */
    enum Place { LISTED, RECOVERED, TURN, REQUEST, TASK }

    /** How it fails. */
    enum Kind { MEMORY, STACK, DEFECT, ASSERTION }

    private FailingNode() { }

    /** Arguments: place, kind, config file, state folder. */
    public static void main(String[] words) throws Exception {
        Place place = Place.valueOf(words[0]);
        Kind kind = Kind.valueOf(words[1]);
        Path state = Path.of(words[3]);
        Config config = Config.read(Path.of(words[2]), Map.of());
        DeliveryNode node = new DeliveryNode(config, Journal.open(state, config.diskBytes()), settings -> failingDispatcher(place, kind, settings));
        node.start();
        if (place == Place.TASK) {
            node.schedule(() -> fail(kind, new ArrayList<>()), 1000);
        }
        System.exit(node.stopped().join());
    }

    private static int fail(Kind kind, List<Object> held) {
        switch (kind) {
            case MEMORY:
                held.add(null);
                for (int size = 1 << 20; true; size /= 2) {
                    try {
                        while (true) {
                            // A chain of arrays: a list that can't grow any more would leave some memory free.
                            held.set(0, size == 0 ? new Object[] {held.get(0)} : new Object[] {held.get(0), new byte[size]});
                        }
                    } catch (OutOfMemoryError e) {
                        if (size == 0) {
                            throw e;
                        }
                    }
                }
                // Not reached: the heap is full before.
                // fall through
            case STACK:
                return fail(kind, held) + 1;
            case DEFECT:
                throw new IllegalStateException("a defect\nof two lines");
            default:
                throw new AssertionError("not so");
        }
    }

    private static Dispatcher failingDispatcher(Place place, Kind kind, Settings settings) {
        DeliveryDispatcher delegate = new DeliveryDispatcher(settings);
        return new Dispatcher() {
            /** Keeps what fills the heap reachable, as the state of a dispatcher would be. */
            private final List<Object> held = new ArrayList<>();
            private int admitted;

            private void failAt(Place here) {
                if (here == place) {
                    fail(kind, held);
                }
            }

            @Override public List<Action> admit(Mail mail, long now) {
                // The state folder has one outstanding mail; all later mails come from a client.
                failAt(admitted++ > 0 ? Place.REQUEST : Place.RECOVERED);
                return delegate.admit(mail, now);
            }

            @Override public List<Action> attemptEnded(DeliveryAttempt attempt, Outcome outcome, double[] report, boolean done, long now) {
                return delegate.attemptEnded(attempt, outcome, report, done, now);
            }

            @Override public List<Action> withdrawn(Mail mail, long now) {
                return delegate.withdrawn(mail, now);
            }

            @Override public List<Action> endpointsUpdated(EndpointUpdate update, long now) {
                failAt(Place.LISTED);
                return delegate.endpointsUpdated(update, now);
            }

            @Override public List<Action> nextActions(long now) {
                failAt(Place.TURN);
                return delegate.nextActions(now);
            }
        };
    }
}
