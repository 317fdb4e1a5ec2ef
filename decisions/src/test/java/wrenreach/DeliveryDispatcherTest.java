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
import wrenreach.api.Settings.DeduplicationScope;
import wrenreach.api.Settings.Effect;
import wrenreach.state.Call;
import wrenreach.state.CircuitBreakerState;
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

    // ---- Circuit breaker and recovered mails ----

    /**
     * At a restart more mails may be recovered than the rate limit allows to send before their deadlines, and most ended without an attempt.
     * Each gets one attempt before its deadline, unless the receiver told the node to wait.
     */
    @ParameterizedTest
    @CsvSource({"false, 30", "true, 0"})
    void recoveredUnsentMailMayExceedTheRateLimitNearItsDeadlineUnlessToldToWait(boolean toldToWait, int expectedMails) {
        NodeFixture fixture = new NodeFixture();
        fixture.weight = 0.5;
        fixture.nodeCount = 100;
        fixture.addEndpoint(1, 0);
        if (toldToWait) {
            fixture.endAttempt(fixture.sendMail(), new Outcome.Rejected(60_000 * NodeFixture.MS));
            fixture.newActions.clear();
        }
        for (int i = 0; i < 30; i++) { // The rate limit allows for about ten of them in that time.
            Mail mail = new Mail(1000 + i, fixture.destination, null, 0, 0, fixture.now, fixture.now + (9000 + 150 * i) * NodeFixture.MS);
            mail.recovered = true;
            fixture.newActions.addAll(fixture.dispatcher().admit(mail, fixture.now));
        }
        Set<Mail> sent = new HashSet<>();
        Deque<List<DeliveryAttempt>> inFlight = new ArrayDeque<>();
        for (int iteration = 0; iteration < 1500; iteration++) {
            inFlight.addLast(fixture.runIteration(10));
            inFlight.getLast().forEach(attempt -> sent.add(attempt.mail));
            if (inFlight.size() > 10) { // Each call takes a tenth of a second.
                inFlight.removeFirst().forEach(attempt -> fixture.endAttempt(attempt, new Outcome.Delivered()));
            }
        }
        assertThat(sent.stream().filter(mail -> mail.recovered)).hasSize(expectedMails);
    }

    /** A mail that an earlier process accepted passes no admission control again, and is not deferred to make room before its first attempt. */
    @Test void recoveredMailIsNotDeferredBeforeItsFirstAttempt() {
        NodeFixture fixture = new NodeFixture();
        fixture.weight = 2;
        fixture.heldLimit = 40;
        fixture.quotaPerSecond = 1;
        fixture.addEndpoint(1, 0);
        List<Mail> recoveredMails = new ArrayList<>();
        for (int i = 0; i < 39; i++) {
            Mail mail = new Mail(1000 + i, fixture.destination, null, 0, 0, fixture.now, fixture.now + 10_000 * NodeFixture.MS);
            mail.recovered = true;
            recoveredMails.add(mail);
            fixture.newActions.addAll(fixture.dispatcher().admit(mail, fixture.now));
        }
        fixture.weight = 1000;
        Destination otherDestination = new Destination(2);
        fixture.updateEndpoint(new Endpoint(2, otherDestination, 0, 0), EndpointUpdate.State.READY);
        fixture.admitMail(otherDestination, null);
        fixture.runIteration(5);
        assertThat(fixture.newActionsOf(Action.Defer.class)).allMatch(defer -> !recoveredMails.contains(defer.mail()));
        assertThat(recoveredMails).allMatch(mail -> !mail.finished);
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
        assertThat(node.allActionsOf(Action.LogNote.class)).anyMatch(note -> note.text().contains("closed"));
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
        assertThat(node.allActionsOf(Action.LogNote.class)).anyMatch(note -> note.text().contains("opened by ConnectFailed"));
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

    /** Admits a mail that an earlier process attempted this many times, this many milliseconds ago, without a response. */
    private Mail admitRecovered(Endpoint endpoint, int attemptCount, long agoMillis, boolean neverRan) {
        Mail mail = new Mail(99, node.destination, null, 0, 0, node.now, node.now + 20_000 * NodeFixture.MS);
        for (int i = 0; i < attemptCount; i++) {
            long sentAt = node.now - agoMillis * NodeFixture.MS;
            DeliveryAttempt attempt = new DeliveryAttempt(mail, endpoint, sentAt, sentAt, new Call(sentAt));
            attempt.open = false;
            attempt.neverRan = neverRan;
            mail.attempts.add(attempt);
        }
        node.newActions.addAll(node.dispatcher().admit(mail, node.now));
        return mail;
    }

    @Test void aRecoveredOnceOnlyMailThatMayHaveTakenEffectIsBounced() {
        node.effect = Effect.ONCE_ONLY;
        admitRecovered(node.addEndpoint(1, 0), 1, 100, false);
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    /** However long its bytes are delayed, a repeat must not be sent after the deduplication window of the earliest attempt that may have taken effect. */
    @Test void aRepeatCarriesTheLatestTimeAtWhichItMayBeSent() {
        Endpoint endpoint = node.addEndpoint(1, 0);
        admitRecovered(endpoint, 2, 1000, false);
        admitRecovered(endpoint, 1, 1000, true);
        node.runIteration(5);
        List<Action.Send> sent = node.allActionsOf(Action.Send.class);
        assertThat(sent).hasSize(2);
        assertThat(sent).extracting(send -> send.attempt().sendDeadline).containsExactlyInAnyOrder(
                1_000_000 * NodeFixture.MS - 1000 * NodeFixture.MS + 7500 * NodeFixture.MS - 10 * NodeFixture.MS, Long.MAX_VALUE);
    }

    @Test void aRecoveredTaggedMailIsResentOnlyWithinItsDeduplicationWindow() {
        Endpoint endpoint = node.addEndpoint(1, 0);
        Mail mailInWindow = admitRecovered(endpoint, 1, 1000, false);
        assertThat(node.runIteration(5)).extracting(attempt -> attempt.mail).containsExactly(mailInWindow);
        admitRecovered(endpoint, 1, 9000, false);
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    @Test void aRecoveredMailWithoutAttemptsLeftEndsAtOnce() {
        node.attemptLimit = 3;
        Mail mail = admitRecovered(node.addEndpoint(1, 0), 3, 1000, true);
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(mail.attempts).hasSize(3);
        assertThat(node.allActionsOf(Action.Defer.class)).extracting(Action.Defer::mail).containsExactly(mail);
    }

    // ---- Delivery rules ----

    @Test void nothingIsSentToADrainingEndpoint() {
        Endpoint endpoint = node.addEndpoint(1, 0);
        node.updateEndpoint(endpoint, EndpointUpdate.State.DRAINING);
        node.admitMail(null);
        assertThat(node.runIteration(5)).isEmpty();
    }

    @Test void aWholeListRemovesTheEndpointsThatItOmits() {
        Endpoint endpoint = node.addEndpoint(1, 0);
        node.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE, List.of()), node.now);
        assertThat(endpoint.ready).isFalse();
    }

    @Test void theLongestRetryAfterHoldsTheDestination() {
        node.addEndpoint(1, 0);
        node.addEndpoint(2, 0);
        node.batchSize = 5;
        DeliveryAttempt firstAttempt = node.sendMail();
        DeliveryAttempt secondAttempt = node.sendMail();
        node.endAttempt(firstAttempt, new Outcome.Rejected(900 * NodeFixture.MS));
        node.endAttempt(secondAttempt, new Outcome.Rejected(300 * NodeFixture.MS));
        assertThat(node.runIteration(900)).isEmpty();
        assertThat(node.runIteration(2500)).isNotEmpty();
    }

    /** Guards against a wait that is dropped because the response that told it could not be taken for the attempt's. */
    @Test void retryAfterHoldsTheDestinationThoughTheAttemptMayHaveRun() {
        NodeFixture node = new NodeFixture();
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ConnectionLost(900 * NodeFixture.MS));
        assertThat(node.runIteration(899)).isEmpty();
        assertThat(node.runIteration(2000)).isNotEmpty();
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
        DeliveryAttempt attempt = node.runIteration(5).get(0);
        assertThat(attempt.mail).isSameAs(first);
        assertThat(node.runIteration(100)).isEmpty();
        node.newActions.addAll(node.dispatcher().withdrawn(first, node.now));
        assertThat(node.runIteration(100)).isEmpty();
        node.endAttempt(attempt, new Outcome.TimedOut());
        node.destination.routes.get(0).inSlowStart = false;
        assertThat(node.runIteration(295)).isEmpty();
        assertThat(node.runIteration(3000)).hasSize(1);
    }

    @Test void aTaggedMailIsRepeatedOnlyWithinItsDeduplicationWindow() {
        node.addEndpoint(1, 0);
        DeliveryAttempt attempt = node.sendMail();
        node.endAttempt(attempt, new Outcome.TimedOut());
        assertThat(node.runIteration(8000)).isEmpty();
        assertThat(node.allActionsOf(Action.Bounce.class)).hasSize(1);
    }

    @Test void aTaggedMailIsRepeatedOnlyWithinItsDeduplicationScope() {
        node.deduplicationScope = DeduplicationScope.ZONE;
        Endpoint sameZone = node.addEndpoint(1, 0);
        node.addEndpoint(2, 1);
        DeliveryAttempt attempt = node.sendMail();
        assertThat(attempt.endpoint).isSameAs(sameZone);
        node.updateEndpoint(sameZone, EndpointUpdate.State.GONE);
        node.endAttempt(attempt, new Outcome.ConnectionLost());
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
        Mail mail = node.admitMail(null);
        node.runIteration(27_990);
        assertThat(mail.finished).isTrue();
        assertThat(node.allActionsOf(Action.Defer.class)).hasSize(1);
        assertThat(node.runIteration(1000)).isEmpty();
    }

    @Test void anEndedMailIsNeverSentOrEndedAgain() {
        node.addEndpoint(1, 0);
        DeliveryAttempt attempt = node.sendMail();
        node.dispatcher().withdrawn(attempt.mail, node.now);
        node.endAttempt(attempt, new Outcome.ConnectionLost());
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

    // ---- Rate limits, degraded receivers, admission control ----

    @Test void aReturningRouteIsLimitedBySlowStart() {
        node.weight = 8;
        node.addEndpoint(1, 0);
        node.destination.routes.get(0).inSlowStart = true;
        node.destination.routes.get(0).slowStartRampAt = node.now;
        int sent = 0;
        for (int i = 0; i < 30; i++) {
            node.admitMail(null);
            for (DeliveryAttempt attempt : node.runIteration(100)) {
                node.endAttempt(attempt, new Outcome.Delivered());
                sent++;
            }
        }
        // In 3 s: 1.5 x 8 messages per second x (0.25 to 0.475), of which one node of two gets half, and the initial token.
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
        DeliveryAttempt attempt = node.sendMail();
        node.dispatcher().attemptEnded(attempt, new Outcome.Delivered(), new double[] {0.05, 10}, true, node.now);
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            node.admitMail(null);
            sent += node.runIteration(100).size();
        }
        // In 2 s: half of 10 messages per second, and a burst worth a fraction of a second.
        assertThat(sent).isBetween(3, 13);
    }

    @Test void aMailAdmittedNearItsDeadlineCountsAsOnTime() {
        Mail mail = new Mail(99, node.destination, null, 0, 0, node.now, node.now + 1000 * NodeFixture.MS);
        node.dispatcher().admit(mail, node.now);
        assertThat(mail.softDeadline).isEqualTo(mail.deadline);
    }

    @Test void aOnceOnlyMailGetsALongTimeout() {
        node.effect = Effect.ONCE_ONLY;
        node.addEndpoint(1, 0);
        DeliveryAttempt attempt = node.sendMail();
        assertThat(attempt.timeoutAt - attempt.sentAt).isEqualTo(14_000 * NodeFixture.MS);
    }

    @Test void theOldestOverdueCallIsCancelledWhenNoSlotIsFree() {
        node.effect = Effect.ONCE_ONLY;
        node.inFlightLimit = 2;
        node.addEndpoint(1, 0);
        DeliveryAttempt attempt = node.sendMail();
        Destination other = new Destination(2);
        node.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.CHANGES, List.of(new EndpointUpdate.Entry(
                new Endpoint(9, other, 0, 0), EndpointUpdate.State.READY, 1000))), node.now);
        node.admitMail(other, null);
        node.runIteration(100);
        node.runIteration(3000);
        assertThat(node.allActionsOf(Action.Cancel.class)).extracting(Action.Cancel::attempt).containsExactly(attempt);
        node.endAttempt(attempt, new Outcome.Cancelled());
        assertThat(breaker().consecutiveFailures).as("counts as timed out").isEqualTo(1);
    }

    @Test void rejectionsLowerTheShareAndTimeRaisesIt() {
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.Rejected(0));
        double reducedShare = node.destination.routes.get(0).share;
        assertThat(reducedShare).isLessThan(1);
        node.endAttempt(node.runIteration(5000).get(0), new Outcome.Rejected(0));
        assertThat(node.destination.routes.get(0).share).isGreaterThan(reducedShare * 0.7);
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
        assertThat(node.allActionsOf(Action.Defer.class)).isNotEmpty().allMatch(defer -> defer.retryAfter() <= 2000 * NodeFixture.MS);
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
        Mail mail = node.admitMail(other, null);
        assertThat(mail.finished).isFalse();
        assertThat(node.allActionsOf(Action.Defer.class)).isNotEmpty();
    }

    @Test void aMailOverItsTenantsQuotaIsSentAfterTheOthers() {
        node.quotaPerSecond = 2;
        node.weight = 4;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 6; i++) {
            node.admitMail(null);
        }
        Mail overQuotaMail = node.destination.queue.stream().filter(mail -> mail.overQuota).findFirst().orElseThrow();
        assertThat(node.runIteration(5)).noneMatch(attempt -> attempt.mail == overQuotaMail);
    }

    @Test void lateMailsOfOtherKeysDoNotDelayANewKey() {
        node.ordered = true;
        node.weight = 1;
        node.addEndpoint(1, 0);
        OrderKey lateKey = new OrderKey();
        node.admitMail(lateKey);
        node.admitMail(lateKey);
        node.destination.routes.get(0).tokens = 0;
        node.destination.routes.get(0).tokensUpdatedAt = node.now;
        node.runIteration(0);
        node.now += 2700 * NodeFixture.MS;
        Mail newMail = node.admitMail(new OrderKey());
        assertThat(node.runIteration(5).get(0).mail).isSameAs(newMail);
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

    private void endWithReport(DeliveryAttempt attempt, Outcome outcome, double left) {
        node.newActions.addAll(node.dispatcher().attemptEnded(attempt, outcome, new double[] {left, 10}, false, node.now));
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
        int releases = node.allActionsOf(Action.ReleaseConnections.class).size();
        node.runIteration(4000);
        assertThat(node.allActionsOf(Action.ReleaseConnections.class)).hasSize(releases);
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
        assertThat(node.runIteration(2500)).as("the even share is one mail in 50 s").hasSize(1);
    }

    @Test void aSparseNodesShareFallsWhenNoAllowanceIsLeft() {
        node.nodeCount = 200;
        node.addEndpoint(1, 0);
        endWithReport(node.sendMail(), new Outcome.Delivered(), 0);
        route().tokens = 0;
        route().tokensUpdatedAt = node.now;
        node.admitMail(null);
        assertThat(node.runIteration(4000)).as("one more mail from each of 200 nodes exceeds the limit").isEmpty();
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
        DeliveryAttempt attempt = node.sendMail();
        route().downSince = node.now - 10_000 * NodeFixture.MS;
        node.endAttempt(attempt, new Outcome.Rejected(4000 * NodeFixture.MS));
        assertThat(route().backoffUntil - node.now).isGreaterThan(4100 * NodeFixture.MS);
    }

    @Test void aShortRetryAfterWithoutARecentDeliveryGetsJitter() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        DeliveryAttempt attempt = node.sendMail();
        node.endAttempt(attempt, new Outcome.Rejected(500 * NodeFixture.MS));
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

    /** In a fleet of many nodes a reduced share stayed low for a day, though load reports said that all allowance was left. */
    @Test void theShareRisesWithinATargetDelayWhileAllowanceIsLeftAndMailsWait() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        node.ordered = true;
        OrderKey key = new OrderKey();
        node.admitMail(key);
        DeliveryAttempt attempt = node.runIteration(500).get(0);
        route().share = 0.05;
        route().shareUpdatedAt = node.now;
        node.admitMail(key);
        node.now += 1250 * NodeFixture.MS;
        endWithReport(attempt, new Outcome.Delivered(), 1);
        assertThat(route().share).as("a report counts for at most 0.3 of a target delay").isCloseTo(0.091, within(0.001));
    }

    /** Each report moved the limit by a fifth of the difference only: nodes that see a report or two a second sent at the old limit for seconds. */
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

    /** Where rejected calls use up the limit too, an exponential backoff left it idle: the receiver relayed half of what it can take. */
    @Test void aRejectionByARouteThatDeliversPausesItBriefly() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        endWithReport(node.sendMail(), new Outcome.Delivered(), 1);
        route().consecutiveBackoffs = 3;
        node.admitMail(null);
        endWithReport(node.runIteration(2000).get(0), new Outcome.Rejected(0), 0);
        assertThat(route().backoffUntil - node.now).isBetween(0L, 2500 * NodeFixture.MS);
    }

    /** Where all nodes have mails, shares by arrivals add up to more than the limit. */
    @Test void inABurstTheFairShareIsTheEvenShareUnlessNodesAreSparse() {
        node.nodeCount = 14;
        node.weight = 100;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 600; i++) {
            node.admitMail(null);
        }
        DeliveryAttempt attempt = node.runIteration(500).get(0);
        route().limit = 100;
        route().limitReported = true;
        route().allowance = 0;
        route().allowanceReportedAt = node.now;
        route().share = 1;
        node.endAttempt(attempt, new Outcome.Rejected(0));
        assertThat(route().share).isLessThan(1.5 / 14);
    }

    /**
     * Together 100 nodes sent many times the limit: their shares followed the arrivals at each, also in slow start, and they used saved tokens.
     */
    @Test void manyNodesKeepToTheEvenShareOfAScarceLimit() {
        node.nodeCount = 100;
        node.weight = 16;
        Route route = node.addEndpoint(1, 0).route;
        IntStream.range(0, 60).forEach(i -> node.admitMail(null));
        for (int rejections = 0; rejections < 5; rejections++) {
            route.backoffUntil = 0;
            route.tokens = 2;
            node.runIteration(500).forEach(attempt -> endWithReport(attempt, new Outcome.Rejected(0), 0));
            assertThat(route.tokens).as("saved tokens are dropped").isBetween(0.0, 0.99);
        }
        assertThat(route.share).isBetween(0.5 / 100, 0.1);
        route.backoffUntil = 0;
        route.inSlowStart = true;
        route.slowStartRampAt = Long.MAX_VALUE;
        route.tokens = 0;
        assertThat(node.runIteration(1000)).as("a third of a token in slow start").isEmpty();
        route.inSlowStart = false;
        route.share = 0.5 / 100;
        route.tokens = 0;
        assertThat(node.runIteration(15_000)).as("it would be 0.75 of a token if no share recovered without a report").isNotEmpty();
    }

    /** With little traffic the costs of endpoints are equal, and all nodes sent to the first endpoint of a destination. */
    @Test void nodesPreferDifferentEndpoints() {
        int choicesOfFirst = 0;
        for (int nodeIndex = 0; nodeIndex < 14; nodeIndex++) {
            NodeFixture fixture = new NodeFixture();
            fixture.nodeIndex = nodeIndex;
            fixture.addEndpoint(1, 0);
            fixture.addEndpoint(2, 0);
            choicesOfFirst += fixture.sendMail().endpoint.address == 1 ? 1 : 0;
        }
        assertThat(choicesOfFirst).isBetween(4, 10);
    }

    /**
     * Each of 14 nodes starts with 1.5 even shares, a node of a sparse fleet with the whole limit. Where the settings say that the list has no
     * weights, its number is not used as a rate.
     */
    @Test void theInitialShareIsLimitedAndWeightsAreUsedOnlyWhereGiven() {
        node.nodeCount = 14;
        node.addEndpoint(1, 0);
        assertThat(route().share).isCloseTo(1.5 / 14, within(1e-6));
        NodeFixture sparseFleet = new NodeFixture();
        sparseFleet.nodeCount = 200;
        sparseFleet.weight = 4;
        sparseFleet.weightsProvided = false;
        assertThat(sparseFleet.addEndpoint(1, 0).route.share).isEqualTo(1);
        assertThat(sparseFleet.destination.routes.get(0).weight).isZero();
    }

    /** New mails were deferred because of a queue of late mails, though they would have been sent before them. */
    @Test void aNewMailIsAcceptedThoughLateMailsFillTheQueue() {
        node.nodeCount = 14;
        node.weight = 30;
        node.addEndpoint(1, 0);
        for (int i = 0; i < 150; i++) {
            node.admitMail(null);
        }
        assertThat(node.allActionsOf(Action.Defer.class)).as("the queue is full").isNotEmpty();
        node.now += 3000 * NodeFixture.MS;
        assertThat(node.admitMail(null).finished).isFalse();
    }

    /**
     * For new keys a queue is limited to what can be sent on time, so that keys are not open for long. Mails behind an unfinished mail of their
     * key are still accepted.
     */
    @Test void aQueueThatIsFullForNewKeysStillAcceptsMailsOfOpenKeys() {
        node.ordered = true;
        node.weight = 8;
        node.addEndpoint(1, 0);
        List<OrderKey> openKeys = new ArrayList<>();
        Mail next;
        do {
            openKeys.add(new OrderKey());
            next = node.admitMail(openKeys.get(openKeys.size() - 1));
        } while (!next.finished);
        openKeys.remove(openKeys.size() - 1);
        int queuedFirst = node.destination.queue.size();
        // Half of the target delay of 2.5 s, at this node's rate of at most 8 messages per second.
        assertThat(queuedFirst).isBetween(2, 12);
        assertThat(node.admitMail(null).finished).as("a mail without a key is deferred too").isTrue();
        int queuedBehind = 0;
        while (!node.admitMail(openKeys.get(queuedBehind % openKeys.size())).finished) {
            queuedBehind++;
        }
        assertThat(queuedBehind).as("room for mails of open keys").isGreaterThanOrEqualTo(queuedFirst);
        assertThat(node.destination.queue.size()).as("all can be sent within two target delays").isLessThanOrEqualTo(41);
        assertThat(node.admitMail(new OrderKey()).finished).isTrue();
    }

    /** Mails are still queued during a cool-down or a retry-after: the limit of the queue counts only the time for the mails ahead. */
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
        DeliveryAttempt attempt = node.sendMail();
        node.endAttempt(attempt, new Outcome.ConnectFailed());
        assertThat(node.runIteration(5)).isEmpty();
        assertThat(attempt.mail.notBefore).isGreaterThan(node.now - 5 * NodeFixture.MS);
    }

    /**
     * At a node of a sparse fleet one stray failure must not delay the next mails by slow start; but it may never see a third failure, and
     * without slow start the nodes would overload a returning receiver.
     */
    @Test void theSecondConsecutiveFailureStartsSlowStartAtASparseNode() {
        node.nodeCount = 200;
        node.weight = 4;
        node.addEndpoint(1, 0);
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        assertThat(route().inSlowStart).as("after one failure").isFalse();
        DeliveryAttempt retry = node.runIteration(2500).get(0);
        node.endAttempt(retry, new Outcome.Delivered());
        node.now += 5000 * NodeFixture.MS;
        node.endAttempt(node.sendMail(), new Outcome.ConnectFailed());
        assertThat(route().inSlowStart).as("after two with a relayed mail between them").isFalse();
        node.endAttempt(node.runIteration(2500).get(0), new Outcome.ConnectFailed());
        assertThat(route().inSlowStart).as("after two consecutive failures").isTrue();
    }

    @Test void theFirstFailureOfOneOfSeveralRoutesStartsSlowStart() {
        node.routePerEndpoint = true;
        node.addEndpoint(1, 0);
        node.addEndpoint(2, 0);
        DeliveryAttempt attempt = node.sendMail();
        node.endAttempt(attempt, new Outcome.ConnectFailed());
        assertThat(attempt.endpoint.route.inSlowStart).isTrue();
    }

    @Test void latenciesMeasuredAfterAStallOfTheNodeAreIgnored() {
        node.addEndpoint(1, 0);
        DeliveryAttempt attempt = node.sendMail();
        double typicalLatency = route().typicalLatency;
        node.now += 2000 * NodeFixture.MS;
        node.endAttempt(attempt, new Outcome.Delivered());
        assertThat(route().typicalLatency).isEqualTo(typicalLatency);
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

    /** Receivers may close connections that were kept open. That is no failure of the receiver, and no backoff follows. */
    @Test void aBrokenReusedConnectionIsNoFailureOfTheReceiver() {
        NodeFixture fixture = new NodeFixture();
        Endpoint endpoint = fixture.addEndpoint(1, 0);
        int brokenConnections = 0;
        for (int i = 0; i < 12; i++) {
            fixture.admitMail(null);
            for (DeliveryAttempt attempt : fixture.runIteration(500)) {
                attempt.reusedConnection = true;
                fixture.endAttempt(attempt, new Outcome.ConnectionLost());
                brokenConnections++;
            }
            assertThat(endpoint.route.backoffUntil).isLessThanOrEqualTo(fixture.now);
        }
        assertThat(brokenConnections).isGreaterThan(8);
        assertThat(endpoint.route.breaker.phase).isEqualTo(CircuitBreakerState.Phase.CLOSED);
        assertThat(endpoint.route.inSlowStart).isFalse();
        assertThat(fixture.failMails(8, new Outcome.ConnectionLost())).isPositive();
        assertThat(endpoint.route.breaker.phase).isNotEqualTo(CircuitBreakerState.Phase.CLOSED);
    }

    /** Endpoints that are gone, by name or because a whole list omits them, must take neither memory nor a part of the concurrency of a route. */
    @Test void goneEndpointsAreRemoved() {
        NodeFixture fixture = new NodeFixture();
        Endpoint remaining = fixture.addEndpoint(1, 0);
        for (int i = 2; i < 50; i++) {
            Endpoint temporary = fixture.addEndpoint(i, 0);
            if (i % 2 == 0) {
                fixture.updateEndpoint(temporary, EndpointUpdate.State.GONE);
            } else {
                fixture.dispatcher().endpointsUpdated(new EndpointUpdate(EndpointUpdate.Scope.WHOLE,
                        List.of(new EndpointUpdate.Entry(remaining, EndpointUpdate.State.READY, fixture.weight))), fixture.now);
            }
            assertThat(temporary.ready).isFalse();
        }
        assertThat(fixture.destination.endpoints).containsExactly(remaining);
        assertThat(remaining.route.endpointCount).isEqualTo(1);
    }

    @Test void aSeparateRouteIsRemovedAndRestoredWithItsEndpoint() {
        NodeFixture fixture = new NodeFixture();
        fixture.routePerEndpoint = true;
        Endpoint first = fixture.addEndpoint(1, 0);
        Endpoint second = fixture.addEndpoint(2, 0);
        second.route.backoffUntil = fixture.now + 500 * NodeFixture.MS;
        fixture.updateEndpoint(second, EndpointUpdate.State.GONE);
        assertThat(fixture.destination.routes).containsExactly(first.route);
        fixture.updateEndpoint(second, EndpointUpdate.State.READY);
        assertThat(fixture.destination.routes).containsExactly(first.route, second.route);
        assertThat(second.route.backoffUntil).isGreaterThan(fixture.now);
    }

    /** A node that gets too little CPU time would end mails too late. How late its recent wake-ups were tells how much earlier it has to end them. */
    @Test void aNodeThatWakesLateEndsMailsEarlierByTheSameTime() {
        for (int lateMillis : new int[] {0, 700}) {
            NodeFixture fixture = new NodeFixture();
            fixture.updateEndpoint(fixture.addEndpoint(1, 0), EndpointUpdate.State.DRAINING);
            fixture.admitMail(null);
            long start = fixture.now;
            fixture.runIteration(0);
            while (fixture.now < start + 27_400 * NodeFixture.MS) {
                boolean wakesLate = fixture.now == start + 26_000 * NodeFixture.MS;
                fixture.runIteration(wakesLate ? 100 + lateMillis : 100); // It wakes up every 100 ms.
            }
            assertThat(fixture.allActionsOf(Action.Defer.class)).as("late by " + lateMillis).hasSize(lateMillis > 0 ? 1 : 0);
            while (fixture.now < start + 28_000 * NodeFixture.MS) {
                fixture.runIteration(100);
            }
            assertThat(fixture.allActionsOf(Action.Defer.class)).hasSize(1);
        }
    }
}
