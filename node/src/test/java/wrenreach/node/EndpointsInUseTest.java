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
import wrenreach.Choice;
import wrenreach.api.Answer;
import wrenreach.api.Outcome;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListLine;
import wrenreach.held.HeldMail;
import wrenreach.net.Calls;
import wrenreach.state.Connect;
import wrenreach.state.Destination;
import wrenreach.state.Directory;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;

/** The list in a table, and the module and the calls that know what is in use of it. Nothing goes out. */
class EndpointsInUseTest implements Calls.Host {
    private static final int MOST = 10;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EndpointTable table = new EndpointTable(1_000_000, "a test");
    private final Directory<String> directory = new Directory<>();
    private final List<Answer> answers = new ArrayList<>();
    private Choice module;
    private EndpointsInUse inUse;
    private long now = 1_000_000_000;

    @BeforeEach void make() throws Exception {
        Config config = Config.read(Path.of("deploy/sample.json"), Map.of());
        module = new Choice(config.settings());
        Calls calls = new Calls(group.next(), NioSocketChannel::new, this, List.of(), 0, 1000, 4);
        inUse = new EndpointsInUse(config, table, directory, module, calls, answers::addAll, MOST, 1);
    }

    @AfterEach void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Override public long turn() {
        return now;
    }

    @Override public long turnAge() {
        return 0;
    }

    @Override public void ended(HeldMail held, Connect connect, Outcome outcome, double[] report, boolean over) { }

    @Override public boolean heldBack(HeldMail held) {
        return false;
    }

    @Override public void goesOut(HeldMail held, Connect connect) { }

    private static ListLine.Entry entry(int number, int destination, String status) {
        return new ListLine.Entry("e" + number, "127.0.0.1:" + (1000 + number), "home", "small", destination, status, 10);
    }

    private void take(boolean whole, ListLine.Entry... entries) throws IOException {
        table.take(new ListLine(table.index() + 1, whole, List.of(entries)));
        inUse.changed(now);
    }

    private void list(int destinations) throws IOException {
        ListLine.Entry[] entries = new ListLine.Entry[destinations];
        for (int i = 0; i < destinations; i++) {
            entries[i] = entry(i, i, "SERVING");
        }
        take(true, entries);
    }

    private Mail mail(int destination) {
        inUse.use(destination, now);
        Mail mail = new Mail(destination, directory.destination(destination), null, 0, 0, now, now + 20_000_000);
        answers.addAll(module.admit(mail, now));
        return mail;
    }

    private List<Connect> turn(long later) {
        now += later;
        answers.clear();
        answers.addAll(module.next(now));
        return answers.stream().filter(Answer.Send.class::isInstance).map(a -> ((Answer.Send) a).connect()).toList();
    }

    @Test void allOfAShortListIsInUse() throws IOException {
        list(MOST);
        assertThat(inUse.size()).isEqualTo(MOST);
        for (int i = 0; i < MOST; i++) {
            assertThat(directory.endpoint("e" + i).ready).isTrue();
            assertThat(inUse.name(directory.endpoint("e" + i))).isEqualTo("e" + i);
        }
    }

    /** Of a long list those are known that a mail comes for; a mail for any goes out, and the number stays bounded. */
    @Test void ofALongListThoseAreInUseThatMailsComeFor() throws IOException {
        list(1000);
        assertThat(inUse.size()).isZero();
        assertThat(directory.listed(500)).isFalse();
        for (int i = 0; i < 1000; i++) {
            Mail mail = mail(i);
            List<Connect> sent = turn(1000);
            assertThat(sent).extracting(c -> c.endpoint.to.number).containsExactly(i);
            answers.addAll(module.ended(sent.get(0), new Outcome.Delivered(), new double[0], true, now));
            assertThat(mail.over).isTrue();
            turn(10_000_000);
            assertThat(inUse.size()).isLessThanOrEqualTo(MOST + 1);
        }
        assertThat(directory.listed(500)).as("given back").isFalse();
        assertThat(directory.listed(999)).isTrue();
        inUse.use(5000, now);
        assertThat(directory.listed(5000)).as("no list names it").isFalse();
    }

    /** Guards told waits, parked mails and cold receivers: what remembers something is not made as new. */
    @Test void whatOwesOrRemembersIsNotGivenBack() throws IOException {
        list(1000);
        mail(100);
        directory.destination(100).routes.get(0).heldUntil = now + 5_000_000;
        Mail parked = mail(100);
        mail(200);
        turn(0).forEach(c -> answers.addAll(module.ended(c, new Outcome.ConnectFailed(), new double[0], false, now)));
        directory.destination(200).line.clear();
        directory.destination(200).routes.get(0).cold = true;
        directory.destination(200).routes.get(0).heldUntil = now;
        turn(1000);
        assertThat(directory.destination(200).busy).isFalse();
        for (int i = 300; i < 300 + MOST; i++) {
            inUse.use(i, now);
        }
        assertThat(directory.listed(200)).as("its receiver has failed").isTrue();
        assertThat(directory.listed(100)).isTrue();
        assertThat(directory.destination(100).line).contains(parked);
        assertThat(inUse.size()).isLessThanOrEqualTo(MOST + 2);
    }

    /** Guards memory: what is given back is known to nobody any more. */
    @Test void whatIsGivenBackIsGarbage() throws IOException {
        list(1000);
        inUse.use(0, now);
        WeakReference<Destination> first = new WeakReference<>(directory.destination(0));
        for (int i = 100; i < 100 + 2 * MOST; i++) {
            inUse.use(i, now);
        }
        for (int i = 0; i < 50 && first.get() != null; i++) {
            System.gc();
        }
        assertThat(first.get()).isNull();
    }

    /** A drain is heeded whether or not its destination is in use when it is told. */
    @Test void drainsAreHeededInUseOrNot() throws IOException {
        list(1000);
        mail(700);
        take(false, entry(700, 700, "DRAINING"), entry(800, 800, "DRAINING"));
        assertThat(directory.endpoint("e700").ready).isFalse();
        inUse.use(800, now);
        assertThat(directory.endpoint("e800").ready).isFalse();
        turn(1000);
        mail(800);
        assertThat(turn(1000)).as("nobody serves there").extracting(c -> c.endpoint.to.number).doesNotContain(700, 800);
        take(false, entry(800, 800, "SERVING"));
        assertThat(turn(1000)).extracting(c -> c.endpoint.to.number).containsExactly(800);
    }

    /** Mails stay held for a destination that leaves, and go out once it is back under another name. */
    @Test void mailsAreHeldForADestinationThatLeaves() throws IOException {
        list(50);
        directory.destination(1);
        Mail mail = mail(30);
        take(false, entry(30, 30, "DELETED"));
        assertThat(turn(1000)).isEmpty();
        assertThat(mail.over).isFalse();
        take(false, entry(31_000, 30, "SERVING"));
        assertThat(turn(1000)).extracting(c -> c.mail).containsExactly(mail);
    }

    /** A name that comes back for another destination is another endpoint, and the old one is gone. */
    @Test void aNameThatMovesIsAnotherEndpoint() throws IOException {
        list(5);
        Endpoint before = directory.endpoint("e3");
        take(false, entry(3, 4, "SERVING"));
        assertThat(directory.endpoint("e3")).isNotSameAs(before);
        assertThat(directory.endpoint("e3").to.number).isEqualTo(4);
        assertThat(before.ready).isFalse();
        assertThat(before.listed).isFalse();
        assertThat(directory.destination(4).endpoints).hasSize(2);
        take(false, new ListLine.Entry("e3", "nowhere", "home", "small", 4, "SERVING", 10), entry(2, 2, "DRAINING"));
        assertThat(directory.endpoint("e2").ready).as("what stands beside a spoilt address counts").isFalse();
    }

    /**
     * Guards mails of a long list's destination against a receiver that has become another's: also one of a destination that
     * no mail has come for, told by a change or among all others.
     */
    @ParameterizedTest
    @CsvSource({"false, 1", "false, 100", "true, 1000"})
    void aNameThatMovesOutOfUseIsGone(boolean whole, int named) throws IOException {
        list(1000);
        mail(3);
        mail(4);
        Endpoint before = directory.endpoint("e3");
        ListLine.Entry[] entries = new ListLine.Entry[named];
        for (int i = 0; i < named; i++) {
            entries[i] = entry(i + 3, i + 3, "SERVING");
        }
        entries[0] = entry(3, 700, "SERVING");
        take(whole, entries);
        assertThat(before.ready).isFalse();
        assertThat(turn(1000)).extracting(c -> c.endpoint.to.number).containsExactly(4);
        mail(700);
        assertThat(directory.endpoint("e3").to.number).isEqualTo(700);
        assertThat(directory.endpoint("e4").ready).isTrue();
    }

    /** A whole list takes out what it does not name, in use or not. */
    @Test void aWholeListTakesOutWhatItDoesNotName() throws IOException {
        list(40);
        mail(30);
        take(true, entry(1, 1, "SERVING"));
        assertThat(directory.endpoint("e30").ready).isFalse();
        assertThat(directory.endpoint("e1").ready).isTrue();
        inUse.use(35, now);
        assertThat(directory.listed(35)).isFalse();
    }
}
