package wrenreach.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wrenreach.DeliveryDispatcher;
import wrenreach.api.Settings;
import wrenreach.frame.NodeContext;
import wrenreach.frame.NodeEvent;
import wrenreach.frame.RunningSubsystem;
import wrenreach.frame.Subsystem;
import wrenreach.operator.Key;
import wrenreach.operator.Section;
import wrenreach.relay.Impairment;

/** Tests the description of faults and the rules, which are shared by emulated fleets and fleets of processes. */
class GroundTest {
    private static final Logger ROOT_LOGGER = Logger.getLogger("");
    private static final long NS_PER_SECOND = 1_000_000_000;
    @TempDir Path folder;

    @BeforeAll static void silenceLogs() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ROOT_LOGGER.setLevel(Level.OFF);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"kill third at 5 for 9", "cut n0>r1 at 5 for 9", "delay n0-platform 20 5.5 at 5 for 9",
        "reset nodes-receivers 0.5 at 5 for 9", "partition n0,n1|n2,platform at 5 for 9", "ring at 5 for 9", "mute 1 at 5 for 9",
        "reordering n0-n1 0.25 40 at 5 for 9", "freeze 2 once taken n2 50 for 9", "half clients>n0 once serves n0 2 for 9"})
    void faultTextRoundTrips(String text) {
        assertThat(FaultText.parse(text, 1000)).singleElement().extracting(FaultText::format).isEqualTo(text);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"cut n0 at 5 for 9; is no link", "cut n0-x1 at 5 for 9; x1 is no party",
        "delay n0-r0 at 5 for 9; takes 1 to 2 figures, not 0", "loss n0-n1 1.5 at 5 for 9; is no share",
        "kill fourth at 5 for 9; third, half or all", "partition n0,n1 at 5 for 9; sets as n0,n1|n2",
        "kill 0 once seen n0 5 for 9; seen is not known", "kill 0 once taken n0 5 for 9 every 3; is no fault of the form",
        "rate n0-r0 0 at 5 for 9; not above 0", "cut n0-r0 at 5; is no fault of the form"})
    void invalidFaultTextIsRejected(String text, String why) {
        assertThatThrownBy(() -> FaultText.parse(text, 1000)).isInstanceOf(IllegalArgumentException.class).hasMessageContaining(why);
    }

    @Test void linksAreNamedByTheirParties() {
        Scenario.Fault cut = FaultText.parse("cut nodes>platform at 1 for 1", 10).get(0);
        assertThat(FaultText.directedLinks(cut, 2, 1)).containsExactly(new FaultText.DirectedLink("n0", "platform-n0"),
                new FaultText.DirectedLink("n1", "platform-n1"));
        Scenario.Fault apart = FaultText.parse("partition n0,r0|n1,platform at 1 for 1", 10).get(0);
        assertThat(FaultText.directedLinks(apart, 2, 1)).contains(new FaultText.DirectedLink("n0", "n1"), new FaultText.DirectedLink("r0", "n1"),
                new FaultText.DirectedLink("platform-n0", "n0")).doesNotContain(new FaultText.DirectedLink("n0", "r0"),
                new FaultText.DirectedLink("n1", "platform-n1"));
        assertThat(FaultText.directedLinks(FaultText.parse("ring at 1 for 1", 10).get(0), 4, 1)).hasSize(4);
        assertThat(FaultText.directedLinks(FaultText.parse("mute 0 at 1 for 1", 10).get(0), 2, 1)).allMatch(way -> way.from().equals("n0"));
    }

    @Test void emulatedDatagramsAreImpairedPerDirection() {
        World world = new World(1);
        EmulatedNetwork network = (EmulatedNetwork) world.network;
        Network.Party a = new Network.Party("n0");
        Network.Party b = new Network.Party("n1");
        InetSocketAddress atA = new InetSocketAddress("127.7.0.1", 7946);
        InetSocketAddress atB = new InetSocketAddress("127.7.0.2", 7946);
        List<String> heard = new ArrayList<>();
        mailbox(network, a, atA, heard);
        mailbox(network, b, atB, heard);
        Impairment doubling = new Impairment(Impairment.Kind.DOUBLING, 1, 0);
        network.direction("n0", "n1").begin(doubling);
        network.datagram(a, atA, atB, "x".getBytes());
        network.datagram(b, atB, atA, "y".getBytes());
        world.runUntil(2 * NS_PER_SECOND);
        network.direction("n0", "n1").begin(new Impairment(Impairment.Kind.CUT, 0, 0));
        network.datagram(a, atA, atB, "lost".getBytes());
        b.up = false;
        network.datagram(b, atB, atA, "z".getBytes());
        network.datagram(a, atA, new InetSocketAddress("127.7.0.3", 7946), "nobody".getBytes());
        world.runUntil(3 * NS_PER_SECOND);
        assertThat(heard).containsExactlyInAnyOrder("n1 x", "n1 x", "n0 y", "n0 z");
    }

    private static void mailbox(EmulatedNetwork network, Network.Party party, InetSocketAddress at, List<String> heard) {
        network.datagrams(at, new EmulatedNetwork.Mailbox() {
            @Override public Network.Party party() {
                return party;
            }

            @Override public void received(InetSocketAddress from, byte[] bytes) {
                heard.add(party.name + " " + new String(bytes));
            }
        });
    }

    /**
     * A mail that was answered with 200 is reported as undeliverable. This is held against the node unless it died, lost its state, or may not have got
     * the response; if the stand-ins were late, it is not judged.
     */
    @ParameterizedTest
    @CsvSource({"nothing, true", "died, false", "closed, false", "troubled, false", "late, false", "lost, false"})
    void untrueEndingIsReportedOnlyIfTheNodeCouldKnow(String also, boolean caught) throws Exception {
        Settings settings = ScenarioRun.of(Scenario.parse(List.of("rate 1", "length 600")), DeliveryDispatcher::new).settings;
        Scenario day = Scenario.parse(List.of("nodes 1", "destinations 1"));
        List<Fact> facts = new ArrayList<>(List.of(new Fact.Serves(NS_PER_SECOND, "n0"),
                new Fact.HandedIn(2 * NS_PER_SECOND, "m0.0", "n0", 0, 0, "k", "m0", 10 * NS_PER_SECOND), new Fact.Answered(2 * NS_PER_SECOND, "m0.0", "n0", "OK")));
        if (also.equals("troubled")) {
            facts.add(new Fact.Fault(2 * NS_PER_SECOND, "", 4 * NS_PER_SECOND, FaultText.parse("cut n0>r0 at 1 for 2", 9).get(0)));
        }
        facts.add(new Fact.Delivered(3 * NS_PER_SECOND, "m0.0", "r0"));
        switch (also) {
            case "died" -> facts.add(new Fact.Died(4 * NS_PER_SECOND, "n0", false));
            case "closed" -> facts.add(new Fact.Closed(3 * NS_PER_SECOND + 1_000_000, "m0.0", "r0"));
            case "late" -> facts.add(new Fact.Late(5 * NS_PER_SECOND, 100_000_000));
            case "lost" -> facts.add(new Fact.StateLost(4 * NS_PER_SECOND, "n0"));
            default -> facts.add(new Fact.Closed(5 * NS_PER_SECOND, "m0.0", "r0"));
        }
        facts.add(new Fact.Noticed(5 * NS_PER_SECOND, "m0.0", "n0", "undeliverable"));
        Rules.Verdict verdict = Rules.verdict(day, facts, settings, 20 * NS_PER_SECOND);
        assertThat(verdict.violations()).extracting(Rules.Violation::rule).isEqualTo(caught ? List.of(Rules.Rule.UNTRUE) : List.of());
        assertThat(verdict.inconclusive()).hasSize(also.equals("late") ? 1 : 0);
    }

    /** A subsystem for tests, which counts the mails that its node accepts. */
    public static final class Counts implements Subsystem<Counts.Probe> {
        static int taken;

        /** Section [probe] of the operator's file. */
        public record Probe(@Key(about = "what it counts by", byDefault = "1", least = "1") int step) { }

        @Override public Section<Probe> section() {
            return new Section<>("probe", Probe.class);
        }

        @Override public boolean inVirtualTime() {
            return true;
        }

        @Override public RunningSubsystem<Probe> start(Probe section, NodeContext host) {
            return new RunningSubsystem<>() {
                @Override public Optional<Consumer<NodeEvent>> eventListener() {
                    return Optional.of(event -> taken += event instanceof NodeEvent.MailAccepted ? section.step() : 0);
                }
            };
        }
    }

    private Experiment experiment(String fleet, String operator) throws Exception {
        return Experiment.read(Files.writeString(folder.resolve("e.toml"), """
                [experiment]
                about = "x"
                seeds = 1
                [fleet]
                nodes = 2
                %s
                [traffic]
                rate = 20
                length = "2s"
                [operator]
                %s
                """.formatted(fleet, operator)));
    }

    @Test void operatorFileAppliesInMemoryToItsNodesOnly() throws Exception {
        Experiment one = experiment("", "file = \"[probe]\\nstep = 1000\"\nnodes = [\"n1\"]");
        assertThat(one.objections(false)).isEmpty();
        Counts.taken = 0;
        ScenarioRun run = ScenarioRun.of(one.scenarioAt(1, 0), DeliveryDispatcher::new, one.setup(), world -> { });
        long byN1 = run.world.facts.stream().filter(fact -> fact instanceof Fact.Answered answered && answered.node().equals("n1")
                && answered.answer().equals("OK")).count();
        assertThat(byN1).isPositive();
        assertThat(Counts.taken).isEqualTo(1000 * (int) byN1);
    }

    @Test void unsupportedInMemoryExperimentIsRejected() throws Exception {
        assertThat(experiment("builds = [\"n0 = ../old\"]", "file = \"[lists]\\nmanifest = 3\"").objections(false))
                .anyMatch(why -> why.contains("builds are played by processes only")).anyMatch(why -> why.contains("lists"));
        assertThatThrownBy(() -> experiment("builds = [\"../old\"]", "file = \"\"")).hasMessageContaining("is no build of the form");
    }
}
