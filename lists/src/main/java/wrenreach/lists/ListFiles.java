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
import wrenreach.endpoints.ListUpdate;
import wrenreach.net.Addresses;

/**
 * Reads and writes endpoint lists. A list consists of a manifest and the part files that it names, each with its SHA-256.
 * Reading yields one completely written {@link Generation} or fails with an {@link InvalidListException}. The format is
 * documented in docs/files.md.
 */
final class ListFiles {
    /** Value of the field "format" in a manifest. */
    static final String MANIFEST_FORMAT = "wrenreach-manifest";
    /** Value of the field "format" in the header of a part. */
    static final String LIST_FORMAT = "wrenreach-list";
    /** The only version of both formats that is read, and the one that is written. */
    static final int FORMAT_VERSION = 1;
    private static final int MAX_MANIFEST_BYTES = 1 << 20;
    /** Parts that a manifest may name. */
    private static final int MAX_PARTS = 256;
    /** Longest text field, in characters. */
    private static final int MAX_TEXT_CHARS = 256;
    /** How many leading hexadecimal digits of the digest over all parts make the fingerprint of a list. */
    private static final int FINGERPRINT_CHARS = 12;
    /** Largest weight of an endpoint; weights are relative and have no unit. */
    private static final double MAX_WEIGHT = 1e9;
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    /** Limits on a list: bytes of all parts together, endpoints in total, endpoints of one destination. */
    record Bounds(long maxBytes, int maxEndpoints, int maxEndpointsPerDestination) { }

    /** A part: its file name relative to the manifest, and its SHA-256 in hexadecimal. */
    record Part(String file, String sha256) { }

    /** The content of a manifest; confirm: the fingerprint of the list that the operator confirms, or "". */
    record Manifest(String label, String confirm, List<Part> parts) {
        /** Identifies the content of all parts; the label and the confirmation do not count. */
        String fingerprint() {
            MessageDigest digest = newSha256();
            parts.forEach(part -> digest.update(part.sha256.getBytes(StandardCharsets.US_ASCII)));
            return HexFormat.of().formatHex(digest.digest()).substring(0, FINGERPRINT_CHARS);
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

    /** The bytes of a manifest and its path with all symbolic links resolved; the names of its parts are relative to that folder. */
    record ManifestFile(Path realPath, byte[] bytes) { }

    static ManifestFile loadManifest(Path manifest) throws InvalidListException {
        try {
            Path realPath = manifest.toRealPath();
            return new ManifestFile(realPath, readLimited(realPath, MAX_MANIFEST_BYTES));
        } catch (IOException e) {
            throw unreadable(manifest, e);
        }
    }

    private static InvalidListException unreadable(Path file, IOException e) {
        return new InvalidListException(file, 0, e instanceof NoSuchFileException ? "no such file"
                : "can't be read: " + e.getMessage());
    }

    /** Reads a whole file, but never more than limit + 1 bytes, even if it grows meanwhile; IOException where it exceeds the limit. */
    private static byte[] readLimited(Path file, long limit) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes((int) Math.min(limit + 1, Integer.MAX_VALUE - 16));
            if (bytes.length > limit) {
                throw new IOException("larger than " + limit + " bytes");
            }
            return bytes;
        }
    }

    /** Computes the SHA-256 of a stream as it is read, and fails once more than limit bytes were read, even if the file grows meanwhile. */
    private static final class DigestingInputStream extends InputStream {
        private final InputStream in;
        private final long limit;
        private final MessageDigest digest = newSha256();
        private long bytesRead;

        DigestingInputStream(InputStream in, long limit) {
            this.in = in;
            this.limit = limit;
        }

        @Override public int read() throws IOException {
            byte[] single = new byte[1];
            return read(single, 0, 1) < 0 ? -1 : single[0] & 255;
        }

        @Override public int read(byte[] buffer, int from, int length) throws IOException {
            int readNow = in.read(buffer, from, length);
            if (readNow > 0) {
                digest.update(buffer, from, readNow);
                bytesRead += readNow;
                if (bytesRead > limit) {
                    throw new IOException("larger than " + limit + " bytes");
                }
            }
            return readNow;
        }

        /** Reads the rest of the stream and returns the SHA-256 of all of it in hexadecimal. */
        String digest() throws IOException {
            transferTo(OutputStream.nullOutputStream());
            return HexFormat.of().formatHex(digest.digest());
        }

        @Override public void close() throws IOException {
            in.close();
        }
    }

    /** Reads all parts of the list that a manifest names; previous: a list whose equal entries are shared to save memory, or null. */
    static Generation readList(ManifestFile found, Manifest manifest, Bounds bounds, Generation previous) throws InvalidListException {
        ListReader reader = new ListReader(bounds, previous);
        long bytesLeft = bounds.maxBytes();
        for (Part part : manifest.parts) {
            Path file = found.realPath.resolveSibling(part.file);
            try (DigestingInputStream in = new DigestingInputStream(Files.newInputStream(file), bytesLeft)) {
                InvalidListException invalid = null;
                try {
                    reader.readPart(file, in);
                } catch (InvalidListException e) {
                    invalid = e;
                }
                // The digest is checked before a syntax error is reported: a part that is still being written has errors that are not its writer's fault.
                String digest = in.digest();
                if (!digest.equals(part.sha256)) {
                    throw new InvalidListException(file, 0, "its SHA-256 is " + digest + ", the manifest says " + part.sha256
                            + ": not written whole, or not of this manifest");
                }
                if (invalid != null) {
                    throw invalid;
                }
                bytesLeft -= in.bytesRead;
            } catch (IOException e) {
                throw unreadable(file, e);
            }
        }
        return new Generation(manifest.fingerprint(), manifest.label, reader.endpoints);
    }

    /** Parses a manifest; file is only used in error messages. */
    static Manifest parseManifest(Path file, byte[] bytes) throws InvalidListException {
        try (JsonParser in = JSON.createParser(bytes)) {
            FieldReader reader = new FieldReader(file, in);
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw reader.error("is no object");
            }
            String label = "", confirm = "", format = "";
            long version = 0;
            List<Part> parts = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "format" -> format = reader.text(name);
                    case "version" -> version = reader.wholeNumber(name);
                    case "label" -> label = reader.text(name);
                    case "confirm" -> confirm = reader.text(name);
                    case "parts" -> parseParts(reader, parts);
                    default -> throw reader.error("\"" + name + "\" is not known");
                }
            }
            reader.checkFormat(format, MANIFEST_FORMAT, version);
            if (in.nextToken() != null) {
                throw reader.error("something follows its end");
            }
            if (parts.isEmpty()) {
                throw reader.error("it names no parts");
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

    private static void parseParts(FieldReader reader, List<Part> parts) throws IOException, InvalidListException {
        JsonParser in = reader.in;
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw reader.error("\"parts\" is a list");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw reader.error("a part is an object");
            }
            String file = "", sha256 = "";
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "file" -> file = reader.text(name);
                    case "sha256" -> sha256 = reader.text(name);
                    default -> throw reader.error("\"" + name + "\" of a part is not known");
                }
            }
            String partFile = file;
            // A manifest and its parts are moved together, so a part must not be outside the folder of the manifest.
            if (file.isEmpty() || !Path.of(file).normalize().equals(Path.of(file)) || Path.of(file).isAbsolute()
                    || file.startsWith("..")) {
                throw reader.error("\"file\" is a name beside the manifest, not \"" + file + "\"");
            }
            if (!sha256.matches("[0-9a-f]{64}")) {
                throw reader.error("\"sha256\" is 64 digits 0-9 a-f");
            }
            if (parts.stream().anyMatch(part -> part.file.equals(partFile)) || parts.size() >= MAX_PARTS) {
                throw reader.error(parts.size() >= MAX_PARTS ? "more than " + MAX_PARTS + " parts" : file + " is named twice");
            }
            parts.add(new Part(file, sha256));
        }
    }

    /** Reads typed fields of one JSON file; its errors name the file and the line. */
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

        /** A number from 0 to Integer.MAX_VALUE. */
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

        void checkFormat(String format, String expected, long version) throws InvalidListException {
            if (!format.equals(expected) || version != FORMAT_VERSION) {
                throw error("is not of the format " + expected + ", version " + FORMAT_VERSION + ", but "
                        + (format.isEmpty() ? "says none" : format + ", version " + version));
            }
        }
    }

    /** Collects the endpoints of the parts of one list, which are read one after the other. */
    static final class ListReader {
        final Map<String, ListUpdate.Entry> endpoints = new LinkedHashMap<>();
        /** Zones and kinds have few distinct values, so that each text is held in memory once. */
        private final Map<String, String> internedTexts = new HashMap<>();
        private final Map<Integer, Integer> endpointsPerDestination = new HashMap<>();
        private final Bounds bounds;
        private final Map<String, ListUpdate.Entry> previousEntries;
        /** The fields "print" and "label" of the header that was read last, where present. */
        private Map<String, String> header = Map.of();

        /** previous: a list whose equal entries are shared instead of held twice; null: none. */
        ListReader(Bounds bounds, Generation previous) {
            this.bounds = bounds;
            this.previousEntries = previous == null ? Map.of() : previous.endpoints();
        }

        /** Reads one part: a header, one endpoint per line, and a last object with the number of endpoints, which shows a truncated file. */
        void readPart(Path file, InputStream bytes) throws InvalidListException {
            try (JsonParser in = JSON.createParser(bytes)) {
                FieldReader reader = new FieldReader(file, in);
                readHeader(reader);
                int count = 0;
                while (true) {
                    if (in.nextToken() != JsonToken.START_OBJECT) {
                        throw reader.error("it ends without {\"end\": " + count + "}: cut off");
                    }
                    if (!readEndpoint(reader, count)) {
                        break;
                    }
                    count++;
                }
                if (in.nextToken() != null) {
                    throw reader.error("something follows its end");
                }
            } catch (JsonProcessingException e) {
                throw malformed(file, e);
            } catch (IOException e) {
                throw unreadable(file, e);
            }
        }

        private void readHeader(FieldReader reader) throws IOException, InvalidListException {
            JsonParser in = reader.in;
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw reader.error("it does not begin with the object that names its format");
            }
            String format = "";
            long version = 0;
            Map<String, String> optionalFields = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "format" -> format = reader.text(name);
                    case "version" -> version = reader.wholeNumber(name);
                    case "print", "label" -> optionalFields.put(name, reader.text(name));
                    default -> throw reader.error("\"" + name + "\" is not known");
                }
            }
            reader.checkFormat(format, LIST_FORMAT, version);
            header = optionalFields;
        }

        /** Reads one object; false: it was the last one, which holds the number of endpoints; count: the endpoints before it. */
        private boolean readEndpoint(FieldReader reader, int count) throws IOException, InvalidListException {
            JsonParser in = reader.in;
            String name = "", address = "", zone = "", kind = "", status = "serving";
            long destination = -1;
            double weight = 1;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "destination" -> destination = reader.wholeNumber(field);
                    case "name" -> name = reader.text(field);
                    case "address" -> address = reader.text(field);
                    case "zone" -> zone = reader.text(field);
                    case "kind" -> kind = reader.text(field);
                    case "weight" -> weight = reader.number(field);
                    case "status" -> status = reader.text(field);
                    case "end" -> {
                        if (reader.wholeNumber(field) != count || in.nextToken() != JsonToken.END_OBJECT) {
                            throw reader.error("its end says another number of endpoints than the " + count + " before it");
                        }
                        return false;
                    }
                    default -> throw reader.error("\"" + field + "\" is not known");
                }
            }
            if (destination < 0 || name.isEmpty()) {
                throw reader.error("an endpoint has a \"destination\" and a \"name\"");
            }
            if (!(weight > 0 && weight <= MAX_WEIGHT)) {
                throw reader.error("\"weight\" is above 0 and at most 1e9, not " + weight);
            }
            if (!status.equals("serving") && !status.equals("draining")) {
                throw reader.error("\"status\" is serving or draining, not " + status);
            }
            try {
                Addresses.parse(address);
            } catch (IllegalArgumentException e) {
                throw reader.error("\"address\": " + e.getMessage());
            }
            String id = Generation.idOf((int) destination, name);
            ListUpdate.Entry entry = new ListUpdate.Entry(id, address, intern(zone), intern(kind), (int) destination,
                    status.equals("serving") ? Generation.SERVING : Generation.DRAINING, weight);
            ListUpdate.Entry shared = previousEntries.get(id);
            if (!entry.equals(shared)) {
                shared = entry;
            }
            if (endpoints.put(shared.name(), shared) != null) {
                throw reader.error("destination " + destination + " has two endpoints of the name " + name);
            }
            if (endpoints.size() > bounds.maxEndpoints()) {
                throw reader.error("more than " + bounds.maxEndpoints() + " endpoints");
            }
            if (endpointsPerDestination.merge((int) destination, 1, Integer::sum) > bounds.maxEndpointsPerDestination()) {
                throw reader.error("destination " + destination + " has more than " + bounds.maxEndpointsPerDestination() + " endpoints");
            }
            return true;
        }

        private String intern(String text) {
            return internedTexts.computeIfAbsent(text, added -> added);
        }
    }

    // ---- Writing ----

    /** Writes a list as one part; its header carries the fingerprint and the label, which otherwise come from the manifest. */
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

    /** Reads a list that {@link #write(OutputStream, Generation)} wrote. */
    static Generation readStored(Path file, Bounds bounds) throws InvalidListException {
        try (DigestingInputStream in = new DigestingInputStream(Files.newInputStream(file), bounds.maxBytes())) {
            ListReader reader = new ListReader(bounds, null);
            reader.readPart(file, in);
            return new Generation(reader.header.getOrDefault("print", ""), reader.header.getOrDefault("label", ""),
                    reader.endpoints);
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

    /** Replaces a file by an atomic rename, so that a reader sees either the old content or the new. */
    static void replaceAtomically(Path file, byte[] bytes) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.write(next, bytes);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
