package wrenreach.held;

/**
 * The clock that the times of recorded entries are measured by: the machine's monotonic time in microseconds plus an offset. It stays the same for
 * all processes of one boot of the machine, so the time between two records, or from a record to now, is real time whatever happens
 * to the wall clock.
 *
 * @param boot identifies the boot; empty where the machine does not provide an identifier
 * @param offset in microseconds; chosen at the first start within the boot so that the time equalled the wall clock at that moment
 */
public record TimeBase(String boot, long offset) { }
