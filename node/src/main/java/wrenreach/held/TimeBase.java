package wrenreach.held;

/**
 * The clock that the times of records are read by: the machine's monotonic time in microseconds plus an offset. It stays the same for
 * all processes of one boot of the machine, so a span between two records, or to now, is real time whatever happens to the wall clock.
 *
 * @param boot what names the boot; empty where the machine does not tell
 * @param offset chosen at the first start in the boot so that the time was the wall's just then
 */
public record TimeBase(String boot, long offset) { }
