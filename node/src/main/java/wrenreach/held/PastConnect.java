package wrenreach.held;

/** A connect as the journal knows it; sentAt in wall time. */
public record PastConnect(int number, String endpoint, int zone, long sentAt, boolean neverRan) { }
