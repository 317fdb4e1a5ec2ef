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
public final class Choice implements Dispatcher {
    private static final long NEVER = Long.MAX_VALUE;
    private static final long SECOND = 1_000_000;

    private static final int RING = 8, SUSPECT_RUN = 2, SHUT_RUN = 4, DOUBLINGS = 3;
    // Ratios to the target delay: worth is lost on that scale. Rest and cut-off leave time for another try
    // within it; burst is what a receiver's short queue takes; the share regains slower than bursts come.
    private static final double CUT = 0.6, SHUT_AFTER = 1.5, FIRST_USUAL = 0.1, HEARTBEAT = 0.04;
    // Ratios to a route's usual time: one call in some hundred takes over 6 times the mean where times spread
    // as an exponential does or somewhat wider; two places keep one busy while the other is on its way.
    private static final double CUT_USUAL = 8, CUT_HUNG = 6, OVERDUE = 6, PLACES = 2, CLIP = 3, SLOWED = 4;
    // Weights of a new sample: the usual time must outlast a slow spell, the recent one must see it.
    private static final int LATE = 4, FIRST_LEARNT = 4;
    private static final double LEARN = 0.03, LEARN_RECENT = 0.3;
    // Usual times for which each of ROOMY nodes, longer of fewer, keeps a connection: an endpoint takes a few
    // for each call that it serves.
    private static final double KEEP = 2, KEEP_NEW = 10;
    private static final int ROOMY = 64, ROOMY_FORGETS = 4;
    // Usual times before its end at which a mail that is owed a try gets it: time for the call and a slow one.
    private static final int LAST_TRY = 3;
    // How long a line may be at the door, in target delays: most of it goes in time, those behind nearly so.
    private static final double LINE_FIRST = 0.5, LINE_BEHIND = 2;
    // One part in so many: of the slots for the lane, of the held mails kept free, of the time to ask in.
    private static final int LANE_PART = 3, ROOM_PART = 16, ASK_PART = 8;
    // Endpoint order, in calls out: a call to join first, shunned ones last, then the last tried, cold
    // connections, other zones.
    private static final double JOIN = -50, SHUN = 100, TRIED = 5, NEW_CONNECTION = 2, OTHER_ZONE = 1;

    private final int nodes, me, zone, slots, lane, heldLimit, tries, leftAt, proof;
    private final long seed, tick, retryAfterLimit, idleFor, askEvery, coldFor, orderSettle, target, longest;
    private final boolean copies, mayCallOff, listOnRequest, weighed;
    private final double overShareImportance;
    private final List<Settings.QueueClass> classes;
    private final List<Settings.Kind> kinds;
    private final double[] quota, quotaTokens;
    private final long[] quotaAt;
    private final int[] roomy;
    private final LocalFaultBackoff localFaults;
    private final RateLimiter rates;
    private final CircuitBreaker breakers;
    private final RepeatPolicy repeats;

    private final List<Destination> known = new ArrayList<>();
    /** Those with mails in line or calls out: all that a turn walks. */
    private final List<Destination> busy = new ArrayList<>();
    private List<Answer> answers = new ArrayList<>();
    private int held, slotsOut, firstServed;
    private long chances, sequence, soonest, turnAt, late;
    private long wakeAt = Long.MIN_VALUE;
    private boolean following;
    private long askAt = Long.MIN_VALUE;

    public Choice(Settings s) {
        nodes = s.nodes();
        me = s.me();
        zone = s.zone();
        seed = s.seed();
        tick = s.tick();
        slots = Math.max(1, s.outLimit());
        lane = Math.max(1, slots / LANE_PART);
        heldLimit = s.heldLimit();
        tries = s.connectLimit();
        copies = s.copiesAllowed();
        mayCallOff = s.revokeAllowed();
        retryAfterLimit = s.retryAfterTold() ? s.retryAfterLimit() : 0;
        idleFor = s.connectionIdle();
        listOnRequest = s.listOnRequest();
        weighed = s.weightsGiven();
        askEvery = s.listAskWithin() / ASK_PART;
        overShareImportance = s.overShareImportance();
        leftAt = s.allowanceLeftAt();
        classes = s.classes();
        kinds = s.kinds();
        roomy = new int[kinds.size() + 1];
        proof = Math.min(nodes, ROOMY);
        quota = s.tenants().stream().mapToDouble(t -> t.quotaPerSecond() / s.nodes()).toArray();
        quotaTokens = quota.clone();
        quotaAt = new long[quota.length];
        coldFor = s.rules().cold();
        orderSettle = s.rules().orderSettle();
        target = classes.stream().mapToLong(Settings.QueueClass::targetDelay).min().orElse(SECOND);
        localFaults = new LocalFaultBackoff(target);
        rates = new RateLimiter(s, target, known::size);
        breakers = new CircuitBreaker(s, target, rates, this::chance, (text, at) -> answers.add(new Answer.Note(text)));
        repeats = new RepeatPolicy(classes, tick);
        longest = classes.stream().mapToLong(Settings.QueueClass::lifetime).max().orElse(SECOND);
    }

    // ---- Events ----

    @Override public List<Answer> admit(Mail mail, long now) {
        Settings.QueueClass kind = classOf(mail);
        held++;
        mail.sequence = sequence++;
        mail.dueBy = mail.endsBy - kind.lifetime() + kind.targetDelay();
        // Guards mails that come with little time of their own: no later try is left to them, so they go with
        // those in time. Harm: a client's last repeat is served before its turn.
        if (mail.endsBy - now < kind.targetDelay()) {
            mail.dueBy = mail.endsBy;
        }
        mail.overShare = overShare(mail, now);
        if (mail.key != null && kind.inOrder()) {
            mail.key.mails.addLast(mail);
        }
        wait(mail, mail.to.line.size());
        for (Route r : mail.to.routes) {
            r.came.add(now);
            r.mails++;
        }
        if (mail.owed) {
            // What an earlier process took on was judged at its door.
            return take();
        }
        long wait = expectedWait(mail.to, ahead(mail, now), now);
        // Guards against lines as long as lifetimes, where all turn late and keep their keys open; and those
        // behind an open mail of their key, who find lines full more often: a first one comes to a shorter
        // line, as with admission control by session. Harm: a short rush turns away what would go late.
        boolean first = mail.key == null || mail.key.mails.peekFirst() == mail;
        long inLine = wait - expectedWait(mail.to, 0, now);
        if (now + wait + usualOf(mail.to) > mail.endsBy
                || inLine > (first ? LINE_FIRST : LINE_BEHIND) * kind.targetDelay()) {
            end(mail, wait, EndReason.QUEUE_TOO_LONG, now);
        } else if (held > heldLimit - Math.max(1, heldLimit / ROOM_PART)) {
            makeRoom(now);
        }
        return take();
    }

    @Override public List<Answer> ended(Connect c, Outcome outcome, double[] report, boolean done, long now) {
        if (!c.open) {
            return take();
        }
        Mail mail = c.mail;
        close(c, outcome, now);
        if (outcome instanceof Outcome.LocalFault) {
            attemptNotMade(c, now);
            return take();
        }
        localFaults.worked();
        rates.onLoadReport(c.endpoint, report, now);
        // Guards the wait rule: each mail of a call brings its own wait, some a tick later than the first.
        if (outcome instanceof Outcome.Rejected full && full.pause() > 0) {
            Route r = c.endpoint.route;
            r.toldUntil = Math.max(r.toldUntil, now + full.pause() + tick);
            r.heldUntil = Math.max(r.heldUntil, r.toldUntil);
        }
        learn(c, outcome, now);
        if (mail.key != null && (outcome instanceof Outcome.TimedOut || outcome instanceof Outcome.ConnectionLost
                || outcome instanceof Outcome.Cancelled)) {
            mail.key.restsUntil = Math.max(mail.key.restsUntil, now + orderSettle);
        }
        if (done || outcome instanceof Outcome.Delivered) {
            finish(mail);
        } else if (!mail.over && mail.out == 0) {
            again(mail, outcome, now);
        }
        leaveKey(mail);
        return take();
    }

    /**
     * This machine could not make the attempt. It is taken back: breaker, rate and the message's number of attempts are as before it.
     * Where a copy of the message was begun after it, it keeps its number and so counts.
     */
    private void attemptNotMade(Connect c, long now) {
        Mail mail = c.mail;
        Route route = c.endpoint.route;
        if (route.breaker.trial == c) {
            route.breaker.trial = null;
        }
        if (!c.call.counted) {
            c.call.counted = true;
            route.tokens++;
        }
        if (mail.connects.get(mail.connects.size() - 1) == c) {
            mail.connects.remove(mail.connects.size() - 1);
        }
        long wait = localFaults.failed(chance(mail.id));
        if (!mail.over && mail.out == 0) {
            again(mail, new Outcome.LocalFault(), now);
            mail.notBefore = Math.max(mail.notBefore, now + wait);
        }
        leaveKey(mail);
    }

    @Override public List<Answer> withdrawn(Mail mail, long now) {
        finish(mail);
        leaveKey(mail);
        return take();
    }

    @Override public List<Answer> listed(Listing listing, long now) {
        if (listing.scope() == Listing.Scope.FAILED) {
            following = false;
            askAt = now + askEvery + (long) (askEvery * chance(askEvery));
            return take();
        }
        List<Endpoint> left = new ArrayList<>();
        if (listing.scope() != Listing.Scope.CHANGES) {
            known.forEach(d -> left.addAll(d.endpoints));
        }
        for (Listing.Entry entry : listing.entries()) {
            Endpoint e = entry.endpoint();
            left.remove(e);
            if (entry.state() == Listing.State.GONE) {
                left.add(e);
            } else {
                boolean fresh = e.route == null;
                join(e, now);
                e.ready = entry.state() == Listing.State.READY;
                // Where the settings give no weights, what a list has in their place is no rate.
                e.route.weight = weighed && entry.weight() > 0 && e.ready ? entry.weight() : e.route.weight;
                // Guards limits against many nodes that start at once, or find a new destination at once.
                if (fresh && leftAt >= 0) {
                    e.route.share = Math.min(e.route.share, rates.burstShare(e.route, 1.0 / nodes));
                }
            }
        }
        left.forEach(Choice::leave);
        // Guards memory: the host has forgotten those, and makes them anew when a mail comes.
        known.removeIf(d -> !d.known);
        return take();
    }

    @Override public List<Answer> next(long now) {
        // How late this node's own wakes have been of late: for as long as a mail lives, those that saw it are here.
        long missed = wakeAt > turnAt && now - wakeAt > LATE * tick ? now - wakeAt : 0;
        late = Math.min(target, Math.max(missed, late - (long) (late * Math.min(1.0, (double) (now - turnAt) / longest))));
        turnAt = now;
        rates.iteration(now);
        soonest = now + (long) (HEARTBEAT * target);
        if (listOnRequest && !following && now >= askAt) {
            following = true;
            answers.add(new Answer.FollowList());
        }
        expire(now);
        if (mayCallOff && slotsOut >= slots) {
            callOffOldest(now);
        }
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 0; i < busy.size(); i++) {
                serve(busy.get((firstServed + i) % busy.size()), pass == 0, now);
            }
        }
        busy.removeIf(d -> !(d.busy = !rests(d, now)));
        firstServed++;
        wake(now);
        return take();
    }

    private void wake(long now) {
        boolean idle = busy.isEmpty() && !(listOnRequest && !following);
        long at = Math.max(soonest, now + tick);
        if (!idle && !(wakeAt > now && wakeAt <= at)) {
            wakeAt = at;
            answers.add(new Answer.Wake(at - now));
        }
    }

    private List<Answer> take() {
        List<Answer> taken = answers;
        answers = new ArrayList<>();
        return taken;
    }

    // ---- Admission ----

    private boolean overShare(Mail mail, long now) {
        int t = mail.tenant;
        if (t < 0 || t >= quota.length || quota[t] <= 0) {
            return false;
        }
        double most = Math.max(1, quota[t] * target / SECOND);
        quotaTokens[t] = Math.min(most, quotaTokens[t] + quota[t] * (now - quotaAt[t]) / SECOND);
        quotaAt[t] = now;
        boolean over = quotaTokens[t] < 1;
        quotaTokens[t] -= over ? 0 : 1;
        return over;
    }

    /**
     * How many mails of its line go before a new one: those worth as much, if it can be in time behind them,
     * else all. Guards fresh mails against being turned away for a line of late ones that they would
     * overtake.
     */
    private int ahead(Mail mail, long now) {
        double worth = importance(mail, now);
        int before = 0;
        for (Mail m : mail.to.line) {
            before += m != mail && importance(m, now) >= worth ? 1 : 0;
        }
        return now + expectedWait(mail.to, before, now) + usualOf(mail.to) <= mail.dueBy ? before
                : mail.to.line.size() - 1;
    }

    /** How long a mail waits that has so many before it. */
    private long expectedWait(Destination d, int ahead, long now) {
        long start = NEVER;
        double pace = 0;
        for (Route r : d.routes) {
            long opens = r.breaker.phase == Breaker.Phase.OPEN ? r.breaker.restsUntil : now;
            start = Math.min(start, Math.max(0, Math.max(opens, r.heldUntil) - now));
            pace += rates.rate(r, now) * batch(r);
        }
        return pace <= 0 ? 0 : start + (long) (ahead / pace * SECOND);
    }

    /** When held mails run out: the mail that waits longest goes back, those over share first. */
    private void makeRoom(long now) {
        Mail worst = null;
        double most = 0;
        for (Destination d : busy) {
            long wait = d.line.isEmpty() ? 0 : expectedWait(d, d.line.size(), now);
            for (Mail m : d.line) {
                double weight = wait * (m.overShare ? 1 / overShareImportance : 1);
                if (weight >= most && weight > target && m.connects.isEmpty() && !m.owed) {
                    most = weight;
                    worst = m;
                }
            }
        }
        if (worst != null) {
            end(worst, (long) most, EndReason.NO_ROOM, now);
        }
    }

    // ---- Line ----

    private void serve(Destination d, boolean fullOnly, long now) {
        while (!d.line.isEmpty()) {
            Mail best = null;
            Endpoint at = null;
            double most = 0;
            for (Mail m : d.line) {
                boolean full = full(m, now);
                if (fullOnly && !full || !hasTurn(m, now)) {
                    continue;
                }
                double worth = worth(m, now);
                if (worth > most) {
                    Endpoint e = pick(d, m, now);
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
    private double worth(Mail m, long now) {
        double best = importance(m, now);
        if (m.key != null && classOf(m).inOrder()) {
            double sum = 0;
            int count = 0;
            for (Mail next : m.key.mails) {
                sum += importance(next, now);
                best = Math.max(best, sum / ++count);
            }
        }
        return best;
    }

    private boolean full(Mail m, long now) {
        return !m.overShare && now + usualOf(m.to) <= m.dueBy;
    }

    /** Whether an earlier process took the mail on and never tried it. */
    private static boolean owedTry(Mail m) {
        return m.owed && m.connects.isEmpty();
    }

    /**
     * Whether such a mail goes now or never: then it borrows a turn from those that come. Guards against giving most of them
     * up untried where a receiver takes less than comes: late at a restart, all stand behind what comes new. Harm: a call
     * that the receiver may refuse.
     */
    private boolean lastTry(Mail m, Route r, long now) {
        return owedTry(m) && !r.cold && r.toldUntil <= now && now >= lastTryAt(m);
    }

    private long lastTryAt(Mail m) {
        return m.endsBy - LAST_TRY * usualOf(m.to) - 4 * tick - late;
    }

    /**
     * What it is worth if sent now. Late mails go the younger first: whoever waits loses as much in that
     * time, but where not all can be sent, the oldest have least left to lose.
     */
    private double importance(Mail m, long now) {
        Settings.QueueClass kind = classOf(m);
        double late = now + usualOf(m.to) - m.dueBy;
        double delay = kind.targetDelay();
        double left = late <= 0 ? 1 : kind.byHalf() ? Math.max(kind.lateShare(), Math.pow(0.5, late / delay))
                : 1 - (1 - kind.lateShare()) * Math.min(1, late / Math.max(delay, kind.lifetime() - delay));
        return kind.importance() * left * (m.overShare ? overShareImportance : 1);
    }

    private boolean hasTurn(Mail m, long now) {
        if (m.notBefore > now) {
            later(m.notBefore, now);
            return false;
        }
        if (m.key == null || !classOf(m).inOrder()) {
            return true;
        }
        boolean rests = m.connects.isEmpty() && m.key.restsUntil > now;
        later(rests ? m.key.restsUntil : now, now);
        return m.key.mails.peekFirst() == m && !rests;
    }

    private Endpoint pick(Destination d, Mail m, long now) {
        Endpoint best = null;
        double least = Double.MAX_VALUE;
        for (Endpoint e : d.endpoints) {
            if (!maySend(m, e, now) || !joins(e, now) && !admits(e, m, now)) {
                continue;
            }
            double cost = e.out + (idle(e, now) ? 0 : NEW_CONNECTION) + (e.zone == zone ? 0 : OTHER_ZONE)
                    + (shunned(e, now) ? SHUN : 0) + (lastAt(m) == e ? TRIED : 0)
                    + (joins(e, now) ? JOIN : 0) + e.order;
            if (cost < least) {
                least = cost;
                best = e;
            }
        }
        return best;
    }

    /** Whether the mail may travel with the call that this turn already makes to the endpoint. */
    private boolean joins(Endpoint e, long now) {
        return e.joining != null && e.joining.sentAt == now && e.joining.size < batch(e.route)
                && e.route.breaker.phase == Breaker.Phase.CLOSED;
    }

    /** Whether the endpoint may be given a call now: breaker, wait, pace, places, slots, lane. */
    private boolean admits(Endpoint e, Mail m, long now) {
        Route r = e.route;
        // Half of the slots, but two of three: guards clumps at nodes of few slots. Harm: it may turn silent.
        int most = Math.max(Math.min(2, slots - 1), Math.max(1, slots / 2));
        if (slotsOut >= slots || e.to.out >= most || e.out >= places(e, now)) {
            return false;
        }
        if (!breakers.allows(r, now)) {
            later(breakers.coolsDown(r, now) ? r.breaker.restsUntil : now, now);
            return false;
        }
        if (sick(r, now) && (r.calls.size() >= 1 || laneOut(now) >= lane)) {
            return false;
        }
        long tokenAt = rates.tokenAt(r, now);
        later(tokenAt, now);
        return tokenAt == now || lastTry(m, r, now);
    }

    private boolean shunned(Endpoint e, long now) {
        return e.failedRun >= SUSPECT_RUN && now < e.failedAt + 2 * target;
    }

    private static Endpoint lastAt(Mail m) {
        return m.connects.isEmpty() ? null : m.connects.get(m.connects.size() - 1).endpoint;
    }

    private int places(Endpoint e, long now) {
        Route r = e.route;
        int most = (int) Math.ceil(PLACES * rates.limit(r) * r.usual / SECOND / Math.max(1, r.endpoints));
        if (now - e.capAt > coldFor) {
            e.cap = Integer.MAX_VALUE;
        }
        return Math.min(e.cap, Math.max(2, most));
    }

    private boolean idle(Endpoint e, long now) {
        while (!e.idle.isEmpty() && e.idle.peekFirst() + idleFor <= now) {
            e.idle.pollFirst();
        }
        return !e.idle.isEmpty();
    }

    // ---- The door of every send ----

    private boolean maySend(Mail m, Endpoint e, long now) {
        Route r = e.route;
        if (m.over || !e.ready || r.heldUntil > now && !lastTry(m, r, now) || m.connects.size() >= tries) {
            later(r.heldUntil, now);
            return false;
        }
        if (m.out > 0 && !copies || now + (m.connects.isEmpty() ? 0 : (long) r.usual) + 4 * tick > m.endsBy) {
            return false;
        }
        return repeats.mayAttempt(m, e, now);
    }

    private void send(Mail m, Endpoint e, long now) {
        Route r = e.route;
        Call call = e.joining;
        if (!joins(e, now)) {
            call = new Call(now);
            e.joining = call;
            r.calls.add(call);
            e.out++;
            e.to.out++;
            slotsOut++;
            // A turn that is borrowed is given back by the next one; more would hold up all that come after a restart.
            r.tokens = Math.max(-1, r.tokens - 1);
            r.sent.add(now);
            e.gap = now - e.usedAt;
            e.usedAt = now;
            e.idle.pollLast();
        }
        call.size++;
        call.open++;
        boolean ordinary = !mayCallOff || repeatsAfter(m, cutOff(r, now));
        long cut = ordinary ? cutOff(r, now) : classOf(m).lifetime() / 2;
        Connect c = new Connect(m, e, now, Math.min(now + cut, m.endsBy - 2 * tick), call);
        if (classOf(m).effect() == Settings.Effect.TAGGED) {
            for (Connect past : m.connects) {
                c.goesBy = past.neverRan ? c.goesBy : Math.min(c.goesBy, repeats.repeatsUntil(m, past));
            }
        }
        m.connects.add(c);
        call.connects.add(c);
        m.out++;
        m.to.line.remove(m);
        r.usedAt = now;
        breakers.onAttempt(r, c);
        answers.add(new Answer.Send(c));
    }

    private void close(Connect c, Outcome outcome, long now) {
        c.open = false;
        c.neverRan = outcome.neverRan();
        c.mail.out--;
        if (--c.call.open == 0) {
            c.endpoint.out--;
            c.endpoint.to.out--;
            slotsOut--;
            c.endpoint.route.calls.remove(c.call);
            if (outcome instanceof Outcome.Delivered || outcome instanceof Outcome.ServerError
                    || outcome instanceof Outcome.Rejected) {
                keepOrRelease(c.endpoint, now);
            }
        }
    }

    /**
     * Guards endpoints that take few connections, idle ones counted, from many nodes: where a kind has shown
     * a cap, or not yet let pass as many relays as nodes use it, an idle one is given back unless the last
     * two sends there were close. Harm: a handshake for each mail of a returning rush.
     */
    private void keepOrRelease(Endpoint e, long now) {
        e.idle.addLast(now);
        if (e.gap > keepFor(e)) {
            release(e);
        }
    }

    private long keepFor(Endpoint e) {
        int seen = roomy[e.route.kind];
        return seen >= proof ? NEVER : (long) ((seen < 0 ? KEEP : KEEP_NEW) * ROOMY / proof * e.route.usual);
    }

    private void release(Endpoint e) {
        e.idle.clear();
        answers.add(new Answer.Release(e));
    }

    /** Whether a destination needs no turn: no mails, no calls, no connection to give back in time. */
    private boolean rests(Destination d, long now) {
        boolean rests = d.line.isEmpty() && d.out == 0;
        for (Endpoint e : d.endpoints) {
            if (idle(e, now) && keepFor(e) < NEVER) {
                if (now - e.idle.peekLast() > keepFor(e)) {
                    release(e);
                } else {
                    later(e.idle.peekLast() + keepFor(e) + tick, now);
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
    private long cutOff(Route r, long now) {
        int hung = r.timedOut.sum(now);
        if (hung > 0 && r.relayed.sum(now) >= hung && r.recent < CLIP * r.usual) {
            return (long) (CUT_HUNG * r.usual);
        }
        return (long) Math.max(CUT * target, CUT_USUAL * r.usual);
    }

    /**
     * Whether the mail could be sent again after such a cut-off and be waited for as long. Where not, cutting
     * saves nothing: guards against losing mails that a slowed receiver would still relay. Harm: a silent
     * receiver holds their slots for longer.
     */
    private boolean repeatsAfter(Mail m, long cut) {
        Settings.QueueClass kind = classOf(m);
        return kind.effect() == Settings.Effect.REDELIVERABLE
                || kind.effect() == Settings.Effect.TAGGED && kind.repeatWindow() >= 2 * cut;
    }

    /**
     * Guards the slots where calls with a late cut-off hang at once at many receivers: when no slot is free,
     * the oldest call past the ordinary cut-off is called off, and counts as timed out. Harm: its mails may
     * be lost.
     */
    private void callOffOldest(long now) {
        Call oldest = null;
        for (Destination d : busy) {
            for (Route r : d.routes) {
                for (Call call : r.calls) {
                    boolean older = oldest == null || call.sentAt < oldest.sentAt;
                    if (older && now - call.sentAt > cutOff(r, now)) {
                        oldest = call;
                    }
                }
            }
        }
        if (oldest != null && !oldest.calledOff) {
            oldest.calledOff = true;
            oldest.connects.forEach(c -> answers.add(new Answer.Revoke(c)));
        }
    }

    // ---- What an outcome teaches ----

    private void learn(Connect c, Outcome outcome, long now) {
        Route r = c.endpoint.route;
        if (r.breaker.trial == c) {
            r.breaker.trial = null;
            r.usedAt = now;
        } else if (c.call.counted) {
            return;
        }
        c.call.counted = true;
        boolean atCap = outcome instanceof Outcome.ConnectFailed && !c.trial && now - r.relayedAt < target;
        boolean first = outcome instanceof Outcome.ConnectFailed && r.unreachedAt <= r.relayedAt;
        r.unreachedAt = first ? now : r.unreachedAt;
        r.downSince = r.downSince <= r.relayedAt ? now : r.downSince;
        if (outcome instanceof Outcome.Delivered) {
            relayed(r, c, now);
        } else if (outcome instanceof Outcome.Rejected full) {
            deferred(r, full.pause(), now);
        } else if (atCap && roomy[r.kind] < proof) {
            c.endpoint.cap = Math.max(1, c.endpoint.out);
            c.endpoint.capAt = now;
            pause(r, 0, false, now);
        } else if (!(outcome instanceof Outcome.NotSent || outcome instanceof Outcome.ConnectionLost && c.kept)) {
            // A kept connection that breaks tells of itself; a new one would tell of the receiver.
            failed(r, c, outcome, now);
        }
    }

    private void relayed(Route r, Connect c, long now) {
        r.relayed.add(now);
        boolean brief = r.unreachedAt > r.relayedAt && now - r.unreachedAt < target / 2;
        int seen = roomy[r.kind] + (brief ? -proof : 1);
        roomy[r.kind] = Math.max(-ROOMY_FORGETS * proof, Math.min(proof, seen));
        r.relayedAt = now;
        r.deferredRun = 0;
        // Guards against a node's own standing still: what it then finds took as long as it slept. Covers
        // a late timer too. Harm: a receiver slowing just then is learnt later.
        if (now <= wakeAt + LATE * tick || wakeAt <= turnAt) {
            long took = now - c.sentAt;
            r.usual += Math.max(LEARN, 1.0 / ++r.learnt) * (Math.min(took, CLIP * r.usual) - r.usual);
            r.recent += LEARN_RECENT * (took - r.recent);
        }
        c.endpoint.failedRun = 0;
        c.endpoint.relayedAt = now;
        r.warmsFrom = r.cold && r.warmsFrom == NEVER ? now : r.warmsFrom;
        breakers.onDelivered(r, c, now);
    }

    private void deferred(Route r, long wait, long now) {
        pause(r, wait, true, now);
        // A full that reports allowance left met a moment's rush, or the report is late: down to the part at
        // most.
        boolean rush = RateLimiter.rejectedInBurst(r, now);
        if (!rush) {
            r.deferred.add(now);
        }
        if (now - r.fellAt > r.usual) {
            // Drawn here, and only where it is used: the same draws in the same order.
            rates.onRejection(r, rush ? 0 : chance(now), now);
        }
        if (rush) {
            return;
        }
        if (r.deferredRun >= SHUT_RUN && now - r.relayedAt > SHUT_AFTER * target) {
            r.cold = true;
            r.warmsFrom = NEVER;
        }
    }

    /**
     * Holds a route that was full for the told wait, or else doubling. Guards a shut receiver, and one whose
     * limit refused calls use up, against many nodes that come again together: where it has relayed none for
     * long, each comes by chance in the time that all need. Harm: an opened receiver idles for a part of it.
     */
    private void pause(Route r, long wait, boolean full, long now) {
        boolean none = full && now - r.relayedAt > target;
        boolean scarce = !none && r.limitSeen && r.leftAt == now && r.left <= RateLimiter.SCARCE;
        double gap = none ? Math.max(r.usual, rates.interval(r, now) * (1 + chance(wait))) : r.usual;
        gap = Math.min(2 * target, gap * Math.scalb(1.0, Math.min(r.deferredRun++, DOUBLINGS)));
        // A limit that relays is shared by pace: by chance each skips one of its turns in the mean, and no
        // more.
        gap = scarce ? 2 * rates.interval(r, now) * chance(wait) : gap;
        if (now + wait - r.downSince > target) {
            gap = Math.max(wait > 0 ? 0 : gap, 2 * breakers.coolDown(r, now + wait) * chance(r.downSince));
        } else if (wait > 0) {
            gap = now - r.relayedAt > target ? 2 * rates.interval(r, now) * chance(wait) : 0;
        }
        r.heldUntil = Math.max(r.heldUntil, now + wait + (long) gap);
    }

    private void failed(Route r, Connect c, Outcome outcome, long now) {
        r.failed.add(now);
        if (outcome instanceof Outcome.TimedOut || outcome instanceof Outcome.Cancelled) {
            r.timedOut.add(now);
        }
        c.endpoint.failedRun++;
        c.endpoint.failedAt = now;
        Breaker b = r.breaker;
        if (b.phase == Breaker.Phase.HALF_OPEN && c.trial) {
            breakers.open(r, outcome, now);
        } else if (b.phase == Breaker.Phase.CLOSED && c.sentAt >= b.closedAt) {
            b.failedRun++;
            pause(r, 0, false, now);
            // Guards a route among siblings against many nodes that fail there once: others can be tried, so
            // the first failure with no relay of late paces it as cold; where a node is sparse the second in a
            // row, as it may not see a third. Not the first there: that pace is a mail in half a minute.
            boolean spare = now - r.relayedAt > target && (c.endpoint.to.routes.size() > 1
                    || rates.sparseness(r) >= 1 && b.failedRun >= SUSPECT_RUN);
            if (spare || breakers.suspects(r, now)) {
                r.cold = true;
                r.warmsFrom = NEVER;
            }
            if (breakers.trips(r, now)) {
                breakers.open(r, outcome, now);
            }
        }
    }

    // ---- Lane ----

    private boolean sick(Route r, long now) {
        if (r.cold && r.warmsFrom == NEVER || r.breaker.phase != Breaker.Phase.CLOSED) {
            return true;
        }
        // Guards the slots against a receiver that answers, but many times slower than it used to: its calls
        // would fill them all. Harm: one slower for good waits in the lane until its usual time is learnt.
        if (r.recent > SLOWED * r.usual) {
            return true;
        }
        for (Call call : r.calls) {
            if (now - call.sentAt > OVERDUE * r.usual && r.relayedAt < call.sentAt) {
                return true;
            }
        }
        return false;
    }

    private int laneOut(long now) {
        int out = 0;
        for (Destination d : busy) {
            for (Route r : d.routes) {
                out += sick(r, now) ? r.calls.size() : 0;
            }
        }
        return out;
    }

    // ---- Further connects and endings ----

    private void again(Mail m, Outcome outcome, long now) {
        EndReason reason = m.connects.size() >= tries ? EndReason.ATTEMPTS_USED_UP
                : now + usualOf(m.to) > m.endsBy ? EndReason.DEADLINE : repeatable(m, now) ? null : EndReason.REPEAT_WINDOW_OVER;
        if (reason != null) {
            end(m, 0, reason, now);
            return;
        }
        // Guards a down receiver against quick tries of many nodes, each too few to open a breaker: a failed
        // mail goes again by the node's part. Harm: one that met a stray failure waits where nodes are many.
        if (outcome instanceof Outcome.ConnectFailed || !outcome.neverRan()) {
            m.notBefore = now + (long) (rates.interval(lastAt(m).route, now) * chance(m.id));
        }
        int at = m.to.line.size();
        while (at > 0 && m.to.line.get(at - 1).sequence > m.sequence) {
            at--;
        }
        wait(m, at);
    }

    /** Whether some endpoint may still be sent the mail in the time that its repeats are noticed. */
    private boolean repeatable(Mail m, long now) {
        for (Endpoint e : m.to.endpoints) {
            long opens = e.route.breaker.phase == Breaker.Phase.OPEN ? e.route.breaker.restsUntil : now;
            if (e.ready && repeats.mayAttempt(m, e, Math.max(now, Math.max(opens, e.route.heldUntil)))) {
                return true;
            }
        }
        return m.to.endpoints.isEmpty();
    }

    private void expire(long now) {
        for (Destination d : busy) {
            for (int i = d.line.size() - 1; i >= 0; i--) {
                Mail m = d.line.get(i);
                // Guards mails whose tries an earlier process has used up: they end at once. And endings of a node that is
                // short of its core: they come before their time by as much as its wakes came after theirs.
                EndReason reason = now + 3 * tick + late >= m.endsBy ? EndReason.DEADLINE
                        : m.connects.size() >= tries ? EndReason.ATTEMPTS_USED_UP
                        : RepeatPolicy.mayHaveRun(m) && !repeatable(m, now) ? EndReason.REPEAT_WINDOW_OVER : null;
                if (reason != null) {
                    end(m, expectedWait(d, 0, now), reason, now);
                } else {
                    later(m.endsBy - 3 * tick - late, now);
                    later(owedTry(m) ? lastTryAt(m) : now, now);
                }
            }
        }
    }

    /** The door of every ending. */
    private void end(Mail m, long wait, EndReason reason, long now) {
        if (m.over) {
            return;
        }
        long after = Math.min(wait, retryAfterLimit);
        answers.add(repeats.mayDefer(m, now) ? new Answer.Defer(m, after, reason) : new Answer.Bounce(m, reason));
        finish(m);
        leaveKey(m);
    }

    private void finish(Mail m) {
        if (!m.over) {
            m.over = true;
            held--;
            m.to.line.remove(m);
        }
    }

    private void leaveKey(Mail m) {
        if (m.key != null && m.over && m.out == 0) {
            m.key.mails.remove(m);
        }
    }

    // ---- List ----

    private void wait(Mail m, int at) {
        m.to.line.add(at, m);
        if (!m.to.busy) {
            m.to.busy = true;
            busy.add(m.to);
        }
    }

    private void join(Endpoint e, long now) {
        if (e.listed) {
            return;
        }
        e.listed = true;
        if (!e.to.known) {
            e.to.known = true;
            known.add(e.to);
        }
        List<Route> routes = e.to.routes;
        boolean apart = e.kind < kinds.size() && kinds.get(e.kind).routesApart();
        if (e.route == null && !apart && !routes.isEmpty()) {
            e.route = routes.get(routes.size() - 1);
        } else if (e.route == null) {
            String name = "destination " + e.to.number + (apart ? " route " + routes.size() : "");
            e.route = new Route(name, Math.min(e.kind, kinds.size()), RING,
                    (long) (RateLimiter.OUTCOME_WINDOW * target / RING), (long) (RateLimiter.ARRIVAL_WINDOW * target / RING));
            e.route.recent = e.route.usual = FIRST_USUAL * target;
            e.route.learnt = FIRST_LEARNT;
            e.route.shareAt = e.route.knownFrom = now;
        }
        if (!routes.contains(e.route)) {
            routes.removeIf(r -> r.endpoints == 0);
            routes.add(e.route);
        }
        e.route.endpoints++;
        e.to.endpoints.add(e);
        // Guards a destination's first endpoint against all nodes, which see equal costs nearly always: each
        // has a steady order of its own, so that connections are used again. Harm: none known.
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(12).putInt(me).putLong(e.address).array());
        e.order = crc.getValue() / (double) (1L << 32);
    }

    /** Guards memory, and the places of those that stay, against endpoints gone for good. */
    private static void leave(Endpoint e) {
        e.ready = false;
        if (e.listed) {
            e.listed = false;
            e.to.endpoints.remove(e);
            e.route.endpoints--;
            e.to.routes.removeIf(r -> r.endpoints == 0 && e.to.routes.size() > 1);
        }
    }

    // ---- Small helps ----

    private Settings.QueueClass classOf(Mail m) {
        return classes.get(m.queueClass);
    }

    private int batch(Route r) {
        return r.kind < kinds.size() ? Math.max(1, kinds.get(r.kind).batch()) : 1;
    }

    private long usualOf(Destination d) {
        double least = FIRST_USUAL * target;
        for (int i = 0; i < d.routes.size(); i++) {
            least = i == 0 ? d.routes.get(i).usual : Math.min(least, d.routes.get(i).usual);
        }
        return (long) least;
    }

    private void later(long at, long now) {
        if (at > now) {
            soonest = Math.min(soonest, at);
        }
    }

    private double chance(long id) {
        CRC32 crc = new CRC32();
        ByteBuffer bytes = ByteBuffer.allocate(28);
        crc.update(bytes.putLong(seed).putInt(me).putLong(id).putLong(chances++).array());
        return crc.getValue() / (double) (1L << 32);
    }

}
