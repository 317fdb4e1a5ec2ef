package wrenreach.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The unit of a number: how it is written in the operator's file, and what it is converted to. */
public enum Unit {
    /** A plain number, not converted. */
    PLAIN("a number", Map.of()),
    /** A time, converted to whole microseconds. */
    DURATION("a time such as \"500ms\" (us, ms, s, m, h)", orderedFactors("h", 3_600_000_000L, "m", 60_000_000L,
            "s", 1_000_000L, "ms", 1000L, "us", 1L)),
    /** A size, converted to bytes. */
    SIZE("a size such as \"64KiB\" (B, KiB, MiB, GiB)", orderedFactors("GiB", 1L << 30, "MiB", 1L << 20, "KiB", 1L << 10,
            "B", 1L));

    private static final Pattern NUMBER = Pattern.compile("([0-9]{1,15})([A-Za-z]+)");

    private final String expectedForm;
    /** Suffixes and their factors, largest first. */
    private final Map<String, Long> factors;

    Unit(String expectedForm, Map<String, Long> factors) {
        this.expectedForm = expectedForm;
        this.factors = factors;
    }

    private static Map<String, Long> orderedFactors(Object... namesAndValues) {
        Map<String, Long> factors = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            factors.put((String) namesAndValues[i], (Long) namesAndValues[i + 1]);
        }
        return factors;
    }

    /** Describes the expected form of a value, for error messages. */
    String expectedForm() {
        return expectedForm;
    }

    /** Parses a text; throws IllegalArgumentException with the expected form if it is malformed or too large. */
    public long parse(String text) {
        Matcher parts = NUMBER.matcher(text.strip());
        if (this == PLAIN) {
            return Long.parseLong(text.strip());
        }
        if (!parts.matches() || !factors.containsKey(parts.group(2))) {
            throw new IllegalArgumentException("is " + expectedForm + ", not \"" + text + "\"");
        }
        try {
            return Math.multiplyExact(Long.parseLong(parts.group(1)), factors.get(parts.group(2)));
        } catch (ArithmeticException e) {
            throw new IllegalArgumentException("\"" + text + "\" is too large", e);
        }
    }

    /** Formats a number with the largest suffix that divides it; parse returns the same number. */
    public String format(long value) {
        for (Map.Entry<String, Long> factor : factors.entrySet()) {
            if (value != 0 && value % factor.getValue() == 0) {
                return value / factor.getValue() + factor.getKey();
            }
        }
        return this == PLAIN ? Long.toString(value) : "0" + (this == DURATION ? "ms" : "B");
    }
}
