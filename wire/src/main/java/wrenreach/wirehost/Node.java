package wrenreach.wirehost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Directory;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.OrderKey;
import wrenreach.wire.Event;
import wrenreach.wire.ReplyWriter;

/** One life of one delivery node: its module and the objects that the wire's ids stand for. */
final class Node {
    final int number;
    private final int incarnation;
    private final Dispatcher dispatcher;
    private final Map<Long, Mail> mails = new HashMap<>();
    private final Directory<Long> directory = new Directory<>();
    private final List<Action> actions = new ArrayList<>();

    Node(int number, int life, Dispatcher module) {
        this.number = number;
        this.incarnation = life;
        this.dispatcher = module;
    }

    void view(Event.View view, List<Event.Host> hosts, long now) {
        List<EndpointUpdate.Entry> entries = new ArrayList<>(hosts.size());
        for (Event.Host host : hosts) {
            Destination to = directory.destination(host.dest());
            Endpoint endpoint = directory.endpoint(host.endpoint(),
                    () -> new Endpoint(host.endpoint(), to, host.sku(), host.zone()));
            entries.add(new EndpointUpdate.Entry(endpoint, state(host.availability()), host.share()));
        }
        actions.addAll(dispatcher.endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.values()[view.scope()], entries), now));
    }

    void req(Event.Req req, long now) {
        OrderKey key = req.subject() == 0 ? null : directory.orderKey(req.subject());
        Mail mail = new Mail(req.call(), directory.destination(req.dest()), key, req.type(), (int) req.client(), now,
                now + req.expiresIn());
        mails.put(req.call(), mail);
        actions.addAll(dispatcher.admit(mail, now));
    }

    void response(Event.Response response, long now) {
        Mail mail = mails.get(response.call());
        if (mail == null || response.number() >= mail.attempts.size()) {
            return;
        }
        DeliveryAttempt connect = mail.attempts.get(response.number());
        actions.addAll(dispatcher.attemptEnded(connect, outcome(response), response.feedback(), response.done(), now));
        removeIfFinished(mail, response.call());
    }

    void cancelled(Event.Cancelled cancelled, long now) {
        Mail mail = mails.get(cancelled.call());
        if (mail != null) {
            actions.addAll(dispatcher.withdrawn(mail, now));
            removeIfFinished(mail, cancelled.call());
        }
    }

    void collectNextActions(long now) {
        directory.sweep(now);
        actions.addAll(dispatcher.nextActions(now));
    }

    void writeActions(ReplyWriter reply) {
        for (Action answer : actions) {
            if (answer instanceof Action.Send send) {
                DeliveryAttempt connect = send.attempt();
                reply.callOut(number, connect.mail.id, connect.endpoint.address, connect.timeoutAt);
            } else if (answer instanceof Action.Cancel revoke) {
                reply.revoke(number, revoke.attempt().mail.id, revoke.attempt().number);
            } else if (answer instanceof Action.Defer defer) {
                reply.reject(number, defer.mail().id, defer.retryAfter());
                removeIfFinished(defer.mail(), defer.mail().id);
            } else if (answer instanceof Action.Bounce bounce) {
                reply.fail(number, bounce.mail().id);
                removeIfFinished(bounce.mail(), bounce.mail().id);
            } else if (answer instanceof Action.WakeUp wake) {
                reply.notifyMe(number, incarnation, wake.delay());
            } else if (answer instanceof Action.ReleaseConnections release) {
                reply.release(number, release.endpoint().address);
            } else if (answer instanceof Action.SubscribeToList) {
                reply.track(number);
            } else if (answer instanceof Action.FetchList) {
                reply.listAll(number);
            } else if (answer instanceof Action.LogNote note) {
                reply.journalLine(number, note.text());
            }
        }
        actions.clear();
    }

    private void removeIfFinished(Mail mail, long id) {
        if (mail.finished && mail.inFlight == 0) {
            mails.remove(id);
        }
    }

    private static EndpointUpdate.State state(int availability) {
        return switch (availability) {
            case 1 -> EndpointUpdate.State.READY;
            case 2 -> EndpointUpdate.State.DRAINING;
            default -> EndpointUpdate.State.GONE;
        };
    }

    private static Outcome outcome(Event.Response response) {
        return switch (response.result()) {
            case 0 -> new Outcome.Delivered();
            case 1 -> new Outcome.ServerError();
            case 2 -> new Outcome.Rejected(response.detail() * 1000);
            case 3 -> new Outcome.TimedOut();
            case 4 -> new Outcome.ConnectFailed();
            case 5 -> new Outcome.ConnectionLost();
            case 6 -> new Outcome.Cancelled();
            default -> new Outcome.NotSent(response.detail() == 1);
        };
    }
}
