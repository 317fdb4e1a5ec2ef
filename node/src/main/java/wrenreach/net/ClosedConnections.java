package wrenreach.net;

import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import wrenreach.log.LogEvent;

/**
 * Counts closed client connections by reason and logs the counts at most every 10 s, so that nobody can flood the log by connecting.
 * Owned by the event loop.
 */
final class ClosedConnections {
    private static final System.Logger LOG = System.getLogger(ClosedConnections.class.getName());
    /** Least time between two log lines, in microseconds. */
    private static final long LOG_INTERVAL_US = 10_000_000;

    /** Why a connection was closed. */
    enum Reason {
        /** The client closed it, or it broke. */
        CLOSED_BY_CLIENT,
        /** A read or write of it failed. */
        BROKEN,
        /** It exceeded the idle timeout. */
        IDLE,
        /** A request was not complete in time. */
        REQUEST_TOO_SLOW,
        /** The input was not a request, or too large. */
        UNREADABLE,
        /** There were more connections than may be kept, and this one was unused for the longest time. */
        TOO_MANY_CONNECTIONS,
        /** The node shuts down. */
        SHUTDOWN
    }

    private final Map<Reason, Integer> countsSinceLastLine = new EnumMap<>(Reason.class);
    private final Map<Reason, Integer> totalCounts = new EnumMap<>(Reason.class);
    private long nextLogAt;

    /** Counts a closed connection; unanswered: requests read on it that got no reply; now: microseconds of the loop's ticker. */
    void count(Reason reason, int unanswered, long now) {
        countsSinceLastLine.merge(reason, 1, Integer::sum);
        totalCounts.merge(reason, 1, Integer::sum);
        if (unanswered > 0) {
            LogEvent.log(LOG, Level.DEBUG, "client.unanswered", "closed with {count} requests unanswered: {reason}", "count", unanswered,
                    "reason", reason);
        }
        if (now >= nextLogAt) {
            nextLogAt = now + LOG_INTERVAL_US;
            String reasons = countsSinceLastLine.entrySet().stream().map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + " " + entry.getValue())
                    .collect(Collectors.joining(", "));
            LogEvent.log(LOG, Level.INFO, "client.closed", "client connections closed since the line before: {reasons}", "reasons", reasons);
            countsSinceLastLine.clear();
        }
    }

    /** Connections closed for this reason since the start of the process. */
    int total(Reason reason) {
        return totalCounts.getOrDefault(reason, 0);
    }
}
