package wrenreach.held;

/** A connect as the journal knows it; sentAt by the clock of the records. */
public record RecordedAttempt(int number, String endpoint, int zone, long sentAt, boolean neverRan) { }
