package wrenreach.app;

import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.held.Journal;
import wrenreach.held.Ledger;
import wrenreach.node.Config;
import wrenreach.node.DeliveryNode;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Mail;

/** A node process that is faulty on purpose, to test the checks of the lab; the first argument names the fault, the others are those of serve. */
public final class WrongNode {
    /** What is wrong, with the rule that has to detect it and a schedule of faults that provokes it. */
    enum Wrong {
        FORGETS_ENDINGS("LOST", "silent 0 at 500 for 4000, silent 1 at 500 for 4000, silent 2 at 500 for 4000, silent 3 at 500 for 4000"),
        FORGETS_ITS_JOURNAL("LOST", "full 0 at 300 for 3000, full 1 at 300 for 3000, full 2 at 300 for 3000, full 3 at 300 for 3000, "
                + "kill 0 at 2500 for 300"),
        SENDS_ONCE_ONLY_AGAIN("TWICE", "erring 0 at 300 for 4000, erring 1 at 300 for 4000, erring 2 at 300 for 4000, erring 3 at 300 for 4000"),
        DEAF_TO_LISTS("DRAIN", "drain 0 at 1000 for 1000, drain 1 at 1200 for 1000"),
        DEAF_TO_WAITS("WAIT", "full 0 at 500 for 3000, full 1 at 500 for 3000"),
        ANSWERS_BEFORE_IT_WRITES("LOST", "full 0 at 300 for 3000, full 1 at 300 for 3000, full 2 at 300 for 3000, full 3 at 300 for 3000, "
                + "kill 0 at 2500 for 300"),
        CALLS_IT_HARMLESS("TWICE", "erring 0 at 300 for 4000, erring 1 at 300 for 4000, erring 2 at 300 for 4000, erring 3 at 300 for 4000");

        final String rule;
        final String faults;

        Wrong(String rule, String faults) {
            this.rule = rule;
            this.faults = faults;
        }
    }

    private WrongNode() { }

    /** Arguments: name of the fault, serve, --config, FILE, --state, FOLDER. */
    public static void main(String[] words) throws Exception {
        Wrong wrong = Wrong.valueOf(words[0]);
        Path state = Path.of(words[5]);
        Config config = Config.read(Path.of(words[3]), Map.of());
        if (wrong == Wrong.FORGETS_ITS_JOURNAL && Files.exists(state.resolve("journal"))) {
            Files.delete(state.resolve("journal"));
        }
        DeliveryNode node = new DeliveryNode(config, ledger(wrong, Journal.open(state, config.diskBytes())), settings -> faultyDispatcher(wrong, settings));
        Signal.handle(new Signal("TERM"), signal -> node.stop());
        node.start();
        System.exit(node.stopped().get(1, TimeUnit.HOURS));
    }

    /** Returns the journal, or a proxy that reports records as written up to a second before it writes them. */
    private static Ledger ledger(Wrong wrong, Journal journal) {
        if (wrong != Wrong.ANSWERS_BEFORE_IT_WRITES) {
            return journal;
        }
        long[] wroteAt = {System.nanoTime()};
        return (Ledger) Proxy.newProxyInstance(Ledger.class.getClassLoader(), new Class<?>[] {Ledger.class}, (proxy, method, words) -> {
            if (method.getName().equals("write") && System.nanoTime() - wroteAt[0] < TimeUnit.SECONDS.toNanos(1)) {
                return true;
            }
            wroteAt[0] = method.getName().equals("write") ? System.nanoTime() : wroteAt[0];
            return method.invoke(journal, words);
        });
    }

    private static Dispatcher faultyDispatcher(Wrong wrong, Settings settings) {
        DeliveryDispatcher delegate = new DeliveryDispatcher(settings);
        return new Dispatcher() {
            private int count;

            private List<Action> falsify(List<Action> actions) {
                List<Action> falsified = new ArrayList<>(actions);
                if (wrong == Wrong.FORGETS_ENDINGS) {
                    falsified.removeIf(a -> (a instanceof Action.Bounce || a instanceof Action.Defer) && count++ % 3 == 0);
                } else if (wrong == Wrong.CALLS_IT_HARMLESS) {
                    falsified.replaceAll(a -> a instanceof Action.Bounce bounce ? new Action.Defer(bounce.mail(), 0) : a);
                }
                return falsified;
            }

            @Override public List<Action> admit(Mail mail, long now) {
                return falsify(delegate.admit(mail, now));
            }

            @Override public List<Action> attemptEnded(DeliveryAttempt attempt, Outcome outcome, double[] report, boolean done, long now) {
                Outcome reported = outcome;
                boolean mayHaveRun = outcome instanceof Outcome.ServerError || outcome instanceof Outcome.TimedOut;
                if (wrong == Wrong.SENDS_ONCE_ONLY_AGAIN && mayHaveRun) {
                    reported = new Outcome.NotSent(false);
                    attempt.neverRan = true;
                } else if (wrong == Wrong.DEAF_TO_WAITS && outcome instanceof Outcome.Rejected) {
                    reported = new Outcome.Rejected(0);
                }
                return falsify(delegate.attemptEnded(attempt, reported, report, done, now));
            }

            @Override public List<Action> withdrawn(Mail mail, long now) {
                return falsify(delegate.withdrawn(mail, now));
            }

            @Override public List<Action> endpointsUpdated(EndpointUpdate update, long now) {
                boolean isList = update.scope() != EndpointUpdate.Scope.UNCONFIRMED && update.scope() != EndpointUpdate.Scope.CONFIRMED;
                return wrong == Wrong.DEAF_TO_LISTS && isList && count++ > 0 ? List.of() : falsify(delegate.endpointsUpdated(update, now));
            }

            @Override public List<Action> nextActions(long now) {
                return falsify(delegate.nextActions(now));
            }
        };
    }
}
