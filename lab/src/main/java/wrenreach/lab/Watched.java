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
final class Watched implements Dispatcher {
    private final Dispatcher module;
    private final World world;
    private final String node;
    /** Those that are not closed. */
    private final Map<Route, CircuitBreakerState.Phase> phases = new IdentityHashMap<>();

    Watched(Dispatcher module, World world, String node) {
        this.module = module;
        this.world = world;
        this.node = node;
    }

    private List<Action> looked(List<Action> answers) {
        for (Action answer : answers) {
            if (answer instanceof Action.Send send) {
                look(send.attempt().endpoint.route);
            }
        }
        return answers;
    }

    private void look(Route route) {
        if (route == null) {
            return;
        }
        CircuitBreakerState.Phase is = route.breaker.phase;
        CircuitBreakerState.Phase was = is == CircuitBreakerState.Phase.CLOSED ? phases.remove(route) : phases.put(route, is);
        if (is != (was == null ? CircuitBreakerState.Phase.CLOSED : was)) {
            world.record(new Fact.Turned(world.now(), node, route.name, is));
        }
    }

    @Override public List<Action> admit(Mail mail, long now) {
        return looked(module.admit(mail, now));
    }

    @Override public List<Action> attemptEnded(DeliveryAttempt connect, Outcome outcome, double[] report, boolean done, long now) {
        List<Action> answers = module.attemptEnded(connect, outcome, report, done, now);
        look(connect.endpoint.route);
        return looked(answers);
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        return looked(module.withdrawn(mail, now));
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate listing, long now) {
        return looked(module.endpointsUpdated(listing, now));
    }

    @Override public List<Action> nextActions(long now) {
        return looked(module.nextActions(now));
    }
}
