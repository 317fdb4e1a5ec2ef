package wrenreach;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import wrenreach.api.*;
import wrenreach.state.*;

/**
 * All decisions of one delivery node. The interface is wrenreach.api.Dispatcher: the host reports events
 * one by one (admit, ended, withdrawn, listed), then asks next() once a turn; each call returns plain
 * answers. State lives in wrenreach.state and is changed only from here. One instance a node, no clock of
 * its own, no threads; chance comes from the seed in the settings.
 */
public final class DeliveryDispatcher implements Dispatcher {
    private static final long NEVER = Long.MAX_VALUE;
    private static final long SECOND = 1_000_000;

    private static final int WINDOW_BUCKETS = 8, SUSPECT_FAILURES = 2, SLOW_START_BACKOFFS = 4, MAX_BACKOFF_DOUBLINGS = 3;
    // Ratios to the target delay: worth is lost on that scale. Rest and cut-off leave time for another try
    // within it; burst is what a receiver's short queue takes; the share regains slower than bursts come.
    private static final double MIN_CALL_TIMEOUT = 0.6, SLOW_START_WITHOUT_RELAY = 1.5, INITIAL_LATENCY = 0.1, MAX_WAKE_UP_INTERVAL = 0.04;
    // Ratios to a route's usual time: one call in some hundred takes over 6 times the mean where times spread
    // as an exponential does or somewhat wider; two places keep one busy while the other is on its way.
    private static final double CALL_TIMEOUT_LATENCIES = 8, HUNG_CALL_TIMEOUT_LATENCIES = 6, OVERDUE_LATENCIES = 6, CONCURRENCY_FACTOR = 2, MAX_SAMPLE_LATENCIES = 3, DEGRADED_LATENCIES = 4;
    // Weights of a new sample: the usual time must outlast a slow spell, the recent one must see it.
    private static final int LATE_WAKE_UP_TICKS = 4, INITIAL_LATENCY_SAMPLES = 4;
    private static final double TYPICAL_LATENCY_WEIGHT = 0.03, RECENT_LATENCY_WEIGHT = 0.3;
    // Usual times for which each of ROOMY nodes, longer of fewer, keeps a connection: an endpoint takes a few
    // for each call that it serves.
    private static final double CAPPED_IDLE_LATENCIES = 2, UNPROVEN_IDLE_LATENCIES = 10;
    private static final int CONNECTION_PROOF_NODES = 64, MAX_CONNECTION_CAP_PROOFS = 4;
    // Usual times before its end at which a mail that is owed a try gets it: time for the call and a slow one.
    private static final int LAST_CHANCE_LATENCIES = 3;
    // How long a line may be at the door, in target delays: most of it goes in time, those behind nearly so.
    private static final double MAX_QUEUE_WAIT_FIRST = 0.5, MAX_QUEUE_WAIT_FOLLOWING = 2;
    // One part in so many: of the slots for the lane, of the held mails kept free, of the time to ask in.
    private static final int DEGRADED_CALLS_DIVISOR = 3, FREE_MAILS_DIVISOR = 16, LIST_RETRY_DIVISOR = 8;
    // Endpoint order, in calls out: a call to join first, shunned ones last, then the last tried, cold
    // connections, other zones.
    private static final double JOIN_CALL_COST = -50, SUSPECT_ENDPOINT_COST = 100, LAST_TRIED_COST = 5, NEW_CONNECTION_COST = 2, OTHER_ZONE_COST = 1;

    private final int nodeCount, nodeIndex, zone, maxCallsInFlight, maxDegradedCalls, maxHeldMails, maxAttempts, allowanceIndex, provenConnectionScore;
    private final long seed, tick, maxRetryAfter, connectionIdleTimeout, listRetryInterval, slowStartDuration, orderSettleTime, targetDelay, maxLifetime;
    private final boolean parallelAttemptsAllowed, cancellationAllowed, listOnRequest, weightsProvided;
    private final double overQuotaImportance;
    private final List<Settings.QueueClass> classes;
    private final List<Settings.DestinationKind> kinds;
    private final double[] tenantQuotas, tenantTokens;
    private final long[] tenantTokensUpdatedAt;
    private final int[] connectionScores;
    private final LocalFaultBackoff localFaultBackoff;
    private final RateLimiter rateLimiter;
    private final CircuitBreaker circuitBreaker;
    private final RetryPolicy retryPolicy;

    private final List<Destination> destinations = new ArrayList<>();
    /** Those with mails in line or calls out: all that a turn walks. */
    private final List<Destination> activeDestinations = new ArrayList<>();
    private List<Action> actions = new ArrayList<>();
    private int heldMails, callsInFlight, roundRobinStart;
    private long drawCount, nextSequence, nextWakeUpAt, lastIterationAt, wakeUpLateness;
    private long scheduledWakeUpAt = Long.MIN_VALUE;
    private boolean listSubscribed;
    private long subscribeAt = Long.MIN_VALUE;

    public DeliveryDispatcher(Settings s) {
        nodeCount = s.nodeCount();
        nodeIndex = s.nodeIndex();
        zone = s.zone();
        seed = s.seed();
        tick = s.tick();
        maxCallsInFlight = Math.max(1, s.inFlightLimit());
        maxDegradedCalls = Math.max(1, maxCallsInFlight / DEGRADED_CALLS_DIVISOR);
        maxHeldMails = s.heldLimit();
        maxAttempts = s.attemptLimit();
        parallelAttemptsAllowed = s.parallelAttemptsAllowed();
        cancellationAllowed = s.cancellationAllowed();
        maxRetryAfter = s.retryAfterEnabled() ? s.retryAfterLimit() : 0;
        connectionIdleTimeout = s.connectionIdleTimeout();
        listOnRequest = s.listOnRequest();
        weightsProvided = s.weightsProvided();
        listRetryInterval = s.listRequestWindow() / LIST_RETRY_DIVISOR;
        overQuotaImportance = s.overQuotaImportance();
        allowanceIndex = s.allowanceIndex();
        classes = s.classes();
        kinds = s.kinds();
        connectionScores = new int[kinds.size() + 1];
        provenConnectionScore = Math.min(nodeCount, CONNECTION_PROOF_NODES);
        tenantQuotas = s.tenants().stream().mapToDouble(t -> t.quotaPerSecond() / s.nodeCount()).toArray();
        tenantTokens = tenantQuotas.clone();
        tenantTokensUpdatedAt = new long[tenantQuotas.length];
        slowStartDuration = s.rules().slowStartDuration();
        orderSettleTime = s.rules().orderSettleTime();
        targetDelay = classes.stream().mapToLong(Settings.QueueClass::targetDelay).min().orElse(SECOND);
        localFaultBackoff = new LocalFaultBackoff(targetDelay);
        rateLimiter = new RateLimiter(s, targetDelay, destinations::size);
        circuitBreaker = new CircuitBreaker(s, targetDelay, rateLimiter, this::randomFraction, (text, at) -> actions.add(new Action.LogNote(text)));
        retryPolicy = new RetryPolicy(classes, tick);
        maxLifetime = classes.stream().mapToLong(Settings.QueueClass::lifetime).max().orElse(SECOND);
    }

    // ---- Events ----

    @Override public List<Action> admit(Mail mail, long now) {
        Settings.QueueClass kind = queueClassOf(mail);
        heldMails++;
        mail.sequence = nextSequence++;
        mail.softDeadline = mail.deadline - kind.lifetime() + kind.targetDelay();
        // Guards mails that come with little time of their own: no later try is left to them, so they go with
        // those in time. Harm: a client's last repeat is served before its turn.
        if (mail.deadline - now < kind.targetDelay()) {
            mail.softDeadline = mail.deadline;
        }
        mail.overQuota = exceedsQuota(mail, now);
        if (mail.orderKey != null && kind.ordered()) {
            mail.orderKey.mails.addLast(mail);
        }
        enqueue(mail, mail.destination.queue.size());
        for (Route r : mail.destination.routes) {
            r.arrivals.add(now);
            r.totalArrivals++;
        }
        if (mail.recovered) {
            // What an earlier process took on was judged at its door.
            return takeActions();
        }
        long wait = expectedWait(mail.destination, mailsAhead(mail, now), now);
        // Guards against lines as long as lifetimes, where all turn late and keep their keys open; and those
        // behind an open mail of their key, who find lines full more often: a first one comes to a shorter
        // line, as with admission control by session. Harm: a short rush turns away what would go late.
        boolean first = mail.orderKey == null || mail.orderKey.mails.peekFirst() == mail;
        long inLine = wait - expectedWait(mail.destination, 0, now);
        if (now + wait + typicalLatencyOf(mail.destination) > mail.deadline
                || inLine > (first ? MAX_QUEUE_WAIT_FIRST : MAX_QUEUE_WAIT_FOLLOWING) * kind.targetDelay()) {
            endUndelivered(mail, wait, EndReason.QUEUE_TOO_LONG, now);
        } else if (heldMails > maxHeldMails - Math.max(1, maxHeldMails / FREE_MAILS_DIVISOR)) {
            shedLongestWaiting(now);
        }
        return takeActions();
    }

    @Override public List<Action> attemptEnded(DeliveryAttempt c, Outcome outcome, double[] report, boolean done, long now) {
        if (!c.open) {
            return takeActions();
        }
        Mail mail = c.mail;
        closeAttempt(c, outcome, now);
        if (outcome instanceof Outcome.LocalFault) {
            onLocalFault(c, now);
            return takeActions();
        }
        localFaultBackoff.reset();
        rateLimiter.onLoadReport(c.endpoint, report, now);
        // Guards the wait rule: each mail of a call brings its own wait, some a tick later than the first.
        if (outcome instanceof Outcome.Rejected full && full.retryAfter() > 0) {
            Route r = c.endpoint.route;
            r.retryAfterUntil = Math.max(r.retryAfterUntil, now + full.retryAfter() + tick);
            r.backoffUntil = Math.max(r.backoffUntil, r.retryAfterUntil);
        }
        recordOutcome(c, outcome, now);
        if (mail.orderKey != null && (outcome instanceof Outcome.TimedOut || outcome instanceof Outcome.ConnectionLost
                || outcome instanceof Outcome.Cancelled)) {
            mail.orderKey.blockedUntil = Math.max(mail.orderKey.blockedUntil, now + orderSettleTime);
        }
        if (done || outcome instanceof Outcome.Delivered) {
            finish(mail);
        } else if (!mail.finished && mail.inFlight == 0) {
            retryOrEnd(mail, outcome, now);
        }
        removeFromOrderKey(mail);
        return takeActions();
    }

    /**
     * This machine could not make the attempt. It is taken back: breaker, rate and the message's number of attempts are as before it.
     * Where a copy of the message was begun after it, it keeps its number and so counts.
     */
    private void onLocalFault(DeliveryAttempt c, long now) {
        Mail mail = c.mail;
        Route route = c.endpoint.route;
        if (route.breaker.trial == c) {
            route.breaker.trial = null;
        }
        if (!c.call.outcomeCounted) {
            c.call.outcomeCounted = true;
            route.tokens++;
        }
        if (mail.attempts.get(mail.attempts.size() - 1) == c) {
            mail.attempts.remove(mail.attempts.size() - 1);
        }
        long wait = localFaultBackoff.nextDelay(randomFraction(mail.id));
        if (!mail.finished && mail.inFlight == 0) {
            retryOrEnd(mail, new Outcome.LocalFault(), now);
            mail.notBefore = Math.max(mail.notBefore, now + wait);
        }
        removeFromOrderKey(mail);
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        finish(mail);
        removeFromOrderKey(mail);
        return takeActions();
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate listing, long now) {
        if (listing.scope() == EndpointUpdate.Scope.FAILED) {
            listSubscribed = false;
            subscribeAt = now + listRetryInterval + (long) (listRetryInterval * randomFraction(listRetryInterval));
            return takeActions();
        }
        List<Endpoint> left = new ArrayList<>();
        if (listing.scope() != EndpointUpdate.Scope.CHANGES) {
            destinations.forEach(d -> left.addAll(d.endpoints));
        }
        for (EndpointUpdate.Entry entry : listing.entries()) {
            Endpoint e = entry.endpoint();
            left.remove(e);
            if (entry.state() == EndpointUpdate.State.GONE) {
                left.add(e);
            } else {
                boolean fresh = e.route == null;
                addEndpoint(e, now);
                e.ready = entry.state() == EndpointUpdate.State.READY;
                // Where the settings give no weights, what a list has in their place is no rate.
                e.route.weight = weightsProvided && entry.weight() > 0 && e.ready ? entry.weight() : e.route.weight;
                // Guards limits against many nodes that start at once, or find a new destination at once.
                if (fresh && allowanceIndex >= 0) {
                    e.route.share = Math.min(e.route.share, rateLimiter.burstStartShare(e.route, 1.0 / nodeCount));
                }
            }
        }
        left.forEach(DeliveryDispatcher::removeEndpoint);
        // Guards memory: the host has forgotten those, and makes them anew when a mail comes.
        destinations.removeIf(d -> !d.listed);
        return takeActions();
    }

    @Override public List<Action> nextActions(long now) {
        // How late this node's own wakes have been of late: for as long as a mail lives, those that saw it are here.
        long missed = scheduledWakeUpAt > lastIterationAt && now - scheduledWakeUpAt > LATE_WAKE_UP_TICKS * tick ? now - scheduledWakeUpAt : 0;
        wakeUpLateness = Math.min(targetDelay, Math.max(missed, wakeUpLateness - (long) (wakeUpLateness * Math.min(1.0, (double) (now - lastIterationAt) / maxLifetime))));
        lastIterationAt = now;
        rateLimiter.beginIteration(now);
        nextWakeUpAt = now + (long) (MAX_WAKE_UP_INTERVAL * targetDelay);
        if (listOnRequest && !listSubscribed && now >= subscribeAt) {
            listSubscribed = true;
            actions.add(new Action.SubscribeToList());
        }
        endExpiredMails(now);
        if (cancellationAllowed && callsInFlight >= maxCallsInFlight) {
            cancelOldestOverdueCall(now);
        }
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 0; i < activeDestinations.size(); i++) {
                sendQueued(activeDestinations.get((roundRobinStart + i) % activeDestinations.size()), pass == 0, now);
            }
        }
        activeDestinations.removeIf(d -> !(d.busy = !isIdle(d, now)));
        roundRobinStart++;
        scheduleWakeUp(now);
        return takeActions();
    }

    private void scheduleWakeUp(long now) {
        boolean idle = activeDestinations.isEmpty() && !(listOnRequest && !listSubscribed);
        long at = Math.max(nextWakeUpAt, now + tick);
        if (!idle && !(scheduledWakeUpAt > now && scheduledWakeUpAt <= at)) {
            scheduledWakeUpAt = at;
            actions.add(new Action.WakeUp(at - now));
        }
    }

    private List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    // ---- Admission ----

    private boolean exceedsQuota(Mail mail, long now) {
        int t = mail.tenant;
        if (t < 0 || t >= tenantQuotas.length || tenantQuotas[t] <= 0) {
            return false;
        }
        double most = Math.max(1, tenantQuotas[t] * targetDelay / SECOND);
        tenantTokens[t] = Math.min(most, tenantTokens[t] + tenantQuotas[t] * (now - tenantTokensUpdatedAt[t]) / SECOND);
        tenantTokensUpdatedAt[t] = now;
        boolean over = tenantTokens[t] < 1;
        tenantTokens[t] -= over ? 0 : 1;
        return over;
    }

    /**
     * How many mails of its line go before a new one: those worth as much, if it can be in time behind them,
     * else all. Guards fresh mails against being turned away for a line of late ones that they would
     * overtake.
     */
    private int mailsAhead(Mail mail, long now) {
        double worth = importance(mail, now);
        int before = 0;
        for (Mail m : mail.destination.queue) {
            before += m != mail && importance(m, now) >= worth ? 1 : 0;
        }
        return now + expectedWait(mail.destination, before, now) + typicalLatencyOf(mail.destination) <= mail.softDeadline ? before
                : mail.destination.queue.size() - 1;
    }

    /** How long a mail waits that has so many before it. */
    private long expectedWait(Destination d, int ahead, long now) {
        long start = NEVER;
        double pace = 0;
        for (Route r : d.routes) {
            long opens = r.breaker.phase == CircuitBreakerState.Phase.OPEN ? r.breaker.openUntil : now;
            start = Math.min(start, Math.max(0, Math.max(opens, r.backoffUntil) - now));
            pace += rateLimiter.rate(r, now) * batchSize(r);
        }
        return pace <= 0 ? 0 : start + (long) (ahead / pace * SECOND);
    }

    /** When held mails run out: the mail that waits longest goes back, those over share first. */
    private void shedLongestWaiting(long now) {
        Mail worst = null;
        double most = 0;
        for (Destination d : activeDestinations) {
            long wait = d.queue.isEmpty() ? 0 : expectedWait(d, d.queue.size(), now);
            for (Mail m : d.queue) {
                double weight = wait * (m.overQuota ? 1 / overQuotaImportance : 1);
                if (weight >= most && weight > targetDelay && m.attempts.isEmpty() && !m.recovered) {
                    most = weight;
                    worst = m;
                }
            }
        }
        if (worst != null) {
            endUndelivered(worst, (long) most, EndReason.NO_ROOM, now);
        }
    }

    // ---- Line ----

    private void sendQueued(Destination d, boolean fullOnly, long now) {
        while (!d.queue.isEmpty()) {
            Mail best = null;
            Endpoint at = null;
            double most = 0;
            for (Mail m : d.queue) {
                boolean full = hasFullImportance(m, now);
                if (fullOnly && !full || !isEligible(m, now)) {
                    continue;
                }
                double worth = sendPriority(m, now);
                if (worth > most) {
                    Endpoint e = selectEndpoint(d, m, now);
                    if (e != null) {
                        best = m;
                        at = e;
                        most = worth;
                    }
                }
            }
            if (best == null) {
                return;
            }
            send(best, at, now);
        }
    }

    /**
     * What a send of this mail is worth, with those of its key behind it: the best mean over a start of the
     * key's line. Guards against late mails at the head of their keys that make all behind them late too,
     * when a destination gets more than it takes. Harm: keys long late wait until the rush is over.
     */
    private double sendPriority(Mail m, long now) {
        double best = importance(m, now);
        if (m.orderKey != null && queueClassOf(m).ordered()) {
            double sum = 0;
            int count = 0;
            for (Mail next : m.orderKey.mails) {
                sum += importance(next, now);
                best = Math.max(best, sum / ++count);
            }
        }
        return best;
    }

    private boolean hasFullImportance(Mail m, long now) {
        return !m.overQuota && now + typicalLatencyOf(m.destination) <= m.softDeadline;
    }

    /** Whether an earlier process took the mail on and never tried it. */
    private static boolean isRecoveredUnattempted(Mail m) {
        return m.recovered && m.attempts.isEmpty();
    }

    /**
     * Whether such a mail goes now or never: then it borrows a turn from those that come. Guards against giving most of them
     * up untried where a receiver takes less than comes: late at a restart, all stand behind what comes new. Harm: a call
     * that the receiver may refuse.
     */
    private boolean isLastChance(Mail m, Route r, long now) {
        return isRecoveredUnattempted(m) && !r.inSlowStart && r.retryAfterUntil <= now && now >= lastChanceAt(m);
    }

    private long lastChanceAt(Mail m) {
        return m.deadline - LAST_CHANCE_LATENCIES * typicalLatencyOf(m.destination) - 4 * tick - wakeUpLateness;
    }

    /**
     * What it is worth if sent now. Late mails go the younger first: whoever waits loses as much in that
     * time, but where not all can be sent, the oldest have least left to lose.
     */
    private double importance(Mail m, long now) {
        Settings.QueueClass kind = queueClassOf(m);
        double late = now + typicalLatencyOf(m.destination) - m.softDeadline;
        double delay = kind.targetDelay();
        double left = late <= 0 ? 1 : kind.exponentialDecay() ? Math.max(kind.lateImportanceShare(), Math.pow(0.5, late / delay))
                : 1 - (1 - kind.lateImportanceShare()) * Math.min(1, late / Math.max(delay, kind.lifetime() - delay));
        return kind.importance() * left * (m.overQuota ? overQuotaImportance : 1);
    }

    private boolean isEligible(Mail m, long now) {
        if (m.notBefore > now) {
            wakeUpBy(m.notBefore, now);
            return false;
        }
        if (m.orderKey == null || !queueClassOf(m).ordered()) {
            return true;
        }
        boolean rests = m.attempts.isEmpty() && m.orderKey.blockedUntil > now;
        wakeUpBy(rests ? m.orderKey.blockedUntil : now, now);
        return m.orderKey.mails.peekFirst() == m && !rests;
    }

    private Endpoint selectEndpoint(Destination d, Mail m, long now) {
        Endpoint best = null;
        double least = Double.MAX_VALUE;
        for (Endpoint e : d.endpoints) {
            if (!maySend(m, e, now) || !canJoinCall(e, now) && !canStartCall(e, m, now)) {
                continue;
            }
            double cost = e.inFlight + (hasIdleConnection(e, now) ? 0 : NEW_CONNECTION_COST) + (e.zone == zone ? 0 : OTHER_ZONE_COST)
                    + (isSuspect(e, now) ? SUSPECT_ENDPOINT_COST : 0) + (lastEndpoint(m) == e ? LAST_TRIED_COST : 0)
                    + (canJoinCall(e, now) ? JOIN_CALL_COST : 0) + e.preference;
            if (cost < least) {
                least = cost;
                best = e;
            }
        }
        return best;
    }

    /** Whether the mail may travel with the call that this turn already makes to the endpoint. */
    private boolean canJoinCall(Endpoint e, long now) {
        return e.joinableCall != null && e.joinableCall.sentAt == now && e.joinableCall.size < batchSize(e.route)
                && e.route.breaker.phase == CircuitBreakerState.Phase.CLOSED;
    }

    /** Whether the endpoint may be given a call now: breaker, wait, pace, places, slots, lane. */
    private boolean canStartCall(Endpoint e, Mail m, long now) {
        Route r = e.route;
        // Half of the slots, but two of three: guards clumps at nodes of few slots. Harm: it may turn silent.
        int most = Math.max(Math.min(2, maxCallsInFlight - 1), Math.max(1, maxCallsInFlight / 2));
        if (callsInFlight >= maxCallsInFlight || e.destination.inFlight >= most || e.inFlight >= maxConcurrentCalls(e, now)) {
            return false;
        }
        if (!circuitBreaker.allows(r, now)) {
            wakeUpBy(circuitBreaker.isCoolingDown(r, now) ? r.breaker.openUntil : now, now);
            return false;
        }
        if (isDegraded(r, now) && (r.calls.size() >= 1 || degradedCallsInFlight(now) >= maxDegradedCalls)) {
            return false;
        }
        long tokenAt = rateLimiter.nextTokenAt(r, now);
        wakeUpBy(tokenAt, now);
        return tokenAt == now || isLastChance(m, r, now);
    }

    private boolean isSuspect(Endpoint e, long now) {
        return e.consecutiveFailures >= SUSPECT_FAILURES && now < e.lastFailedAt + 2 * targetDelay;
    }

    private static Endpoint lastEndpoint(Mail m) {
        return m.attempts.isEmpty() ? null : m.attempts.get(m.attempts.size() - 1).endpoint;
    }

    private int maxConcurrentCalls(Endpoint e, long now) {
        Route r = e.route;
        int most = (int) Math.ceil(CONCURRENCY_FACTOR * rateLimiter.limit(r) * r.typicalLatency / SECOND / Math.max(1, r.endpointCount));
        if (now - e.concurrencyLimitSetAt > slowStartDuration) {
            e.concurrencyLimit = Integer.MAX_VALUE;
        }
        return Math.min(e.concurrencyLimit, Math.max(2, most));
    }

    private boolean hasIdleConnection(Endpoint e, long now) {
        while (!e.idleConnections.isEmpty() && e.idleConnections.peekFirst() + connectionIdleTimeout <= now) {
            e.idleConnections.pollFirst();
        }
        return !e.idleConnections.isEmpty();
    }

    // ---- The door of every send ----

    private boolean maySend(Mail m, Endpoint e, long now) {
        Route r = e.route;
        if (m.finished || !e.ready || r.backoffUntil > now && !isLastChance(m, r, now) || m.attempts.size() >= maxAttempts) {
            wakeUpBy(r.backoffUntil, now);
            return false;
        }
        if (m.inFlight > 0 && !parallelAttemptsAllowed || now + (m.attempts.isEmpty() ? 0 : (long) r.typicalLatency) + 4 * tick > m.deadline) {
            return false;
        }
        return retryPolicy.mayAttempt(m, e, now);
    }

    private void send(Mail m, Endpoint e, long now) {
        Route r = e.route;
        Call call = e.joinableCall;
        if (!canJoinCall(e, now)) {
            call = new Call(now);
            e.joinableCall = call;
            r.calls.add(call);
            e.inFlight++;
            e.destination.inFlight++;
            callsInFlight++;
            // A turn that is borrowed is given back by the next one; more would hold up all that come after a restart.
            r.tokens = Math.max(-1, r.tokens - 1);
            r.sent.add(now);
            e.callInterval = now - e.lastUsedAt;
            e.lastUsedAt = now;
            e.idleConnections.pollLast();
        }
        call.size++;
        call.openAttempts++;
        boolean ordinary = !cancellationAllowed || canRepeatAfterTimeout(m, callTimeout(r, now));
        long cut = ordinary ? callTimeout(r, now) : queueClassOf(m).lifetime() / 2;
        DeliveryAttempt c = new DeliveryAttempt(m, e, now, Math.min(now + cut, m.deadline - 2 * tick), call);
        if (queueClassOf(m).effect() == Settings.Effect.TAGGED) {
            for (DeliveryAttempt past : m.attempts) {
                c.sendDeadline = past.neverRan ? c.sendDeadline : Math.min(c.sendDeadline, retryPolicy.deduplicatedUntil(m, past));
            }
        }
        m.attempts.add(c);
        call.attempts.add(c);
        m.inFlight++;
        m.destination.queue.remove(m);
        r.lastUsedAt = now;
        circuitBreaker.onAttempt(r, c);
        actions.add(new Action.Send(c));
    }

    private void closeAttempt(DeliveryAttempt c, Outcome outcome, long now) {
        c.open = false;
        c.neverRan = outcome.neverRan();
        c.mail.inFlight--;
        if (--c.call.openAttempts == 0) {
            c.endpoint.inFlight--;
            c.endpoint.destination.inFlight--;
            callsInFlight--;
            c.endpoint.route.calls.remove(c.call);
            if (outcome instanceof Outcome.Delivered || outcome instanceof Outcome.ServerError
                    || outcome instanceof Outcome.Rejected) {
                keepOrReleaseConnection(c.endpoint, now);
            }
        }
    }

    /**
     * Guards endpoints that take few connections, idle ones counted, from many nodes: where a kind has shown
     * a cap, or not yet let pass as many relays as nodes use it, an idle one is given back unless the last
     * two sends there were close. Harm: a handshake for each mail of a returning rush.
     */
    private void keepOrReleaseConnection(Endpoint e, long now) {
        e.idleConnections.addLast(now);
        if (e.callInterval > maxIdleTime(e)) {
            releaseConnections(e);
        }
    }

    private long maxIdleTime(Endpoint e) {
        int seen = connectionScores[e.route.kind];
        return seen >= provenConnectionScore ? NEVER : (long) ((seen < 0 ? CAPPED_IDLE_LATENCIES : UNPROVEN_IDLE_LATENCIES) * CONNECTION_PROOF_NODES / provenConnectionScore * e.route.typicalLatency);
    }

    private void releaseConnections(Endpoint e) {
        e.idleConnections.clear();
        actions.add(new Action.ReleaseConnections(e));
    }

    /** Whether a destination needs no turn: no mails, no calls, no connection to give back in time. */
    private boolean isIdle(Destination d, long now) {
        boolean rests = d.queue.isEmpty() && d.inFlight == 0;
        for (Endpoint e : d.endpoints) {
            if (hasIdleConnection(e, now) && maxIdleTime(e) < NEVER) {
                if (now - e.idleConnections.peekLast() > maxIdleTime(e)) {
                    releaseConnections(e);
                } else {
                    wakeUpBy(e.idleConnections.peekLast() + maxIdleTime(e) + tick, now);
                    rests = false;
                }
            }
        }
        return rests;
    }

    // ---- Cut-off ----

    /**
     * Guards against a receiver where some calls hang while the others are relayed at the usual pace: a hung
     * call is given up early, while its mail may still be repeated. Harm: the slowest good calls are cut too.
     */
    private long callTimeout(Route r, long now) {
        int hung = r.timedOut.sum(now);
        if (hung > 0 && r.relayed.sum(now) >= hung && r.recentLatency < MAX_SAMPLE_LATENCIES * r.typicalLatency) {
            return (long) (HUNG_CALL_TIMEOUT_LATENCIES * r.typicalLatency);
        }
        return (long) Math.max(MIN_CALL_TIMEOUT * targetDelay, CALL_TIMEOUT_LATENCIES * r.typicalLatency);
    }

    /**
     * Whether the mail could be sent again after such a cut-off and be waited for as long. Where not, cutting
     * saves nothing: guards against losing mails that a slowed receiver would still relay. Harm: a silent
     * receiver holds their slots for longer.
     */
    private boolean canRepeatAfterTimeout(Mail m, long cut) {
        Settings.QueueClass kind = queueClassOf(m);
        return kind.effect() == Settings.Effect.REDELIVERABLE
                || kind.effect() == Settings.Effect.TAGGED && kind.deduplicationWindow() >= 2 * cut;
    }

    /**
     * Guards the slots where calls with a late cut-off hang at once at many receivers: when no slot is free,
     * the oldest call past the ordinary cut-off is called off, and counts as timed out. Harm: its mails may
     * be lost.
     */
    private void cancelOldestOverdueCall(long now) {
        Call oldest = null;
        for (Destination d : activeDestinations) {
            for (Route r : d.routes) {
                for (Call call : r.calls) {
                    boolean older = oldest == null || call.sentAt < oldest.sentAt;
                    if (older && now - call.sentAt > callTimeout(r, now)) {
                        oldest = call;
                    }
                }
            }
        }
        if (oldest != null && !oldest.cancelled) {
            oldest.cancelled = true;
            oldest.attempts.forEach(c -> actions.add(new Action.Cancel(c)));
        }
    }

    // ---- What an outcome teaches ----

    private void recordOutcome(DeliveryAttempt c, Outcome outcome, long now) {
        Route r = c.endpoint.route;
        if (r.breaker.trial == c) {
            r.breaker.trial = null;
            r.lastUsedAt = now;
        } else if (c.call.outcomeCounted) {
            return;
        }
        c.call.outcomeCounted = true;
        boolean atCap = outcome instanceof Outcome.ConnectFailed && !c.trial && now - r.lastRelayedAt < targetDelay;
        boolean first = outcome instanceof Outcome.ConnectFailed && r.unreachableSince <= r.lastRelayedAt;
        r.unreachableSince = first ? now : r.unreachableSince;
        r.downSince = r.downSince <= r.lastRelayedAt ? now : r.downSince;
        if (outcome instanceof Outcome.Delivered) {
            onRelayed(r, c, now);
        } else if (outcome instanceof Outcome.Rejected full) {
            onRejected(r, full.retryAfter(), now);
        } else if (atCap && connectionScores[r.kind] < provenConnectionScore) {
            c.endpoint.concurrencyLimit = Math.max(1, c.endpoint.inFlight);
            c.endpoint.concurrencyLimitSetAt = now;
            backOff(r, 0, false, now);
        } else if (!(outcome instanceof Outcome.NotSent || outcome instanceof Outcome.ConnectionLost && c.reusedConnection)) {
            // A kept connection that breaks tells of itself; a new one would tell of the receiver.
            onFailed(r, c, outcome, now);
        }
    }

    private void onRelayed(Route r, DeliveryAttempt c, long now) {
        r.relayed.add(now);
        boolean brief = r.unreachableSince > r.lastRelayedAt && now - r.unreachableSince < targetDelay / 2;
        int seen = connectionScores[r.kind] + (brief ? -provenConnectionScore : 1);
        connectionScores[r.kind] = Math.max(-MAX_CONNECTION_CAP_PROOFS * provenConnectionScore, Math.min(provenConnectionScore, seen));
        r.lastRelayedAt = now;
        r.consecutiveBackoffs = 0;
        // Guards against a node's own standing still: what it then finds took as long as it slept. Covers
        // a late timer too. Harm: a receiver slowing just then is learnt later.
        if (now <= scheduledWakeUpAt + LATE_WAKE_UP_TICKS * tick || scheduledWakeUpAt <= lastIterationAt) {
            long took = now - c.sentAt;
            r.typicalLatency += Math.max(TYPICAL_LATENCY_WEIGHT, 1.0 / ++r.latencySamples) * (Math.min(took, MAX_SAMPLE_LATENCIES * r.typicalLatency) - r.typicalLatency);
            r.recentLatency += RECENT_LATENCY_WEIGHT * (took - r.recentLatency);
        }
        c.endpoint.consecutiveFailures = 0;
        c.endpoint.lastRelayedAt = now;
        r.slowStartRampAt = r.inSlowStart && r.slowStartRampAt == NEVER ? now : r.slowStartRampAt;
        circuitBreaker.onDelivered(r, c, now);
    }

    private void onRejected(Route r, long wait, long now) {
        backOff(r, wait, true, now);
        // A full that reports allowance left met a moment's rush, or the report is late: down to the part at
        // most.
        boolean rush = RateLimiter.rejectedInBurst(r, now);
        if (!rush) {
            r.rejected.add(now);
        }
        if (now - r.shareReducedAt > r.typicalLatency) {
            // Drawn here, and only where it is used: the same draws in the same order.
            rateLimiter.onRejection(r, rush ? 0 : randomFraction(now), now);
        }
        if (rush) {
            return;
        }
        if (r.consecutiveBackoffs >= SLOW_START_BACKOFFS && now - r.lastRelayedAt > SLOW_START_WITHOUT_RELAY * targetDelay) {
            r.inSlowStart = true;
            r.slowStartRampAt = NEVER;
        }
    }

    /**
     * Holds a route that was full for the told wait, or else doubling. Guards a shut receiver, and one whose
     * limit refused calls use up, against many nodes that come again together: where it has relayed none for
     * long, each comes by chance in the time that all need. Harm: an opened receiver idles for a part of it.
     */
    private void backOff(Route r, long wait, boolean full, long now) {
        boolean none = full && now - r.lastRelayedAt > targetDelay;
        boolean scarce = !none && r.limitReported && r.allowanceReportedAt == now && r.allowance <= RateLimiter.SCARCE_ALLOWANCE;
        double gap = none ? Math.max(r.typicalLatency, rateLimiter.messageInterval(r, now) * (1 + randomFraction(wait))) : r.typicalLatency;
        gap = Math.min(2 * targetDelay, gap * Math.scalb(1.0, Math.min(r.consecutiveBackoffs++, MAX_BACKOFF_DOUBLINGS)));
        // A limit that relays is shared by pace: by chance each skips one of its turns in the mean, and no
        // more.
        gap = scarce ? 2 * rateLimiter.messageInterval(r, now) * randomFraction(wait) : gap;
        if (now + wait - r.downSince > targetDelay) {
            gap = Math.max(wait > 0 ? 0 : gap, 2 * circuitBreaker.coolDownDuration(r, now + wait) * randomFraction(r.downSince));
        } else if (wait > 0) {
            gap = now - r.lastRelayedAt > targetDelay ? 2 * rateLimiter.messageInterval(r, now) * randomFraction(wait) : 0;
        }
        r.backoffUntil = Math.max(r.backoffUntil, now + wait + (long) gap);
    }

    private void onFailed(Route r, DeliveryAttempt c, Outcome outcome, long now) {
        r.failed.add(now);
        if (outcome instanceof Outcome.TimedOut || outcome instanceof Outcome.Cancelled) {
            r.timedOut.add(now);
        }
        c.endpoint.consecutiveFailures++;
        c.endpoint.lastFailedAt = now;
        CircuitBreakerState b = r.breaker;
        if (b.phase == CircuitBreakerState.Phase.HALF_OPEN && c.trial) {
            circuitBreaker.open(r, outcome, now);
        } else if (b.phase == CircuitBreakerState.Phase.CLOSED && c.sentAt >= b.closedAt) {
            b.consecutiveFailures++;
            backOff(r, 0, false, now);
            // Guards a route among siblings against many nodes that fail there once: others can be tried, so
            // the first failure with no relay of late paces it as cold; where a node is sparse the second in a
            // row, as it may not see a third. Not the first there: that pace is a mail in half a minute.
            boolean spare = now - r.lastRelayedAt > targetDelay && (c.endpoint.destination.routes.size() > 1
                    || rateLimiter.sparseness(r) >= 1 && b.consecutiveFailures >= SUSPECT_FAILURES);
            if (spare || circuitBreaker.suspectsOutage(r, now)) {
                r.inSlowStart = true;
                r.slowStartRampAt = NEVER;
            }
            if (circuitBreaker.shouldOpen(r, now)) {
                circuitBreaker.open(r, outcome, now);
            }
        }
    }

    // ---- Lane ----

    private boolean isDegraded(Route r, long now) {
        if (r.inSlowStart && r.slowStartRampAt == NEVER || r.breaker.phase != CircuitBreakerState.Phase.CLOSED) {
            return true;
        }
        // Guards the slots against a receiver that answers, but many times slower than it used to: its calls
        // would fill them all. Harm: one slower for good waits in the lane until its usual time is learnt.
        if (r.recentLatency > DEGRADED_LATENCIES * r.typicalLatency) {
            return true;
        }
        for (Call call : r.calls) {
            if (now - call.sentAt > OVERDUE_LATENCIES * r.typicalLatency && r.lastRelayedAt < call.sentAt) {
                return true;
            }
        }
        return false;
    }

    private int degradedCallsInFlight(long now) {
        int out = 0;
        for (Destination d : activeDestinations) {
            for (Route r : d.routes) {
                out += isDegraded(r, now) ? r.calls.size() : 0;
            }
        }
        return out;
    }

    // ---- Further connects and endings ----

    private void retryOrEnd(Mail m, Outcome outcome, long now) {
        EndReason reason = m.attempts.size() >= maxAttempts ? EndReason.ATTEMPTS_USED_UP
                : now + typicalLatencyOf(m.destination) > m.deadline ? EndReason.DEADLINE : canRepeatInWindow(m, now) ? null : EndReason.REPEAT_WINDOW_OVER;
        if (reason != null) {
            endUndelivered(m, 0, reason, now);
            return;
        }
        // Guards a down receiver against quick tries of many nodes, each too few to open a breaker: a failed
        // mail goes again by the node's part. Harm: one that met a stray failure waits where nodes are many.
        if (outcome instanceof Outcome.ConnectFailed || !outcome.neverRan()) {
            m.notBefore = now + (long) (rateLimiter.messageInterval(lastEndpoint(m).route, now) * randomFraction(m.id));
        }
        int at = m.destination.queue.size();
        while (at > 0 && m.destination.queue.get(at - 1).sequence > m.sequence) {
            at--;
        }
        enqueue(m, at);
    }

    /** Whether some endpoint may still be sent the mail in the time that its repeats are noticed. */
    private boolean canRepeatInWindow(Mail m, long now) {
        for (Endpoint e : m.destination.endpoints) {
            long opens = e.route.breaker.phase == CircuitBreakerState.Phase.OPEN ? e.route.breaker.openUntil : now;
            if (e.ready && retryPolicy.mayAttempt(m, e, Math.max(now, Math.max(opens, e.route.backoffUntil)))) {
                return true;
            }
        }
        return m.destination.endpoints.isEmpty();
    }

    private void endExpiredMails(long now) {
        for (Destination d : activeDestinations) {
            for (int i = d.queue.size() - 1; i >= 0; i--) {
                Mail m = d.queue.get(i);
                // Guards mails whose tries an earlier process has used up: they end at once. And endings of a node that is
                // short of its core: they come before their time by as much as its wakes came after theirs.
                EndReason reason = now + 3 * tick + wakeUpLateness >= m.deadline ? EndReason.DEADLINE
                        : m.attempts.size() >= maxAttempts ? EndReason.ATTEMPTS_USED_UP
                        : RetryPolicy.mayHaveRun(m) && !canRepeatInWindow(m, now) ? EndReason.REPEAT_WINDOW_OVER : null;
                if (reason != null) {
                    endUndelivered(m, expectedWait(d, 0, now), reason, now);
                } else {
                    wakeUpBy(m.deadline - 3 * tick - wakeUpLateness, now);
                    wakeUpBy(isRecoveredUnattempted(m) ? lastChanceAt(m) : now, now);
                }
            }
        }
    }

    /** The door of every ending. */
    private void endUndelivered(Mail m, long wait, EndReason reason, long now) {
        if (m.finished) {
            return;
        }
        long after = Math.min(wait, maxRetryAfter);
        actions.add(retryPolicy.mayDefer(m, now) ? new Action.Defer(m, after, reason) : new Action.Bounce(m, reason));
        finish(m);
        removeFromOrderKey(m);
    }

    private void finish(Mail m) {
        if (!m.finished) {
            m.finished = true;
            heldMails--;
            m.destination.queue.remove(m);
        }
    }

    private void removeFromOrderKey(Mail m) {
        if (m.orderKey != null && m.finished && m.inFlight == 0) {
            m.orderKey.mails.remove(m);
        }
    }

    // ---- List ----

    private void enqueue(Mail m, int at) {
        m.destination.queue.add(at, m);
        if (!m.destination.busy) {
            m.destination.busy = true;
            activeDestinations.add(m.destination);
        }
    }

    private void addEndpoint(Endpoint e, long now) {
        if (e.listed) {
            return;
        }
        e.listed = true;
        if (!e.destination.listed) {
            e.destination.listed = true;
            destinations.add(e.destination);
        }
        List<Route> routes = e.destination.routes;
        boolean apart = e.kind < kinds.size() && kinds.get(e.kind).routePerEndpoint();
        if (e.route == null && !apart && !routes.isEmpty()) {
            e.route = routes.get(routes.size() - 1);
        } else if (e.route == null) {
            String name = "destination " + e.destination.number + (apart ? " route " + routes.size() : "");
            e.route = new Route(name, Math.min(e.kind, kinds.size()), WINDOW_BUCKETS,
                    (long) (RateLimiter.OUTCOME_WINDOW * targetDelay / WINDOW_BUCKETS), (long) (RateLimiter.ARRIVAL_WINDOW * targetDelay / WINDOW_BUCKETS));
            e.route.recentLatency = e.route.typicalLatency = INITIAL_LATENCY * targetDelay;
            e.route.latencySamples = INITIAL_LATENCY_SAMPLES;
            e.route.shareUpdatedAt = e.route.knownSince = now;
        }
        if (!routes.contains(e.route)) {
            routes.removeIf(r -> r.endpointCount == 0);
            routes.add(e.route);
        }
        e.route.endpointCount++;
        e.destination.endpoints.add(e);
        // Guards a destination's first endpoint against all nodes, which see equal costs nearly always: each
        // has a steady order of its own, so that connections are used again. Harm: none known.
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(12).putInt(nodeIndex).putLong(e.address).array());
        e.preference = crc.getValue() / (double) (1L << 32);
    }

    /** Guards memory, and the places of those that stay, against endpoints gone for good. */
    private static void removeEndpoint(Endpoint e) {
        e.ready = false;
        if (e.listed) {
            e.listed = false;
            e.destination.endpoints.remove(e);
            e.route.endpointCount--;
            e.destination.routes.removeIf(r -> r.endpointCount == 0 && e.destination.routes.size() > 1);
        }
    }

    // ---- Small helps ----

    private Settings.QueueClass queueClassOf(Mail m) {
        return classes.get(m.queueClass);
    }

    private int batchSize(Route r) {
        return r.kind < kinds.size() ? Math.max(1, kinds.get(r.kind).batchSize()) : 1;
    }

    private long typicalLatencyOf(Destination d) {
        double least = INITIAL_LATENCY * targetDelay;
        for (int i = 0; i < d.routes.size(); i++) {
            least = i == 0 ? d.routes.get(i).typicalLatency : Math.min(least, d.routes.get(i).typicalLatency);
        }
        return (long) least;
    }

    private void wakeUpBy(long at, long now) {
        if (at > now) {
            nextWakeUpAt = Math.min(nextWakeUpAt, at);
        }
    }

    private double randomFraction(long id) {
        CRC32 crc = new CRC32();
        ByteBuffer bytes = ByteBuffer.allocate(28);
        crc.update(bytes.putLong(seed).putInt(nodeIndex).putLong(id).putLong(drawCount++).array());
        return crc.getValue() / (double) (1L << 32);
    }

}
