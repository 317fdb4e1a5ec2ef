package wrenreach.net;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import wrenreach.log.LogEvent;
import wrenreach.log.LogRateLimiter;

/** Counts responses that belong to no call, or may belong to none, and logs them at a limited rate. */
final class StrayResponses {
    private static final System.Logger LOG = System.getLogger(Calls.class.getName());
    /** Log lines in each window; further ones are only counted. */
    private static final int MAX_LOG_LINES = 10;
    /** Length of that window, in microseconds. */
    private static final long LOG_WINDOW_US = 10_000_000;

    /** How a response was found to belong to no call. */
    enum Kind {
        /** It came while no call was in flight on the connection. */
        IDLE,
        /** It came before its request was written whole. */
        EARLY,
        /** An equal response came before on the connection. */
        REPEATED,
        /** Another response begins within it. */
        MERGED,
        /** It can't be read, or not whole, on a connection that carried other calls. */
        UNREADABLE
    }

    private final Map<Kind, Integer> counts = new EnumMap<>(Kind.class);
    private final LogRateLimiter logLimiter = new LogRateLimiter(MAX_LOG_LINES, LOG_WINDOW_US);

    /** How many there were of a kind. */
    int count(Kind kind) {
        return counts.getOrDefault(kind, 0);
    }

    /**
     * Counts a stray response.
     *
     * @param before id of the message whose call ended last on the connection, empty if none did
     * @param during id of the message whose call was in flight, empty if none was
     * @param detail what came
     * @param now the time, in microseconds
     */
    void found(Kind kind, InetSocketAddress address, int connection, String before, String during, String detail, long now) {
        counts.merge(kind, 1, Integer::sum);
        if (logLimiter.tryAcquire(now)) {
            int suppressed = logLimiter.suppressed();
            LogEvent.log(LOG, Level.WARNING, "answer.stray", "stray response ({kind}) on connection {connection} to {address}, which is closed: {detail}; "
                    + "message before {before}, message in flight {during}; so far: {counts}{more}", "kind", name(kind), "connection", connection, "address",
                    Addresses.format(address), "detail", detail, "before", before.isEmpty() ? "none" : before, "during", during.isEmpty() ? "none" : during,
                    "counts", counts.entrySet().stream().map(one -> name(one.getKey()) + " " + one.getValue()).collect(Collectors.joining(", ")),
                    "more", suppressed == 0 ? "" : "; " + suppressed + " more before it are not listed");
        }
    }

    private static String name(Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
