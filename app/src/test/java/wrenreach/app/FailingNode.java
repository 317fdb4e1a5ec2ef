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

/** A node as a process that fails at one place, for real: memory is filled, the stack is used up, or something is thrown. */
public final class FailingNode {
    /** Where it fails: while it recovers (the list, an owed mail), in a turn, at a client's request, in a task put off. */
    enum Place { LISTED, RECOVERED, TURN, REQUEST, TASK }

    /** By what. */
    enum Kind { MEMORY, STACK, DEFECT, ASSERTION }

    private FailingNode() { }

    /** place, kind, config file, state folder. */
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
                            // A chain: a list that can't grow any more would leave room.
                            held.set(0, size == 0 ? new Object[] {held.get(0)} : new Object[] {held.get(0), new byte[size]});
                        }
                    } catch (OutOfMemoryError e) {
                        if (size == 0) {
                            throw e;
                        }
                    }
                }
                // Never come to: memory ends before.
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
        DeliveryDispatcher sound = new DeliveryDispatcher(settings);
        return new Dispatcher() {
            /** What fills the memory stays, as a module's state would. */
            private final List<Object> held = new ArrayList<>();
            private int admitted;

            private void fails(Place here) {
                if (here == place) {
                    fail(kind, held);
                }
            }

            @Override public List<Action> admit(Mail mail, long now) {
                // The folder owes one mail; what comes after it, a client brings.
                fails(admitted++ > 0 ? Place.REQUEST : Place.RECOVERED);
                return sound.admit(mail, now);
            }

            @Override public List<Action> attemptEnded(DeliveryAttempt connect, Outcome outcome, double[] report, boolean done, long now) {
                return sound.attemptEnded(connect, outcome, report, done, now);
            }

            @Override public List<Action> withdrawn(Mail mail, long now) {
                return sound.withdrawn(mail, now);
            }

            @Override public List<Action> endpointsUpdated(EndpointUpdate listing, long now) {
                fails(Place.LISTED);
                return sound.endpointsUpdated(listing, now);
            }

            @Override public List<Action> nextActions(long now) {
                fails(Place.TURN);
                return sound.nextActions(now);
            }
        };
    }
}
