package wrenreach.lab;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Mail;
import wrenreach.state.Route;

/** A module whose breakers are looked at whenever a connect of theirs goes out or ends; it changes nothing. */
final class BreakerRecorder implements Dispatcher {
    private final Dispatcher delegate;
    private final World world;
    private final String node;
    /** Those that are not closed. */
    private final Map<Route, CircuitBreakerState.Phase> nonClosedPhases = new IdentityHashMap<>();

    BreakerRecorder(Dispatcher module, World world, String node) {
        this.delegate = module;
        this.world = world;
        this.node = node;
    }

    private List<Action> recordSends(List<Action> answers) {
        for (Action answer : answers) {
            if (answer instanceof Action.Send send) {
                recordPhase(send.attempt().endpoint.route);
            }
        }
        return answers;
    }

    private void recordPhase(Route route) {
        if (route == null) {
            return;
        }
        CircuitBreakerState.Phase is = route.breaker.phase;
        CircuitBreakerState.Phase was = is == CircuitBreakerState.Phase.CLOSED ? nonClosedPhases.remove(route) : nonClosedPhases.put(route, is);
        if (is != (was == null ? CircuitBreakerState.Phase.CLOSED : was)) {
            world.record(new Fact.Turned(world.now(), node, route.name, is));
        }
    }

    @Override public List<Action> admit(Mail mail, long now) {
        return recordSends(delegate.admit(mail, now));
    }

    @Override public List<Action> attemptEnded(DeliveryAttempt connect, Outcome outcome, double[] report, boolean done, long now) {
        List<Action> answers = delegate.attemptEnded(connect, outcome, report, done, now);
        recordPhase(connect.endpoint.route);
        return recordSends(answers);
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        return recordSends(delegate.withdrawn(mail, now));
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate listing, long now) {
        return recordSends(delegate.endpointsUpdated(listing, now));
    }

    @Override public List<Action> nextActions(long now) {
        return recordSends(delegate.nextActions(now));
    }
}
