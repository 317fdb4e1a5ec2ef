package wrenreach.log;

import java.lang.System.Logger.Level;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A log event that operators act on: a name that stays the same from release to release, its own fields, and a message for people. Plain logs
 * print the message; structured ones print the name and the fields as well.
 */
public record LogEvent(String name, String text, Map<String, Object> fields) {
    /**
     * Logs an event if the level is enabled.
     *
     * @param name the event's name
     * @param pattern the message, with {field} in the place of a field's value
     * @param fields names and values in turn, in the order in which they are printed
     */
    public static void log(System.Logger log, Level level, String name, String pattern, Object... fields) {
        log(log, level, null, name, pattern, fields);
    }

    /** The same with a throwable; null: none. */
    public static void log(System.Logger log, Level level, Throwable thrown, String name, String pattern,
                            Object... fields) {
        if (!log.isLoggable(level)) {
            return;
        }
        LogEvent event = of(name, pattern, fields);
        if (thrown == null) {
            log.log(level, "{0}", event);
        } else {
            // System.Logger takes no parameters together with a throwable: the fields are only in the message.
            log.log(level, event.text, thrown);
        }
    }

    /** The event of a pattern. Throws IllegalArgumentException if the fields are not pairs of name and value. */
    static LogEvent of(String name, String pattern, Object... fields) {
        if (fields.length % 2 != 0) {
            throw new IllegalArgumentException("fields of " + name + " are no pairs");
        }
        Map<String, Object> byName = new LinkedHashMap<>();
        for (int i = 0; i < fields.length; i += 2) {
            byName.put(fields[i].toString(), fields[i + 1]);
        }
        StringBuilder text = new StringBuilder();
        int at = 0;
        for (int open = pattern.indexOf('{'); open >= 0; open = pattern.indexOf('{', at)) {
            int close = pattern.indexOf('}', open);
            text.append(pattern, at, open).append(byName.get(pattern.substring(open + 1, close)));
            at = close + 1;
        }
        return new LogEvent(name, text.append(pattern.substring(at)).toString(), byName);
    }

    /** The message as one line: line breaks in it become blanks, so that text from outside can't begin a line of its own. */
    @Override public String toString() {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
