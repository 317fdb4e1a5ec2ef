package wrenreach.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which line of a file in TOML each key stands on. The library that reads the file does not tell; this looks at a file
 * that it has found to be sound, so only heads of tables, keys at the start of a line, and texts and lists of several
 * lines need to be told apart. A key that is not found (an inline table's) has its table's line.
 */
final class TomlLineIndex {
    private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[\\[?\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY_AND_VALUE = Pattern.compile("\\s*([A-Za-z0-9_.\"'\\s-]+?)\\s*=(.*)");

    private final Map<String, Integer> lines = new HashMap<>();

    TomlLineIndex(String text) {
        String table = "";
        String fence = null;
        int open = 0;
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String rest = line;
            if (fence != null) {
                int end = line.indexOf(fence);
                if (end < 0) {
                    continue;
                }
                rest = line.substring(end + 3);
                fence = null;
            } else if (open == 0) {
                Matcher head = TABLE_HEADER.matcher(line);
                Matcher key = KEY_AND_VALUE.matcher(line);
                if (head.matches()) {
                    table = withoutQuotes(head.group(1));
                    lines.putIfAbsent(table, number);
                    continue;
                }
                if (!key.matches()) {
                    continue;
                }
                lines.putIfAbsent((table.isEmpty() ? "" : table + ".") + withoutQuotes(key.group(1)), number);
                rest = key.group(2);
            }
            for (int i = 0; i < rest.length(); i++) {
                char c = rest.charAt(i);
                if (c == '#') {
                    break;
                } else if (c == '"' || c == '\'') {
                    String three = String.valueOf(c).repeat(3);
                    if (rest.startsWith(three, i)) {
                        int end = rest.indexOf(three, i + 3);
                        if (end < 0) {
                            fence = three;
                            break;
                        }
                        i = end + 2;
                    } else {
                        i = closingQuote(rest, i);
                    }
                } else if (c == '[' || c == '{') {
                    open++;
                } else if (c == ']' || c == '}') {
                    open--;
                }
            }
        }
    }

    private static int closingQuote(String text, int from) {
        char quote = text.charAt(from);
        int i = from + 1;
        while (i < text.length() && text.charAt(i) != quote) {
            i += text.charAt(i) == '\\' && quote == '"' ? 2 : 1;
        }
        return i;
    }

    private static String withoutQuotes(String name) {
        return name.replaceAll("[\"'\\s]", "");
    }

    /** The line of a key's path, or of what it stands in; 0: unknown. */
    int lineOf(String path) {
        for (String at = path; !at.isEmpty(); at = at.contains(".") ? at.substring(0, at.lastIndexOf('.')) : "") {
            Integer line = lines.get(at);
            if (line != null) {
                return line;
            }
        }
        return 0;
    }
}
