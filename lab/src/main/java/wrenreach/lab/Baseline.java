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
 * A simple dispatcher for comparison, in the lab only: it sends each mail as it comes, to the endpoints of its destination in
 * round-robin order, and retries failures after a fixed delay, if at all. It has no rate limiting and no ordering, ignores
 * retry-after, and has at most a circuit breaker as in the original source. A mail that may have run is retried only if its class
 * is redeliverable. Times are in microseconds.
 */
final class Baseline implements Dispatcher {
    /** A mail that is to be sent again at this instant. */
    private record Retry(long at, Mail mail) { }

    /** Consecutive failures that open the circuit breaker, as in the original source. */
    private static final int FAILURES_TO_OPEN = 8;
    /** Consecutive successful trials that close it, as in the original source. */
    private static final int SUCCESSES_TO_CLOSE = 2;

    private final Settings settings;
    /** How long a breaker stays open, in microseconds; 0: there is no breaker. */
    private final long breakerCoolDown;
    /** Attempts that a mail may have in all. */
    private final int maxAttempts;
    /** The delay before a retry, in microseconds. */
    private final long retryDelay;
    private final PriorityQueue<Retry> scheduledRetries = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
            : Long.compare(a.mail.sequence, b.mail.sequence));
    /** Mails that may be sent now. */
    private final List<Mail> pending = new ArrayList<>();
    private List<Action> actions = new ArrayList<>();
    private long sequence;
    private long roundRobinIndex;
    private long wakeAt = Long.MIN_VALUE;
    private int inFlight;
    /** Whether the list is of an earlier process, and discovery has not been heard yet. */
    private boolean listUnconfirmed;

    /** maxAttempts: attempts that a mail may have; retryDelay: microseconds between them; breakerCoolDown: 0 without a breaker. */
    private Baseline(Settings settings, int maxAttempts, long retryDelay, long breakerCoolDown) {
        this.breakerCoolDown = breakerCoolDown;
        this.settings = settings;
        this.maxAttempts = maxAttempts;
        this.retryDelay = retryDelay;
    }

    /** One attempt a mail, no retries. */
    static Baseline singleAttempt(Settings settings) {
        return new Baseline(settings, 1, 0, 0);
    }

    /** As many attempts as the settings allow, a quarter of the first class's target delay apart. */
    static Baseline fixedDelayRetries(Settings settings) {
        return new Baseline(settings, settings.attemptLimit(), settings.classes().get(0).targetDelay() / 4, 0);
    }

    /**
     * The retries of {@link #fixedDelayRetries} with the original source's circuit breaker: eight consecutive failures open it, and
     * after a cool-down it lets one trial at a time through until two in a row succeed. Meanwhile mails wait. The source's
     * cool-down of 300 s would outlast every mail; here it is a quarter of the first class's lifetime.
     */
    static Baseline withCircuitBreaker(Settings settings) {
        return new Baseline(settings, settings.attemptLimit(), settings.classes().get(0).targetDelay() / 4,
                settings.classes().get(0).lifetime() / 4);
    }

    /** All dispatchers to compare, by the name that tables show; the product's own is among them. */
    static Map<String, Function<Settings, Dispatcher>> byName() {
        Map<String, Function<Settings, Dispatcher>> dispatchers = new LinkedHashMap<>();
        dispatchers.put("wrenreach", DeliveryDispatcher::new);
        dispatchers.put("one try", Baseline::singleAttempt);
        dispatchers.put("fixed rests", Baseline::fixedDelayRetries);
        dispatchers.put("plain breaker", Baseline::withCircuitBreaker);
        return dispatchers;
    }

    /** Whether the breaker lets a mail through now; an open breaker becomes half-open when its cool-down is over. */
    private boolean breakerAllows(CircuitBreakerState breaker, long now) {
        if (breaker.phase == CircuitBreakerState.Phase.OPEN && now >= breaker.openUntil) {
            breaker.phase = CircuitBreakerState.Phase.HALF_OPEN;
            breaker.successfulTrials = 0;
        }
        return breakerCoolDown == 0 || breaker.phase == CircuitBreakerState.Phase.CLOSED
                || breaker.phase == CircuitBreakerState.Phase.HALF_OPEN && breaker.trial == null;
    }

    /**
     * Tells the breaker of an attempt's end. Rejections with a retry-after, and attempts that were cancelled or never became a call
     * on the wire, count neither as failures nor as successes.
     */
    private void updateBreaker(DeliveryAttempt attempt, Outcome outcome, long now) {
        CircuitBreakerState breaker = attempt.endpoint.route.breaker;
        boolean trial = breaker.trial == attempt;
        breaker.trial = trial ? null : breaker.trial;
        boolean delivered = outcome instanceof Outcome.Delivered;
        if (breakerCoolDown == 0 || outcome instanceof Outcome.Rejected || outcome instanceof Outcome.Cancelled
                || outcome instanceof Outcome.NotSent || outcome instanceof Outcome.LocalFault) {
            return;
        }
        if (breaker.phase == CircuitBreakerState.Phase.HALF_OPEN) {
            if (!delivered) {
                openBreaker(breaker, now);
            } else if (++breaker.successfulTrials >= SUCCESSES_TO_CLOSE) {
                breaker.phase = CircuitBreakerState.Phase.CLOSED;
                breaker.consecutiveFailures = 0;
            }
        } else if (delivered) {
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

    @Override public List<Action> attemptEnded(DeliveryAttempt attempt, Outcome outcome, double[] report, boolean done, long now) {
        inFlight--;
        attempt.open = false;
        attempt.endpoint.inFlight--;
        attempt.neverRan = outcome.neverRan();
        updateBreaker(attempt, outcome, now);
        Mail mail = attempt.mail;
        if (done || mail.finished) {
            mail.finished = true;
            return takeActions();
        }
        boolean mayRetry = outcome.neverRan()
                || settings.classes().get(mail.queueClass).effect() == Settings.Effect.REDELIVERABLE;
        if (mayRetry && mail.attempts.size() < maxAttempts && now + retryDelay < mail.deadline) {
            scheduledRetries.add(new Retry(now + retryDelay, mail));
        } else {
            finish(mail, outcome.neverRan());
        }
        return takeActions();
    }

    /** Ends a mail: deferred if no attempt of it may have run (neverRan tells it of the last one), else bounced. */
    private void finish(Mail mail, boolean neverRan) {
        if (!mail.finished) {
            mail.finished = true;
            boolean ran = mail.attempts.stream().anyMatch(attempt -> !attempt.neverRan);
            actions.add(neverRan && !ran ? new Action.Defer(mail, 0) : new Action.Bounce(mail));
        }
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        mail.finished = true;
        return takeActions();
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate update, long now) {
        if (update.entries().isEmpty()) {
            listUnconfirmed = update.scope() == EndpointUpdate.Scope.UNCONFIRMED || listUnconfirmed && update.scope() != EndpointUpdate.Scope.CONFIRMED;
        }
        for (EndpointUpdate.Entry entry : update.entries()) {
            Endpoint endpoint = entry.endpoint();
            if (entry.state() == EndpointUpdate.State.GONE) {
                endpoint.ready = endpoint.listed = false;
                endpoint.destination.endpoints.remove(endpoint);
                continue;
            }
            if (!endpoint.listed) {
                endpoint.listed = true;
                endpoint.destination.listed = true;
                endpoint.destination.endpoints.add(endpoint);
                if (endpoint.destination.routes.isEmpty()) {
                    endpoint.destination.routes.add(new Route("destination " + endpoint.destination.number, endpoint.kind, 1, 1, 1));
                }
                endpoint.route = endpoint.destination.routes.get(0);
            }
            endpoint.ready = entry.state() == EndpointUpdate.State.READY;
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
            } else if (!listUnconfirmed && inFlight < settings.inFlightLimit()) {
                Endpoint endpoint = chooseEndpoint(mail.destination, now);
                if (endpoint != null) {
                    mails.remove();
                    send(mail, endpoint, now);
                }
            }
        }
        // One timer at a time is enough: each wake-up leads to an iteration of the event loop, which calls this method again.
        if (wakeAt <= now && !(pending.isEmpty() && scheduledRetries.isEmpty())) {
            wakeAt = now + settings.tick();
            actions.add(new Action.WakeUp(settings.tick()));
        }
        return takeActions();
    }

    /** The next ready endpoint in round-robin order; null if there is none or the breaker is open. */
    private Endpoint chooseEndpoint(Destination destination, long now) {
        if (!destination.routes.isEmpty() && !breakerAllows(destination.routes.get(0).breaker, now)) {
            return null;
        }
        List<Endpoint> ready = destination.endpoints.stream().filter(endpoint -> endpoint.ready).toList();
        return ready.isEmpty() ? null : ready.get((int) (roundRobinIndex++ % ready.size()));
    }

    private void send(Mail mail, Endpoint endpoint, long now) {
        long timeoutAt = Math.min(mail.deadline, now + settings.classes().get(mail.queueClass).targetDelay());
        DeliveryAttempt attempt = new DeliveryAttempt(mail, endpoint, now, timeoutAt, new Call(now));
        mail.attempts.add(attempt);
        CircuitBreakerState breaker = endpoint.route.breaker;
        breaker.trial = breaker.phase == CircuitBreakerState.Phase.HALF_OPEN ? attempt : breaker.trial;
        inFlight++;
        endpoint.inFlight++;
        actions.add(new Action.Send(attempt));
    }

    private List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
