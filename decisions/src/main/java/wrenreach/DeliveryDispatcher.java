package wrenreach;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import wrenreach.api.*;
import wrenreach.state.*;

/**
 * Makes all decisions of one delivery node: admission, order and rate of sending, choice of endpoints, timeouts, retries, and how undelivered mails end.
 *
 * <p>The host reports events one by one (admit, attemptEnded, withdrawn, endpointsUpdated), then calls nextActions once per iteration of its event loop; each
 * call returns plain actions for the host to carry out. State lives in wrenreach.state and is changed only from here. One instance per node; it has no clock
 * of its own and no threads. Random numbers come from the seed in the settings. Times are in microseconds, rates in messages per second.
 */
public final class DeliveryDispatcher implements Dispatcher {
    /** An instant that is never reached. */
    private static final long NEVER = Long.MAX_VALUE;
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Buckets of each sliding-window counter of a route. */
    private static final int WINDOW_BUCKETS = 8;
    /** Consecutive failures from which an endpoint is avoided for a while, and a route of a sparse node goes into slow start. */
    private static final int SUSPECT_FAILURES = 2;
    /** Consecutive backoffs from which a rejection may put its route into slow start, see SLOW_START_WITHOUT_RELAY. */
    private static final int SLOW_START_BACKOFFS = 4;
    /** How often the backoff of a route doubles at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    // Ratios to the target delay: the importance of a late mail falls on that scale.
    private static final double MIN_CALL_TIMEOUT = 0.6; // The shortest ordinary call timeout, which leaves time for another attempt within the target delay.
    private static final double SLOW_START_WITHOUT_RELAY = 1.5; // Time without a relayed mail from which repeated rejections put the route into slow start.
    private static final double INITIAL_LATENCY = 0.1; // Latency that is assumed for a new route.
    private static final double MAX_WAKE_UP_INTERVAL = 0.04; // Longest time from one iteration to the next while a destination is active.

    // Ratios to the typical latency of a route: one call in a few hundred takes over 6 times the mean where latencies are distributed exponentially or
    // somewhat wider.
    private static final double CALL_TIMEOUT_LATENCIES = 8; // The ordinary call timeout, unless MIN_CALL_TIMEOUT is longer.
    private static final double HUNG_CALL_TIMEOUT_LATENCIES = 6; // The call timeout where some calls of the route hang while others are relayed at the usual latency.
    private static final double OVERDUE_LATENCIES = 6; // Age from which an unanswered call makes its route degraded, if nothing was relayed since it was sent.
    private static final double CONCURRENCY_FACTOR = 2; // Calls in flight per call that the rate needs: one keeps the endpoint busy while the other is on its way.
    /** Upper bound of a sample for the typical latency; from this recent latency on, a route is slow as a whole and not hung in part. */
    private static final double MAX_SAMPLE_LATENCIES = 3;
    private static final double DEGRADED_LATENCIES = 4; // Recent latency above which a route is degraded.

    /** Ticks after its scheduled time from which a wake-up counts as late. */
    private static final int LATE_WAKE_UP_TICKS = 4;
    /** Number of samples that the assumed latency of a new route counts as. */
    private static final int INITIAL_LATENCY_SAMPLES = 4;
    /** EWMA weight of a new sample in the typical latency, which must outlast a slow period. */
    private static final double TYPICAL_LATENCY_WEIGHT = 0.03;
    /** EWMA weight of a new sample in the recent latency, which must show a slow period. */
    private static final double RECENT_LATENCY_WEIGHT = 0.3;

    // How long an idle connection is kept, in typical latencies, by each of CONNECTION_PROOF_NODES nodes (fewer nodes keep theirs longer): an endpoint
    // accepts a few connections for each call that it serves.
    private static final double CAPPED_IDLE_LATENCIES = 2; // Where endpoints of the kind have shown a limit on connections.
    private static final double UNPROVEN_IDLE_LATENCIES = 10; // Where they have neither shown a limit nor proved that they accept connections from all nodes.
    private static final int CONNECTION_PROOF_NODES = 64; // Relayed mails that prove it: one per node, but at most this many.
    private static final int MAX_CONNECTION_CAP_PROOFS = 4; // A shown limit is forgotten after the relayed mails of so many proofs at the latest.

    /** Typical latencies before its end at which a recovered mail without an attempt gets one: time for the call, also for a slow one. */
    private static final int LAST_CHANCE_LATENCIES = 3;

    // How long a new mail may have to wait in its queue to be admitted, in target delays.
    private static final double MAX_QUEUE_WAIT_FIRST = 0.5; // For the first mail of its order key, or one without a key: most of such a queue is relayed in time.
    private static final double MAX_QUEUE_WAIT_FOLLOWING = 2; // For a mail behind another one of its order key: relayed nearly in time.

    // Divisors: each sets aside one part in so many.
    private static final int DEGRADED_CALLS_DIVISOR = 3; // Of the calls in flight, for all degraded routes together.
    private static final int FREE_MAILS_DIVISOR = 16; // Of the mails that may be held, kept free.

    // Costs by which the endpoint for a mail is selected, in calls in flight.
    private static final double JOIN_CALL_COST = -50; // A call that the mail can join comes first.
    private static final double SUSPECT_ENDPOINT_COST = 100; // Endpoints that failed lately come last.
    private static final double LAST_TRIED_COST = 5; // The endpoint of the mail's last attempt.
    private static final double NEW_CONNECTION_COST = 2; // An endpoint to which no connection is idle.
    private static final double OTHER_ZONE_COST = 1; // An endpoint in another zone.

    private final int nodeCount, nodeIndex, zone, maxCallsInFlight, maxDegradedCalls, maxHeldMails, maxAttempts, allowanceIndex, provenConnectionScore;
    // tick: how late this process may be; targetDelay: the shortest of all queue classes; maxLifetime: the longest of all queue classes.
    private final long seed, tick, maxRetryAfter, connectionIdleTimeout, slowStartDuration, orderSettleTime, targetDelay, maxLifetime;
    private final boolean parallelAttemptsAllowed, cancellationAllowed, weightsProvided;
    private final double overQuotaImportance;
    private final List<Settings.QueueClass> classes;
    private final List<Settings.DestinationKind> kinds;
    // Token bucket of each tenant: this node's part of the quota, in messages per second, the tokens left, and when they were updated.
    private final double[] tenantQuotas, tenantTokens;
    private final long[] tenantTokensUpdatedAt;
    /**
     * By kind of destination: grows with each relayed mail up to provenConnectionScore, from which connections may stay idle without limit; below 0 where
     * endpoints have shown a limit on connections.
     */
    private final int[] connectionScores;
    private final LocalFaultBackoff localFaultBackoff;
    private final RateLimiter rateLimiter;
    private final CircuitBreaker circuitBreaker;
    private final RetryPolicy retryPolicy;
    private final EndpointListPolicy endpointListPolicy;

    /** The destinations that the endpoint list names. */
    private final List<Destination> destinations = new ArrayList<>();
    /** Destinations with queued mails or calls in flight, or with a connection to release: an iteration looks at no others. */
    private final List<Destination> activeDestinations = new ArrayList<>();
    /** Actions that the current event has produced so far. */
    private List<Action> actions = new ArrayList<>();
    // roundRobinStart: the active destination that an iteration serves first; drawCount: random numbers drawn; wakeUpLateness: how late recent wake-ups were.
    private int heldMails, callsInFlight, roundRobinStart;
    private long drawCount, nextSequence, nextWakeUpAt, lastIterationAt, wakeUpLateness;
    /** When the last requested wake-up is due. */
    private long scheduledWakeUpAt = Long.MIN_VALUE;

    public DeliveryDispatcher(Settings settings) {
        nodeCount = settings.nodeCount();
        nodeIndex = settings.nodeIndex();
        zone = settings.zone();
        seed = settings.seed();
        tick = settings.tick();
        maxCallsInFlight = Math.max(1, settings.inFlightLimit());
        maxDegradedCalls = Math.max(1, maxCallsInFlight / DEGRADED_CALLS_DIVISOR);
        maxHeldMails = settings.heldLimit();
        maxAttempts = settings.attemptLimit();
        parallelAttemptsAllowed = settings.parallelAttemptsAllowed();
        cancellationAllowed = settings.cancellationAllowed();
        maxRetryAfter = settings.retryAfterEnabled() ? settings.retryAfterLimit() : 0;
        connectionIdleTimeout = settings.connectionIdleTimeout();
        weightsProvided = settings.weightsProvided();
        overQuotaImportance = settings.overQuotaImportance();
        allowanceIndex = settings.allowanceIndex();
        classes = settings.classes();
        kinds = settings.kinds();
        connectionScores = new int[kinds.size() + 1];
        provenConnectionScore = Math.min(nodeCount, CONNECTION_PROOF_NODES);
        tenantQuotas = settings.tenants().stream().mapToDouble(tenant -> tenant.quotaPerSecond() / settings.nodeCount()).toArray();
        tenantTokens = tenantQuotas.clone();
        tenantTokensUpdatedAt = new long[tenantQuotas.length];
        slowStartDuration = settings.rules().slowStartDuration();
        orderSettleTime = settings.rules().orderSettleTime();
        targetDelay = classes.stream().mapToLong(Settings.QueueClass::targetDelay).min().orElse(MICROS_PER_SECOND);
        localFaultBackoff = new LocalFaultBackoff(targetDelay);
        rateLimiter = new RateLimiter(settings, targetDelay, destinations::size);
        circuitBreaker = new CircuitBreaker(settings, targetDelay, rateLimiter, this::randomFraction, (text, at) -> actions.add(new Action.LogNote(text)));
        retryPolicy = new RetryPolicy(classes, tick);
        maxLifetime = classes.stream().mapToLong(Settings.QueueClass::lifetime).max().orElse(MICROS_PER_SECOND);
        endpointListPolicy = new EndpointListPolicy(settings, maxLifetime);
    }

    // ---- Events ----

    @Override public List<Action> admit(Mail mail, long now) {
        Settings.QueueClass queueClass = queueClassOf(mail);
        heldMails++;
        mail.sequence = nextSequence++;
        mail.softDeadline = mail.deadline - queueClass.lifetime() + queueClass.targetDelay();
        // A mail that arrives with less than a target delay left has no time for a later attempt, so it competes with the mails that are in time. The cost:
        // the last repeat that a client submits is sent ahead of mails that it would otherwise follow.
        if (mail.deadline - now < queueClass.targetDelay()) {
            mail.softDeadline = mail.deadline;
        }
        mail.overQuota = exceedsQuota(mail, now);
        if (mail.orderKey != null && queueClass.ordered()) {
            mail.orderKey.mails.addLast(mail);
        }
        enqueue(mail, mail.destination.queue.size());
        for (Route route : mail.destination.routes) {
            route.arrivals.add(now);
            route.totalArrivals++;
        }
        if (mail.recovered) {
            // A recovered mail was admitted by an earlier process and is not judged again.
            return takeActions();
        }
        long totalWait = expectedWait(mail.destination, mailsAhead(mail, now), now);
        // Limits the queue, as in one as long as a lifetime all mails become late and keep their order keys open. The first mail of a key is admitted to a
        // shorter queue only, as with session-based admission control, since mails behind an open one of their key would find queues full more often. The
        // cost: a short burst is rejected where it would be relayed late.
        boolean firstOfKey = mail.orderKey == null || mail.orderKey.mails.peekFirst() == mail;
        long queueWait = totalWait - expectedWait(mail.destination, 0, now);
        if (now + totalWait + typicalLatencyOf(mail.destination) > mail.deadline
                || queueWait > (firstOfKey ? MAX_QUEUE_WAIT_FIRST : MAX_QUEUE_WAIT_FOLLOWING) * queueClass.targetDelay()) {
            endUndelivered(mail, totalWait, EndReason.QUEUE_TOO_LONG, now);
        } else if (heldMails > maxHeldMails - Math.max(1, maxHeldMails / FREE_MAILS_DIVISOR)) {
            shedLongestWaiting(now);
        }
        return takeActions();
    }

    @Override public List<Action> attemptEnded(DeliveryAttempt attempt, Outcome outcome, double[] loadReport, boolean completed, long now) {
        if (!attempt.open) {
            return takeActions();
        }
        Mail mail = attempt.mail;
        closeAttempt(attempt, outcome, now);
        if (outcome instanceof Outcome.LocalFault) {
            onLocalFault(attempt, now);
            return takeActions();
        }
        localFaultBackoff.reset();
        rateLimiter.onLoadReport(attempt.endpoint, loadReport, now);
        // Each mail of a call has a Retry-After of its own, some reported a tick later than the first. The longest one holds, so that no attempt is made
        // before the last of them is over.
        if (outcome.retryAfter() > 0) {
            Route route = attempt.endpoint.route;
            route.retryAfterUntil = Math.max(route.retryAfterUntil, now + outcome.retryAfter() + tick);
            route.backoffUntil = Math.max(route.backoffUntil, route.retryAfterUntil);
        }
        recordOutcome(attempt, outcome, now);
        if (mail.orderKey != null && (outcome instanceof Outcome.TimedOut || outcome instanceof Outcome.ConnectionLost
                || outcome instanceof Outcome.Cancelled)) {
            mail.orderKey.blockedUntil = Math.max(mail.orderKey.blockedUntil, now + orderSettleTime);
        }
        if (completed || outcome instanceof Outcome.Delivered) {
            finish(mail);
        } else if (!mail.finished && mail.inFlight == 0) {
            retryOrEnd(mail, outcome, now);
        }
        removeFromOrderKey(mail);
        return takeActions();
    }

    /**
     * This machine could not make the attempt, so it is undone: circuit breaker, token bucket and the number of attempts of the mail are as before it. If a
     * parallel attempt for the mail was begun after it, it keeps its number and so counts as an attempt.
     */
    private void onLocalFault(DeliveryAttempt attempt, long now) {
        Mail mail = attempt.mail;
        Route route = attempt.endpoint.route;
        if (route.breaker.trial == attempt) {
            route.breaker.trial = null;
        }
        if (!attempt.call.outcomeCounted) {
            attempt.call.outcomeCounted = true;
            route.tokens++;
        }
        if (mail.attempts.get(mail.attempts.size() - 1) == attempt) {
            mail.attempts.remove(mail.attempts.size() - 1);
        }
        long delay = localFaultBackoff.nextDelay(randomFraction(mail.id));
        if (!mail.finished && mail.inFlight == 0) {
            retryOrEnd(mail, new Outcome.LocalFault(), now);
            mail.notBefore = Math.max(mail.notBefore, now + delay);
        }
        removeFromOrderKey(mail);
    }

    @Override public List<Action> withdrawn(Mail mail, long now) {
        finish(mail);
        removeFromOrderKey(mail);
        return takeActions();
    }

    @Override public List<Action> endpointsUpdated(EndpointUpdate update, long now) {
        switch (update.scope()) {
            case FAILED -> endpointListPolicy.failed(randomFraction(endpointListPolicy.retryInterval()), now);
            case UNCONFIRMED -> endpointListPolicy.unconfirmed(update.age(), now);
            case CONFIRMED -> endpointListPolicy.confirmed();
            default -> updateEndpoints(update, now);
        }
        return takeActions();
    }

    private void updateEndpoints(EndpointUpdate update, long now) {
        List<Endpoint> removed = new ArrayList<>();
        if (update.scope() != EndpointUpdate.Scope.CHANGES) {
            destinations.forEach(destination -> removed.addAll(destination.endpoints));
        }
        for (EndpointUpdate.Entry entry : update.entries()) {
            Endpoint endpoint = entry.endpoint();
            removed.remove(endpoint);
            if (entry.state() == EndpointUpdate.State.GONE) {
                removed.add(endpoint);
            } else {
                boolean isNew = endpoint.route == null;
                addEndpoint(endpoint, now);
                endpoint.ready = entry.state() == EndpointUpdate.State.READY;
                // Without weights in the settings, the number that a list has in their place is not a rate.
                endpoint.route.weight = weightsProvided && entry.weight() > 0 && endpoint.ready ? entry.weight() : endpoint.route.weight;
                // Starts with a small share, as many nodes may start at once, or find a new destination at once, and exceed its limit together.
                if (isNew && allowanceIndex >= 0) {
                    endpoint.route.share = Math.min(endpoint.route.share, rateLimiter.burstStartShare(endpoint.route, 1.0 / nodeCount));
                }
            }
        }
        removed.forEach(DeliveryDispatcher::removeEndpoint);
        // Saves memory: the host has forgotten these destinations, and creates them anew when a mail for them arrives.
        destinations.removeIf(destination -> !destination.listed);
    }

    @Override public List<Action> nextActions(long now) {
        // How late the recent wake-ups were. It decays over the longest lifetime, as mails that were held at a late wake-up may be held for so long.
        long lateness = scheduledWakeUpAt > lastIterationAt && now - scheduledWakeUpAt > LATE_WAKE_UP_TICKS * tick ? now - scheduledWakeUpAt : 0;
        wakeUpLateness = Math.min(targetDelay, Math.max(lateness,
                wakeUpLateness - (long) (wakeUpLateness * Math.min(1.0, (double) (now - lastIterationAt) / maxLifetime))));
        lastIterationAt = now;
        rateLimiter.beginIteration(now);
        nextWakeUpAt = now + (long) (MAX_WAKE_UP_INTERVAL * targetDelay);
        if (endpointListPolicy.subscribe(now)) {
            actions.add(new Action.SubscribeToList());
        }
        endExpiredMails(now);
        if (cancellationAllowed && callsInFlight >= maxCallsInFlight) {
            cancelOldestOverdueCall(now);
        }
        // Mails of full importance go first at all destinations, then the others.
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 0; i < activeDestinations.size(); i++) {
                sendQueued(activeDestinations.get((roundRobinStart + i) % activeDestinations.size()), pass == 0, now);
            }
        }
        activeDestinations.removeIf(destination -> !(destination.busy = !isIdle(destination, now)));
        roundRobinStart++;
        scheduleWakeUp(now);
        return takeActions();
    }

    /** Requests a wake-up unless there is nothing to do or one is already due by then. */
    private void scheduleWakeUp(long now) {
        boolean idle = activeDestinations.isEmpty() && !endpointListPolicy.needsSubscription();
        long wakeUpAt = Math.max(nextWakeUpAt, now + tick);
        if (!idle && !(scheduledWakeUpAt > now && scheduledWakeUpAt <= wakeUpAt)) {
            scheduledWakeUpAt = wakeUpAt;
            actions.add(new Action.WakeUp(wakeUpAt - now));
        }
    }

    private List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    // ---- Admission ----

    /** Takes a token from the bucket of the tenant of the mail; true if there was none. */
    private boolean exceedsQuota(Mail mail, long now) {
        int tenant = mail.tenant;
        if (tenant < 0 || tenant >= tenantQuotas.length || tenantQuotas[tenant] <= 0) {
            return false;
        }
        double maxTokens = Math.max(1, tenantQuotas[tenant] * targetDelay / MICROS_PER_SECOND);
        tenantTokens[tenant] = Math.min(maxTokens, tenantTokens[tenant] + tenantQuotas[tenant] * (now - tenantTokensUpdatedAt[tenant]) / MICROS_PER_SECOND);
        tenantTokensUpdatedAt[tenant] = now;
        boolean exceeded = tenantTokens[tenant] < 1;
        tenantTokens[tenant] -= exceeded ? 0 : 1;
        return exceeded;
    }

    /**
     * How many mails of its queue are sent before a new one: those of at least the same importance, if it can be in time behind them, else all. Without this,
     * a fresh mail would be rejected because of a queue of late ones that it would overtake.
     */
    private int mailsAhead(Mail mail, long now) {
        double ownImportance = importance(mail, now);
        int aheadCount = 0;
        for (Mail other : mail.destination.queue) {
            aheadCount += other != mail && importance(other, now) >= ownImportance ? 1 : 0;
        }
        return now + expectedWait(mail.destination, aheadCount, now) + typicalLatencyOf(mail.destination) <= mail.softDeadline ? aheadCount
                : mail.destination.queue.size() - 1;
    }

    /** How long a mail waits in the queue behind so many others. */
    private long expectedWait(Destination destination, int ahead, long now) {
        long startsIn = NEVER;
        double totalRate = 0;
        for (Route route : destination.routes) {
            long opensAt = route.breaker.phase == CircuitBreakerState.Phase.OPEN ? route.breaker.openUntil : now;
            startsIn = Math.min(startsIn, Math.max(0, Math.max(opensAt, route.backoffUntil) - now));
            totalRate += rateLimiter.rate(route, now) * batchSize(route);
        }
        return totalRate <= 0 ? 0 : startsIn + (long) (ahead / totalRate * MICROS_PER_SECOND);
    }

    /** Called when the limit of held mails is nearly reached: ends the mail with the longest expected wait, those over quota first. */
    private void shedLongestWaiting(long now) {
        Mail longestWaiting = null;
        double maxWeight = 0;
        for (Destination destination : activeDestinations) {
            long wait = destination.queue.isEmpty() ? 0 : expectedWait(destination, destination.queue.size(), now);
            for (Mail mail : destination.queue) {
                double weight = wait * (mail.overQuota ? 1 / overQuotaImportance : 1);
                if (weight >= maxWeight && weight > targetDelay && mail.attempts.isEmpty() && !mail.recovered) {
                    maxWeight = weight;
                    longestWaiting = mail;
                }
            }
        }
        if (longestWaiting != null) {
            endUndelivered(longestWaiting, (long) maxWeight, EndReason.NO_ROOM, now);
        }
    }

    // ---- Queues and selection of endpoints ----

    /** Sends queued mails of a destination, the highest priority first, until none can be sent. */
    private void sendQueued(Destination destination, boolean fullImportanceOnly, long now) {
        while (!destination.queue.isEmpty()) {
            Mail bestMail = null;
            Endpoint bestEndpoint = null;
            double maxPriority = 0;
            for (Mail mail : destination.queue) {
                boolean fullImportance = hasFullImportance(mail, now);
                if (fullImportanceOnly && !fullImportance || !isEligible(mail, now)) {
                    continue;
                }
                double priority = sendPriority(mail, now);
                if (priority > maxPriority) {
                    Endpoint endpoint = selectEndpoint(destination, mail, now);
                    if (endpoint != null) {
                        bestMail = mail;
                        bestEndpoint = endpoint;
                        maxPriority = priority;
                    }
                }
            }
            if (bestMail == null) {
                return;
            }
            send(bestMail, bestEndpoint, now);
        }
    }

    /**
     * The priority of sending this mail: the importance of it and the mails behind it in its order key, as the best mean over a beginning of the queue of
     * that key. Otherwise late mails at the heads of their keys would make all behind them late too when a destination gets more than it accepts. The cost:
     * keys that are long late wait until the burst is over.
     */
    private double sendPriority(Mail mail, long now) {
        double priority = importance(mail, now);
        if (mail.orderKey != null && queueClassOf(mail).ordered()) {
            double sum = 0;
            int count = 0;
            for (Mail queued : mail.orderKey.mails) {
                sum += importance(queued, now);
                priority = Math.max(priority, sum / ++count);
            }
        }
        return priority;
    }

    /** Whether the mail is within its quota and can still be relayed by its soft deadline. */
    private boolean hasFullImportance(Mail mail, long now) {
        return !mail.overQuota && now + typicalLatencyOf(mail.destination) <= mail.softDeadline;
    }

    /** Whether the mail was recovered and no attempt for it has been made. */
    private static boolean isRecoveredUnattempted(Mail mail) {
        return mail.recovered && mail.attempts.isEmpty();
    }

    /**
     * Whether this is the last chance for the only attempt of a recovered mail: then it borrows a token from later mails. Otherwise most recovered mails
     * would end without an attempt where a receiver accepts less than arrives: being late at a restart, they stand behind all new mails. The cost: a call
     * that the receiver may reject.
     */
    private boolean isLastChance(Mail mail, Route route, long now) {
        return isRecoveredUnattempted(mail) && !route.inSlowStart && route.retryAfterUntil <= now && now >= lastChanceAt(mail);
    }

    /** When a mail that has not run has to be sent at the latest. */
    private long lastChanceAt(Mail mail) {
        return mail.deadline - LAST_CHANCE_LATENCIES * typicalLatencyOf(mail.destination) - 4 * tick - wakeUpLateness;
    }

    /**
     * The importance of the mail if it is sent now. Among late mails the younger go first: each loses as much by waiting, but where not all can be sent, the
     * oldest have the least importance left to lose.
     */
    private double importance(Mail mail, long now) {
        Settings.QueueClass queueClass = queueClassOf(mail);
        double lateness = now + typicalLatencyOf(mail.destination) - mail.softDeadline;
        double classTargetDelay = queueClass.targetDelay();
        double remainingShare = lateness <= 0 ? 1 : queueClass.exponentialDecay() ? Math.max(queueClass.lateImportanceShare(), Math.pow(0.5, lateness / classTargetDelay))
                : 1 - (1 - queueClass.lateImportanceShare()) * Math.min(1, lateness / Math.max(classTargetDelay, queueClass.lifetime() - classTargetDelay));
        return queueClass.importance() * remainingShare * (mail.overQuota ? overQuotaImportance : 1);
    }

    /** Whether the mail may be sent now as far as its own delay, its order key and the age of the endpoint list are concerned. */
    private boolean isEligible(Mail mail, long now) {
        if (!endpointListPolicy.mayBeUsed(!RetryPolicy.mayHaveRun(mail) && now >= lastChanceAt(mail), now)) {
            return false;
        }
        if (mail.notBefore > now) {
            wakeUpBy(mail.notBefore, now);
            return false;
        }
        if (mail.orderKey == null || !queueClassOf(mail).ordered()) {
            return true;
        }
        boolean blocked = mail.attempts.isEmpty() && mail.orderKey.blockedUntil > now;
        wakeUpBy(blocked ? mail.orderKey.blockedUntil : now, now);
        return mail.orderKey.mails.peekFirst() == mail && !blocked;
    }

    /** The cheapest endpoint to which the mail may be sent now, or null. */
    private Endpoint selectEndpoint(Destination destination, Mail mail, long now) {
        Endpoint best = null;
        double minCost = Double.MAX_VALUE;
        for (Endpoint endpoint : destination.endpoints) {
            if (!maySend(mail, endpoint, now) || !canJoinCall(endpoint, now) && !canStartCall(endpoint, mail, now)) {
                continue;
            }
            double cost = endpoint.inFlight + (hasIdleConnection(endpoint, now) ? 0 : NEW_CONNECTION_COST) + (endpoint.zone == zone ? 0 : OTHER_ZONE_COST)
                    + (isSuspect(endpoint, now) ? SUSPECT_ENDPOINT_COST : 0) + (lastEndpoint(mail) == endpoint ? LAST_TRIED_COST : 0)
                    + (canJoinCall(endpoint, now) ? JOIN_CALL_COST : 0) + endpoint.preference;
            if (cost < minCost) {
                minCost = cost;
                best = endpoint;
            }
        }
        return best;
    }

    /** Whether the mail can join the call that this iteration already makes to the endpoint. */
    private boolean canJoinCall(Endpoint endpoint, long now) {
        return endpoint.joinableCall != null && endpoint.joinableCall.sentAt == now && endpoint.joinableCall.size < batchSize(endpoint.route)
                && endpoint.route.breaker.phase == CircuitBreakerState.Phase.CLOSED;
    }

    /** Whether a new call to the endpoint may start now: circuit breaker, rate limit, concurrency limits and the bulkhead for degraded routes allow it. */
    private boolean canStartCall(Endpoint endpoint, Mail mail, long now) {
        Route route = endpoint.route;
        // A destination gets at most half of the calls in flight, but two of three, so that nodes with few calls can send it a burst. The cost: it may stop
        // answering and hold them.
        int maxPerDestination = Math.max(Math.min(2, maxCallsInFlight - 1), Math.max(1, maxCallsInFlight / 2));
        if (callsInFlight >= maxCallsInFlight || endpoint.destination.inFlight >= maxPerDestination || endpoint.inFlight >= maxConcurrentCalls(endpoint, now)) {
            return false;
        }
        if (!circuitBreaker.allows(route, now)) {
            wakeUpBy(circuitBreaker.isCoolingDown(route, now) ? route.breaker.openUntil : now, now);
            return false;
        }
        if (isDegraded(route, now) && (route.calls.size() >= 1 || degradedCallsInFlight(now) >= maxDegradedCalls)) {
            return false;
        }
        long tokenAt = rateLimiter.nextTokenAt(route, now);
        wakeUpBy(tokenAt, now);
        return tokenAt == now || isLastChance(mail, route, now);
    }

    /** Whether the endpoint failed several times in a row, the last time less than two target delays ago. */
    private boolean isSuspect(Endpoint endpoint, long now) {
        return endpoint.consecutiveFailures >= SUSPECT_FAILURES && now < endpoint.lastFailedAt + 2 * targetDelay;
    }

    /** The endpoint of the mail's last attempt, or null. */
    private static Endpoint lastEndpoint(Mail mail) {
        return mail.attempts.isEmpty() ? null : mail.attempts.get(mail.attempts.size() - 1).endpoint;
    }

    /** How many calls the endpoint may have in flight: what its rate limit needs by its latency, or less for a while after it refused a connection. */
    private int maxConcurrentCalls(Endpoint endpoint, long now) {
        Route route = endpoint.route;
        int neededForLimit = (int) Math.ceil(CONCURRENCY_FACTOR * rateLimiter.limit(route) * route.typicalLatency / MICROS_PER_SECOND / Math.max(1, route.endpointCount));
        if (now - endpoint.concurrencyLimitSetAt > slowStartDuration) {
            endpoint.concurrencyLimit = Integer.MAX_VALUE;
        }
        return Math.min(endpoint.concurrencyLimit, Math.max(2, neededForLimit));
    }

    /** Forgets the connections that have reached the idle timeout; true if any is left. */
    private boolean hasIdleConnection(Endpoint endpoint, long now) {
        while (!endpoint.idleConnections.isEmpty() && endpoint.idleConnections.peekFirst() + connectionIdleTimeout <= now) {
            endpoint.idleConnections.pollFirst();
        }
        return !endpoint.idleConnections.isEmpty();
    }

    // ---- Sending: every attempt passes maySend ----

    /** Whether an attempt for the mail at this endpoint is allowed; the last check before every send. */
    private boolean maySend(Mail mail, Endpoint endpoint, long now) {
        Route route = endpoint.route;
        if (mail.finished || !endpoint.ready || route.backoffUntil > now && !isLastChance(mail, route, now) || mail.attempts.size() >= maxAttempts) {
            wakeUpBy(route.backoffUntil, now);
            return false;
        }
        if (mail.inFlight > 0 && !parallelAttemptsAllowed || now + (mail.attempts.isEmpty() ? 0 : (long) route.typicalLatency) + 4 * tick > mail.deadline) {
            return false;
        }
        return retryPolicy.mayAttempt(mail, endpoint, now);
    }

    /** Starts an attempt, in the call that the mail can join or in a new one. */
    private void send(Mail mail, Endpoint endpoint, long now) {
        Route route = endpoint.route;
        Call call = endpoint.joinableCall;
        if (!canJoinCall(endpoint, now)) {
            call = new Call(now);
            endpoint.joinableCall = call;
            route.calls.add(call);
            endpoint.inFlight++;
            endpoint.destination.inFlight++;
            callsInFlight++;
            // A borrowed token is repaid by the next one. A larger debt would hold up all mails that arrive after a restart.
            route.tokens = Math.max(-1, route.tokens - 1);
            route.sent.add(now);
            endpoint.callInterval = now - endpoint.lastUsedAt;
            endpoint.lastUsedAt = now;
            endpoint.idleConnections.pollLast();
        }
        call.size++;
        call.openAttempts++;
        boolean ordinaryTimeout = !cancellationAllowed || canRepeatAfterTimeout(mail, callTimeout(route, now));
        long timeout = ordinaryTimeout ? callTimeout(route, now) : queueClassOf(mail).lifetime() / 2;
        DeliveryAttempt attempt = new DeliveryAttempt(mail, endpoint, now, Math.min(now + timeout, mail.deadline - 2 * tick), call);
        if (queueClassOf(mail).effect() == Settings.Effect.TAGGED) {
            for (DeliveryAttempt earlier : mail.attempts) {
                attempt.sendDeadline = earlier.neverRan ? attempt.sendDeadline : Math.min(attempt.sendDeadline, retryPolicy.deduplicatedUntil(mail, earlier));
            }
        }
        mail.attempts.add(attempt);
        call.attempts.add(attempt);
        mail.inFlight++;
        mail.destination.queue.remove(mail);
        route.lastUsedAt = now;
        circuitBreaker.onAttempt(route, attempt);
        actions.add(new Action.Send(attempt));
    }

    /** Releases what the attempt occupied; with the last attempt of a call also its place among the calls in flight. */
    private void closeAttempt(DeliveryAttempt attempt, Outcome outcome, long now) {
        attempt.open = false;
        attempt.neverRan = outcome.neverRan();
        attempt.mail.inFlight--;
        if (--attempt.call.openAttempts == 0) {
            attempt.endpoint.inFlight--;
            attempt.endpoint.destination.inFlight--;
            callsInFlight--;
            attempt.endpoint.route.calls.remove(attempt.call);
            if (outcome instanceof Outcome.Delivered || outcome instanceof Outcome.ServerError
                    || outcome instanceof Outcome.Rejected) {
                keepOrReleaseConnection(attempt.endpoint, now);
            }
        }
    }

    /**
     * Endpoints may accept few connections, idle ones included, from many nodes. Where a kind has shown a limit, or has not yet let as many mails pass as
     * nodes use it, an idle connection is released unless the last two calls to the endpoint were close together. The cost: a handshake for each mail of a
     * burst that returns.
     */
    private void keepOrReleaseConnection(Endpoint endpoint, long now) {
        endpoint.idleConnections.addLast(now);
        if (endpoint.callInterval > maxIdleTime(endpoint)) {
            releaseConnections(endpoint);
        }
    }

    /** The time between two calls up to which a connection to the endpoint is kept. */
    private long maxIdleTime(Endpoint endpoint) {
        int score = connectionScores[endpoint.route.kind];
        return score >= provenConnectionScore ? NEVER
                : (long) ((score < 0 ? CAPPED_IDLE_LATENCIES : UNPROVEN_IDLE_LATENCIES) * CONNECTION_PROOF_NODES / provenConnectionScore * endpoint.route.typicalLatency);
    }

    private void releaseConnections(Endpoint endpoint) {
        endpoint.idleConnections.clear();
        actions.add(new Action.ReleaseConnections(endpoint));
    }

    /** Whether the destination needs no further iteration: no mails, no calls, no connection to release later. Releases those that were idle for too long. */
    private boolean isIdle(Destination destination, long now) {
        boolean idle = destination.queue.isEmpty() && destination.inFlight == 0;
        for (Endpoint endpoint : destination.endpoints) {
            if (hasIdleConnection(endpoint, now) && maxIdleTime(endpoint) < NEVER) {
                if (now - endpoint.idleConnections.peekLast() > maxIdleTime(endpoint)) {
                    releaseConnections(endpoint);
                } else {
                    wakeUpBy(endpoint.idleConnections.peekLast() + maxIdleTime(endpoint) + tick, now);
                    idle = false;
                }
            }
        }
        return idle;
    }

    // ---- Call timeouts ----

    /**
     * The ordinary timeout of a call. Where some calls of a receiver hang while the others are relayed at the usual latency, a hung call is given up early,
     * while its mail may still be repeated. The cost: the slowest good calls time out too.
     */
    private long callTimeout(Route route, long now) {
        int hungCalls = route.timedOut.sum(now);
        if (hungCalls > 0 && route.relayed.sum(now) >= hungCalls && route.recentLatency < MAX_SAMPLE_LATENCIES * route.typicalLatency) {
            return (long) (HUNG_CALL_TIMEOUT_LATENCIES * route.typicalLatency);
        }
        return (long) Math.max(MIN_CALL_TIMEOUT * targetDelay, CALL_TIMEOUT_LATENCIES * route.typicalLatency);
    }

    /**
     * Whether the mail could be repeated after this timeout and be waited for as long again. If not, the timeout saves nothing and would lose mails that a
     * slowed receiver would still relay. The cost: a receiver that does not answer occupies calls for longer.
     */
    private boolean canRepeatAfterTimeout(Mail mail, long timeout) {
        Settings.QueueClass queueClass = queueClassOf(mail);
        return queueClass.effect() == Settings.Effect.REDELIVERABLE
                || queueClass.effect() == Settings.Effect.TAGGED && queueClass.deduplicationWindow() >= 2 * timeout;
    }

    /**
     * Cancels the oldest call that is past the ordinary timeout; it counts as timed out. Called when no further call may start, as calls with a long timeout
     * may hang at many receivers at once. The cost: the mails of the call may be lost.
     */
    private void cancelOldestOverdueCall(long now) {
        Call oldest = null;
        for (Destination destination : activeDestinations) {
            for (Route route : destination.routes) {
                for (Call call : route.calls) {
                    boolean older = oldest == null || call.sentAt < oldest.sentAt;
                    if (older && now - call.sentAt > callTimeout(route, now)) {
                        oldest = call;
                    }
                }
            }
        }
        if (oldest != null && !oldest.cancelled) {
            oldest.cancelled = true;
            oldest.attempts.forEach(attempt -> actions.add(new Action.Cancel(attempt)));
        }
    }

    // ---- Learning from outcomes ----

    /** Updates the route and its circuit breaker by the outcome of an attempt; only the first outcome of a call counts, and that of a trial. */
    private void recordOutcome(DeliveryAttempt attempt, Outcome outcome, long now) {
        Route route = attempt.endpoint.route;
        if (route.breaker.trial == attempt) {
            route.breaker.trial = null;
            route.lastUsedAt = now;
        } else if (attempt.call.outcomeCounted) {
            return;
        }
        attempt.call.outcomeCounted = true;
        // A connect that fails shortly after a relayed mail may have met a limit on connections: the endpoint is up.
        boolean atConnectionCap = outcome instanceof Outcome.ConnectFailed && !attempt.trial && now - route.lastRelayedAt < targetDelay;
        boolean firstUnreachable = outcome instanceof Outcome.ConnectFailed && route.unreachableSince <= route.lastRelayedAt;
        route.unreachableSince = firstUnreachable ? now : route.unreachableSince;
        route.downSince = route.downSince <= route.lastRelayedAt ? now : route.downSince;
        if (outcome instanceof Outcome.Delivered) {
            onRelayed(route, attempt, now);
        } else if (outcome instanceof Outcome.Rejected rejected) {
            onRejected(route, rejected.retryAfter(), now);
        } else if (atConnectionCap && connectionScores[route.kind] < provenConnectionScore) {
            attempt.endpoint.concurrencyLimit = Math.max(1, attempt.endpoint.inFlight);
            attempt.endpoint.concurrencyLimitSetAt = now;
            backOff(route, 0, false, now);
        } else if (!(outcome instanceof Outcome.NotSent || outcome instanceof Outcome.ConnectionLost && attempt.reusedConnection)) {
            // A reused connection that breaks says nothing of the receiver; a new one would.
            onFailed(route, attempt, outcome, now);
        }
    }

    /** A mail was relayed: updates the latencies of the route, and whether its kind accepts connections from all nodes. */
    private void onRelayed(Route route, DeliveryAttempt attempt, long now) {
        route.relayed.add(now);
        // Connects that failed only shortly before this relayed mail met a limit on connections, not an outage.
        boolean brieflyUnreachable = route.unreachableSince > route.lastRelayedAt && now - route.unreachableSince < targetDelay / 2;
        int score = connectionScores[route.kind] + (brieflyUnreachable ? -provenConnectionScore : 1);
        connectionScores[route.kind] = Math.max(-MAX_CONNECTION_CAP_PROOFS * provenConnectionScore, Math.min(provenConnectionScore, score));
        route.lastRelayedAt = now;
        route.consecutiveBackoffs = 0;
        // Not if this node itself was stalled, also by a late timer: what ended meanwhile would seem to have taken as long as the stall. The cost: a receiver
        // that slows down just then is noticed later.
        if (now <= scheduledWakeUpAt + LATE_WAKE_UP_TICKS * tick || scheduledWakeUpAt <= lastIterationAt) {
            long duration = now - attempt.sentAt;
            route.typicalLatency += Math.max(TYPICAL_LATENCY_WEIGHT, 1.0 / ++route.latencySamples)
                    * (Math.min(duration, MAX_SAMPLE_LATENCIES * route.typicalLatency) - route.typicalLatency);
            route.recentLatency += RECENT_LATENCY_WEIGHT * (duration - route.recentLatency);
        }
        attempt.endpoint.consecutiveFailures = 0;
        attempt.endpoint.lastRelayedAt = now;
        route.slowStartRampAt = route.inSlowStart && route.slowStartRampAt == NEVER ? now : route.slowStartRampAt;
        circuitBreaker.onDelivered(route, attempt, now);
    }

    /** A receiver rejected an attempt: backs off, and lowers the share of its limit that this node uses. */
    private void onRejected(Route route, long retryAfter, long now) {
        backOff(route, retryAfter, true, now);
        // A rejection that reports allowance left met a short burst, or the report is late: the share falls to the even share of a node at most.
        boolean inBurst = RateLimiter.rejectedInBurst(route, now);
        if (!inBurst) {
            route.rejected.add(now);
        }
        if (now - route.shareReducedAt > route.typicalLatency) {
            // The random number is drawn here, and only where it is used: a seed then gives the same numbers in the same order.
            rateLimiter.onRejection(route, inBurst ? 0 : randomFraction(now), now);
        }
        if (inBurst) {
            return;
        }
        if (route.consecutiveBackoffs >= SLOW_START_BACKOFFS && now - route.lastRelayedAt > SLOW_START_WITHOUT_RELAY * targetDelay) {
            route.inSlowStart = true;
            route.slowStartRampAt = NEVER;
        }
    }

    /**
     * Blocks a route after a rejection or a failure: for the Retry-After, or else for a delay that doubles. Many nodes must not return together to a receiver
     * that accepts nothing, or whose limit rejected calls use up: where it has relayed nothing for long, each node returns at a random time within the time that all
     * nodes need. The cost: a receiver that accepts again is idle for a part of that time.
     */
    private void backOff(Route route, long retryAfter, boolean rejected, long now) {
        boolean noRecentRelay = rejected && now - route.lastRelayedAt > targetDelay;
        boolean allowanceScarce = !noRecentRelay && route.limitReported && route.allowanceReportedAt == now && route.allowance <= RateLimiter.SCARCE_ALLOWANCE;
        double delay = noRecentRelay ? Math.max(route.typicalLatency, rateLimiter.messageInterval(route, now) * (1 + randomFraction(retryAfter))) : route.typicalLatency;
        delay = Math.min(2 * targetDelay, delay * Math.scalb(1.0, Math.min(route.consecutiveBackoffs++, MAX_BACKOFF_DOUBLINGS)));
        // While mails are relayed, the nodes' rates already divide the limit: each node waits for a random time, that of one of its tokens on average, not longer.
        delay = allowanceScarce ? 2 * rateLimiter.messageInterval(route, now) * randomFraction(retryAfter) : delay;
        if (now + retryAfter - route.downSince > targetDelay) {
            delay = Math.max(retryAfter > 0 ? 0 : delay, 2 * circuitBreaker.coolDownDuration(route, now + retryAfter) * randomFraction(route.downSince));
        } else if (retryAfter > 0) {
            delay = now - route.lastRelayedAt > targetDelay ? 2 * rateLimiter.messageInterval(route, now) * randomFraction(retryAfter) : 0;
        }
        route.backoffUntil = Math.max(route.backoffUntil, now + retryAfter + (long) delay);
    }

    /** An attempt failed: counts it for endpoint and circuit breaker, backs off, and puts the route into slow start or opens the breaker. */
    private void onFailed(Route route, DeliveryAttempt attempt, Outcome outcome, long now) {
        route.failed.add(now);
        if (outcome instanceof Outcome.TimedOut || outcome instanceof Outcome.Cancelled) {
            route.timedOut.add(now);
        }
        attempt.endpoint.consecutiveFailures++;
        attempt.endpoint.lastFailedAt = now;
        CircuitBreakerState breaker = route.breaker;
        if (breaker.phase == CircuitBreakerState.Phase.HALF_OPEN && attempt.trial) {
            circuitBreaker.open(route, outcome, now);
        } else if (breaker.phase == CircuitBreakerState.Phase.CLOSED && attempt.sentAt >= breaker.closedAt) {
            breaker.consecutiveFailures++;
            backOff(route, 0, false, now);
            // Begins slow start early if nothing was relayed of late, as many nodes may each fail once at the same route: at the first failure where sibling
            // routes can be tried instead; at the second consecutive one where a node is sparse (its even share is at most one mail per target delay), as it
            // may not see a third. Not at the first there: that rate is one mail in half a minute.
            boolean earlySlowStart = now - route.lastRelayedAt > targetDelay && (attempt.endpoint.destination.routes.size() > 1
                    || rateLimiter.sparseness(route) >= 1 && breaker.consecutiveFailures >= SUSPECT_FAILURES);
            if (earlySlowStart || circuitBreaker.suspectsOutage(route, now)) {
                route.inSlowStart = true;
                route.slowStartRampAt = NEVER;
            }
            if (circuitBreaker.shouldOpen(route, now)) {
                circuitBreaker.open(route, outcome, now);
            }
        }
    }

    // ---- Degraded routes: a bulkhead limits the calls that they hold ----

    /** Whether the route is down, unhealthy or slow: it may then have one call in flight only, of the part of the calls that all such routes share. */
    private boolean isDegraded(Route route, long now) {
        if (route.inSlowStart && route.slowStartRampAt == NEVER || route.breaker.phase != CircuitBreakerState.Phase.CLOSED) {
            return true;
        }
        // A receiver that answers, but many times slower than it used to, would fill all calls in flight. The cost: a receiver that is slower for good is
        // limited until its typical latency is learnt.
        if (route.recentLatency > DEGRADED_LATENCIES * route.typicalLatency) {
            return true;
        }
        for (Call call : route.calls) {
            if (now - call.sentAt > OVERDUE_LATENCIES * route.typicalLatency && route.lastRelayedAt < call.sentAt) {
                return true;
            }
        }
        return false;
    }

    private int degradedCallsInFlight(long now) {
        int count = 0;
        for (Destination destination : activeDestinations) {
            for (Route route : destination.routes) {
                count += isDegraded(route, now) ? route.calls.size() : 0;
            }
        }
        return count;
    }

    // ---- Retries and endings ----

    /** Queues a mail whose attempt did not deliver for another one, in the order of arrival, or ends it if none is possible. */
    private void retryOrEnd(Mail mail, Outcome outcome, long now) {
        EndReason reason = mail.attempts.size() >= maxAttempts ? EndReason.ATTEMPTS_USED_UP
                : now + typicalLatencyOf(mail.destination) > mail.deadline ? EndReason.DEADLINE : canRepeatInWindow(mail, now) ? null : EndReason.REPEAT_WINDOW_OVER;
        if (reason != null) {
            endUndelivered(mail, 0, reason, now);
            return;
        }
        // Many nodes retrying quickly, each with too few attempts to open a circuit breaker, would load a receiver that is down: a failed mail is retried at
        // the rate of the fair share of this node. The cost: a mail that met a stray failure waits where nodes are many.
        if (outcome instanceof Outcome.ConnectFailed || !outcome.neverRan()) {
            mail.notBefore = now + (long) (rateLimiter.messageInterval(lastEndpoint(mail).route, now) * randomFraction(mail.id));
        }
        int position = mail.destination.queue.size();
        while (position > 0 && mail.destination.queue.get(position - 1).sequence > mail.sequence) {
            position--;
        }
        enqueue(mail, position);
    }

    /** Whether the mail may still be sent to some endpoint while its repeats are recognized. */
    private boolean canRepeatInWindow(Mail mail, long now) {
        for (Endpoint endpoint : mail.destination.endpoints) {
            long opensAt = endpoint.route.breaker.phase == CircuitBreakerState.Phase.OPEN ? endpoint.route.breaker.openUntil : now;
            if (endpoint.ready && retryPolicy.mayAttempt(mail, endpoint, Math.max(now, Math.max(opensAt, endpoint.route.backoffUntil)))) {
                return true;
            }
        }
        return mail.destination.endpoints.isEmpty();
    }

    /** Ends queued mails whose time is over or that cannot be sent any more. */
    private void endExpiredMails(long now) {
        for (Destination destination : activeDestinations) {
            for (int i = destination.queue.size() - 1; i >= 0; i--) {
                Mail mail = destination.queue.get(i);
                // Mails whose attempts an earlier process has used up end at once. On a node short of CPU time, mails end earlier by as much as its wake-ups
                // were late, as their endings would be late too.
                EndReason reason = now + 3 * tick + wakeUpLateness >= mail.deadline ? EndReason.DEADLINE
                        : mail.attempts.size() >= maxAttempts ? EndReason.ATTEMPTS_USED_UP
                        : RetryPolicy.mayHaveRun(mail) && !canRepeatInWindow(mail, now) ? EndReason.REPEAT_WINDOW_OVER : null;
                if (reason != null) {
                    endUndelivered(mail, expectedWait(destination, 0, now), reason, now);
                } else {
                    wakeUpBy(mail.deadline - 3 * tick - wakeUpLateness, now);
                    wakeUpBy(isRecoveredUnattempted(mail) ? lastChanceAt(mail) : now, now);
                }
            }
        }
    }

    /** Ends a mail undelivered: deferred where submitting it again is harmless, else bounced. All such endings go through this method. */
    private void endUndelivered(Mail mail, long expectedWait, EndReason reason, long now) {
        if (mail.finished) {
            return;
        }
        long retryAfter = Math.min(expectedWait, maxRetryAfter);
        actions.add(retryPolicy.mayDefer(mail, now) ? new Action.Defer(mail, retryAfter, reason) : new Action.Bounce(mail, reason));
        finish(mail);
        removeFromOrderKey(mail);
    }

    /** The decisions are done with the mail; attempts in flight may still end. */
    private void finish(Mail mail) {
        if (!mail.finished) {
            mail.finished = true;
            heldMails--;
            mail.destination.queue.remove(mail);
        }
    }

    /** Allows the next mail of the order key to be sent, once the mail is finished and no attempt is in flight. */
    private void removeFromOrderKey(Mail mail) {
        if (mail.orderKey != null && mail.finished && mail.inFlight == 0) {
            mail.orderKey.mails.remove(mail);
        }
    }

    // ---- Queue and endpoint list ----

    /** Inserts the mail into the queue of its destination and makes the destination active. */
    private void enqueue(Mail mail, int position) {
        mail.destination.queue.add(position, mail);
        if (!mail.destination.busy) {
            mail.destination.busy = true;
            activeDestinations.add(mail.destination);
        }
    }

    /** Adds a newly listed endpoint to its destination, with a route of its own or the shared one. */
    private void addEndpoint(Endpoint endpoint, long now) {
        if (endpoint.listed) {
            return;
        }
        endpoint.listed = true;
        if (!endpoint.destination.listed) {
            endpoint.destination.listed = true;
            destinations.add(endpoint.destination);
        }
        List<Route> routes = endpoint.destination.routes;
        boolean routePerEndpoint = endpoint.kind < kinds.size() && kinds.get(endpoint.kind).routePerEndpoint();
        if (endpoint.route == null && !routePerEndpoint && !routes.isEmpty()) {
            endpoint.route = routes.get(routes.size() - 1);
        } else if (endpoint.route == null) {
            String name = "destination " + endpoint.destination.number + (routePerEndpoint ? " route " + routes.size() : "");
            endpoint.route = new Route(name, Math.min(endpoint.kind, kinds.size()), WINDOW_BUCKETS,
                    (long) (RateLimiter.OUTCOME_WINDOW * targetDelay / WINDOW_BUCKETS), (long) (RateLimiter.ARRIVAL_WINDOW * targetDelay / WINDOW_BUCKETS));
            endpoint.route.recentLatency = endpoint.route.typicalLatency = INITIAL_LATENCY * targetDelay;
            endpoint.route.latencySamples = INITIAL_LATENCY_SAMPLES;
            endpoint.route.shareUpdatedAt = endpoint.route.knownSince = now;
        }
        if (!routes.contains(endpoint.route)) {
            routes.removeIf(route -> route.endpointCount == 0);
            routes.add(endpoint.route);
        }
        endpoint.route.endpointCount++;
        endpoint.destination.endpoints.add(endpoint);
        // The other costs are equal nearly always, and all nodes would send to the first endpoint of a destination. Each node has a fixed order of its own,
        // so that connections are reused. No drawback is known.
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(12).putInt(nodeIndex).putLong(endpoint.address).array());
        endpoint.preference = crc.getValue() / (double) (1L << 32);
    }

    /** Removes an endpoint that is no longer listed: it would take memory, and reduce the concurrency of those that stay. */
    private static void removeEndpoint(Endpoint endpoint) {
        endpoint.ready = false;
        if (endpoint.listed) {
            endpoint.listed = false;
            endpoint.destination.endpoints.remove(endpoint);
            endpoint.route.endpointCount--;
            endpoint.destination.routes.removeIf(route -> route.endpointCount == 0 && endpoint.destination.routes.size() > 1);
        }
    }

    // ---- Helpers ----

    private Settings.QueueClass queueClassOf(Mail mail) {
        return classes.get(mail.queueClass);
    }

    private int batchSize(Route route) {
        return route.kind < kinds.size() ? Math.max(1, kinds.get(route.kind).batchSize()) : 1;
    }

    /** The lowest typical latency of the routes of the destination. */
    private long typicalLatencyOf(Destination destination) {
        double minLatency = INITIAL_LATENCY * targetDelay;
        for (int i = 0; i < destination.routes.size(); i++) {
            minLatency = i == 0 ? destination.routes.get(i).typicalLatency : Math.min(minLatency, destination.routes.get(i).typicalLatency);
        }
        return (long) minLatency;
    }

    /** The next wake-up is to be no later than this instant, if that is in the future. */
    private void wakeUpBy(long at, long now) {
        if (at > now) {
            nextWakeUpAt = Math.min(nextWakeUpAt, at);
        }
    }

    /** A pseudorandom number from 0 to below 1, by the seed, the node, this id and the count of numbers drawn so far. */
    private double randomFraction(long id) {
        CRC32 crc = new CRC32();
        ByteBuffer bytes = ByteBuffer.allocate(28);
        crc.update(bytes.putLong(seed).putInt(nodeIndex).putLong(id).putLong(drawCount++).array());
        return crc.getValue() / (double) (1L << 32);
    }

}
