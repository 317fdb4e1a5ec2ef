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
    static final String MANIFEST = "wrenreach-manifest", LIST = "wrenreach-list";
    static final int VERSION = 1;
    private static final int MANIFEST_BYTES = 1 << 20, PARTS = 256, TEXT = 256, PRINT = 12;
    private static final double WEIGHT = 1e9;
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    /** What a list may hold: bytes of all parts, endpoints, endpoints of one destination. */
    record Bounds(long bytes, int endpoints, int ofDestination) { }

    /** A part: its file's name and SHA-256 in hexadecimal. */
    record Part(String file, String sha256) { }

    /** What a manifest says; confirm: the print of the list that is confirmed, or "". */
    record Manifest(String label, String confirm, List<Part> parts) {
        /** What stands for the content of all parts, and for nothing else. */
        String print() {
            MessageDigest sum = sha256();
            parts.forEach(part -> sum.update(part.sha256.getBytes(StandardCharsets.US_ASCII)));
            return HexFormat.of().formatHex(sum.digest()).substring(0, PRINT);
        }
    }

    private ListFiles() { }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    static String sum(byte[] bytes) {
        return HexFormat.of().formatHex(sha256().digest(bytes));
    }

    /** The manifest's bytes and where it lies once all links are followed: its parts lie beside it there. */
    record Found(Path real, byte[] bytes) { }

    static Found find(Path manifest) throws InvalidListException {
        try {
            Path real = manifest.toRealPath();
            return new Found(real, bytes(real, MANIFEST_BYTES));
        } catch (IOException e) {
            throw unreadable(manifest, e);
        }
    }

    private static InvalidListException unreadable(Path file, IOException e) {
        return new InvalidListException(file, 0, e instanceof NoSuchFileException ? "no such file"
                : "can't be read: " + e.getMessage());
    }

    /** All of a file; one that grows while it is read does not go over the limit. */
    private static byte[] bytes(Path file, long limit) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes((int) Math.min(limit + 1, Integer.MAX_VALUE - 16));
            if (bytes.length > limit) {
                throw new IOException("larger than " + limit + " bytes");
            }
            return bytes;
        }
    }

    /** A file that is read in a stream: never over the limit, also if it grows meanwhile, and its sum is known at its end. */
    private static final class Summed extends InputStream {
        private final InputStream in;
        private final long limit;
        private final MessageDigest sum = sha256();
        private long read;

        Summed(InputStream in, long limit) {
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
                sum.update(to, from, count);
                read += count;
                if (read > limit) {
                    throw new IOException("larger than " + limit + " bytes");
                }
            }
            return count;
        }

        /** Reads what is left; the sum of all. */
        String sum() throws IOException {
            transferTo(OutputStream.nullOutputStream());
            return HexFormat.of().formatHex(sum.digest());
        }

        @Override public void close() throws IOException {
            in.close();
        }
    }

    /** The list that a manifest names, in all of its parts; earlier: what it shares with is kept once, or null. */
    static Generation read(Found found, Manifest manifest, Bounds bounds, Generation earlier) throws InvalidListException {
        Reading reading = new Reading(bounds, earlier);
        long left = bounds.bytes();
        for (Part part : manifest.parts) {
            Path file = found.real.resolveSibling(part.file);
            try (Summed in = new Summed(Files.newInputStream(file), left)) {
                InvalidListException spoilt = null;
                try {
                    reading.part(file, in);
                } catch (InvalidListException e) {
                    spoilt = e;
                }
                // Before all that reads wrong in it: one that is being written reads wrong, and is no fault of its writer's.
                String sum = in.sum();
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
        return new Generation(manifest.print(), manifest.label, reading.endpoints);
    }

    /** What the bytes of a manifest say; file only names it in faults. */
    static Manifest manifest(Path file, byte[] bytes) throws InvalidListException {
        try (JsonParser in = JSON.createParser(bytes)) {
            Fields fields = new Fields(file, in);
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw fields.fault("is no object");
            }
            String label = "", confirm = "", format = "";
            long version = 0;
            List<Part> parts = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "format" -> format = fields.text(name);
                    case "version" -> version = fields.whole(name);
                    case "label" -> label = fields.text(name);
                    case "confirm" -> confirm = fields.text(name);
                    case "parts" -> parts(fields, parts);
                    default -> throw fields.fault("\"" + name + "\" is not known");
                }
            }
            fields.head(format, MANIFEST, version);
            if (in.nextToken() != null) {
                throw fields.fault("something follows its end");
            }
            if (parts.isEmpty()) {
                throw fields.fault("it names no parts");
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

    private static void parts(Fields fields, List<Part> parts) throws IOException, InvalidListException {
        JsonParser in = fields.in;
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw fields.fault("\"parts\" is a list");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw fields.fault("a part is an object");
            }
            String file = "", sum = "";
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "file" -> file = fields.text(name);
                    case "sha256" -> sum = fields.text(name);
                    default -> throw fields.fault("\"" + name + "\" of a part is not known");
                }
            }
            String wanted = file;
            // Guards against parts that lie elsewhere: a manifest and its parts move together.
            if (file.isEmpty() || !Path.of(file).normalize().equals(Path.of(file)) || Path.of(file).isAbsolute()
                    || file.startsWith("..")) {
                throw fields.fault("\"file\" is a name beside the manifest, not \"" + file + "\"");
            }
            if (!sum.matches("[0-9a-f]{64}")) {
                throw fields.fault("\"sha256\" is 64 digits 0-9 a-f");
            }
            if (parts.stream().anyMatch(part -> part.file.equals(wanted)) || parts.size() >= PARTS) {
                throw fields.fault(parts.size() >= PARTS ? "more than " + PARTS + " parts" : file + " is named twice");
            }
            parts.add(new Part(file, sum));
        }
    }

    /** Reads fields of one file and says where one is wrong. */
    private record Fields(Path file, JsonParser in) {
        InvalidListException fault(String what) {
            return new InvalidListException(file, in.currentLocation().getLineNr(), what);
        }

        String text(String name) throws IOException, InvalidListException {
            if (in.currentToken() != JsonToken.VALUE_STRING || in.getTextLength() > TEXT) {
                throw fault("\"" + name + "\" is a text of at most " + TEXT + " letters");
            }
            String text = in.getText();
            if (text.chars().anyMatch(c -> c < ' ')) {
                throw fault("\"" + name + "\" holds a control character");
            }
            return text;
        }

        long whole(String name) throws IOException, InvalidListException {
            if (in.currentToken() != JsonToken.VALUE_NUMBER_INT || in.getNumberType() != JsonParser.NumberType.INT
                    || in.getIntValue() < 0) {
                throw fault("\"" + name + "\" is a whole number, not " + in.getText());
            }
            return in.getIntValue();
        }

        double number(String name) throws IOException, InvalidListException {
            if (!in.currentToken().isNumeric()) {
                throw fault("\"" + name + "\" is a number, not " + in.getText());
            }
            return in.getDoubleValue();
        }

        void head(String format, String wanted, long version) throws InvalidListException {
            if (!format.equals(wanted) || version != VERSION) {
                throw fault("is not of the format " + wanted + ", version " + VERSION + ", but "
                        + (format.isEmpty() ? "says none" : format + ", version " + version));
            }
        }
    }

    /** The endpoints of parts, one after the other. */
    static final class Reading {
        final Map<String, ListUpdate.Entry> endpoints = new LinkedHashMap<>();
        /** Zones and kinds are few: each text is kept once. */
        private final Map<String, String> texts = new HashMap<>();
        private final Map<Integer, Integer> ofDestination = new HashMap<>();
        private final Bounds bounds;
        private final Map<String, ListUpdate.Entry> earlier;
        private Map<String, String> head = Map.of();

        /** earlier: entries that are the same in it are kept once; null: none. */
        Reading(Bounds bounds, Generation earlier) {
            this.bounds = bounds;
            this.earlier = earlier == null ? Map.of() : earlier.endpoints();
        }

        /** One part: its head, an endpoint a line, and how many they were. */
        void part(Path file, InputStream bytes) throws InvalidListException {
            try (JsonParser in = JSON.createParser(bytes)) {
                Fields fields = new Fields(file, in);
                head(fields);
                int count = 0;
                while (true) {
                    if (in.nextToken() != JsonToken.START_OBJECT) {
                        throw fields.fault("it ends without {\"end\": " + count + "}: cut off");
                    }
                    if (!endpoint(fields, count)) {
                        break;
                    }
                    count++;
                }
                if (in.nextToken() != null) {
                    throw fields.fault("something follows its end");
                }
            } catch (JsonProcessingException e) {
                throw malformed(file, e);
            } catch (IOException e) {
                throw unreadable(file, e);
            }
        }

        private void head(Fields fields) throws IOException, InvalidListException {
            JsonParser in = fields.in;
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw fields.fault("it does not begin with the object that names its format");
            }
            String format = "";
            long version = 0;
            Map<String, String> further = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "format" -> format = fields.text(name);
                    case "version" -> version = fields.whole(name);
                    case "print", "label" -> further.put(name, fields.text(name));
                    default -> throw fields.fault("\"" + name + "\" is not known");
                }
            }
            fields.head(format, LIST, version);
            head = further;
        }

        /** Reads one object; false: it was the end. */
        private boolean endpoint(Fields fields, int count) throws IOException, InvalidListException {
            JsonParser in = fields.in;
            String name = "", address = "", zone = "", kind = "", status = "serving";
            long destination = -1;
            double weight = 1;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "destination" -> destination = fields.whole(field);
                    case "name" -> name = fields.text(field);
                    case "address" -> address = fields.text(field);
                    case "zone" -> zone = fields.text(field);
                    case "kind" -> kind = fields.text(field);
                    case "weight" -> weight = fields.number(field);
                    case "status" -> status = fields.text(field);
                    case "end" -> {
                        if (fields.whole(field) != count || in.nextToken() != JsonToken.END_OBJECT) {
                            throw fields.fault("its end says another number of endpoints than the " + count + " before it");
                        }
                        return false;
                    }
                    default -> throw fields.fault("\"" + field + "\" is not known");
                }
            }
            if (destination < 0 || name.isEmpty()) {
                throw fields.fault("an endpoint has a \"destination\" and a \"name\"");
            }
            if (!(weight > 0 && weight <= WEIGHT)) {
                throw fields.fault("\"weight\" is above 0 and at most 1e9, not " + weight);
            }
            if (!status.equals("serving") && !status.equals("draining")) {
                throw fields.fault("\"status\" is serving or draining, not " + status);
            }
            try {
                Addresses.parse(address);
            } catch (IllegalArgumentException e) {
                throw fields.fault("\"address\": " + e.getMessage());
            }
            String id = Generation.id((int) destination, name);
            ListUpdate.Entry entry = new ListUpdate.Entry(id, address, once(zone), once(kind), (int) destination,
                    status.equals("serving") ? Generation.SERVING : Generation.DRAINING, weight);
            ListUpdate.Entry same = earlier.get(id);
            if (!entry.equals(same)) {
                same = entry;
            }
            if (endpoints.put(same.name(), same) != null) {
                throw fields.fault("destination " + destination + " has two endpoints of the name " + name);
            }
            if (endpoints.size() > bounds.endpoints()) {
                throw fields.fault("more than " + bounds.endpoints() + " endpoints");
            }
            if (ofDestination.merge((int) destination, 1, Integer::sum) > bounds.ofDestination()) {
                throw fields.fault("destination " + destination + " has more than " + bounds.ofDestination() + " endpoints");
            }
            return true;
        }

        private String once(String text) {
            return texts.computeIfAbsent(text, t -> t);
        }
    }

    // ---- Writing ----

    /** Writes a list as one part; its head carries what a manifest would. */
    static void write(OutputStream out, Generation list) throws IOException {
        try (JsonGenerator json = JSON.createGenerator(new BufferedOutputStream(out, 1 << 16))) {
            json.setRootValueSeparator(null);
            json.writeStartObject();
            json.writeStringField("format", LIST);
            json.writeNumberField("version", VERSION);
            json.writeStringField("print", list.print());
            json.writeStringField("label", list.label());
            json.writeEndObject();
            json.writeRaw('\n');
            for (ListUpdate.Entry entry : list.endpoints().values()) {
                json.writeStartObject();
                json.writeNumberField("destination", entry.group());
                json.writeStringField("name", Generation.name(entry.name()));
                json.writeStringField("address", entry.address());
                json.writeStringField("zone", entry.zone());
                json.writeStringField("kind", entry.type());
                json.writeNumberField("weight", entry.weight());
                json.writeStringField("status", Generation.serves(entry) ? "serving" : "draining");
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
    static Generation reread(Path file, Bounds bounds) throws InvalidListException {
        try (Summed in = new Summed(Files.newInputStream(file), bounds.bytes())) {
            Reading reading = new Reading(bounds, null);
            reading.part(file, in);
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
            json.writeStringField("format", MANIFEST);
            json.writeNumberField("version", VERSION);
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
    static void replace(Path file, byte[] bytes) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.write(next, bytes);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
