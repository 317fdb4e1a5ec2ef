package wrenreach.lab;

import java.util.Locale;
import wrenreach.state.CircuitBreakerState;

/** What happened in a world, as its own parties saw it; at: nanoseconds since its begin. */
sealed interface Fact {
    long at();

    /**
     * A client handed in a mail. queueClass: the number of its class; key: that of its order; tag: what stands for its effect;
     * until: end of its time.
     */
    record HandedIn(long at, String id, String node, int queueClass, int destination, String key, String tag, long until)
            implements Fact { }

    /** What the node answered: OK, BUSY or ERR; or NONE, when the client gave up. */
    record Answered(long at, String id, String node, String answer) implements Fact { }

    /** A call's first byte came to a receiver. */
    record Begun(long at, String id, String node, String receiver) implements Fact { }

    /** A call came whole; second: an earlier one of the same mail is still open. */
    record Called(long at, String id, String node, String receiver, int destination, boolean second) implements Fact { }

    /** The receiver acted on the mail; tag as handed in; givenUp: the node had closed the connection before it came. */
    record Ran(long at, String id, String receiver, String tag, boolean givenUp) implements Fact { }

    /** The receiver wrote that the mail is delivered. */
    record Delivered(long at, String id, String receiver) implements Fact { }

    /** The receiver wrote a wait, in nanoseconds. */
    record ToldWait(long at, String node, int destination, long length) implements Fact { }

    /** The node was told that the receiver drains. */
    record ToldDrain(long at, String node, String receiver) implements Fact { }

    /** The platform heard a mail's end from the node. */
    record Noticed(long at, String id, String node, String status) implements Fact { }

    /** The node's process died; byItself: nobody had ended it or told it to end. */
    record Died(long at, String node, boolean byItself) implements Fact { }

    /** The node's process serves (again). */
    record Serves(long at, String node) implements Fact { }

    /** A node's breaker went into this phase; only reports go by it, no rule does. */
    record Turned(long at, String node, String route, CircuitBreakerState.Phase phase) implements Fact { }

    /** A receiver was gone and is back, cold; a receiver was pushed over: more came than it could bear. */
    record Back(long at, String receiver) implements Fact { }

    record PushedOver(long at, String receiver) implements Fact { }

    /** A fault of the schedule began; until: when it is over. */
    record Fault(long at, String what, long until, Scenario.Fault of) implements Fact {
        @Override public String toString() {
            return "Fault[at=" + at + ", what=" + what + "]";
        }
    }

    /** The node's state folder is not what it left: it is lost, or an earlier one. */
    record StateLost(long at, String node) implements Fact { }

    /** What a fault waits for has not come by the day's end. */
    record NeverCame(long at, String what) implements Fact { }

    /** The asker closed the connection on which the mail's last answer was 200. */
    record Closed(long at, String id, String receiver) implements Fact { }

    /** Those who watch were late by so much, in nanoseconds: what their clocks say of just then can't be believed. */
    record Late(long at, long length) implements Fact { }

    /** The fact as a line of a timeline. */
    static String timelineLine(Fact fact) {
        String text = fact.toString();
        return String.format(Locale.ROOT, "%10.4f s  %s", (fact.at() - 1_000_000_000L) / 1e9,
                text.replaceFirst("\\[at=\\d+, ", " ").replaceAll("]$", ""));
    }
}
