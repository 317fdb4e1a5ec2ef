package wrenreach.log;

import java.lang.System.Logger.Level;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One event that staff act on: a name that stays the same from release to release, its own fields, and the line that
 * people read. Plain logs print the line; structured ones print name and fields beside it.
 */
public record LogEvent(String name, String text, Map<String, Object> fields) {
    /**
     * Logs an event where the level is on. pattern: the line, with {field} where a field's value goes; fields: names
     * and values in turn, in the order they are printed.
     */
    public static void log(System.Logger log, Level level, String name, String pattern, Object... fields) {
        log(log, level, null, name, pattern, fields);
    }

    /** The same with what was thrown; null: nothing was. */
    public static void log(System.Logger log, Level level, Throwable thrown, String name, String pattern,
                            Object... fields) {
        if (!log.isLoggable(level)) {
            return;
        }
        LogEvent event = of(name, pattern, fields);
        if (thrown == null) {
            log.log(level, "{0}", event);
        } else {
            // System.Logger takes no parameters beside a throwable: the fields go with the line.
            log.log(level, event.text, thrown);
        }
    }

    /** The event of a pattern; IllegalArgumentException where the fields are no pairs. */
    static LogEvent of(String name, String pattern, Object... fields) {
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException("fields of " + name + " are no pairs");
        }
        Map<String, Object> named = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            named.put(fields[i].toString(), fields[i + 1]);
        }
        StringBuilder text = new StringBuilder();
        int at = 0;
        for (int open = pattern.indexOf('{'); open >= 0; open = pattern.indexOf('{', at)) {
            int close = pattern.indexOf('}', open);
            text.append(pattern, at, open).append(named.get(pattern.substring(open + 1, close)));
            at = close + 1;
        }
        return new LogEvent(name, text.append(pattern.substring(at)).toString(), named);
    }

    /** The line that people read; what came from outside can't begin a line of its own. */
    @Override public String toString() {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
