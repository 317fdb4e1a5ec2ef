package wrenreach;

import java.util.ArrayList;
import java.util.List;
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
import wrenreach.state.OrderKey;

/** One node with one destination; times in milliseconds here, microseconds inside. */
final class NodeFixture {
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
    double weight = 1000;
    boolean weightsProvided = true;
    double quotaPerSecond;
    boolean listOnRequest;
    long now = 1_000_000 * MS;
    final Destination destination = new Destination(1);
    final List<Action> newActions = new ArrayList<>();
    private long nextMailId;
    private DeliveryDispatcher dispatcher;

    DeliveryDispatcher dispatcher() {
        if (dispatcher == null) {
            dispatcher = new DeliveryDispatcher(new Settings(nodeIndex, nodeCount, 0, 5 * MS, 7, heldLimit, inFlightLimit, attemptLimit, 1, parallelAttemptsAllowed, true, true, 2000 * MS,
                    5000 * MS, 1000 * MS, listOnRequest, 10_000 * MS, weightsProvided, false, 0.1, 0, 1,
                    List.of(new Settings.QueueClass(2500 * MS, 28_000 * MS, 1, 0.3, false, effect, deduplicationScope, 7500 * MS,
                            ordered)),
                    List.of(new Settings.DestinationKind(routePerEndpoint, batchSize)),
                    quotaPerSecond > 0 ? List.of(new Settings.Tenant(quotaPerSecond)) : List.of(),
                    new Settings.Rules(20 * MS, 500 * MS, 0.25, 10_000 * MS, 1.5, 3000 * MS, 300 * MS)));
        }
        return dispatcher;
    }

    Endpoint addEndpoint(int address, int zone) {
        Endpoint e = new Endpoint(address, destination, 0, zone);
        updateEndpoint(e, EndpointUpdate.State.READY);
        return e;
    }

    void updateEndpoint(Endpoint e, EndpointUpdate.State state) {
        newActions.addAll(dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.CHANGES,
                List.of(new EndpointUpdate.Entry(e, state, weight))), now));
    }

    Mail admitMail(OrderKey key) {
        return admitMail(destination, key);
    }

    Mail admitMail(Destination d, OrderKey key) {
        Mail m = new Mail(nextMailId++, d, key, 0, 0, now, now + 28_000 * MS);
        newActions.addAll(dispatcher().admit(m, now));
        return m;
    }

    /** Ends the turn after this long; the connects that it sends. */
    List<DeliveryAttempt> runIteration(long after) {
        now += after * MS;
        newActions.addAll(dispatcher().nextActions(now));
        List<DeliveryAttempt> sent = new ArrayList<>();
        for (Action answer : takeNewActions()) {
            if (answer instanceof Action.Send send) {
                sent.add(send.attempt());
            }
        }
        return sent;
    }

    /** Hands in a mail and sends it. */
    DeliveryAttempt sendMail() {
        admitMail(null);
        return runIteration(500).get(0);
    }

    void endAttempt(DeliveryAttempt c, Outcome outcome) {
        newActions.addAll(dispatcher().attemptEnded(c, outcome, new double[0], outcome instanceof Outcome.Delivered, now));
    }

    /** Hands in and fails so many mails, one a turn, while any is sent. */
    int failMails(int times, Outcome outcome) {
        int failed = 0;
        for (int i = 0; i < times; i++) {
            admitMail(null);
            for (DeliveryAttempt c : runIteration(1000)) {
                endAttempt(c, outcome);
                failed++;
            }
        }
        return failed;
    }

    <A extends Action> List<A> newActionsOf(Class<A> kind) {
        return newActions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private List<Action> takeNewActions() {
        List<Action> last = List.copyOf(newActions);
        earlierActions.addAll(last);
        newActions.clear();
        return last;
    }

    final List<Action> earlierActions = new ArrayList<>();

    /** Everything answered so far. */
    <A extends Action> List<A> allActionsOf(Class<A> kind) {
        takeNewActions();
        return earlierActions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
