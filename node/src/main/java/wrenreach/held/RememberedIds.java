package wrenreach.held;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The ids of mails that have ended, so that a mail that is submitted again has no second effect. They are kept for a limited time and in
 * limited space, the latest ones. Times are microseconds of a clock that only goes forward. Owned by one thread.
 */
public final class RememberedIds {
    private final long maxAgeMicros;
    private final long maxBytes;
    private final int overheadBytes;
    /** When the mail of each id ended, the oldest first. */
    private final Map<String, Long> endedAt = new LinkedHashMap<>();
    private long bytes;

    /**
     * Remembers nothing yet.
     *
     * @param maxBytes bytes that the ids may take
     * @param overheadBytes bytes that an id takes beside its length
     */
    public RememberedIds(long maxAgeMicros, long maxBytes, int overheadBytes) {
        this.maxAgeMicros = maxAgeMicros;
        this.maxBytes = maxBytes;
        this.overheadBytes = overheadBytes;
    }

    /** Whether any id is remembered at all. */
    public boolean enabled() {
        return maxAgeMicros > 0 && maxBytes > 0;
    }

    /** Whether the id is remembered. */
    public boolean contains(String id) {
        return endedAt.containsKey(id);
    }

    /** Bytes that may still be taken. */
    public long freeBytes() {
        return Math.max(0, maxBytes - bytes);
    }

    /** The mail of this id ended at that time. */
    public void add(String id, long at) {
        remove(id);
        endedAt.put(id, at);
        bytes += bytesOf(id);
    }

    /** Forgets the id. */
    public void remove(String id) {
        if (endedAt.remove(id) != null) {
            bytes -= bytesOf(id);
        }
    }

    /** Forgets ids that are too old or exceed the space, at most so many; returns them. */
    public List<String> expire(long now, int maxCount) {
        List<String> expired = new ArrayList<>();
        for (Iterator<Map.Entry<String, Long>> all = endedAt.entrySet().iterator(); all.hasNext() && expired.size() < maxCount;) {
            Map.Entry<String, Long> oldest = all.next();
            if (oldest.getValue() >= now - maxAgeMicros && bytes <= maxBytes) {
                break;
            }
            all.remove();
            bytes -= bytesOf(oldest.getKey());
            expired.add(oldest.getKey());
        }
        return expired;
    }

    /** From now on another clock applies: all ids count as of this time. */
    public void restartClock(long now) {
        endedAt.replaceAll((id, at) -> now);
    }

    /** Passes on each id, the oldest first. */
    public void forEach(Consumer<String> consumer) {
        endedAt.keySet().forEach(consumer);
    }

    private long bytesOf(String id) {
        return id.length() + overheadBytes;
    }
}
