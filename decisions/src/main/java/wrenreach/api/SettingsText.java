package wrenreach.api;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the settings that the wire hands over as lines of path=value. */
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

    /** The settings; IllegalArgumentException names the path of one that is missing or unreadable. */
    public static Settings read(String text, long seed) {
        return new SettingsText(text).settings(seed);
    }

    private Settings settings(long seed) {
        List<String> names = splitList("Feedback.Names");
        return new Settings(optionalCount("Me", 0), Math.max(1, optionalCount("GroupSize", 1)), optionalCount("Zone", 0), durationMicros("Tick"), seed,
                requiredCount("Limits.MaxOpen"), requiredCount("FamilyInfo.MaxCalls"), optionalCount("Limits.TryLimit", 1),
                Math.max(1, optionalCount("Limits.MaxStreams", 1)), optionalFlag("Limits.ParallelTries"), optionalFlag("Limits.Cancelling"),
                optionalFlag("Limits.RetryAfter"), durationMicros("Limits.MaxRetryAfter", 0), durationMicros("Limits.ConnIdle", 0),
                durationMicros("Limits.ConnectTimeout", 0), "ask".equals(values.get("Discovery")),
                durationMicros("Rules.MustAskIn", 0), List.of("nominal", "rough").contains(text("Weights")),
                "rough".equals(text("Weights")), optionalNumber("OverShareWorth", 1), names.indexOf("x0"),
                names.indexOf("x1"), classes(), kinds(), tenants(), rules());
    }

    private List<Settings.QueueClass> classes() {
        List<Settings.QueueClass> classes = new ArrayList<>();
        for (int i = 0; i < requiredCount("Classes.count"); i++) {
            String at = "Classes." + i + ".";
            classes.add(new Settings.QueueClass(durationMicros(at + "Promise"), durationMicros(at + "Deadline"),
                    optionalNumber(at + "Value", 1), optionalNumber(at + "LateShare", 0),
                    "by_half".equals(text("FamilyInfo.Decay")), effect(at + "Effect"), deduplicationScope(at + "KeyScope"),
                    durationMicros(at + "Window", 0), optionalFlag(at + "InTurn")));
        }
        return classes;
    }

    private List<Settings.DestinationKind> kinds() {
        List<String> apart = splitList("FamilyInfo.KindApart");
        List<String> batch = splitList("FamilyInfo.BatchByKind");
        int count = Math.max(splitList("Kinds").size(), Math.max(apart.size(), batch.size()));
        List<Settings.DestinationKind> kinds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            kinds.add(new Settings.DestinationKind(i < apart.size() && parseBoolean("FamilyInfo.KindApart", apart.get(i)),
                    i < batch.size() ? (int) parseNumber("FamilyInfo.BatchByKind", batch.get(i)) : 1));
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

    private Settings.Effect effect(String path) {
        return switch (requiredText(path)) {
            case "pure" -> Settings.Effect.REDELIVERABLE;
            case "token" -> Settings.Effect.TAGGED;
            case "side_effect" -> Settings.Effect.ONCE_ONLY;
            default -> throw unreadable(path, values.get(path));
        };
    }

    private Settings.DeduplicationScope deduplicationScope(String path) {
        String word = values.get(path);
        if (word == null || word.isEmpty() || word.equals("all") || word.equals("silent")) {
            return Settings.DeduplicationScope.ALL;
        }
        return switch (word) {
            case "zone" -> Settings.DeduplicationScope.ZONE;
            case "cell" -> Settings.DeduplicationScope.ENDPOINT;
            default -> throw unreadable(path, word);
        };
    }

    private String text(String path) {
        return values.getOrDefault(path, "");
    }

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

    private int optionalCount(String path, int otherwise) {
        return (int) optionalNumber(path, otherwise);
    }

    private double optionalNumber(String path, double otherwise) {
        return text(path).isEmpty() ? otherwise : parseNumber(path, text(path));
    }

    private long durationMicros(String path) {
        return toMicros(parseNumber(path, requiredText(path)));
    }

    private long durationMicros(String path, long otherwise) {
        return text(path).isEmpty() ? otherwise : toMicros(parseNumber(path, text(path)));
    }

    private static long toMicros(double seconds) {
        return Math.round(seconds * 1_000_000);
    }

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
