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

/** One incarnation of a delivery node: its dispatcher, and the objects that the ids of the protocol stand for. */
final class Node {
    final int number;
    /** Sent as the label of a wake-up. */
    private final int incarnation;
    private final Dispatcher dispatcher;
    private final Map<Long, Mail> mails = new HashMap<>();
    private final Directory<Long> directory = new Directory<>();
    private final List<Action> actions = new ArrayList<>();

    Node(int number, int incarnation, Dispatcher dispatcher) {
        this.number = number;
        this.incarnation = incarnation;
        this.dispatcher = dispatcher;
    }

    void view(Event.View view, List<Event.Host> hosts, long now) {
        List<EndpointUpdate.Entry> entries = new ArrayList<>(hosts.size());
        for (Event.Host host : hosts) {
            Destination destination = directory.destination(host.dest());
            Endpoint endpoint = directory.endpoint(host.endpoint(),
                    () -> new Endpoint(host.endpoint(), destination, host.sku(), host.zone()));
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
        DeliveryAttempt attempt = mail.attempts.get(response.number());
        actions.addAll(dispatcher.attemptEnded(attempt, outcome(response), response.feedback(), response.done(), now));
        removeIfFinished(mail, response.call());
    }

    void cancelled(Event.Cancelled cancelled, long now) {
        Mail mail = mails.get(cancelled.call());
        if (mail != null) {
            actions.addAll(dispatcher.withdrawn(mail, now));
            removeIfFinished(mail, cancelled.call());
        }
    }

    /** Ends a batch: removes unused order keys and endpoints from the directory, and collects what the dispatcher wants done next. */
    void collectNextActions(long now) {
        directory.sweep(now);
        actions.addAll(dispatcher.nextActions(now));
    }

    /** Writes the collected actions to the reply and clears them. */
    void writeActions(ReplyWriter reply) {
        for (Action action : actions) {
            if (action instanceof Action.Send send) {
                DeliveryAttempt attempt = send.attempt();
                reply.callOut(number, attempt.mail.id, attempt.endpoint.address, attempt.timeoutAt);
            } else if (action instanceof Action.Cancel cancel) {
                reply.revoke(number, cancel.attempt().mail.id, cancel.attempt().number);
            } else if (action instanceof Action.Defer defer) {
                reply.reject(number, defer.mail().id, defer.retryAfter());
                removeIfFinished(defer.mail(), defer.mail().id);
            } else if (action instanceof Action.Bounce bounce) {
                reply.fail(number, bounce.mail().id);
                removeIfFinished(bounce.mail(), bounce.mail().id);
            } else if (action instanceof Action.WakeUp wake) {
                reply.notifyMe(number, incarnation, wake.delay());
            } else if (action instanceof Action.ReleaseConnections release) {
                reply.release(number, release.endpoint().address);
            } else if (action instanceof Action.SubscribeToList) {
                reply.track(number);
            } else if (action instanceof Action.FetchList) {
                reply.listAll(number);
            } else if (action instanceof Action.LogNote note) {
                reply.journalLine(number, note.text());
            }
        }
        actions.clear();
    }

    /** Removes a mail that the dispatcher is done with and that has no attempt in flight. */
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
