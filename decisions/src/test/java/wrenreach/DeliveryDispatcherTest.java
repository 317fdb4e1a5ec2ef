package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.api.Action;
import wrenreach.api.EndpointUpdate;
import wrenreach.api.Outcome;
import wrenreach.api.Settings.Effect;
import wrenreach.api.Settings.DeduplicationScope;
import wrenreach.state.CircuitBreakerState;
import wrenreach.state.Call;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.OrderKey;
import wrenreach.state.Route;

class DeliveryDispatcherTest {
    private final NodeFixture node = new NodeFixture();

    private CircuitBreakerState breaker() {
        return node.destination.routes.get(0).breaker;
    }

    // ---- Breaker ----

    /** Guards mails found untried where less may be sent than was found: each has its call before its end, or a reason. */
    @ParameterizedTest
    @CsvSource({"false, 30", "true, 0"})
    void recoveredUnsentMailMayExceedTheRateLimitNearItsDeadlineUnlessToldToWait(boolean told, int calls) {
        NodeFixture s = new NodeFixture();
        s.weight = 0.5;
        s.nodeCount = 100;
        s.addEndpoint(1, 0);
        if (told) {
            s.endAttempt(s.sendMail(), new Outcome.Rejected(60_000 * NodeFixture.MS));
            s.newActions.clear();
        }
        for (int i = 0; i < 30; i++) { // Some ten go by pace in that time.
            Mail m = new Mail(1000 + i, s.destination, null, 0, 0, s.now, s.now + (9000 + 150 * i) * NodeFixture.MS);
            m.recovered = true;
            s.newActions.addAll(s.dispatcher().admit(m, s.now));
        }
        Set<Mail> sent = new HashSet<>();
        Deque<List<DeliveryAttempt>> out = new ArrayDeque<>();
        for (int turn = 0; turn < 1500; turn++) {
            out.addLast(s.runIteration(10));
            out.getLast().forEach(c -> sent.add(c.mail));
            if (out.size() > 10) { // Each takes a tenth of a second.
                out.removeFirst().forEach(c -> s.endAttempt(c, new Outcome.Delivered()));
            }
        }
        assertThat(sent.stream().filter(m -> m.recovered)).hasSize(calls);
    }

    /** Guards what an earlier process took on: it is neither judged at the door again nor turned away for room untried. */
    @Test void recoveredMailIsNotDeferredBeforeItsFirstAttempt() {
        NodeFixture s = new NodeFixture();
        s.weight = 2;
        s.heldLimit = 40;
        s.quotaPerSecond = 1;
        s.addEndpoint(1, 0);
        List<Mail> owed = new ArrayList<>();
        for (int i = 0; i < 39; i++) {
            Mail m = new Mail(1000 + i, s.destination, null, 0, 0, s.now, s.now + 10_000 * NodeFixture.MS);
            m.recovered = true;
            owed.add(m);
            s.newActions.addAll(s.dispatcher().admit(m, s.now));
        }
        s.weight = 1000;
        Destination other = new Destination(2);
        s.updateEndpoint(new Endpoint(2, other, 0, 0), EndpointUpdate.State.READY);
        s.admitMail(other, null);
        s.runIteration(5);
        assertThat(s.newActionsOf(Action.Defer.class)).allMatch(defer -> !owed.contains(defer.mail()));
        assertThat(owed).allMatch(m -> !m.finished);
    }

    @Test void consecutiveFailuresOpenTheBreakerAndMailsQueue() {
        node.addEndpoint(1, 0);
        node.failMails(12, new Outcome.ConnectFailed());
        assertThat(breaker().phase).isNotEqualTo(CircuitBreakerState.Phase.CLOSED);
        breaker().openUntil = node.now + 5000 * NodeFixture.MS;
        node.admitMail(null);
        assertThat(node.runIteration(100)).isEmpty();
        assertThat(node.destination.queue).isNotEmpty();
    }

    @Test void aDeliveryResetsTheConsecutiveFailures() {
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ServerError());
        node.endAttempt(node.sendMail(), new Outcome.Delivered());
        assertThat(breaker().consecutiveFailures).isZero();
    }

    @Test void rejectionsDoNotCountAsFailures() {
        node.addEndpoint(1, 0);
        node.failMails(20, new Outcome.Rejected(0));
        assertThat(breaker().consecutiveFailures).isZero();
        assertThat(breaker().phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
    }

    @Test void halfOpenSendsOneTrialAtATimeAndTwoDeliveriesClose() {
        openBreaker();
        DeliveryAttempt first = node.runIteration(6000).get(0);
        assertThat(node.runIteration(500)).isEmpty();
        node.endAttempt(first, new Outcome.Delivered());
        assertThat(breaker().phase).isEqualTo(CircuitBreakerState.Phase.HALF_OPEN);
        List<DeliveryAttempt> second = node.runIteration(6000);
        assertThat(second).hasSize(1);
        node.endAttempt(second.get(0), new Outcome.Delivered());
        assertThat(breaker().phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
        assertThat(node.allActionsOf(Action.LogNote.class)).anyMatch(n -> n.text().contains("closed"));
    }

    @Test void aFailedTrialReopensTheBreakerForAnotherCoolDown() {
        openBreaker();
        node.endAttempt(node.runIteration(6000).get(0), new Outcome.TimedOut());
        assertThat(breaker().phase).isEqualTo(CircuitBreakerState.Phase.OPEN);
        assertThat(breaker().openUntil).isGreaterThan(node.now);
        assertThat(breaker().successfulTrials).isZero();
    }

    @Test void theBreakerClosesAfterAMinuteWithoutUse() {
        openBreaker();
        node.destination.queue.clear();
        node.now += 61_000 * NodeFixture.MS;
        node.admitMail(null);
        node.admitMail(null);
        node.runIteration(100);
        assertThat(breaker().phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
    }

    @Test void theBreakerOpensWhenMostCallsFailThoughSomeSucceed() {
        node.addEndpoint(1, 0);
        for (int i = 0; i < 20; i++) {
            if (i % 5 == 4) {
                node.destination.routes.get(0).relayed.add(node.now);
                breaker().consecutiveFailures = 0;
            }
            node.failMails(1, new Outcome.ConnectFailed());
        }
        assertThat(node.allActionsOf(Action.LogNote.class)).anyMatch(n -> n.text().contains("opened by ConnectFailed"));
    }

    @Test void separateRoutesHaveSeparateBreakers() {
        node.routePerEndpoint = true;
        node.addEndpoint(1, 0);
        node.addEndpoint(2, 0);
        assertThat(node.destination.routes).hasSize(2);
        assertThat(node.destination.endpoints.get(0).route).isNotSameAs(node.destination.endpoints.get(1).route);
    }

    private void openBreaker() {
        node.addEndpoint(1, 0);
        for (int i = 0; i < 3; i++) {
            node.admitMail(null);
        }
        breaker().phase = CircuitBreakerState.Phase.OPEN;
        node.destination.routes.get(0).lastUsedAt = node.now;
        breaker().openUntil = node.now + 5000 * NodeFixture.MS;
    }

    // ---- Recovery ----

    /** A mail that an earlier process sent so many times, this long ago, none of them answered. */
    private Mail admitRecovered(Endpoint at, int times, long ago, boolean neverRan) {
        Mail m = new Mail(99, node.destination, null, 0, 0, node.now, node.now + 20_000 * NodeFixture.MS);
        for (int i = 0; i < times; i++) {
            long sentAt = node.now - ago * NodeFixture.MS;
            DeliveryAttempt c = new DeliveryAttempt(m, at, sentAt, sentAt, new Call(sentAt));
            c.open = false;
            c.neverRan = neverRan;
            m.attempts.add(c);
        }
        node.newActions.addAll(node.dispatcher().admit(m, node.now));
        return m;
    }

    @Test void aRecoveredOnceOnlyMailThatMayHaveTakenEffectIsBounced() {
        node.effect = Effect.ONCE_ONLY;
        admitRecovered(node.addEndpoint(1, 0), 1, 100, false);
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    /** Whatever holds its bytes up, a repeat is not to go out after the window of the earliest that may have run. */
    @Test void aRepeatCarriesTheLatestTimeAtWhichItMayBeSent() {
        Endpoint e = node.addEndpoint(1, 0);
        admitRecovered(e, 2, 1000, false);
        admitRecovered(e, 1, 1000, true);
        node.runIteration(5);
        List<Action.Send> sent = node.allActionsOf(Action.Send.class);
        assertThat(sent).hasSize(2);
        assertThat(sent).extracting(one -> one.attempt().sendDeadline).containsExactlyInAnyOrder(
                1_000_000 * NodeFixture.MS - 1000 * NodeFixture.MS + 7500 * NodeFixture.MS - 10 * NodeFixture.MS, Long.MAX_VALUE);
    }

    @Test void aRecoveredTaggedMailIsResentOnlyWithinItsRepeatWindow() {
        Endpoint e = node.addEndpoint(1, 0);
        Mail within = admitRecovered(e, 1, 1000, false);
        assertThat(node.runIteration(5)).extracting(c -> c.mail).containsExactly(within);
        admitRecovered(e, 1, 9000, false);
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    @Test void aRecoveredMailWithoutAttemptsLeftEndsAtOnce() {
        node.attemptLimit = 3;
        Mail m = admitRecovered(node.addEndpoint(1, 0), 3, 1000, true);
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(m.attempts).hasSize(3);
        assertThat(node.allActionsOf(Action.Defer.class)).extracting(Action.Defer::mail).containsExactly(m);
    }

    // ---- The rules ----

    @Test void nothingIsSentToADrainingEndpoint() {
        Endpoint e = node.addEndpoint(1, 0);
        node.updateEndpoint(e, EndpointUpdate.State.DRAINING);
        node.admitMail(null);
        assertThat(node.runIteration(5)).isEmpty();
    }

    @Test void aWholeListRemovesTheEndpointsThatItOmits() {
        Endpoint e = node.addEndpoint(1, 0);
        node.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE, List.of()), node.now);
        assertThat(e.ready).isFalse();
    }

    @Test void theLongestRetryAfterHoldsTheDestination() {
        node.addEndpoint(1, 0);
        node.addEndpoint(2, 0);
        node.batchSize = 5;
        DeliveryAttempt a = node.sendMail();
        DeliveryAttempt b = node.sendMail();
        node.endAttempt(a, new Outcome.Rejected(900 * NodeFixture.MS));
        node.endAttempt(b, new Outcome.Rejected(300 * NodeFixture.MS));
        assertThat(node.runIteration(900)).isEmpty();
        assertThat(node.runIteration(2500)).isNotEmpty();
    }

    @Test void eachMailOfACallExtendsTheHoldByItsOwnRetryAfter() {
        node.batchSize = 5;
        node.addEndpoint(1, 0);
        node.admitMail(null);
        node.admitMail(null);
        List<DeliveryAttempt> call = node.runIteration(5);
        assertThat(call.get(0).call).isSameAs(call.get(1).call);
        node.endAttempt(call.get(0), new Outcome.Rejected(500 * NodeFixture.MS));
        node.now += 5 * NodeFixture.MS;
        node.endAttempt(call.get(1), new Outcome.Rejected(500 * NodeFixture.MS));
        assertThat(node.destination.routes.get(0).backoffUntil).isGreaterThanOrEqualTo(node.now + 500 * NodeFixture.MS);
    }

    @Test void mailsOfAKeyAreSentOneByOneAndWaitAfterATimeout() {
        node.ordered = true;
        node.addEndpoint(1, 0);
        OrderKey key = new OrderKey();
        Mail first = node.admitMail(key);
        node.admitMail(key);
        DeliveryAttempt c = node.runIteration(5).get(0);
        assertThat(c.mail).isSameAs(first);
        assertThat(node.runIteration(100)).isEmpty();
        node.newActions.addAll(node.dispatcher().withdrawn(first, node.now));
        assertThat(node.runIteration(100)).isEmpty();
        node.endAttempt(c, new Outcome.TimedOut());
        node.destination.routes.get(0).inSlowStart = false;
        assertThat(node.runIteration(295)).isEmpty();
        assertThat(node.runIteration(3000)).hasSize(1);
    }

    @Test void aTaggedMailIsRepeatedOnlyWithinItsRepeatWindow() {
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        node.endAttempt(c, new Outcome.TimedOut());
        assertThat(node.runIteration(8000)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    @Test void aTaggedMailIsRepeatedOnlyWithinItsRepeatGroup() {
        node.deduplicationScope = DeduplicationScope.ZONE;
        Endpoint near = node.addEndpoint(1, 0);
        node.addEndpoint(2, 1);
        DeliveryAttempt c = node.sendMail();
        assertThat(c.endpoint).isSameAs(near);
        node.updateEndpoint(near, EndpointUpdate.State.GONE);
        node.endAttempt(c, new Outcome.ConnectionLost());
        assertThat(node.runIteration(1000)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).as("it may have run and no repeat is allowed").hasSize(1);
    }

    @Test void aOnceOnlyMailThatMayHaveTakenEffectBounces() {
        node.effect = Effect.ONCE_ONLY;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.TimedOut());
        assertThat(node.runIteration(2000)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    @Test void aOnceOnlyMailThatTookNoEffectIsRetried() {
        node.effect = Effect.ONCE_ONLY;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        assertThat(node.runIteration(4000)).hasSize(1);
    }

    @Test void aRedeliverableMailIsDeferredAtItsDeadline() {
        node.effect = Effect.REDELIVERABLE;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.TimedOut());
        node.updateEndpoint(node.destination.endpoints.get(0), EndpointUpdate.State.DRAINING);
        node.runIteration(28_000);
        assertThat(node.allActionsOf(Action.Defer.class)).hasSize(1);
    }

    @Test void noMailOutlivesItsLifetime() {
        Mail m = node.admitMail(null);
        node.runIteration(27_990);
        assertThat(m.finished).isTrue();
        assertThat(node.allActionsOf(Action.Defer.class)).hasSize(1);
        assertThat(node.runIteration(1000)).isEmpty();
    }

    @Test void anEndedMailIsNeverSentOrEndedAgain() {
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        node.dispatcher().withdrawn(c.mail, node.now);
        node.endAttempt(c, new Outcome.ConnectionLost());
        assertThat(node.runIteration(1000)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).isEmpty();
        assertThat(node.allActionsOf(Action.Defer.class)).isEmpty();
    }

    @Test void attemptsOfAMailAreLimited() {
        node.attemptLimit = 2;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        node.endAttempt(node.runIteration(5000).get(0), new Outcome.ConnectFailed());
        assertThat(node.allActionsOf(Action.Defer.class)).hasSize(1);
    }

    // ---- Pace, lane, admission ----

    @Test void aReturningRouteIsLimitedBySlowStart() {
        node.weight = 8;
        node.addEndpoint(1, 0);
        node.destination.routes.get(0).inSlowStart = true;
        node.destination.routes.get(0).slowStartRampAt = node.now;
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            node.admitMail(null);
            for (DeliveryAttempt c : node.runIteration(100)) {
                node.endAttempt(c, new Outcome.Delivered());
                sent++;
            }
        }
        // 3 s of 1.5 x 8 a second x (0.25 to 0.475) for one node of two, and the token it starts with.
        assertThat(sent).isBetween(3, 8);
    }

    @Test void threeFailuresThatAreHalfOfTheOutcomesStartSlowStart() {
        node.addEndpoint(1, 0);
        for (int i = 0; i < 2; i++) {
            node.endAttempt(node.sendMail(), new Outcome.ServerError());
            node.endAttempt(node.sendMail(), new Outcome.Delivered());
            node.destination.queue.clear();
        }
        assertThat(node.destination.routes.get(0).inSlowStart).isFalse();
        node.endAttempt(node.sendMail(), new Outcome.ServerError());
        assertThat(node.destination.routes.get(0).inSlowStart).isTrue();
    }

    @Test void rejectionsStartSlowStartOnlyAfterATimeWithoutADelivery() {
        node.addEndpoint(1, 0);
        node.destination.routes.get(0).lastRelayedAt = node.now;
        node.destination.routes.get(0).consecutiveBackoffs = 9;
        node.endAttempt(node.sendMail(), new Outcome.Rejected(0));
        assertThat(node.destination.routes.get(0).inSlowStart).isFalse();
        node.endAttempt(node.runIteration(6000).get(0), new Outcome.Rejected(0));
        assertThat(node.destination.routes.get(0).inSlowStart).isTrue();
    }

    @Test void aLowReportedAllowanceLowersTheRateToTheEvenShare() {
        node.weight = 10;
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        node.dispatcher().attemptEnded(c, new Outcome.Delivered(), new double[] {0.05, 10}, true, node.now);
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            node.admitMail(null);
            sent += node.runIteration(100).size();
        }
        // 2 s at half of 10 a second, and a burst of a part of a second.
        assertThat(sent).isBetween(3, 13);
    }

    @Test void aMailAdmittedNearItsDeadlineCountsAsOnTime() {
        Mail m = new Mail(99, node.destination, null, 0, 0, node.now, node.now + 1000 * NodeFixture.MS);
        node.dispatcher().admit(m, node.now);
        assertThat(m.softDeadline).isEqualTo(m.deadline);
    }

    @Test void aOnceOnlyMailGetsALongTimeout() {
        node.effect = Effect.ONCE_ONLY;
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        assertThat(c.timeoutAt - c.sentAt).isEqualTo(14_000 * NodeFixture.MS);
    }

    @Test void theOldestOverdueCallIsCancelledWhenNoSlotIsFree() {
        node.effect = Effect.ONCE_ONLY;
        node.inFlightLimit = 2;
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        Destination other = new Destination(2);
        node.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.CHANGES, List.of(new EndpointUpdate.Entry(
                new Endpoint(9, other, 0, 0), EndpointUpdate.State.READY, 1000))), node.now);
        node.admitMail(other, null);
        node.runIteration(100);
        node.runIteration(3000);
        assertThat(node.allActionsOf(Action.Cancel.class)).extracting(Action.Cancel::attempt).containsExactly(c);
        node.endAttempt(c, new Outcome.Cancelled());
        assertThat(breaker().consecutiveFailures).as("counts as timed out").isEqualTo(1);
    }

    @Test void rejectionsLowerTheShareAndTimeRaisesIt() {
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.Rejected(0));
        double after = node.destination.routes.get(0).share;
        assertThat(after).isLessThan(1);
        node.endAttempt(node.runIteration(5000).get(0), new Outcome.Rejected(0));
        assertThat(node.destination.routes.get(0).share).isGreaterThan(after * 0.7);
    }

    @Test void anOverdueCallLimitsTheRouteToOneCall() {
        node.addEndpoint(1, 0);
        node.sendMail();
        node.now += 4000 * NodeFixture.MS;
        node.admitMail(null);
        assertThat(node.runIteration(5)).isEmpty();
    }

    @Test void oneDestinationUsesAtMostHalfOfTheSlots() {
        node.inFlightLimit = 6;
        node.addEndpoint(1, 0);
        node.addEndpoint(2, 0);
        for (int i = 0; i < 10; i++) {
            node.admitMail(null);
        }
        assertThat(node.runIteration(5)).hasSize(3);
    }

    @Test void aMailExpectedToBeTooLateIsDeferredAtOnce() {
        node.weight = 1;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 40; i++) {
            node.admitMail(null);
        }
        assertThat(node.allActionsOf(Action.Defer.class)).isNotEmpty().allMatch(d -> d.retryAfter() <= 2000 * NodeFixture.MS);
    }

    @Test void atTheLimitOfHeldMailsTheLongestQueueDefersOne() {
        node.heldLimit = 40;
        node.weight = 5;
        node.addEndpoint(1, 0);
        node.runIteration(5);
        for (int i = 0; i < 39; i++) {
            node.admitMail(null);
        }
        Destination other = new Destination(2);
        Mail m = node.admitMail(other, null);
        assertThat(m.finished).isFalse();
        assertThat(node.allActionsOf(Action.Defer.class)).isNotEmpty();
    }

    @Test void aMailOverItsTenantsQuotaIsSentAfterTheOthers() {
        node.quotaPerSecond = 2;
        node.weight = 4;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 6; i++) {
            node.admitMail(null);
        }
        Mail over = node.destination.queue.stream().filter(m -> m.overQuota).findFirst().orElseThrow();
        assertThat(node.runIteration(5)).noneMatch(c -> c.mail == over);
    }

    @Test void lateMailsOfOtherKeysDoNotDelayANewKey() {
        node.ordered = true;
        node.weight = 1;
        node.addEndpoint(1, 0);
        OrderKey late = new OrderKey();
        node.admitMail(late);
        node.admitMail(late);
        node.destination.routes.get(0).tokens = 0;
        node.destination.routes.get(0).tokensUpdatedAt = node.now;
        node.runIteration(0);
        node.now += 2700 * NodeFixture.MS;
        Mail fresh = node.admitMail(new OrderKey());
        assertThat(node.runIteration(5).get(0).mail).isSameAs(fresh);
    }

    @Test void batchedMailsShareACall() {
        node.batchSize = 3;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 4; i++) {
            node.admitMail(null);
        }
        List<DeliveryAttempt> sent = node.runIteration(5);
        assertThat(sent.get(0).call.size).isEqualTo(3);
    }

    // ---- Many nodes ----

    private Route route() {
        return node.destination.routes.get(0);
    }

    private void endWithReport(DeliveryAttempt c, Outcome outcome, double left) {
        node.newActions.addAll(node.dispatcher().attemptEnded(c, outcome, new double[] {left, 10}, false, node.now));
    }

    @Test void anIdleConnectionIsReleasedWhereADeliverySoonFollowsAFailedConnect() {
        node.nodeCount = 200;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        node.endAttempt(node.runIteration(1000).get(0), new Outcome.Delivered());
        node.runIteration(1500);
        assertThat(node.allActionsOf(Action.ReleaseConnections.class)).hasSize(1);
    }

    @Test void idleConnectionsAreKeptOnceTheKindHasProvedItsCapacity() {
        node.addEndpoint(1, 0);
        for (int i = 0; i < 3; i++) {
            node.endAttempt(node.sendMail(), new Outcome.Delivered());
        }
        int before = node.allActionsOf(Action.ReleaseConnections.class).size();
        node.runIteration(4000);
        assertThat(node.allActionsOf(Action.ReleaseConnections.class)).hasSize(before);
        assertThat(node.destination.endpoints.get(0).idleConnections).isNotEmpty();
    }

    @Test void aFailedConnectSoonAfterADeliveryMeansAConnectionCapAndIsNoFailure() {
        node.nodeCount = 200;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.Delivered());
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        assertThat(breaker().consecutiveFailures).isZero();
        assertThat(route().backoffUntil).isGreaterThan(node.now);
    }

    @Test void aSparseNodesNextMailNeedNotWaitForItsEvenShare() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.Delivered());
        route().share = 1.0 / 200;
        route().shareUpdatedAt = node.now;
        node.admitMail(null);
        assertThat(node.runIteration(2500)).as("an even part is one mail in 50 s").hasSize(1);
    }

    @Test void aSparseNodesShareFallsWhenNoAllowanceIsLeft() {
        node.nodeCount = 200;
        node.addEndpoint(1, 0);
        endWithReport(node.sendMail(), new Outcome.Delivered(), 0);
        route().tokens = 0;
        route().tokensUpdatedAt = node.now;
        node.admitMail(null);
        assertThat(node.runIteration(4000)).as("200 nodes with a mail more each are over the limit").isEmpty();
    }

    @Test void theCoolDownGrowsWithTheNodesThatMayHaveMails() {
        node.nodeCount = 200;
        node.weight = 4;
        openBreaker();
        route().downSince = node.now - 10_000 * NodeFixture.MS;
        DeliveryAttempt trial = node.runIteration(6000).get(0);
        node.endAttempt(trial, new Outcome.ConnectFailed());
        assertThat(breaker().openUntil - node.now).isGreaterThan(20_000 * NodeFixture.MS);
    }

    @Test void nodesDoNotReturnTogetherAfterALongRetryAfter() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        route().downSince = node.now - 10_000 * NodeFixture.MS;
        node.endAttempt(c, new Outcome.Rejected(4000 * NodeFixture.MS));
        assertThat(route().backoffUntil - node.now).isGreaterThan(4100 * NodeFixture.MS);
    }

    @Test void aShortRetryAfterWithoutARecentDeliveryGetsJitter() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        node.endAttempt(c, new Outcome.Rejected(500 * NodeFixture.MS));
        assertThat(route().backoffUntil - node.now).isGreaterThan(510 * NodeFixture.MS);
    }

    @Test void aRejectionWithAllowanceLeftNeverLowersTheShareBelowTheEvenShare() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        node.admitMail(null);
        for (int i = 0; i < 2; i++) {
            endWithReport(node.runIteration(8000).get(0), new Outcome.Rejected(0), 0.5);
        }
        assertThat(route().share).isCloseTo(1.0 / 14, within(1e-6));
        node.admitMail(null);
        endWithReport(node.runIteration(8000).get(0), new Outcome.Rejected(0), 0);
        assertThat(route().share).isLessThan(1.0 / 14);
    }

    /** A lowered share stayed low for a day where nodes are many, though reports told that all allowance was left. */
    @Test void theShareRisesWithinATargetDelayWhileAllowanceIsLeftAndMailsWait() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        node.ordered = true;
        OrderKey key = new OrderKey();
        node.admitMail(key);
        DeliveryAttempt c = node.runIteration(500).get(0);
        route().share = 0.05;
        route().shareUpdatedAt = node.now;
        node.admitMail(key);
        node.now += 1250 * NodeFixture.MS;
        endWithReport(c, new Outcome.Delivered(), 1);
        assertThat(route().share).as("a report speaks for 0.3 of a target delay").isCloseTo(0.091, within(0.001));
    }

    /** A limit was believed in fifths: nodes that see a report or two a second sent at the old one for seconds. */
    @Test void aLoweredLimitIsAdoptedFasterThanARaisedOne() {
        node.addEndpoint(1, 0);
        route().limit = 40;
        route().limitReported = true;
        endWithReport(node.sendMail(), new Outcome.Delivered(), 1);
        assertThat(route().limit).isEqualTo(25);
        route().limit = 5;
        endWithReport(node.sendMail(), new Outcome.Delivered(), 1);
        assertThat(route().limit).isEqualTo(6);
    }

    /** Pauses that doubled let a limit that refused calls use up stand idle: it relayed half of what it takes. */
    @Test void aRejectionByARouteThatDeliversPausesItBriefly() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        endWithReport(node.sendMail(), new Outcome.Delivered(), 1);
        route().consecutiveBackoffs = 3;
        node.admitMail(null);
        endWithReport(node.runIteration(2000).get(0), new Outcome.Rejected(0), 0);
        assertThat(route().backoffUntil - node.now).isBetween(0L, 2500 * NodeFixture.MS);
    }

    /** Where all nodes have mails, parts by what came add up to more than the limit. */
    @Test void inABurstTheFairShareIsTheEvenShareUnlessNodesAreSparse() {
        node.nodeCount = 14;
        node.weight = 100;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 600; i++) {
            node.admitMail(null);
        }
        DeliveryAttempt c = node.runIteration(500).get(0);
        route().limit = 100;
        route().limitReported = true;
        route().allowance = 0;
        route().allowanceReportedAt = node.now;
        route().share = 1;
        node.endAttempt(c, new Outcome.Rejected(0));
        assertThat(route().share).isLessThan(1.5 / 14);
    }

    /** In sum, 100 nodes sent many limits: by what came to each, also to a cold receiver, and with turns they had saved. */
    @Test void manyNodesKeepToTheEvenShareOfAScarceLimit() {
        node.nodeCount = 100;
        node.weight = 16;
        Route r = node.addEndpoint(1, 0).route;
        IntStream.range(0, 60).forEach(i -> node.admitMail(null));
        for (int fulls = 0; fulls < 5; fulls++) {
            r.backoffUntil = 0;
            r.tokens = 2;
            node.runIteration(500).forEach(c -> endWithReport(c, new Outcome.Rejected(0), 0));
            assertThat(r.tokens).as("saved turns are spent").isBetween(0.0, 0.99);
        }
        assertThat(r.share).isBetween(0.5 / 100, 0.1);
        r.backoffUntil = 0;
        r.inSlowStart = true;
        r.slowStartRampAt = Long.MAX_VALUE;
        r.tokens = 0;
        assertThat(node.runIteration(1000)).as("a third of a turn while cold").isEmpty();
        r.inSlowStart = false;
        r.share = 0.5 / 100;
        r.tokens = 0;
        assertThat(node.runIteration(15_000)).as("0.75 of a turn, were no share regained without a report").isNotEmpty();
    }

    /** All nodes sent to the first of a destination's endpoints, as costs are equal where traffic is thin. */
    @Test void nodesPreferDifferentEndpoints() {
        int first = 0;
        for (int me = 0; me < 14; me++) {
            NodeFixture node = new NodeFixture();
            node.nodeIndex = me;
            node.addEndpoint(1, 0);
            node.addEndpoint(2, 0);
            first += node.sendMail().endpoint.address == 1 ? 1 : 0;
        }
        assertThat(first).isBetween(4, 10);
    }

    /** 14 nodes start from 1.5 parts of a rush, sparse ones from all; a list's number is no rate where none is given. */
    @Test void theInitialShareIsLimitedAndWeightsAreUsedOnlyWhereGiven() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        assertThat(route().share).isCloseTo(1.5 / 14, within(1e-6));
        NodeFixture sparse = new NodeFixture();
        sparse.nodeCount = 200;
        sparse.weight = 4;
        sparse.weightsProvided = false;
        assertThat(sparse.addEndpoint(1, 0).route.share).isEqualTo(1);
        assertThat(sparse.destination.routes.get(0).weight).isZero();
    }

    /** A line of late mails turned fresh ones away, which would have gone before them. */
    @Test void aNewMailIsAcceptedThoughLateMailsFillTheQueue() {
        node.nodeCount = 14;
        node.weight = 30;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 150; i++) {
            node.admitMail(null);
        }
        assertThat(node.allActionsOf(Action.Defer.class)).as("the line is full").isNotEmpty();
        node.now += 3000 * NodeFixture.MS;
        assertThat(node.admitMail(null).finished).isFalse();
    }

    /** A line is no longer than what goes in time, so that keys are not open for long; those behind an open mail still fit. */
    @Test void aQueueThatIsFullForNewKeysStillAcceptsMailsOfOpenKeys() {
        node.ordered = true;
        node.weight = 8;
        node.addEndpoint(1, 0);
        List<OrderKey> open = new ArrayList<>();
        Mail next;
        do {
            open.add(new OrderKey());
            next = node.admitMail(open.get(open.size() - 1));
        } while (!next.finished);
        open.remove(open.size() - 1);
        int first = node.destination.queue.size();
        // Half a target delay of 2.5 s at a node's pace of at most 8 a second.
        assertThat(first).isBetween(2, 12);
        assertThat(node.admitMail(null).finished).as("one without a key is no better off").isTrue();
        int behind = 0;
        while (!node.admitMail(open.get(behind % open.size())).finished) {
            behind++;
        }
        assertThat(behind).as("room for those behind").isGreaterThanOrEqualTo(first);
        assertThat(node.destination.queue.size()).as("all in time within two target delays").isLessThanOrEqualTo(41);
        assertThat(node.admitMail(new OrderKey()).finished).isTrue();
    }

    /** What waits for a breaker or a told wait is parked as before: only what stands before it in line counts. */
    @Test void aHoldDoesNotCountAsQueueingTime() {
        node.weight = 8;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.Rejected(1900 * NodeFixture.MS));
        node.now += 10 * NodeFixture.MS;
        assertThat(node.admitMail(null).finished).isFalse();
    }

    @Test void aFailedMailOfASparseNodeIsNotRetriedAtOnce() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        node.endAttempt(c, new Outcome.ConnectFailed());
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(c.mail.notBefore).isGreaterThan(node.now - 5 * NodeFixture.MS);
    }

    /** Guards the mails of a sparse node against one stray failure, and a cold receiver against nodes that see no third. */
    @Test void theSecondConsecutiveFailureStartsSlowStartAtASparseNode() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        assertThat(route().inSlowStart).as("after one").isFalse();
        DeliveryAttempt again = node.runIteration(2500).get(0);
        node.endAttempt(again, new Outcome.Delivered());
        node.now += 5000 * NodeFixture.MS;
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        assertThat(route().inSlowStart).as("after two with a relay between").isFalse();
        node.endAttempt(node.runIteration(2500).get(0), new Outcome.ConnectFailed());
        assertThat(route().inSlowStart).as("after two in a row").isTrue();
    }

    @Test void theFirstFailureOfOneOfSeveralRoutesStartsSlowStart() {
        node.routePerEndpoint = true;
        node.addEndpoint(1, 0);
        node.addEndpoint(2, 0);
        DeliveryAttempt c = node.sendMail();
        node.endAttempt(c, new Outcome.ConnectFailed());
        assertThat(c.endpoint.route.inSlowStart).isTrue();
    }

    @Test void latenciesMeasuredAfterAStallOfTheNodeAreIgnored() {
        node.addEndpoint(1, 0);
        DeliveryAttempt c = node.sendMail();
        double usual = route().typicalLatency;
        node.now += 2000 * NodeFixture.MS;
        node.endAttempt(c, new Outcome.Delivered());
        assertThat(route().typicalLatency).isEqualTo(usual);
    }

    @Test void theExpectedWaitFollowsTheActualRate() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        node.sendMail();
        route().share = 0.0001;
        route().shareUpdatedAt = node.now;
        node.admitMail(null);
        assertThat(node.allActionsOf(Action.Defer.class)).isEmpty();
    }

    @Test void anIdleNodeIsNotWoken() {
        node.addEndpoint(1, 0);
        for (int i = 0; i < 3; i++) {
            node.endAttempt(node.sendMail(), new Outcome.Delivered());
        }
        node.runIteration(5000);
        int wakes = node.allActionsOf(Action.WakeUp.class).size();
        node.runIteration(1000);
        assertThat(node.allActionsOf(Action.WakeUp.class)).hasSize(wakes);
    }

    @Test void oneNodeWithOneSlotAndNoWeightStillSends() {
        node.nodeCount = 1;
        node.inFlightLimit = 1;
        node.weight = 0;
        node.addEndpoint(1, 0);
        assertThat(node.sendMail().timeoutAt).isGreaterThan(node.now);
    }

    @Test void aFailedListIsRequestedAgain() {
        node.listOnRequest = true;
        node.runIteration(0);
        node.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.FAILED, List.of()), node.now);
        node.runIteration(3000);
        assertThat(node.allActionsOf(Action.SubscribeToList.class)).hasSize(2);
    }

    /** Guards receivers whose machines drop kept connections: such a break is no failure of theirs, and no pause. */
    @Test void aBrokenReusedConnectionIsNoFailureOfTheReceiver() {
        NodeFixture one = new NodeFixture();
        Endpoint at = one.addEndpoint(1, 0);
        int broken = 0;
        for (int i = 0; i < 12; i++) {
            one.admitMail(null);
            for (DeliveryAttempt c : one.runIteration(500)) {
                c.reusedConnection = true;
                one.endAttempt(c, new Outcome.ConnectionLost());
                broken++;
            }
            assertThat(at.route.backoffUntil).isLessThanOrEqualTo(one.now);
        }
        assertThat(broken).isGreaterThan(8);
        assertThat(at.route.breaker.phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
        assertThat(at.route.inSlowStart).isFalse();
        assertThat(one.failMails(8, new Outcome.ConnectionLost())).isPositive();
        assertThat(at.route.breaker.phase).isNotEqualTo(CircuitBreakerState.Phase.CLOSED);
    }

    /** Guards memory and places: what is gone, named so or left out of a whole list, counts no more. */
    @Test void goneEndpointsAreRemoved() {
        NodeFixture one = new NodeFixture();
        Endpoint stays = one.addEndpoint(1, 0);
        for (int i = 2; i < 50; i++) {
            Endpoint passing = one.addEndpoint(i, 0);
            if (i % 2 == 0) {
                one.updateEndpoint(passing, EndpointUpdate.State.GONE);
            } else {
                one.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE,
                        List.of(new EndpointUpdate.Entry(stays, EndpointUpdate.State.READY, one.weight))), one.now);
            }
            assertThat(passing.ready).isFalse();
        }
        assertThat(one.destination.endpoints).containsExactly(stays);
        assertThat(stays.route.endpointCount).isEqualTo(1);
    }

    @Test void aSeparateRouteIsRemovedAndRestoredWithItsEndpoint() {
        NodeFixture one = new NodeFixture();
        one.routePerEndpoint = true;
        Endpoint first = one.addEndpoint(1, 0);
        Endpoint second = one.addEndpoint(2, 0);
        second.route.backoffUntil = one.now + 500 * NodeFixture.MS;
        one.updateEndpoint(second, EndpointUpdate.State.GONE);
        assertThat(one.destination.routes).containsExactly(first.route);
        one.updateEndpoint(second, EndpointUpdate.State.READY);
        assertThat(one.destination.routes).containsExactly(first.route, second.route);
        assertThat(second.route.backoffUntil).isGreaterThan(one.now);
    }

    /** Guards endings while a node is short of its core: wakes that came late tell by how much an ending would. */
    @Test void aNodeThatWakesLateEndsMailsEarlierByTheSameTime() {
        for (int late : new int[] {0, 700}) {
            NodeFixture s = new NodeFixture();
            s.updateEndpoint(s.addEndpoint(1, 0), EndpointUpdate.State.DRAINING);
            s.admitMail(null);
            long begin = s.now;
            s.runIteration(0);
            while (s.now < begin + 27_400 * NodeFixture.MS) {
                boolean missed = s.now == begin + 26_000 * NodeFixture.MS;
                s.runIteration(missed ? 100 + late : 100); // Its wakes are 100 apart.
            }
            assertThat(s.allActionsOf(Action.Defer.class)).as("late by " + late).hasSize(late > 0 ? 1 : 0);
            while (s.now < begin + 28_000 * NodeFixture.MS) {
                s.runIteration(100);
            }
            assertThat(s.allActionsOf(Action.Defer.class)).hasSize(1);
        }
    }
}
