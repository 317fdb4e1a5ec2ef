package wrenreach.lab;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import wrenreach.api.Answer;
import wrenreach.api.Dispatcher;
import wrenreach.api.Listing;
import wrenreach.api.Outcome;
import wrenreach.state.Breaker;
import wrenreach.state.Connect;
import wrenreach.state.Mail;
import wrenreach.state.Route;

/** A module whose breakers are looked at whenever a connect of theirs goes out or ends; it changes nothing. */
final class Watched implements Dispatcher {
    private final Dispatcher module;
    private final World world;
    private final String node;
    /** Those that are not closed. */
    private final Map<Route, Breaker.Phase> phases = new IdentityHashMap<>();

    Watched(Dispatcher module, World world, String node) {
        this.module = module;
        this.world = world;
        this.node = node;
    }

    private List<Answer> looked(List<Answer> answers) {
        for (Answer answer : answers) {
            if (answer instanceof Answer.Send send) {
                look(send.connect().endpoint.route);
            }
        }
        return answers;
    }

    private void look(Route route) {
        if (route == null) {
            return;
        }
        Breaker.Phase is = route.breaker.phase;
        Breaker.Phase was = is == Breaker.Phase.CLOSED ? phases.remove(route) : phases.put(route, is);
        if (is != (was == null ? Breaker.Phase.CLOSED : was)) {
            world.record(new Fact.Turned(world.now(), node, route.name, is));
        }
    }

    @Override public List<Answer> admit(Mail mail, long now) {
        return looked(module.admit(mail, now));
    }

    @Override public List<Answer> ended(Connect connect, Outcome outcome, double[] report, boolean done, long now) {
        List<Answer> answers = module.ended(connect, outcome, report, done, now);
        look(connect.endpoint.route);
        return looked(answers);
    }

    @Override public List<Answer> withdrawn(Mail mail, long now) {
        return looked(module.withdrawn(mail, now));
    }

    @Override public List<Answer> listed(Listing listing, long now) {
        return looked(module.listed(listing, now));
    }

    @Override public List<Answer> next(long now) {
        return looked(module.next(now));
    }
}
