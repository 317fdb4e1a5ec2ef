package wrenreach.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * A table of the operator's file and the record that it is read into. Each component of the record is a boolean, int, long, double,
 * String, Path or a list of String or Integer, and has a {@link Key}. The constructor of the record may check rules that span several
 * keys and throw IllegalArgumentException.
 */
public record Section<S extends Record>(String name, Class<S> type) {
    private static final Pattern BEFORE_CAPITAL = Pattern.compile("(?=[A-Z])");

    /** One key of a section. */
    record Entry(String name, Key key, Class<?> type, boolean integerList) {
        /** Parses the text of a default or a limit. */
        Object parse(String text) {
            if (type == boolean.class) {
                return Boolean.valueOf(text);
            } else if (type == double.class) {
                return Double.valueOf(text);
            } else if (type == int.class) {
                return (int) key.unit().parse(text);
            } else if (type == long.class) {
                return key.unit().parse(text);
            } else if (type == Path.class) {
                return Path.of(text);
            } else if (type == List.class) {
                List<String> parts = text.isEmpty() ? List.of() : List.of(text.split(","));
                return integerList ? parts.stream().map(Integer::valueOf).toList() : parts;
            }
            return text;
        }

        /** Formats a value as it is written in the file. */
        String format(Object value) {
            if (value instanceof Number number && type != double.class) {
                return key.unit() == Unit.PLAIN ? value.toString() : '"' + key.unit().format(number.longValue()) + '"';
            } else if (value instanceof List<?> list) {
                return "[" + String.join(", ", list.stream()
                        .map(one -> integerList ? one.toString() : "\"" + one + "\"").toList()) + "]";
            }
            return value instanceof String || value instanceof Path ? "\"" + value + "\"" : String.valueOf(value);
        }
    }

    List<Entry> entries() {
        return Arrays.stream(type.getRecordComponents()).map(Section::entry).toList();
    }

    private static Entry entry(RecordComponent component) {
        String name = String.join("_", BEFORE_CAPITAL.split(component.getName())).toLowerCase(Locale.ROOT);
        return new Entry(name, component.getAnnotation(Key.class), component.getType(),
                component.getGenericType().getTypeName().endsWith("<java.lang.Integer>"));
    }

    /** Reads a table into its record. Problems are passed to the consumer with key and text but no line, and the result is then null. */
    S read(JsonNode table, Consumer<FileProblem> problems) {
        List<Object> values = new ArrayList<>();
        boolean[] failed = {false};
        Consumer<FileProblem> collector = problem -> {
            failed[0] = true;
            problems.accept(problem);
        };
        for (Entry entry : entries()) {
            values.add(value(entry, table.get(entry.name), collector));
        }
        if (failed[0]) {
            return null;
        }
        try {
            Class<?>[] types = Arrays.stream(type.getRecordComponents()).map(RecordComponent::getType)
                    .toArray(Class<?>[]::new);
            Constructor<S> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values.toArray());
        } catch (InvocationTargetException e) {
            problems.accept(new FileProblem(0, "", e.getCause().getMessage()));
            return null;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("section " + name + " has no usable record", e);
        }
    }

    private static Object value(Entry entry, JsonNode given, Consumer<FileProblem> problems) {
        Key key = entry.key;
        try {
            if (given == null) {
                if (key.byDefault().equals(Key.REQUIRED)) {
                    throw new IllegalArgumentException("is missing: " + key.about());
                }
                return entry.parse(key.byDefault());
            }
            Object value = convert(entry, given);
            check(entry, value);
            return value;
        } catch (IllegalArgumentException e) {
            problems.accept(new FileProblem(0, entry.name, e.getMessage()));
            return null;
        }
    }

    private static Object convert(Entry entry, JsonNode given) {
        Class<?> type = entry.type;
        if (type == boolean.class && given.isBoolean()) {
            return given.booleanValue();
        } else if (type == double.class && given.isNumber()) {
            return given.doubleValue();
        } else if (type == int.class && entry.key.unit() == Unit.PLAIN && given.canConvertToInt()
                && given.isIntegralNumber()) {
            return given.intValue();
        } else if (type == long.class && entry.key.unit() == Unit.PLAIN && given.isIntegralNumber()
                && given.canConvertToLong()) {
            return given.longValue();
        } else if ((type == long.class || type == int.class) && entry.key.unit() != Unit.PLAIN && given.isTextual()) {
            return entry.parse(given.textValue());
        } else if (type == String.class && given.isTextual()) {
            return given.textValue();
        } else if (type == Path.class && given.isTextual() && !given.textValue().isEmpty()) {
            return Path.of(given.textValue());
        } else if (type == List.class && given.isArray() && entry.integerList) {
            List<Integer> all = new ArrayList<>();
            for (JsonNode one : given) {
                if (!one.isIntegralNumber() || !one.canConvertToInt()) {
                    throw new IllegalArgumentException("is a list of whole numbers, not " + given);
                }
                all.add(one.intValue());
            }
            return List.copyOf(all);
        } else if (type == List.class && given.isArray()) {
            List<String> texts = new ArrayList<>();
            for (JsonNode one : given) {
                if (!one.isTextual()) {
                    throw new IllegalArgumentException("is a list of texts, not " + given);
                }
                texts.add(one.textValue());
            }
            return List.copyOf(texts);
        }
        String expectedForm = type == boolean.class ? "true or false" : type == String.class ? "a text in quotes"
                : type == Path.class ? "the path of a file in quotes" : type == List.class ? entry.integerList ? "a list of whole numbers" : "a list of texts"
                : type == double.class ? "a number" : entry.key.unit() == Unit.PLAIN ? "a whole number"
                : entry.key.unit().expectedForm();
        throw new IllegalArgumentException("is " + expectedForm + ", not " + given);
    }

    private static void check(Entry entry, Object value) {
        Key key = entry.key;
        if (key.oneOf().length > 0 && !List.of(key.oneOf()).contains(value.toString())) {
            throw new IllegalArgumentException("is one of " + String.join(", ", key.oneOf()) + ", not " + value
                    + NameSuggestion.hint(value.toString(), List.of(key.oneOf())));
        }
        if (value instanceof Number number) {
            if (!Double.isFinite(number.doubleValue())) {
                throw new IllegalArgumentException("is not a finite number");
            }
            checkBound(entry, number, key.least(), true);
            checkBound(entry, number, key.most(), false);
        }
    }

    /** Throws IllegalArgumentException where a value is beyond a limit; an empty limit is none. */
    private static void checkBound(Entry entry, Number value, String limit, boolean minimum) {
        if (!limit.isEmpty()) {
            int order = Double.compare(value.doubleValue(), ((Number) entry.parse(limit)).doubleValue());
            if (minimum ? order < 0 : order > 0) {
                throw new IllegalArgumentException("is " + entry.format(value) + ", but at " + (minimum ? "least " : "most ")
                        + limit + " is allowed");
            }
        }
    }

    /**
     * Returns the section that applies after a reload: live keys have the values of the newer section, all others keep theirs.
     * Where the record's constructor rejects that combination, the section in force stays whole, so that a subsystem never sees part
     * of a change.
     */
    @SuppressWarnings("unchecked")
    public S mergeReloaded(Record inForce, Record newer) {
        try {
            RecordComponent[] components = type.getRecordComponents();
            Object[] values = new Object[components.length];
            Class<?>[] types = new Class<?>[components.length];
            for (int i = 0; i < components.length; i++) {
                components[i].getAccessor().setAccessible(true);
                types[i] = components[i].getType();
                values[i] = components[i].getAccessor().invoke(entry(components[i]).key.live() ? newer : inForce);
            }
            Constructor<S> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            return (S) inForce;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the value of a key, formatted as in the file. */
    String formattedValue(Record section, Entry entry) {
        try {
            for (RecordComponent component : type.getRecordComponents()) {
                if (entry(component).name.equals(entry.name)) {
                    component.getAccessor().setAccessible(true);
                    return entry.format(component.getAccessor().invoke(section));
                }
            }
            throw new IllegalArgumentException(entry.name);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
