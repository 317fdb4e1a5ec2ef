package wrenreach.wirehost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wrenreach.api.Answer;
import wrenreach.api.Dispatcher;
import wrenreach.api.Listing;
import wrenreach.api.Outcome;
import wrenreach.state.Connect;
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
    private final int life;
    private final Dispatcher module;
    private final Map<Long, Mail> mails = new HashMap<>();
    private final Directory<Long> directory = new Directory<>();
    private final List<Answer> answers = new ArrayList<>();

    Node(int number, int life, Dispatcher module) {
        this.number = number;
        this.life = life;
        this.module = module;
    }

    void view(Event.View view, List<Event.Host> hosts, long now) {
        List<Listing.Entry> entries = new ArrayList<>(hosts.size());
        for (Event.Host host : hosts) {
            Destination to = directory.destination(host.dest());
            Endpoint endpoint = directory.endpoint(host.endpoint(),
                    () -> new Endpoint(host.endpoint(), to, host.sku(), host.zone()));
            entries.add(new Listing.Entry(endpoint, state(host.availability()), host.share()));
        }
        answers.addAll(module.listed(new Listing(Listing.Scope.values()[view.scope()], entries), now));
    }

    void req(Event.Req req, long now) {
        OrderKey key = req.subject() == 0 ? null : directory.key(req.subject());
        Mail mail = new Mail(req.call(), directory.destination(req.dest()), key, req.type(), (int) req.client(), now,
                now + req.expiresIn());
        mails.put(req.call(), mail);
        answers.addAll(module.admit(mail, now));
    }

    void response(Event.Response response, long now) {
        Mail mail = mails.get(response.call());
        if (mail == null || response.number() >= mail.connects.size()) {
            return;
        }
        Connect connect = mail.connects.get(response.number());
        answers.addAll(module.ended(connect, outcome(response), response.feedback(), response.done(), now));
        forget(mail, response.call());
    }

    void cancelled(Event.Cancelled cancelled, long now) {
        Mail mail = mails.get(cancelled.call());
        if (mail != null) {
            answers.addAll(module.withdrawn(mail, now));
            forget(mail, cancelled.call());
        }
    }

    void next(long now) {
        directory.sweep(now);
        answers.addAll(module.next(now));
    }

    void write(ReplyWriter reply) {
        for (Answer answer : answers) {
            if (answer instanceof Answer.Send send) {
                Connect connect = send.connect();
                reply.callOut(number, connect.mail.id, connect.endpoint.address, connect.cutAt);
            } else if (answer instanceof Answer.Revoke revoke) {
                reply.revoke(number, revoke.connect().mail.id, revoke.connect().number);
            } else if (answer instanceof Answer.Defer defer) {
                reply.reject(number, defer.mail().id, defer.retryAfter());
                forget(defer.mail(), defer.mail().id);
            } else if (answer instanceof Answer.Bounce bounce) {
                reply.fail(number, bounce.mail().id);
                forget(bounce.mail(), bounce.mail().id);
            } else if (answer instanceof Answer.Wake wake) {
                reply.notifyMe(number, life, wake.delay());
            } else if (answer instanceof Answer.Release release) {
                reply.release(number, release.endpoint().address);
            } else if (answer instanceof Answer.FollowList) {
                reply.track(number);
            } else if (answer instanceof Answer.AskList) {
                reply.listAll(number);
            } else if (answer instanceof Answer.Note note) {
                reply.journalLine(number, note.text());
            }
        }
        answers.clear();
    }

    private void forget(Mail mail, long id) {
        if (mail.over && mail.out == 0) {
            mails.remove(id);
        }
    }

    private static Listing.State state(int availability) {
        return switch (availability) {
            case 1 -> Listing.State.READY;
            case 2 -> Listing.State.DRAINING;
            default -> Listing.State.GONE;
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
