package wrenreach.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How a number is written in the operator's file, and what it counts inside. */
public enum Unit {
    /** A number as it stands. */
    PLAIN("a number", Map.of()),
    /** Whole microseconds inside. */
    DURATION("a time such as \"500ms\" (us, ms, s, m, h)", orderedFactors("h", 3_600_000_000L, "m", 60_000_000L,
            "s", 1_000_000L, "ms", 1000L, "us", 1L)),
    /** Bytes inside. */
    SIZE("a size such as \"64KiB\" (B, KiB, MiB, GiB)", orderedFactors("GiB", 1L << 30, "MiB", 1L << 20, "KiB", 1L << 10,
            "B", 1L));

    private static final Pattern NUMBER = Pattern.compile("([0-9]{1,15})([A-Za-z]+)");

    private final String expectedForm;
    private final Map<String, Long> factors;

    Unit(String form, Map<String, Long> steps) {
        this.expectedForm = form;
        this.factors = steps;
    }

    private static Map<String, Long> orderedFactors(Object... namesAndValues) {
        Map<String, Long> steps = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            steps.put((String) namesAndValues[i], (Long) namesAndValues[i + 1]);
        }
        return steps;
    }

    /** What a value has to look like. */
    String expectedForm() {
        return expectedForm;
    }

    /** The number that a text stands for; IllegalArgumentException says what it should look like. */
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

    /** The shortest text that stands for the number. */
    public String format(long value) {
        for (Map.Entry<String, Long> step : factors.entrySet()) {
            if (value != 0 && value % step.getValue() == 0) {
                return value / step.getValue() + step.getKey();
            }
        }
        return this == PLAIN ? Long.toString(value) : "0" + (this == DURATION ? "ms" : "B");
    }
}
