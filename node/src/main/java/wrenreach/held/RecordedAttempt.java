package wrenreach.held;

/**
 * A delivery attempt as the ledger records it.
 *
 * @param number the attempt's number within its mail
 * @param endpoint name of the endpoint that it went to
 * @param zone number of the endpoint's zone
 * @param sentAt microseconds by the clock of the records, see {@link TimeBase}
 * @param neverRan whether it is known that the receiver never ran it
 */
public record RecordedAttempt(int number, String endpoint, int zone, long sentAt, boolean neverRan) { }
