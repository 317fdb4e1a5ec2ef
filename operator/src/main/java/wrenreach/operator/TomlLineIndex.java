package wrenreach.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of each key of a TOML file, which the parsing library does not report. The file has passed that parser
 * already, so only table headers, keys at the start of a line, and multi-line strings and lists have to be told apart. A key that is
 * not found (one of an inline table) is given the line of its table.
 */
final class TomlLineIndex {
    private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[\\[?\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY_AND_VALUE = Pattern.compile("\\s*([A-Za-z0-9_.\"'\\s-]+?)\\s*=(.*)");

    private final Map<String, Integer> lines = new HashMap<>();

    TomlLineIndex(String text) {
        String table = "";
        String openDelimiter = null;
        int openBrackets = 0;
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            String rest = line;
            if (openDelimiter != null) {
                int end = line.indexOf(openDelimiter);
                if (end < 0) {
                    continue;
                }
                rest = line.substring(end + 3);
                openDelimiter = null;
            } else if (openBrackets == 0) {
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
                    String delimiter = String.valueOf(c).repeat(3);
                    if (rest.startsWith(delimiter, i)) {
                        int end = rest.indexOf(delimiter, i + 3);
                        if (end < 0) {
                            openDelimiter = delimiter;
                            break;
                        }
                        i = end + 2;
                    } else {
                        i = closingQuote(rest, i);
                    }
                } else if (c == '[' || c == '{') {
                    openBrackets++;
                } else if (c == ']' || c == '}') {
                    openBrackets--;
                }
            }
        }
    }

    /** Returns the index of the quote that closes the string that starts at the given index. */
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

    /** Returns the line of a dotted path, or of the nearest enclosing table; 0 where neither is known. */
    int lineOf(String path) {
        for (String prefix = path; !prefix.isEmpty(); prefix = prefix.contains(".") ? prefix.substring(0, prefix.lastIndexOf('.')) : "") {
            Integer line = lines.get(prefix);
            if (line != null) {
                return line;
            }
        }
        return 0;
    }
}
