package wrenreach.lab;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Function;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Action;
import wrenreach.api.Dispatcher;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.Call;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.Route;

/**
 * A plain dispatcher to compare with, in the lab only: each mail goes out as it comes, to the endpoints of its
 * destination in turn; what fails goes again after a fixed rest, if at all. It has no pace, no order, keeps no wait, and a
 * breaker at most as the source has it. What may have run goes again only where mails may.
 */
final class Baseline implements Dispatcher {
    private record Retry(long at, Mail mail) { }

    /** The source's figures: failures in a row that open, successes in a row that close. */
    private static final int FAILURES_TO_OPEN = 8, SUCCESSES_TO_CLOSE = 2;

    private final Settings settings;
    /** How long an open breaker rests, in microseconds; 0: there is none. */
    private final long breakerCoolDown;
    private final int maxAttempts;
    private final long retryDelay;
    private final PriorityQueue<Retry> scheduledRetries = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.mail.sequence, b.mail.sequence));
    private final List<Mail> pending = new ArrayList<>();
    private List<Action> actions = new ArrayList<>();
    private long sequence;
    private long roundRobinIndex;
    private long wakeAt = Long.MIN_VALUE;
    private int inFlight;

    /** tries: connects that a mail may have; rest: microseconds between them; breakerRest: 0 without a breaker. */
    private Baseline(Settings settings, int tries, long rest, long breakerRest) {
        this.breakerCoolDown = breakerRest;
        this.settings = settings;
        this.maxAttempts = tries;
        this.retryDelay = rest;
    }

    /** One try a mail. */
    static Baseline singleAttempt(Settings settings) {
        return new Baseline(settings, 1, 0, 0);
    }

    /** As many tries as the settings allow, a quarter of the target delay apart. */
    static Baseline fixedDelayRetries(Settings settings) {
        return new Baseline(settings, settings.attemptLimit(), settings.classes().get(0).targetDelay() / 4, 0);
    }

    /**
     * The source's breaker as it stands there, over the retries: eight failures in a row open it, it rests, then lets one
     * probe at a time through until two in a row succeed. Meanwhile mails wait. Its rest of 300 s would outlast every mail;
     * here it is a quarter of the first class's lifetime.
     */
    static Baseline withCircuitBreaker(Settings settings) {
        return new Baseline(settings, settings.attemptLimit(), settings.classes().get(0).targetDelay() / 4,
                settings.classes().get(0).lifetime() / 4);
    }

    /** By the name that tables show; the module itself is among them. */
    static Map<String, Function<Settings, Dispatcher>> byName() {
        Map<String, Function<Settings, Dispatcher>> all = new LinkedHashMap<>();
        all.put("wrenreach", DeliveryDispatcher::new);
        all.put("one try", Baseline::singleAttempt);
        all.put("fixed rests", Baseline::fixedDelayRetries);
        all.put("plain breaker", Baseline::withCircuitBreaker);
        return all;
    }

    private boolean breakerAllows(CircuitBreakerState breaker, long now) {
        if (breaker.phase == CircuitBreakerState.Phase.OPEN && now >= breaker.openUntil) {
            breaker.phase = CircuitBreakerState.Phase.HALF_OPEN;
            breaker.successfulTrials = 0;
        }
        return breakerCoolDown == 0 || breaker.phase == CircuitBreakerState.Phase.CLOSED
                || breaker.phase == CircuitBreakerState.Phase.HALF_OPEN && breaker.trial == null;
    }

    /** What a connect's end means to its breaker: told waits and what never came to be a call mean nothing. */
    private void updateBreaker(DeliveryAttempt connect, Outcome outcome, long now) {
        CircuitBreakerState breaker = connect.endpoint.route.breaker;
        boolean trial = breaker.trial == connect;
        breaker.trial = trial ? null : breaker.trial;
        boolean ok = outcome instanceof Outcome.Delivered;
        if (breakerCoolDown == 0 || outcome instanceof Outcome.Rejected || outcome instanceof Outcome.Cancelled
                || outcome instanceof Outcome.NotSent || outcome instanceof Outcome.LocalFault) {
            return;
        }
        if (breaker.phase == CircuitBreakerState.Phase.HALF_OPEN) {
            if (!ok) {
                openBreaker(breaker, now);
            } else if (++breaker.successfulTrials >= SUCCESSES_TO_CLOSE) {
                breaker.phase = CircuitBreakerState.Phase.CLOSED;
                breaker.consecutiveFailures = 0;
            }
        } else if (ok) {
            breaker.consecutiveFailures = 0;
        } else if (breaker.phase == CircuitBreakerState.Phase.CLOSED && ++breaker.consecutiveFailures >= FAILURES_TO_OPEN) {
            openBreaker(breaker, now);
        }
    }

    private void openBreaker(CircuitBreakerState breaker, long now) {
        breaker.phase = CircuitBreakerState.Phase.OPEN;
        breaker.openUntil = now + breakerCoolDown;
        breaker.consecutiveFailures = 0;
    }

    @Override public List<Action> admit(Mail mail, long now) {
        mail.sequence = sequence++;
        pending.add(mail);
        return takeActions();
    }

    @Override public List<Action> attemptEnded(DeliveryAttempt connect, Outcome outcome, double[] report, boolean done, long now) {
        inFlight--;
        connect.open = false;
        connect.endpoint.inFlight--;
        connect.neverRan = outcome.neverRan();
        updateBreaker(connect, outcome, now);
        Mail mail = connect.mail;
        if (done || mail.finished) {
            mail.finished = true;
            return takeActions();
        }
        boolean mayGo = outcome.neverRan()
                || settings.classes().get(mail.queueClass).effect() == Settings.Effect.REDELIVERABLE;
        if (mayGo && mail.attempts.size() < maxAttempts && now + retryDelay < mail.deadline) {
            scheduledRetries.add(new Retry(now + retryDelay, mail));
        } else {
            finish(mail, outcome.neverRan());
        }
        return takeActions();
    }

    private void finish(Mail mail, boolean harmless) {
        if (!mail.finished) {
            mail.finished = true;
            boolean ran = mail.attempts.stream().anyMatch(c -> !c.neverRan);
            actions.add(harmless && !ran ? new Action.Defer(mail, 0) : new Action.Bounce(mail));
        }
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        mail.finished = true;
        return takeActions();
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate listing, long now) {
        for (EndpointUpdate.Entry entry : listing.entries()) {
            Endpoint e = entry.endpoint();
            if (entry.state() == EndpointUpdate.State.GONE) {
                e.ready = e.listed = false;
                e.destination.endpoints.remove(e);
                continue;
            }
            if (!e.listed) {
                e.listed = true;
                e.destination.listed = true;
                e.destination.endpoints.add(e);
                if (e.destination.routes.isEmpty()) {
                    e.destination.routes.add(new Route("destination " + e.destination.number, e.kind, 1, 1, 1));
                }
                e.route = e.destination.routes.get(0);
            }
            e.ready = entry.state() == EndpointUpdate.State.READY;
        }
        return takeActions();
    }

    @Override public List<Action> nextActions(long now) {
        while (!scheduledRetries.isEmpty() && scheduledRetries.peek().at <= now) {
            pending.add(scheduledRetries.poll().mail);
        }
        for (Iterator<Mail> mails = pending.iterator(); mails.hasNext();) {
            Mail mail = mails.next();
            if (mail.finished || mail.deadline <= now) {
                mails.remove();
                finish(mail, true);
            } else if (inFlight < settings.inFlightLimit()) {
                Endpoint to = chooseEndpoint(mail.destination, now);
                if (to != null) {
                    mails.remove();
                    send(mail, to, now);
                }
            }
        }
        // One wake at a time: each brings a turn, and each turn asks here.
        if (wakeAt <= now && !(pending.isEmpty() && scheduledRetries.isEmpty())) {
            wakeAt = now + settings.tick();
            actions.add(new Action.WakeUp(settings.tick()));
        }
        return takeActions();
    }

    private Endpoint chooseEndpoint(Destination to, long now) {
        if (!to.routes.isEmpty() && !breakerAllows(to.routes.get(0).breaker, now)) {
            return null;
        }
        List<Endpoint> ready = to.endpoints.stream().filter(e -> e.ready).toList();
        return ready.isEmpty() ? null : ready.get((int) (roundRobinIndex++ % ready.size()));
    }

    private void send(Mail mail, Endpoint to, long now) {
        long cutAt = Math.min(mail.deadline, now + settings.classes().get(mail.queueClass).targetDelay());
        DeliveryAttempt connect = new DeliveryAttempt(mail, to, now, cutAt, new Call(now));
        mail.attempts.add(connect);
        CircuitBreakerState breaker = to.route.breaker;
        breaker.trial = breaker.phase == CircuitBreakerState.Phase.HALF_OPEN ? connect : breaker.trial;
        inFlight++;
        to.inFlight++;
        actions.add(new Action.Send(connect));
    }

    private List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
