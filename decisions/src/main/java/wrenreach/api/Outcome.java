package wrenreach.api;

/** How a connect ended. */
public sealed interface Outcome {
    /** Whether this proves that the mail took no effect. */
    default boolean neverRan() {
        return false;
    }

    /** The mail was delivered. */
    record Delivered() implements Outcome { }

    /** The destination answered with an error. */
    record ServerError() implements Outcome { }

    /** Turned away unseen; pause is 0 where no wait was told. */
    record Rejected(long retryAfter) implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }

    /** No answer by the cut-off. */
    record TimedOut() implements Outcome { }

    /** No connection could be had. */
    record ConnectFailed() implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }

    /** The connection broke under way. */
    record ConnectionLost() implements Outcome { }

    /** Revoked by the node. */
    record Cancelled() implements Outcome { }

    /** This machine could not make the attempt: that says nothing of the endpoint, and the attempt does not count. */
    record LocalFault() implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }

    /** It never left the node. */
    record NotSent(boolean noSlot) implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }
}
