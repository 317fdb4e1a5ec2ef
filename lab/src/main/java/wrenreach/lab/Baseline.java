package wrenreach.lab;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import wrenreach.api.Answer;
import wrenreach.api.Dispatcher;
import wrenreach.api.Listing;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.Call;
import wrenreach.state.Connect;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.Route;

/**
 * A plain dispatcher to compare with, in the lab only: each mail goes out as it comes, to the endpoints of its
 * destination in turn; what fails goes again after a fixed rest, if at all. It has no breaker, no pace, no order and keeps
 * no wait. What may have run goes again only where mails may.
 */
final class Baseline implements Dispatcher {
    private record Again(long at, Mail mail) { }

    private final Settings settings;
    private final int tries;
    private final long rest;
    private final PriorityQueue<Again> resting = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.mail.sequence, b.mail.sequence));
    private final List<Mail> waiting = new ArrayList<>();
    private List<Answer> answers = new ArrayList<>();
    private long sequence;
    private long turns;
    private long wakeAt = Long.MIN_VALUE;
    private int out;

    /** tries: connects that a mail may have; rest: microseconds between them. */
    Baseline(Settings settings, int tries, long rest) {
        this.settings = settings;
        this.tries = tries;
        this.rest = rest;
    }

    /** One try a mail. */
    static Baseline oneTry(Settings settings) {
        return new Baseline(settings, 1, 0);
    }

    /** As many tries as the settings allow, a quarter of the target delay apart. */
    static Baseline fixedRests(Settings settings) {
        return new Baseline(settings, settings.connectLimit(), settings.classes().get(0).targetDelay() / 4);
    }

    @Override public List<Answer> admit(Mail mail, long now) {
        mail.sequence = sequence++;
        waiting.add(mail);
        return take();
    }

    @Override public List<Answer> ended(Connect connect, Outcome outcome, double[] report, boolean done, long now) {
        out--;
        connect.open = false;
        connect.endpoint.out--;
        connect.neverRan = outcome.neverRan();
        Mail mail = connect.mail;
        if (done || mail.over) {
            mail.over = true;
            return take();
        }
        boolean mayGo = outcome.neverRan()
                || settings.classes().get(mail.queueClass).effect() == Settings.Effect.REDELIVERABLE;
        if (mayGo && mail.connects.size() < tries && now + rest < mail.endsBy) {
            resting.add(new Again(now + rest, mail));
        } else {
            end(mail, outcome.neverRan());
        }
        return take();
    }

    private void end(Mail mail, boolean harmless) {
        if (!mail.over) {
            mail.over = true;
            boolean ran = mail.connects.stream().anyMatch(c -> !c.neverRan);
            answers.add(harmless && !ran ? new Answer.Defer(mail, 0) : new Answer.Bounce(mail));
        }
    }

    @Override public List<Answer> withdrawn(Mail mail, long now) {
        mail.over = true;
        return take();
    }

    @Override public List<Answer> listed(Listing listing, long now) {
        for (Listing.Entry entry : listing.entries()) {
            Endpoint e = entry.endpoint();
            if (entry.state() == Listing.State.GONE) {
                e.ready = e.listed = false;
                e.to.endpoints.remove(e);
                continue;
            }
            if (!e.listed) {
                e.listed = true;
                e.to.known = true;
                e.to.endpoints.add(e);
                if (e.to.routes.isEmpty()) {
                    e.to.routes.add(new Route("destination " + e.to.number, e.kind, 1, 1, 1));
                }
                e.route = e.to.routes.get(0);
            }
            e.ready = entry.state() == Listing.State.READY;
        }
        return take();
    }

    @Override public List<Answer> next(long now) {
        while (!resting.isEmpty() && resting.peek().at <= now) {
            waiting.add(resting.poll().mail);
        }
        for (Iterator<Mail> mails = waiting.iterator(); mails.hasNext();) {
            Mail mail = mails.next();
            if (mail.over || mail.endsBy <= now) {
                mails.remove();
                end(mail, true);
            } else if (out < settings.outLimit()) {
                Endpoint to = choose(mail.to);
                if (to != null) {
                    mails.remove();
                    send(mail, to, now);
                }
            }
        }
        // One wake at a time: each brings a turn, and each turn asks here.
        if (wakeAt <= now && !(waiting.isEmpty() && resting.isEmpty())) {
            wakeAt = now + settings.tick();
            answers.add(new Answer.Wake(settings.tick()));
        }
        return take();
    }

    private Endpoint choose(Destination to) {
        List<Endpoint> ready = to.endpoints.stream().filter(e -> e.ready).toList();
        return ready.isEmpty() ? null : ready.get((int) (turns++ % ready.size()));
    }

    private void send(Mail mail, Endpoint to, long now) {
        long cutAt = Math.min(mail.endsBy, now + settings.classes().get(mail.queueClass).targetDelay());
        Connect connect = new Connect(mail, to, now, cutAt, new Call(now));
        mail.connects.add(connect);
        out++;
        to.out++;
        answers.add(new Answer.Send(connect));
    }

    private List<Answer> take() {
        List<Answer> taken = answers;
        answers = new ArrayList<>();
        return taken;
    }
}
