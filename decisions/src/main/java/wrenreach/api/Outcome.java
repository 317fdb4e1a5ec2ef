package wrenreach.api;

/** How a delivery attempt ended. The simple class names appear in log lines. */
public sealed interface Outcome {
    /** Whether the outcome proves that the attempt had no effect at the receiver. */
    default boolean neverRan() {
        return false;
    }

    /** How long the receiver asks to wait, in microseconds; 0 if it did not say. Heeded also where the response can't be taken for this attempt's. */
    default long retryAfter() {
        return 0;
    }

    /** The receiver accepted the mail. */
    record Delivered() implements Outcome { }

    /** The receiver answered with an error; it may have processed the mail. */
    record ServerError() implements Outcome { }

    /**
     * The receiver refused the mail without processing it.
     *
     * @param retryAfter how long it asks to wait, in microseconds; 0 if it did not say
     */
    record Rejected(long retryAfter) implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }

    /** No response by the timeout of the attempt. */
    record TimedOut() implements Outcome { }

    /** No connection could be established. */
    record ConnectFailed() implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }

    /**
     * The connection broke before a response was complete that is certain to be this attempt's.
     *
     * @param retryAfter how long what came asks to wait, in microseconds; 0 if it did not say
     */
    record ConnectionLost(long retryAfter) implements Outcome {
        public ConnectionLost() {
            this(0);
        }
    }

    /** The node stopped waiting for the response; the receiver may have processed the mail. */
    record Cancelled() implements Outcome { }

    /** This machine could not make the attempt. That says nothing about the endpoint, and the attempt does not count. */
    record LocalFault() implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }

    /**
     * The attempt had no effect and says nothing about the health of the endpoint, for example because it was not sent.
     *
     * @param noSlot whether the receiver had no free slot for the call
     */
    record NotSent(boolean noSlot) implements Outcome {
        @Override public boolean neverRan() {
            return true;
        }
    }
}
