package wrenreach.api;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses the settings that the wire protocol passes as lines of path=value. Lines without a path are ignored; times are given in seconds. */
public final class SettingsText {
    private final Map<String, String> values = new HashMap<>();

    private SettingsText(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    /**
     * Parses the text.
     *
     * @param seed seed of the random numbers of the node; not part of the text
     * @throws IllegalArgumentException if a setting is missing or unreadable; the message names its path
     */
    public static Settings read(String text, long seed) {
        return new SettingsText(text).settings(seed);
    }

    private Settings settings(long seed) {
        List<String> reportNames = splitList("Feedback.Names");
        return new Settings(optionalCount("Me", 0), Math.max(1, optionalCount("GroupSize", 1)), optionalCount("Zone", 0), durationMicros("Tick"), seed,
                requiredCount("Limits.MaxOpen"), requiredCount("FamilyInfo.MaxCalls"), optionalCount("Limits.TryLimit", 1),
                Math.max(1, optionalCount("Limits.MaxStreams", 1)), optionalFlag("Limits.ParallelTries"), optionalFlag("Limits.Cancelling"),
                optionalFlag("Limits.RetryAfter"), durationMicros("Limits.MaxRetryAfter", 0), durationMicros("Limits.ConnIdle", 0),
                durationMicros("Limits.ConnectTimeout", 0), "ask".equals(values.get("Discovery")),
                durationMicros("Rules.MustAskIn", 0), List.of("nominal", "rough").contains(text("Weights")),
                "rough".equals(text("Weights")), optionalNumber("OverShareWorth", 1), reportNames.indexOf("x0"),
                reportNames.indexOf("x1"), classes(), kinds(), tenants(), rules());
    }

    private List<Settings.QueueClass> classes() {
        List<Settings.QueueClass> classes = new ArrayList<>();
        for (int i = 0; i < requiredCount("Classes.count"); i++) {
            String prefix = "Classes." + i + ".";
            classes.add(new Settings.QueueClass(durationMicros(prefix + "Promise"), durationMicros(prefix + "Deadline"),
                    optionalNumber(prefix + "Value", 1), optionalNumber(prefix + "LateShare", 0),
                    "by_half".equals(text("FamilyInfo.Decay")), effect(prefix + "Effect"), deduplicationScope(prefix + "KeyScope"),
                    durationMicros(prefix + "Window", 0), optionalFlag(prefix + "InTurn")));
        }
        return classes;
    }

    private List<Settings.DestinationKind> kinds() {
        List<String> routePerEndpoint = splitList("FamilyInfo.KindApart");
        List<String> batchSizes = splitList("FamilyInfo.BatchByKind");
        int count = Math.max(splitList("Kinds").size(), Math.max(routePerEndpoint.size(), batchSizes.size()));
        List<Settings.DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            kinds.add(new Settings.DestinationKind(i < routePerEndpoint.size() && parseBoolean("FamilyInfo.KindApart", routePerEndpoint.get(i)),
                    i < batchSizes.size() ? (int) parseNumber("FamilyInfo.BatchByKind", batchSizes.get(i)) : 1));
        }
        return kinds;
    }

    private List<Settings.Tenant> tenants() {
        List<Settings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < optionalCount("Tenants.count", 0); i++) {
            tenants.add(new Settings.Tenant(optionalNumber("Tenants." + i + ".QuotaPerS", 0)));
        }
        return tenants;
    }

    private Settings.Rules rules() {
        return new Settings.Rules(durationMicros("Rules.AnswerSlack", 0), durationMicros("Rules.DrainGrace", 0),
                optionalNumber("Rules.ColdFrom", 1), durationMicros("Rules.Cold", 0), optionalNumber("Rules.OverloadFactor", 1),
                durationMicros("Rules.TipAfter", 0), durationMicros("Rules.OrderSettle", 0));
    }

    /** Parses a required {@link Settings.Effect}. */
    private Settings.Effect effect(String path) {
        return switch (requiredText(path)) {
            case "pure" -> Settings.Effect.REDELIVERABLE;
            case "token" -> Settings.Effect.TAGGED;
            case "side_effect" -> Settings.Effect.ONCE_ONLY;
            default -> throw unreadable(path, values.get(path));
        };
    }

    /** Parses an optional {@link Settings.DeduplicationScope}; ALL if it is missing. */
    private Settings.DeduplicationScope deduplicationScope(String path) {
        String scope = values.get(path);
        if (scope == null || scope.isEmpty() || scope.equals("all") || scope.equals("silent")) {
            return Settings.DeduplicationScope.ALL;
        }
        return switch (scope) {
            case "zone" -> Settings.DeduplicationScope.ZONE;
            case "cell" -> Settings.DeduplicationScope.ENDPOINT;
            default -> throw unreadable(path, scope);
        };
    }

    /** The text of an optional setting, or "". */
    private String text(String path) {
        return values.getOrDefault(path, "");
    }

    /** The elements of an optional setting that is a comma-separated list. */
    private List<String> splitList(String path) {
        String value = text(path);
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private String requiredText(String path) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("setting " + path + " is missing");
        }
        return value;
    }

    private int requiredCount(String path) {
        return (int) parseNumber(path, requiredText(path));
    }

    private int optionalCount(String path, int defaultValue) {
        return (int) optionalNumber(path, defaultValue);
    }

    private double optionalNumber(String path, double defaultValue) {
        return text(path).isEmpty() ? defaultValue : parseNumber(path, text(path));
    }

    /** A required duration in seconds, converted to microseconds. */
    private long durationMicros(String path) {
        return toMicros(parseNumber(path, requiredText(path)));
    }

    /** An optional duration in seconds, converted to microseconds; the default is in microseconds. */
    private long durationMicros(String path, long defaultValue) {
        return text(path).isEmpty() ? defaultValue : toMicros(parseNumber(path, text(path)));
    }

    private static long toMicros(double seconds) {
        return Math.round(seconds * 1_000_000);
    }

    /** An optional boolean; false if it is missing. */
    private boolean optionalFlag(String path) {
        return !text(path).isEmpty() && parseBoolean(path, text(path));
    }

    private static boolean parseBoolean(String path, String value) {
        if (value.equalsIgnoreCase("true") || value.equals("1")) {
            return true;
        }
        if (value.equalsIgnoreCase("false") || value.equals("0")) {
            return false;
        }
        throw unreadable(path, value);
    }

    /** Parses a number; it has to be finite and not negative. */
    private static double parseNumber(String path, String value) {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw unreadable(path, value);
        }
        throw unreadable(path, value);
    }

    private static IllegalArgumentException unreadable(String path, String value) {
        return new IllegalArgumentException("setting " + path + " is unreadable: " + value);
    }
}
