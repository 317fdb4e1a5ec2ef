package wrenreach.net;

import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import wrenreach.log.LogEvent;

/**
 * Counts why client connections were closed and tells of it in one line a while: nobody outside can flood the log by connecting.
 * Owned by the event loop.
 */
final class ClosedConnections {
    private static final System.Logger LOG = System.getLogger(ClosedConnections.class.getName());
    /** Between two lines, in microseconds. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** Why a connection was closed. */
    enum Reason {
        /** The client closed it, or it broke. */
        CLOSED_BY_CLIENT,
        /** A read or write of it failed. */
        BROKEN,
        /** It was idle for longer than it may be. */
        IDLE,
        /** A request was not whole in time. */
        REQUEST_TOO_SLOW,
        /** What came is no request, or too large. */
        UNREADABLE,
        /** There are more connections than may be kept; it was unused for longest. */
        TOO_MANY_CONNECTIONS,
        /** The node shuts down. */
        SHUTDOWN
    }

    private final Map<Reason, Integer> countsSinceLastLine = new EnumMap<>(Reason.class);
    private final Map<Reason, Integer> totalCounts = new EnumMap<>(Reason.class);
    private long nextLogAt;

    /** One was closed; now: microseconds of the loop's clock; unanswered: requests that were read on it and have no answer. */
    void count(Reason reason, int unanswered, long now) {
        countsSinceLastLine.merge(reason, 1, Integer::sum);
        totalCounts.merge(reason, 1, Integer::sum);
        if (unanswered > 0) {
            LogEvent.log(LOG, Level.DEBUG, "client.unanswered", "closed with {count} requests unanswered: {reason}", "count", unanswered,
                    "reason", reason);
        }
        if (now >= nextLogAt) {
            nextLogAt = now + LOG_INTERVAL_US;
            String told = countsSinceLastLine.entrySet().stream().map(one -> one.getKey().name().toLowerCase(Locale.ROOT) + " " + one.getValue())
                    .collect(Collectors.joining(", "));
            LogEvent.log(LOG, Level.INFO, "client.closed", "client connections closed since the line before: {reasons}", "reasons", told);
            countsSinceLastLine.clear();
        }
    }

    /** How many were closed for this reason since the start. */
    int total(Reason reason) {
        return totalCounts.getOrDefault(reason, 0);
    }
}
