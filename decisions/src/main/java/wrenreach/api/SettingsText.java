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
        List<String> names = list("Feedback.Names");
        return new Settings(count("Me", 0), Math.max(1, count("GroupSize", 1)), count("Zone", 0), time("Tick"), seed,
                needed("Limits.MaxOpen"), needed("FamilyInfo.MaxCalls"), count("Limits.TryLimit", 1),
                Math.max(1, count("Limits.MaxStreams", 1)), flag("Limits.ParallelTries"), flag("Limits.Cancelling"),
                flag("Limits.RetryAfter"), time("Limits.MaxRetryAfter", 0), time("Limits.ConnIdle", 0),
                time("Limits.ConnectTimeout", 0), "ask".equals(values.get("Discovery")),
                time("Rules.MustAskIn", 0), List.of("nominal", "rough").contains(word("Weights")),
                "rough".equals(word("Weights")), number("OverShareWorth", 1), names.indexOf("x0"),
                names.indexOf("x1"), classes(), kinds(), tenants(), rules());
    }

    private List<Settings.QueueClass> classes() {
        List<Settings.QueueClass> classes = new ArrayList<>();
        for (int i = 0; i < needed("Classes.count"); i++) {
            String at = "Classes." + i + ".";
            classes.add(new Settings.QueueClass(time(at + "Promise"), time(at + "Deadline"),
                    number(at + "Value", 1), number(at + "LateShare", 0),
                    "by_half".equals(word("FamilyInfo.Decay")), effect(at + "Effect"), group(at + "KeyScope"),
                    time(at + "Window", 0), flag(at + "InTurn")));
        }
        return classes;
    }

    private List<Settings.Kind> kinds() {
        List<String> apart = list("FamilyInfo.KindApart");
        List<String> batch = list("FamilyInfo.BatchByKind");
        int count = Math.max(list("Kinds").size(), Math.max(apart.size(), batch.size()));
        List<Settings.Kind> kinds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            kinds.add(new Settings.Kind(i < apart.size() && bool("FamilyInfo.KindApart", apart.get(i)),
                    i < batch.size() ? (int) parse("FamilyInfo.BatchByKind", batch.get(i)) : 1));
        }
        return kinds;
    }

    private List<Settings.Tenant> tenants() {
        List<Settings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("Tenants.count", 0); i++) {
            tenants.add(new Settings.Tenant(number("Tenants." + i + ".QuotaPerS", 0)));
        }
        return tenants;
    }

    private Settings.Rules rules() {
        return new Settings.Rules(time("Rules.AnswerSlack", 0), time("Rules.DrainGrace", 0),
                number("Rules.ColdFrom", 1), time("Rules.Cold", 0), number("Rules.OverloadFactor", 1),
                time("Rules.TipAfter", 0), time("Rules.OrderSettle", 0));
    }

    private Settings.Effect effect(String path) {
        return switch (required(path)) {
            case "pure" -> Settings.Effect.REDELIVERABLE;
            case "token" -> Settings.Effect.TAGGED;
            case "side_effect" -> Settings.Effect.ONCE_ONLY;
            default -> throw unreadable(path, values.get(path));
        };
    }

    private Settings.RepeatGroup group(String path) {
        String word = values.get(path);
        if (word == null || word.isEmpty() || word.equals("all") || word.equals("silent")) {
            return Settings.RepeatGroup.ALL;
        }
        return switch (word) {
            case "zone" -> Settings.RepeatGroup.ZONE;
            case "cell" -> Settings.RepeatGroup.ENDPOINT;
            default -> throw unreadable(path, word);
        };
    }

    private String word(String path) {
        return values.getOrDefault(path, "");
    }

    private List<String> list(String path) {
        String value = word(path);
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private String required(String path) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("setting " + path + " is missing");
        }
        return value;
    }

    private int needed(String path) {
        return (int) parse(path, required(path));
    }

    private int count(String path, int otherwise) {
        return (int) number(path, otherwise);
    }

    private double number(String path, double otherwise) {
        return word(path).isEmpty() ? otherwise : parse(path, word(path));
    }

    private long time(String path) {
        return micros(parse(path, required(path)));
    }

    private long time(String path, long otherwise) {
        return word(path).isEmpty() ? otherwise : micros(parse(path, word(path)));
    }

    private static long micros(double seconds) {
        return Math.round(seconds * 1_000_000);
    }

    private boolean flag(String path) {
        return !word(path).isEmpty() && bool(path, word(path));
    }

    private static boolean bool(String path, String value) {
        if (value.equalsIgnoreCase("true") || value.equals("1")) {
            return true;
        }
        if (value.equalsIgnoreCase("false") || value.equals("0")) {
            return false;
        }
        throw unreadable(path, value);
    }

    private static double parse(String path, String value) {
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
