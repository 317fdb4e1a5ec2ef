package wrenreach;

import java.util.ArrayList;
import java.util.List;
import wrenreach.api.Action;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.api.Settings.DeduplicationScope;
import wrenreach.api.Settings.Effect;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.OrderKey;

/**
 * The dispatcher of one node with one destination, and its host. The fields with settings take effect if they are set before the first call
 * of a method. Parameters of methods are in milliseconds, {@link #now} and the settings in microseconds.
 */
final class NodeFixture {
    /** Microseconds in a millisecond. */
    static final long MS = 1000;

    Effect effect = Effect.TAGGED;
    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    boolean ordered;
    boolean routePerEndpoint;
    boolean parallelAttemptsAllowed;
    int nodeCount = 2;
    int nodeIndex;
    int batchSize = 1;
    int inFlightLimit = 100;
    int heldLimit = 1000;
    int attemptLimit = 6;
    /** Weight of endpoints in the list: the rate limit of their route, in messages per second. */
    double weight = 1000;
    boolean weightsProvided = true;
    /** Of the only tenant; 0: there is no tenant. */
    double quotaPerSecond;
    boolean listOnRequest;
    /** The time of the current iteration, in microseconds. */
    long now = 1_000_000 * MS;
    final Destination destination = new Destination(1);
    /** Actions since the last iteration. */
    final List<Action> newActions = new ArrayList<>();
    private long nextMailId;
    private DeliveryDispatcher dispatcher;

    DeliveryDispatcher dispatcher() {
        if (dispatcher == null) {
            dispatcher = new DeliveryDispatcher(new Settings(nodeIndex, nodeCount, 0, 5 * MS, 7, heldLimit, inFlightLimit, attemptLimit, 1,
                    parallelAttemptsAllowed, true, true, 2000 * MS, 5000 * MS, 1000 * MS, listOnRequest, 10_000 * MS, weightsProvided, false, 0.1, 0, 1,
                    List.of(new Settings.QueueClass(2500 * MS, 28_000 * MS, 1, 0.3, false, effect, deduplicationScope, 7500 * MS,
                            ordered)),
                    List.of(new Settings.DestinationKind(routePerEndpoint, batchSize)),
                    quotaPerSecond > 0 ? List.of(new Settings.Tenant(quotaPerSecond)) : List.of(),
                    new Settings.Rules(20 * MS, 500 * MS, 0.25, 10_000 * MS, 1.5, 3000 * MS, 300 * MS)));
        }
        return dispatcher;
    }

    /** Adds an endpoint of the destination to the list. */
    Endpoint addEndpoint(int address, int zone) {
        Endpoint endpoint = new Endpoint(address, destination, 0, zone);
        updateEndpoint(endpoint, EndpointUpdate.State.READY);
        return endpoint;
    }

    void updateEndpoint(Endpoint endpoint, EndpointUpdate.State state) {
        newActions.addAll(dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.CHANGES,
                List.of(new EndpointUpdate.Entry(endpoint, state, weight))), now));
    }

    Mail admitMail(OrderKey orderKey) {
        return admitMail(destination, orderKey);
    }

    Mail admitMail(Destination to, OrderKey orderKey) {
        Mail mail = new Mail(nextMailId++, to, orderKey, 0, 0, now, now + 28_000 * MS);
        newActions.addAll(dispatcher().admit(mail, now));
        return mail;
    }

    /** Runs an iteration after this delay, in milliseconds. Returns the attempts that it sends. */
    List<DeliveryAttempt> runIteration(long delay) {
        now += delay * MS;
        newActions.addAll(dispatcher().nextActions(now));
        List<DeliveryAttempt> sent = new ArrayList<>();
        for (Action action : takeNewActions()) {
            if (action instanceof Action.Send send) {
                sent.add(send.attempt());
            }
        }
        return sent;
    }

    /** Admits a mail and sends it in an iteration 500 ms later. */
    DeliveryAttempt sendMail() {
        admitMail(null);
        return runIteration(500).get(0);
    }

    void endAttempt(DeliveryAttempt attempt, Outcome outcome) {
        newActions.addAll(dispatcher().attemptEnded(attempt, outcome, new double[0], outcome instanceof Outcome.Delivered, now));
    }

    /** Admits this many mails, one per iteration, and ends every attempt with the outcome. Returns the number of attempts. */
    int failMails(int count, Outcome outcome) {
        int failed = 0;
        for (int i = 0; i < count; i++) {
            admitMail(null);
            for (DeliveryAttempt attempt : runIteration(1000)) {
                endAttempt(attempt, outcome);
                failed++;
            }
        }
        return failed;
    }

    /** The actions of a type since the last iteration. */
    <A extends Action> List<A> newActionsOf(Class<A> type) {
        return newActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private List<Action> takeNewActions() {
        List<Action> taken = List.copyOf(newActions);
        earlierActions.addAll(taken);
        newActions.clear();
        return taken;
    }

    final List<Action> earlierActions = new ArrayList<>();

    /** All actions of a type so far. */
    <A extends Action> List<A> allActionsOf(Class<A> type) {
        takeNewActions();
        return earlierActions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
