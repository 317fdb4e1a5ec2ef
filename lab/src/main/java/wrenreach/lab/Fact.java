package wrenreach.lab;

import java.util.Locale;
import wrenreach.state.CircuitBreakerState;

/** An event of a run as its own parties observed it; at: nanoseconds since the world's begin. */
sealed interface Fact {
    long at();

    /**
     * A client submitted a mail. queueClass: the number of its class; key: its order key; tag: identifies its effect, the same
     * for each submission of it; until: end of its lifetime.
     */
    record HandedIn(long at, String id, String node, int queueClass, int destination, String key, String tag, long until)
            implements Fact { }

    /** The node's reply to a submission: OK, BUSY or ERR; or NONE, when the client gave up waiting. */
    record Answered(long at, String id, String node, String answer) implements Fact { }

    /** The first byte of a call arrived at a receiver. */
    record Begun(long at, String id, String node, String receiver) implements Fact { }

    /** A call arrived in full; second: an earlier call of the same mail is still open at the receiver. */
    record Called(long at, String id, String node, String receiver, int destination, boolean second) implements Fact { }

    /** The receiver carried out the mail; tag as submitted; givenUp: the node had closed the connection before that. */
    record Ran(long at, String id, String receiver, String tag, boolean givenUp) implements Fact { }

    /** The receiver wrote the response that the mail is delivered. */
    record Delivered(long at, String id, String receiver) implements Fact { }

    /** The receiver wrote a retry-after; length in nanoseconds. */
    record ToldWait(long at, String node, int destination, long length) implements Fact { }

    /** The node was told that the receiver is draining. */
    record ToldDrain(long at, String node, String receiver) implements Fact { }

    /** The node notified the platform of a mail's ending. */
    record Noticed(long at, String id, String node, String status) implements Fact { }

    /** The node's process died; byItself: nobody had killed it or told it to stop. */
    record Died(long at, String node, boolean byItself) implements Fact { }

    /** The node's process began to serve, after a start or a restart. */
    record Serves(long at, String node) implements Fact { }

    /** A node's circuit breaker went into this phase; only reports use it, no rule does. */
    record Turned(long at, String node, String route, CircuitBreakerState.Phase phase) implements Fact { }

    /** A receiver was gone and is back; its slow start begins. */
    record Back(long at, String receiver) implements Fact { }

    /** A receiver that was back got more load than it could bear during its slow start. */
    record PushedOver(long at, String receiver) implements Fact { }

    /** A fault of the schedule began; until: when it ends. The text holds neither until nor of: runs are compared by it. */
    record Fault(long at, String what, long until, Scenario.Fault of) implements Fact {
        @Override public String toString() {
            return "Fault[at=" + at + ", what=" + what + "]";
        }
    }

    /** The node's state folder is not as its process left it: it is lost, or an earlier one. */
    record StateLost(long at, String node) implements Fact { }

    /** The trigger of a fault was not met by the day's end. */
    record NeverCame(long at, String what) implements Fact { }

    /** The node closed the connection on which the mail's last response was 200. */
    record Closed(long at, String id, String receiver) implements Fact { }

    /** The observers were late by so many nanoseconds, so that their timestamps of that time can't be trusted. */
    record Late(long at, long length) implements Fact { }

    /** The fact as a line of a timeline. */
    static String timelineLine(Fact fact) {
        String text = fact.toString();
        return String.format(Locale.ROOT, "%10.4f s  %s", (fact.at() - 1_000_000_000L) / 1e9,
                text.replaceFirst("\\[at=\\d+, ", " ").replaceAll("]$", ""));
    }
}
