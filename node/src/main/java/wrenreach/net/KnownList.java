package wrenreach.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The list as discovery has told it so far, and where it came from. In its form for the state folder a later process
 * starts from it: what one was told of drains holds for the next, also while discovery says nothing.
 */
public final class KnownList {
    private static final JsonFactory JSON = new JsonFactory();
    /** The form's version; another is not read. */
    private static final int FORM = 1;

    private final Map<String, ListLine.Entry> entries = new LinkedHashMap<>();
    private long index;
    private String from;

    /** A list, and the address of the discovery that its version is one of. */
    public KnownList(ListLine whole, String from) {
        take(whole, from);
    }

    /** What discovery at this address says now. */
    public void take(ListLine line, String from) {
        if (line.whole()) {
            entries.clear();
        }
        for (ListLine.Entry entry : line.entries()) {
            if (entry.status().equals("DELETED")) {
                entries.remove(entry.name());
            } else {
                entries.put(entry.name(), entry);
            }
        }
        index = line.index();
        this.from = from;
    }

    public ListLine whole() {
        return new ListLine(index, true, new ArrayList<>(entries.values()));
    }

    public String from() {
        return from;
    }

    /** Its form for the state folder. */
    public byte[] text() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("form", FORM);
            out.writeStringField("from", from);
            out.writeFieldName("list");
            out.writeStartObject();
            out.writeNumberField("index", index);
            out.writeBooleanField("snapshot", true);
            out.writeArrayFieldStart("endpoints");
            for (ListLine.Entry entry : entries.values()) {
                out.writeStartObject();
                out.writeStringField("name", entry.name());
                out.writeStringField("address", entry.address());
                out.writeStringField("zone", entry.zone());
                out.writeStringField("type", entry.type());
                out.writeNumberField("group", entry.group());
                out.writeStringField("status", entry.status());
                out.writeNumberField("weight", entry.weight());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads what {@link #text} wrote; IOException says what is wrong with it. */
    public static KnownList read(byte[] text) throws IOException {
        int form = 0;
        String from = null;
        ListLine list = null;
        try (JsonParser in = JSON.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("expected an object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "form" -> form = in.getIntValue();
                    case "from" -> from = in.getText();
                    case "list" -> list = ListReader.read(in);
                    default -> in.skipChildren();
                }
            }
        }
        if (form != FORM || from == null || list == null) {
            throw new IOException("not of form " + FORM);
        }
        return new KnownList(list, from);
    }
}
