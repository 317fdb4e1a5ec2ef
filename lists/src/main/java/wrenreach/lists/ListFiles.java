package wrenreach.lists;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wrenreach.net.Addresses;
import wrenreach.endpoints.ListUpdate;

/**
 * Reads and writes lists. A list is one manifest and the parts it names, each with its SHA-256: what is read is one
 * generation that was written whole, or a {@link ListFault}. The format is documented in docs/files.md.
 */
final class ListFiles {
    static final String MANIFEST_FORMAT = "wrenreach-manifest", LIST_FORMAT = "wrenreach-list";
    static final int FORMAT_VERSION = 1;
    private static final int MAX_MANIFEST_BYTES = 1 << 20, MAX_PARTS = 256, MAX_TEXT_CHARS = 256, FINGERPRINT_CHARS = 12;
    private static final double MAX_WEIGHT = 1e9;
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    /** What a list may hold: bytes of all parts, endpoints, endpoints of one destination. */
    record Bounds(long maxBytes, int maxEndpoints, int maxEndpointsPerDestination) { }

    /** A part: its file's name and SHA-256 in hexadecimal. */
    record Part(String file, String sha256) { }

    /** What a manifest says; confirm: the print of the list that is confirmed, or "". */
    record Manifest(String label, String confirm, List<Part> parts) {
        /** What stands for the content of all parts, and for nothing else. */
        String fingerprint() {
            MessageDigest sum = newSha256();
            parts.forEach(part -> sum.update(part.sha256.getBytes(StandardCharsets.US_ASCII)));
            return HexFormat.of().formatHex(sum.digest()).substring(0, FINGERPRINT_CHARS);
        }
    }

    private ListFiles() { }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    static String sha256Hex(byte[] bytes) {
        return HexFormat.of().formatHex(newSha256().digest(bytes));
    }

    /** The manifest's bytes and where it lies once all links are followed: its parts lie beside it there. */
    record ManifestFile(Path realPath, byte[] bytes) { }

    static ManifestFile loadManifest(Path manifest) throws InvalidListException {
        try {
            Path real = manifest.toRealPath();
            return new ManifestFile(real, readLimited(real, MAX_MANIFEST_BYTES));
        } catch (IOException e) {
            throw unreadable(manifest, e);
        }
    }

    private static InvalidListException unreadable(Path file, IOException e) {
        return new InvalidListException(file, 0, e instanceof NoSuchFileException ? "no such file"
                : "can't be read: " + e.getMessage());
    }

    /** All of a file; one that grows while it is read does not go over the limit. */
    private static byte[] readLimited(Path file, long limit) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes((int) Math.min(limit + 1, Integer.MAX_VALUE - 16));
            if (bytes.length > limit) {
                throw new IOException("larger than " + limit + " bytes");
            }
            return bytes;
        }
    }

    /** A file that is read in a stream: never over the limit, also if it grows meanwhile, and its sum is known at its end. */
    private static final class DigestingInputStream extends InputStream {
        private final InputStream in;
        private final long limit;
        private final MessageDigest digest = newSha256();
        private long read;

        DigestingInputStream(InputStream in, long limit) {
            this.in = in;
            this.limit = limit;
        }

        @Override public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 255;
        }

        @Override public int read(byte[] to, int from, int length) throws IOException {
            int count = in.read(to, from, length);
            if (count > 0) {
                digest.update(to, from, count);
                read += count;
                if (read > limit) {
                    throw new IOException("larger than " + limit + " bytes");
                }
            }
            return count;
        }

        /** Reads what is left; the sum of all. */
        String digest() throws IOException {
            transferTo(OutputStream.nullOutputStream());
            return HexFormat.of().formatHex(digest.digest());
        }

        @Override public void close() throws IOException {
            in.close();
        }
    }

    /** The list that a manifest names, in all of its parts; earlier: what it shares with is kept once, or null. */
    static Generation readList(ManifestFile found, Manifest manifest, Bounds bounds, Generation earlier) throws InvalidListException {
        ListReader reading = new ListReader(bounds, earlier);
        long left = bounds.maxBytes();
        for (Part part : manifest.parts) {
            Path file = found.realPath.resolveSibling(part.file);
            try (DigestingInputStream in = new DigestingInputStream(Files.newInputStream(file), left)) {
                InvalidListException spoilt = null;
                try {
                    reading.readPart(file, in);
                } catch (InvalidListException e) {
                    spoilt = e;
                }
                // Before all that reads wrong in it: one that is being written reads wrong, and is no fault of its writer's.
                String sum = in.digest();
                if (!sum.equals(part.sha256)) {
                    throw new InvalidListException(file, 0, "its SHA-256 is " + sum + ", the manifest says " + part.sha256
                            + ": not written whole, or not of this manifest");
                }
                if (spoilt != null) {
                    throw spoilt;
                }
                left -= in.read;
            } catch (IOException e) {
                throw unreadable(file, e);
            }
        }
        return new Generation(manifest.fingerprint(), manifest.label, reading.endpoints);
    }

    /** What the bytes of a manifest say; file only names it in faults. */
    static Manifest parseManifest(Path file, byte[] bytes) throws InvalidListException {
        try (JsonParser in = JSON.createParser(bytes)) {
            FieldReader fields = new FieldReader(file, in);
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw fields.error("is no object");
            }
            String label = "", confirm = "", format = "";
            long version = 0;
            List<Part> parts = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "format" -> format = fields.text(name);
                    case "version" -> version = fields.wholeNumber(name);
                    case "label" -> label = fields.text(name);
                    case "confirm" -> confirm = fields.text(name);
                    case "parts" -> parseParts(fields, parts);
                    default -> throw fields.error("\"" + name + "\" is not known");
                }
            }
            fields.checkFormat(format, MANIFEST_FORMAT, version);
            if (in.nextToken() != null) {
                throw fields.error("something follows its end");
            }
            if (parts.isEmpty()) {
                throw fields.error("it names no parts");
            }
            return new Manifest(label, confirm, List.copyOf(parts));
        } catch (JsonProcessingException e) {
            throw malformed(file, e);
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    private static InvalidListException malformed(Path file, JsonProcessingException e) {
        int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
        return new InvalidListException(file, line, "can't be read as JSON: "
                + e.getOriginalMessage().lines().findFirst().orElse("").replaceAll(" \\(start marker at.*", ""));
    }

    private static void parseParts(FieldReader fields, List<Part> parts) throws IOException, InvalidListException {
        JsonParser in = fields.in;
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw fields.error("\"parts\" is a list");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw fields.error("a part is an object");
            }
            String file = "", sum = "";
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "file" -> file = fields.text(name);
                    case "sha256" -> sum = fields.text(name);
                    default -> throw fields.error("\"" + name + "\" of a part is not known");
                }
            }
            String wanted = file;
            // Guards against parts that lie elsewhere: a manifest and its parts move together.
            if (file.isEmpty() || !Path.of(file).normalize().equals(Path.of(file)) || Path.of(file).isAbsolute()
                    || file.startsWith("..")) {
                throw fields.error("\"file\" is a name beside the manifest, not \"" + file + "\"");
            }
            if (!sum.matches("[0-9a-f]{64}")) {
                throw fields.error("\"sha256\" is 64 digits 0-9 a-f");
            }
            if (parts.stream().anyMatch(part -> part.file.equals(wanted)) || parts.size() >= MAX_PARTS) {
                throw fields.error(parts.size() >= MAX_PARTS ? "more than " + MAX_PARTS + " parts" : file + " is named twice");
            }
            parts.add(new Part(file, sum));
        }
    }

    /** Reads fields of one file and says where one is wrong. */
    private record FieldReader(Path file, JsonParser in) {
        InvalidListException error(String what) {
            return new InvalidListException(file, in.currentLocation().getLineNr(), what);
        }

        String text(String name) throws IOException, InvalidListException {
            if (in.currentToken() != JsonToken.VALUE_STRING || in.getTextLength() > MAX_TEXT_CHARS) {
                throw error("\"" + name + "\" is a text of at most " + MAX_TEXT_CHARS + " letters");
            }
            String text = in.getText();
            if (text.chars().anyMatch(c -> c < ' ')) {
                throw error("\"" + name + "\" holds a control character");
            }
            return text;
        }

        long wholeNumber(String name) throws IOException, InvalidListException {
            if (in.currentToken() != JsonToken.VALUE_NUMBER_INT || in.getNumberType() != JsonParser.NumberType.INT
                    || in.getIntValue() < 0) {
                throw error("\"" + name + "\" is a whole number, not " + in.getText());
            }
            return in.getIntValue();
        }

        double number(String name) throws IOException, InvalidListException {
            if (!in.currentToken().isNumeric()) {
                throw error("\"" + name + "\" is a number, not " + in.getText());
            }
            return in.getDoubleValue();
        }

        void checkFormat(String format, String wanted, long version) throws InvalidListException {
            if (!format.equals(wanted) || version != FORMAT_VERSION) {
                throw error("is not of the format " + wanted + ", version " + FORMAT_VERSION + ", but "
                        + (format.isEmpty() ? "says none" : format + ", version " + version));
            }
        }
    }

    /** The endpoints of parts, one after the other. */
    static final class ListReader {
        final Map<String, ListUpdate.Entry> endpoints = new LinkedHashMap<>();
        /** Zones and kinds are few: each text is kept once. */
        private final Map<String, String> internedTexts = new HashMap<>();
        private final Map<Integer, Integer> endpointsPerDestination = new HashMap<>();
        private final Bounds bounds;
        private final Map<String, ListUpdate.Entry> previousEntries;
        private Map<String, String> head = Map.of();

        /** earlier: entries that are the same in it are kept once; null: none. */
        ListReader(Bounds bounds, Generation earlier) {
            this.bounds = bounds;
            this.previousEntries = earlier == null ? Map.of() : earlier.endpoints();
        }

        /** One part: its head, an endpoint a line, and how many they were. */
        void readPart(Path file, InputStream bytes) throws InvalidListException {
            try (JsonParser in = JSON.createParser(bytes)) {
                FieldReader fields = new FieldReader(file, in);
                head(fields);
                int count = 0;
                while (true) {
                    if (in.nextToken() != JsonToken.START_OBJECT) {
                        throw fields.error("it ends without {\"end\": " + count + "}: cut off");
                    }
                    if (!readEndpoint(fields, count)) {
                        break;
                    }
                    count++;
                }
                if (in.nextToken() != null) {
                    throw fields.error("something follows its end");
                }
            } catch (JsonProcessingException e) {
                throw malformed(file, e);
            } catch (IOException e) {
                throw unreadable(file, e);
            }
        }

        private void head(FieldReader fields) throws IOException, InvalidListException {
            JsonParser in = fields.in;
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw fields.error("it does not begin with the object that names its format");
            }
            String format = "";
            long version = 0;
            Map<String, String> further = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "format" -> format = fields.text(name);
                    case "version" -> version = fields.wholeNumber(name);
                    case "print", "label" -> further.put(name, fields.text(name));
                    default -> throw fields.error("\"" + name + "\" is not known");
                }
            }
            fields.checkFormat(format, LIST_FORMAT, version);
            head = further;
        }

        /** Reads one object; false: it was the end. */
        private boolean readEndpoint(FieldReader fields, int count) throws IOException, InvalidListException {
            JsonParser in = fields.in;
            String name = "", address = "", zone = "", kind = "", status = "serving";
            long destination = -1;
            double weight = 1;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "destination" -> destination = fields.wholeNumber(field);
                    case "name" -> name = fields.text(field);
                    case "address" -> address = fields.text(field);
                    case "zone" -> zone = fields.text(field);
                    case "kind" -> kind = fields.text(field);
                    case "weight" -> weight = fields.number(field);
                    case "status" -> status = fields.text(field);
                    case "end" -> {
                        if (fields.wholeNumber(field) != count || in.nextToken() != JsonToken.END_OBJECT) {
                            throw fields.error("its end says another number of endpoints than the " + count + " before it");
                        }
                        return false;
                    }
                    default -> throw fields.error("\"" + field + "\" is not known");
                }
            }
            if (destination < 0 || name.isEmpty()) {
                throw fields.error("an endpoint has a \"destination\" and a \"name\"");
            }
            if (!(weight > 0 && weight <= MAX_WEIGHT)) {
                throw fields.error("\"weight\" is above 0 and at most 1e9, not " + weight);
            }
            if (!status.equals("serving") && !status.equals("draining")) {
                throw fields.error("\"status\" is serving or draining, not " + status);
            }
            try {
                Addresses.parse(address);
            } catch (IllegalArgumentException e) {
                throw fields.error("\"address\": " + e.getMessage());
            }
            String id = Generation.idOf((int) destination, name);
            ListUpdate.Entry entry = new ListUpdate.Entry(id, address, intern(zone), intern(kind), (int) destination,
                    status.equals("serving") ? Generation.SERVING : Generation.DRAINING, weight);
            ListUpdate.Entry same = previousEntries.get(id);
            if (!entry.equals(same)) {
                same = entry;
            }
            if (endpoints.put(same.name(), same) != null) {
                throw fields.error("destination " + destination + " has two endpoints of the name " + name);
            }
            if (endpoints.size() > bounds.maxEndpoints()) {
                throw fields.error("more than " + bounds.maxEndpoints() + " endpoints");
            }
            if (endpointsPerDestination.merge((int) destination, 1, Integer::sum) > bounds.maxEndpointsPerDestination()) {
                throw fields.error("destination " + destination + " has more than " + bounds.maxEndpointsPerDestination() + " endpoints");
            }
            return true;
        }

        private String intern(String text) {
            return internedTexts.computeIfAbsent(text, t -> t);
        }
    }

    // ---- Writing ----

    /** Writes a list as one part; its head carries what a manifest would. */
    static void write(OutputStream out, Generation list) throws IOException {
        try (JsonGenerator json = JSON.createGenerator(new BufferedOutputStream(out, 1 << 16))) {
            json.setRootValueSeparator(null);
            json.writeStartObject();
            json.writeStringField("format", LIST_FORMAT);
            json.writeNumberField("version", FORMAT_VERSION);
            json.writeStringField("print", list.fingerprint());
            json.writeStringField("label", list.label());
            json.writeEndObject();
            json.writeRaw('\n');
            for (ListUpdate.Entry entry : list.endpoints().values()) {
                json.writeStartObject();
                json.writeNumberField("destination", entry.group());
                json.writeStringField("name", Generation.nameOf(entry.name()));
                json.writeStringField("address", entry.address());
                json.writeStringField("zone", entry.zone());
                json.writeStringField("kind", entry.type());
                json.writeNumberField("weight", entry.weight());
                json.writeStringField("status", Generation.isServing(entry) ? "serving" : "draining");
                json.writeEndObject();
                json.writeRaw('\n');
            }
            json.writeStartObject();
            json.writeNumberField("end", list.endpoints().size());
            json.writeEndObject();
            json.writeRaw('\n');
        }
    }

    /** The list that {@link #write} wrote. */
    static Generation readStored(Path file, Bounds bounds) throws InvalidListException {
        try (DigestingInputStream in = new DigestingInputStream(Files.newInputStream(file), bounds.maxBytes())) {
            ListReader reading = new ListReader(bounds, null);
            reading.readPart(file, in);
            return new Generation(reading.head.getOrDefault("print", ""), reading.head.getOrDefault("label", ""),
                    reading.endpoints);
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    static byte[] write(Manifest manifest) throws IOException {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeStringField("format", MANIFEST_FORMAT);
            json.writeNumberField("version", FORMAT_VERSION);
            json.writeStringField("label", manifest.label);
            if (!manifest.confirm.isEmpty()) {
                json.writeStringField("confirm", manifest.confirm);
            }
            json.writeArrayFieldStart("parts");
            for (Part part : manifest.parts) {
                json.writeStartObject();
                json.writeStringField("file", part.file);
                json.writeStringField("sha256", part.sha256);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
            json.writeRaw('\n');
        }
        return out.toByteArray();
    }

    /** Puts bytes at the file's name at one stroke; a reader sees the old file or the new one. */
    static void replaceAtomically(Path file, byte[] bytes) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.write(next, bytes);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
