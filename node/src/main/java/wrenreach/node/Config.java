package wrenreach.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wrenreach.api.Settings;
import wrenreach.api.SettingsText;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListReader;
import wrenreach.net.Addresses;

/**
 * The configuration of a delivery node, read at its start. Lists of names are in the order of the settings' numbers. known: the last
 * known list of endpoints; the node that is created with this config owns it.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, int descriptors,
                     long memoryBytes, long diskBytes, EndpointTable known, Settings settings, List<String> queueClasses,
                     List<String> tenants, List<String> kinds, List<String> zones, List<String> reportNames) {
    /** The config can't be used; the message is for whoever starts the node. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidConfigException(String message) {
            super(message);
        }
    }

    /**
     * The memory limit divided by this is for the list of endpoints: beside it stands the list that is to replace it, at most as much
     * again, and everything else that a node needs.
     */
    private static final int LIST_MEMORY_DIVISOR = 8;
    /** The maximum heap divided by this is for the list of endpoints, for the same reason. */
    private static final int LIST_HEAP_DIVISOR = 2;

    private static final String KNOWN_FIELD = "known";
    // The protocol carries one mail per call, so this setting is ignored: kinds are read as if they allowed batches of one.
    private static final String BATCH_SETTING = "FamilyInfo.BatchByKind";

    /**
     * Reads the file. GW_LISTEN in the environment overrides the file's address. GW_DISCOVERY is used only if the file names no address:
     * the file can be replaced while the node runs, and is then the newer of the two.
     */
    public static Config read(Path file, Map<String, String> environment) throws InvalidConfigException {
        try {
            return parse(() -> Files.newInputStream(file), environment);
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidConfigException("config " + file + ": " + problem(e));
        }
    }

    /** Reads all that a config that is read again may change: the address of discovery. */
    static InetSocketAddress readDiscovery(Reload.Source json) throws Reload.RejectedFileException {
        try {
            return Addresses.parse(required(readFlat(json, Map.of()), "discovery"));
        } catch (IOException | IllegalArgumentException e) {
            throw new Reload.RejectedFileException(problem(e));
        }
    }

    private static String problem(Exception e) {
        String message = e instanceof NoSuchFileException ? "no such file" : e.getMessage();
        return String.valueOf(message).lines().findFirst().orElse("");
    }

    public static Config parse(byte[] json, Map<String, String> environment) throws IOException {
        return parse(() -> new ByteArrayInputStream(json), environment);
    }

    /** Reads the text twice and never holds it: the limit for the size of the list may stand behind the list. */
    private static Config parse(Reload.Source json, Map<String, String> environment) throws IOException {
        Map<String, String> flat = readFlat(json, environment);
        long memoryBytes = (long) (1_000_000 * positiveNumber(flat, "limits.memory_mb"));
        EndpointTable known = new EndpointTable(Math.min(memoryBytes / LIST_MEMORY_DIVISOR,
                Runtime.getRuntime().maxMemory() / LIST_HEAP_DIVISOR), "an eighth of limits.memory_mb, and half of the heap");
        if (flat.containsKey(KNOWN_FIELD)) {
            try (JsonParser in = new JsonFactory().createParser(json.open())) {
                in.nextToken();
                while (in.nextToken() != JsonToken.END_OBJECT) {
                    String field = in.currentName();
                    in.nextToken();
                    if (field.equals(KNOWN_FIELD)) {
                        readKnown(in, known);
                    } else {
                        in.skipChildren();
                    }
                }
            }
        }
        Map<String, String> settings = new LinkedHashMap<>();
        flat.forEach((path, value) -> {
            if (path.startsWith("settings.") && !path.equals("settings." + BATCH_SETTING)) {
                settings.put(path.substring("settings.".length()), value);
            }
        });
        StringBuilder text = new StringBuilder();
        settings.forEach((path, value) -> text.append(path).append('=').append(value).append('\n'));
        long seed = Long.parseUnsignedLong(flat.getOrDefault("seed", "0"), 16);
        return new Config(flat.getOrDefault("name", "node"),
                Addresses.parse(environment.containsKey("GW_LISTEN") ? environment.get("GW_LISTEN") : required(flat, "listen")),
                Addresses.parse(required(flat, "discovery")),
                (int) positiveNumber(flat, "limits.sockets"), memoryBytes,
                (long) (1_000_000 * positiveNumber(flat, "limits.disk_mb")), known,
                SettingsText.read(text.toString(), seed), names(settings, "Classes"), names(settings, "Tenants"),
                splitList(settings, "Kinds"), splitList(settings, "Areas"), splitList(settings, "Feedback.Names"));
    }

    private static void readKnown(JsonParser in, EndpointTable known) throws IOException {
        try {
            ListReader.read(in, known.sink());
        } catch (EndpointTable.TooLarge e) {
            throw new IOException("\"known\": " + e.getMessage() + ", line " + in.currentLocation().getLineNr());
        }
    }

    /** All plain values by their path, except for the list of endpoints, which is skipped. */
    private static Map<String, String> readFlat(Reload.Source json, Map<String, String> environment) throws IOException {
        Map<String, String> flat = new LinkedHashMap<>();
        try (JsonParser in = new JsonFactory().createParser(json.open())) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("expected an object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                if (field.equals(KNOWN_FIELD)) {
                    flat.put(KNOWN_FIELD, "");
                    in.skipChildren();
                } else {
                    flatten(in, field, flat);
                }
            }
        }
        if (environment.containsKey("GW_DISCOVERY")) {
            flat.putIfAbsent("discovery", environment.get("GW_DISCOVERY"));
        }
        return flat;
    }

    /** Puts each plain value under its path; lists of plain values are joined, elements of other lists are numbered. */
    private static void flatten(JsonParser in, String path, Map<String, String> flat) throws IOException {
        if (in.currentToken() == JsonToken.START_OBJECT) {
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                flatten(in, path + "." + field, flat);
            }
        } else if (in.currentToken() == JsonToken.START_ARRAY) {
            List<String> plain = new ArrayList<>();
            int count = 0;
            for (; in.nextToken() != JsonToken.END_ARRAY; count++) {
                if (in.currentToken().isStructStart()) {
                    flatten(in, path + "." + count, flat);
                } else {
                    plain.add(in.getText().replace(',', '_'));
                }
            }
            flat.put(path + ".count", Integer.toString(count));
            if (plain.size() == count) {
                flat.put(path, String.join(",", plain));
            }
        } else if (in.currentToken() != JsonToken.VALUE_NULL) {
            flat.put(path, in.getText().replace('\n', ' '));
        }
    }

    private static String required(Map<String, String> flat, String path) {
        String value = flat.get(path);
        if (value == null) {
            throw new IllegalArgumentException(path + " is missing");
        }
        return value;
    }

    private static double positiveNumber(Map<String, String> flat, String path) {
        double value = Double.parseDouble(required(flat, path));
        if (!(value > 0)) {
            throw new IllegalArgumentException(path + " is not above 0");
        }
        return value;
    }

    private static List<String> names(Map<String, String> settings, String path) {
        List<String> names = new ArrayList<>();
        int count = Integer.parseInt(settings.getOrDefault(path + ".count", "0"));
        for (int i = 0; i < count; i++) {
            names.add(settings.getOrDefault(path + "." + i + ".Name", ""));
        }
        return names;
    }

    private static List<String> splitList(Map<String, String> settings, String path) {
        String joined = settings.getOrDefault(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }
}
