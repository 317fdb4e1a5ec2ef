package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.ConnectionReusePolicy;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Action;
import wrenreach.api.Outcome;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListUpdate;
import wrenreach.held.HeldMail;
import wrenreach.net.Calls;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Destination;
import wrenreach.state.Directory;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/** The endpoint list in a table, with decisions and calls that know the part of it that is in use. Nothing is sent. */
class EndpointsInUseTest implements Calls.Host {
    /** Destinations that may be in use at a time. */
    private static final int MAX_IN_USE = 10;
    private final MultiThreadIoEventLoopGroup loopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EndpointTable table = new EndpointTable(1_000_000, "a test");
    private final Directory<String> directory = new Directory<>();
    private final List<Action> actions = new ArrayList<>();
    private DeliveryDispatcher dispatcher;
    private EndpointsInUse inUse;
    private long now = 1_000_000_000;

    @BeforeEach void setUp() throws Exception {
        Config config = Config.read(Path.of("deploy/sample.json"), Map.of());
        dispatcher = new DeliveryDispatcher(config.settings());
        Calls calls = new Calls(loopGroup.next(), NioSocketChannel::new, this, List.of(), 0, 1000, 4, new ConnectionReusePolicy(1));
        inUse = new EndpointsInUse(config, table, directory, dispatcher, calls, actions::addAll, MAX_IN_USE, 1);
    }

    @AfterEach void tearDown() {
        loopGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Override public long iterationTime() {
        return now;
    }

    @Override public long iterationAge() {
        return 0;
    }

    @Override public void attemptEnded(HeldMail mail, DeliveryAttempt attempt, Outcome outcome, double[] report, boolean completed) { }

    @Override public boolean isBlocked(HeldMail mail) {
        return false;
    }

    @Override public void beforeSend(HeldMail mail, DeliveryAttempt attempt) { }

    private static ListUpdate.Entry entry(int number, int destination, String status) {
        return new ListUpdate.Entry("e" + number, "127.0.0.1:" + (1000 + number), "home", "small", destination, status, 10);
    }

    private void applyList(boolean whole, ListUpdate.Entry... entries) throws IOException {
        table.apply(new ListUpdate(table.index() + 1, whole, List.of(entries)));
        inUse.applyDelta(now);
    }

    private void listDestinations(int destinations) throws IOException {
        ListUpdate.Entry[] entries = new ListUpdate.Entry[destinations];
        for (int i = 0; i < destinations; i++) {
            entries[i] = entry(i, i, "SERVING");
        }
        applyList(true, entries);
    }

    private Mail admitMail(int destination) {
        inUse.activate(destination, now);
        Mail mail = new Mail(destination, directory.destination(destination), null, 0, 0, now, now + 20_000_000);
        actions.addAll(dispatcher.admit(mail, now));
        return mail;
    }

    /** Runs the decisions after a delay in microseconds and returns the attempts that they want to send. */
    private List<DeliveryAttempt> runIteration(long delay) {
        now += delay;
        actions.clear();
        actions.addAll(dispatcher.nextActions(now));
        return actions.stream().filter(Action.Send.class::isInstance).map(action -> ((Action.Send) action).attempt()).toList();
    }

    @Test void shortListIsEntirelyInUse() throws IOException {
        listDestinations(MAX_IN_USE);
        assertThat(inUse.size()).isEqualTo(MAX_IN_USE);
        for (int i = 0; i < MAX_IN_USE; i++) {
            assertThat(directory.endpoint("e" + i).ready).isTrue();
            assertThat(inUse.endpointName(directory.endpoint("e" + i))).isEqualTo("e" + i);
        }
    }

    /**
     * Of a long list only the destinations are known that a mail arrives for; a mail for any of them is sent, and their number stays
     * bounded.
     */
    @Test void longListIsInUseOnlyWhereMailsArrive() throws IOException {
        listDestinations(1000);
        assertThat(inUse.size()).isZero();
        assertThat(directory.listed(500)).isFalse();
        for (int i = 0; i < 1000; i++) {
            Mail mail = admitMail(i);
            List<DeliveryAttempt> sent = runIteration(1000);
            assertThat(sent).extracting(attempt -> attempt.endpoint.destination.number).containsExactly(i);
            actions.addAll(dispatcher.attemptEnded(sent.get(0), new Outcome.Delivered(), new double[0], true, now));
            assertThat(mail.finished).isTrue();
            runIteration(10_000_000);
            assertThat(inUse.size()).isLessThanOrEqualTo(MAX_IN_USE + 1);
        }
        assertThat(directory.listed(500)).as("evicted").isFalse();
        assertThat(directory.listed(999)).isTrue();
        inUse.activate(5000, now);
        assertThat(directory.listed(5000)).as("no list names it").isFalse();
    }

    /**
     * Retry-after waits, waiting mails and receivers in slow start must not be lost: a destination with learned state is not created
     * anew.
     */
    @Test void destinationWithPendingWorkOrLearnedStateIsNotEvicted() throws IOException {
        listDestinations(1000);
        admitMail(100);
        directory.destination(100).routes.get(0).backoffUntil = now + 5_000_000;
        Mail waiting = admitMail(100);
        admitMail(200);
        runIteration(0).forEach(attempt -> actions.addAll(dispatcher.attemptEnded(attempt, new Outcome.ConnectFailed(), new double[0], false, now)));
        directory.destination(200).queue.clear();
        directory.destination(200).routes.get(0).inSlowStart = true;
        directory.destination(200).routes.get(0).backoffUntil = now;
        runIteration(1000);
        assertThat(directory.destination(200).busy).isFalse();
        for (int i = 300; i < 300 + MAX_IN_USE; i++) {
            inUse.activate(i, now);
        }
        assertThat(directory.listed(200)).as("its receiver has failed").isTrue();
        assertThat(directory.listed(100)).isTrue();
        assertThat(directory.destination(100).queue).contains(waiting);
        assertThat(inUse.size()).isLessThanOrEqualTo(MAX_IN_USE + 2);
    }

    /** Nothing refers to an evicted destination any more; otherwise memory would leak. */
    @Test void evictedDestinationIsGarbageCollected() throws IOException {
        listDestinations(1000);
        inUse.activate(0, now);
        WeakReference<Destination> first = new WeakReference<>(directory.destination(0));
        for (int i = 100; i < 100 + 2 * MAX_IN_USE; i++) {
            inUse.activate(i, now);
        }
        for (int i = 0; i < 50 && first.get() != null; i++) {
            System.gc();
        }
        assertThat(first.get()).isNull();
    }

    /** A drain takes effect whether or not its destination is in use when it is listed. */
    @Test void drainsAreAppliedInUseOrNot() throws IOException {
        listDestinations(1000);
        admitMail(700);
        applyList(false, entry(700, 700, "DRAINING"), entry(800, 800, "DRAINING"));
        assertThat(directory.endpoint("e700").ready).isFalse();
        inUse.activate(800, now);
        assertThat(directory.endpoint("e800").ready).isFalse();
        runIteration(1000);
        admitMail(800);
        assertThat(runIteration(1000)).as("no endpoint serves there").extracting(attempt -> attempt.endpoint.destination.number).doesNotContain(700, 800);
        applyList(false, entry(800, 800, "SERVING"));
        assertThat(runIteration(1000)).extracting(attempt -> attempt.endpoint.destination.number).containsExactly(800);
    }

    /** Mails stay held for a destination that is no longer listed, and are sent once it is listed again under another endpoint name. */
    @Test void mailsAreHeldForADestinationThatIsDelisted() throws IOException {
        listDestinations(50);
        directory.destination(1);
        Mail mail = admitMail(30);
        applyList(false, entry(30, 30, "DELETED"));
        assertThat(runIteration(1000)).isEmpty();
        assertThat(mail.finished).isFalse();
        applyList(false, entry(31_000, 30, "SERVING"));
        assertThat(runIteration(1000)).extracting(attempt -> attempt.mail).containsExactly(mail);
    }

    /** A name that is listed again for another destination is another endpoint, and the old one is gone. */
    @Test void nameThatMovesIsAnotherEndpoint() throws IOException {
        listDestinations(5);
        Endpoint before = directory.endpoint("e3");
        applyList(false, entry(3, 4, "SERVING"));
        assertThat(directory.endpoint("e3")).isNotSameAs(before);
        assertThat(directory.endpoint("e3").destination.number).isEqualTo(4);
        assertThat(before.ready).isFalse();
        assertThat(before.listed).isFalse();
        assertThat(directory.destination(4).endpoints).hasSize(2);
        applyList(false, new ListUpdate.Entry("e3", "nowhere", "home", "small", 4, "SERVING", 10), entry(2, 2, "DRAINING"));
        assertThat(directory.endpoint("e2").ready).as("an entry beside an invalid address counts").isFalse();
    }

    /**
     * A mail must not go to a receiver that now belongs to another destination: also if no mail has arrived for that other destination,
     * and whether the move is told by a delta or among all other endpoints.
     */
    @ParameterizedTest
    @CsvSource({"false, 1", "false, 100", "true, 1000"})
    void nameThatMovesOutOfUseIsRemoved(boolean whole, int entryCount) throws IOException {
        listDestinations(1000);
        admitMail(3);
        admitMail(4);
        Endpoint before = directory.endpoint("e3");
        ListUpdate.Entry[] entries = new ListUpdate.Entry[entryCount];
        for (int i = 0; i < entryCount; i++) {
            entries[i] = entry(i + 3, i + 3, "SERVING");
        }
        entries[0] = entry(3, 700, "SERVING");
        applyList(whole, entries);
        assertThat(before.ready).isFalse();
        assertThat(runIteration(1000)).extracting(attempt -> attempt.endpoint.destination.number).containsExactly(4);
        admitMail(700);
        assertThat(directory.endpoint("e3").destination.number).isEqualTo(700);
        assertThat(directory.endpoint("e4").ready).isTrue();
    }

    /** A full list removes what it does not name, in use or not. */
    @Test void fullListRemovesWhatItDoesNotName() throws IOException {
        listDestinations(40);
        admitMail(30);
        applyList(true, entry(1, 1, "SERVING"));
        assertThat(directory.endpoint("e30").ready).isFalse();
        assertThat(directory.endpoint("e1").ready).isTrue();
        inUse.activate(35, now);
        assertThat(directory.listed(35)).isFalse();
    }
}
