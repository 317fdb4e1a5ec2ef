package wrenreach.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads discovery's form of the list. */
public final class ListReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final List<String> STATUSES = List.of("SERVING", "DRAINING", "DELETED");

    private ListReader() { }

    /** One object; IOException says what is malformed. */
    public static ListLine read(byte[] text) throws IOException {
        try (JsonParser in = JSON.createParser(text)) {
            in.nextToken();
            return read(in);
        }
    }

    /** The object that the parser stands at. */
    public static ListLine read(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("expected an object");
        }
        long index = -1;
        boolean whole = false;
        List<ListLine.Entry> entries = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "index" -> index = in.getLongValue();
                case "snapshot" -> whole = in.getBooleanValue();
                case "endpoints" -> {
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        entries.add(entry(in));
                    }
                }
                default -> in.skipChildren();
            }
        }
        if (index < 0) {
            throw new IOException("no index");
        }
        return new ListLine(index, whole, entries);
    }

    private static ListLine.Entry entry(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("expected an endpoint");
        }
        String name = "", address = "", zone = "", type = "", status = "";
        int group = -1;
        double weight = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "name" -> name = in.getText();
                case "address" -> address = in.getText();
                case "zone" -> zone = in.getText();
                case "type" -> type = in.getText();
                case "status" -> status = in.getText();
                case "group" -> group = in.getIntValue();
                case "weight" -> weight = in.getDoubleValue();
                default -> in.skipChildren();
            }
        }
        if (name.isEmpty() || group < 0) {
            throw new IOException("an endpoint without a name or group");
        }
        if (!STATUSES.contains(status)) {
            // Guards endpoints against a spoilt word: taken for an end, it would drop them.
            throw new IOException("an endpoint of an unknown status");
        }
        return new ListLine.Entry(name, address, zone, type, group, status, weight);
    }
}
