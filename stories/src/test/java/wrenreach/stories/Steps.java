package wrenreach.stories;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.BeforeAll;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import wrenreach.lab.Story;

/** The step definitions of the stories. A day is run when the first step that checks its outcome is reached: three times, with different seeds. */
public class Steps {
    /** Number of runs of each day. */
    private static final int SEEDS = 3;
    private static final Logger ROOT_LOGGER = Logger.getLogger("");

    /** The phrases for faults in stories, and the same faults in the notation of experiments. */
    private enum FaultPhrase {
        KILLED("(node \\d+|a third of the nodes|half of the nodes|every node) (?:is|are) killed", "kill $1"),
        TORN("node (\\d+) is killed in the middle of a write", "kill_torn $1"),
        WRITTEN("node (\\d+) is killed right after a write", "kill_written $1"),
        GONE("the machine of node (\\d+) is gone without a word", "vanish_node $1"),
        STOPPED("(node \\d+|a third of the nodes|every node) is told to stop", "stop $1"),
        DEAF_TO_TERM("node (\\d+) is told to stop but does not hear it", "ignores_term $1"),
        STILL("(node \\d+|a third of the nodes|every node) stands still", "freeze $1"),
        BROKEN("node (\\d+) is killed and no process of it comes up", "broken_start $1"),
        SLOW_START("node (\\d+) is killed and its next process stands still as it starts", "slow_start $1"),
        MOVED("node (\\d+) is given another address of discovery", "reload $1"),
        DISK("the disk of node (\\d+) is full", "disk_full $1"),
        WRITE("the next write of node (\\d+) fails", "write_fails $1"),
        LOST("node (\\d+) is killed and its state folder is lost", "lose_state $1"),
        OLD("the state folder of node (\\d+) is copied, and put back when it is over", "old_state $1"),
        READ_ONLY("node (\\d+) is killed and its state folder can't be written", "readonly_state $1"),
        NO_PLATFORM("(node \\d+|every node) is cut off from the platform", "cut_platform $1"),
        NO_CLIENTS("node (\\d+) is cut off from its clients", "cut_clients $1"),
        MUTE("node (\\d+) hears all and is heard by none", "mute $1"),
        DEAF("node (\\d+) is heard by all and hears none", "deaf $1"),
        APART("the fleet falls apart into (\\S+)", "partition $1"),
        CUT("nothing passes (\\S+)", "cut $1"),
        REFUSED("connections (\\S+) are refused", "refuse $1"),
        RESET("half of the links (\\S+) are reset at once", "reset $1 0.5"),
        LATE("all is (\\d+) ms late (\\S+)", "delay $2 $1"),
        PACED("no more than (\\d+) bytes a second pass (\\S+)", "rate $2 $1"),
        HALF("half a message passes (\\S+) and then nothing", "half $1"),
        RELAY("what carries (\\S+) dies", "relay_dies $1"),
        DOWN("receiver (\\d+) is down", "down $1"),
        VANISHED("the machine of receiver (\\d+) is gone without a word", "vanish $1"),
        SILENT("receiver (\\d+) answers nothing", "silent $1"),
        SLOW("receiver (\\d+) is twenty times slower", "slow $1"),
        FULL("(receiver \\d+|every receiver) is full and tells waits", "full $1"),
        ERRING("receiver (\\d+) errs", "erring $1"),
        DRAINED("receiver (\\d+) is drained and replaced", "drain $1");

        private final Pattern phrase;
        private final String fault;

        FaultPhrase(String phrase, String fault) {
            this.phrase = Pattern.compile(phrase);
            this.fault = fault;
        }

        static String fault(String text) {
            for (FaultPhrase candidate : values()) {
                Matcher matcher = candidate.phrase.matcher(text);
                if (matcher.matches()) {
                    return matcher.replaceFirst(candidate.fault).replace("a third of the nodes", "third").replace("half of the nodes", "half")
                            .replaceAll("every (node|receiver)", "all").replaceAll("\\b(node|receiver) (\\d+)", "$2");
                }
            }
            throw new IllegalArgumentException("no story says: " + text);
        }
    }

    private final Story story = new Story().nodes(3, 1).receivers(2, 2).traffic(40, 8000);
    private boolean played;

    @BeforeAll public static void silenceLogs() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ROOT_LOGGER.setLevel(Level.OFF);
    }

    @Given("a fleet of {int} node(s)")
    public void fleet(int nodes) {
        story.nodes(nodes, 1);
    }

    @Given("a fleet of {int} nodes in {int} zones")
    public void fleet(int nodes, int zones) {
        story.nodes(nodes, zones);
    }

    @Given("{int} destination(s) of {int} receiver(s) each")
    public void receivers(int destinations, int each) {
        story.receivers(destinations, each);
    }

    @Given("{int} mails a second for {int} s")
    public void traffic(int rate, int seconds) {
        story.traffic(rate, 1000 * seconds);
    }

    @Given("mails that may run {}, wanted within {double} s and given up after {double} s")
    public void mails(String how, double target, double lifetime) {
        String effect = switch (how) {
            case "again" -> "redeliverable";
            case "again under their tag" -> "tagged";
            case "once only" -> "once_only";
            default -> throw new IllegalArgumentException("mails may run again, again under their tag, once only; not " + how);
        };
        story.queueClass(String.format(Locale.ROOT, "%s %s importance 1 target %d lifetime %d share 1", effect, effect,
                (int) (1000 * target), (int) (1000 * lifetime)));
    }

    @Given("what is owed lies in the store")
    public void store() {
        story.store();
    }

    @When("at {double} s, for {double} s, {}")
    public void fault(double at, double length, String what) {
        story.fault(FaultPhrase.fault(what) + " at " + ms(at) + " for " + ms(length));
    }

    @When("every {double} s, for {double} s, {}, then the next")
    public void faultEach(double every, double length, String what) {
        story.fault(FaultPhrase.fault(what) + " at " + ms(every) + " for " + ms(length) + " every " + ms(every));
    }

    @When("once node {int} has taken {int} mails, for {double} s, {}")
    public void onceTaken(int node, int count, double length, String what) {
        story.fault(FaultPhrase.fault(what) + " once taken n" + node + " " + count + " for " + ms(length));
    }

    @When("once node {int} serves for the {int}. time, for {double} s, {}")
    public void onceServes(int node, int times, double length, String what) {
        story.fault(FaultPhrase.fault(what) + " once serves n" + node + " " + times + " for " + ms(length));
    }

    private static int ms(double seconds) {
        return (int) Math.round(1000 * seconds);
    }

    private Story played() {
        if (!played) {
            played = true;
            story.play(SEEDS);
        }
        return story;
    }

    @Then("no rule is broken")
    public void kept() {
        assertThat(played().breaches()).isEmpty();
        assertThat(story.neverCame()).isZero();
    }

    @Then("at least {double} % of the mails are delivered")
    public void delivered(double percent) {
        assertThat(played().deliveredPercent()).isGreaterThanOrEqualTo(percent);
    }

    @Then("no mail runs twice")
    public void once() {
        assertThat(played().ranTwice()).isZero();
    }

    @Then("receiver {int} gets at most {int} calls in any {double} s between {double} s and {double} s")
    public void atMost(int receiver, int calls, double within, double from, double to) {
        assertThat(played().mostCalls("r" + receiver, ms(within), ms(from), ms(to))).isLessThanOrEqualTo(calls);
    }

    @Then("receiver {int} is called between {double} s and {double} s")
    public void called(int receiver, double from, double to) {
        assertThat(played().mostCalls("r" + receiver, ms(to - from), ms(from), ms(to))).isPositive();
    }

    @Then("node {int} serves {int} times")
    public void serves(int node, int times) {
        assertThat(played().seen("Serves", "n" + node + "]")).isEqualTo(times);
    }

    @Then("those behind an open mail of their key are refused at most {int} % more often than the others")
    public void refusedAlike(int percent) {
        assertThat(played().refused()).as("mails that are refused").isGreaterThan(100);
        assertThat(story.refusedMoreBehindPercent()).isLessThanOrEqualTo(percent);
    }

    @Then("at least {int} waits are told")
    public void waits(int count) {
        assertThat(played().seen("ToldWait", "")).isGreaterThanOrEqualTo(count);
    }
}
