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

/** A dispatcher that delegates, and records a fact when a circuit breaker's phase differs after an attempt was sent or has ended. */
final class BreakerRecorder implements Dispatcher {
    private final Dispatcher delegate;
    private final World world;
    private final String node;
    /** The phases of the breakers that are not closed. */
    private final Map<Route, CircuitBreakerState.Phase> nonClosedPhases = new IdentityHashMap<>();

    BreakerRecorder(Dispatcher delegate, World world, String node) {
        this.delegate = delegate;
        this.world = world;
        this.node = node;
    }

    private List<Action> recordSends(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Send send) {
                recordPhase(send.attempt().endpoint.route);
            }
        }
        return actions;
    }

    private void recordPhase(Route route) {
        if (route == null) {
            return;
        }
        CircuitBreakerState.Phase phase = route.breaker.phase;
        CircuitBreakerState.Phase previous = phase == CircuitBreakerState.Phase.CLOSED ? nonClosedPhases.remove(route) : nonClosedPhases.put(route, phase);
        if (phase != (previous == null ? CircuitBreakerState.Phase.CLOSED : previous)) {
            world.record(new Fact.Turned(world.now(), node, route.name, phase));
        }
    }

    @Override public List<Action> admit(Mail mail, long now) {
        return recordSends(delegate.admit(mail, now));
    }

    @Override public List<Action> attemptEnded(DeliveryAttempt attempt, Outcome outcome, double[] report, boolean done, long now) {
        List<Action> actions = delegate.attemptEnded(attempt, outcome, report, done, now);
        recordPhase(attempt.endpoint.route);
        return recordSends(actions);
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        return recordSends(delegate.withdrawn(mail, now));
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate update, long now) {
        return recordSends(delegate.endpointsUpdated(update, now));
    }

    @Override public List<Action> nextActions(long now) {
        return recordSends(delegate.nextActions(now));
    }
}
