package wrenreach.endpoints;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads discovery's form of a list piece by piece, as its bytes come: what is in memory is one entry and the piece. An
 * IOException says what is malformed or why the sink can't take it; the reader is of no further use then.
 */
public final class ListReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final List<String> STATUSES = List.of("SERVING", "DRAINING", "DELETED");

    private enum At { BEFORE, LIST, ENDPOINTS, ENDPOINT, OVER }

    private final ListSink sink;
    private final JsonParser in;
    private At at = At.BEFORE;
    private String field = "";
    /** How deep in something that is passed over. */
    private int passing;
    private long entries;
    private long index = -1;
    private boolean whole;
    private String name, address, zone, type, status;
    private int group;
    private double weight;

    /** A list to come in pieces. */
    public ListReader(ListSink sink) throws IOException {
        this(sink, JSON.createNonBlockingByteArrayParser());
    }

    private ListReader(ListSink sink, JsonParser in) {
        this.sink = sink;
        this.in = in;
        sink.begin();
    }

    /** The list that the parser stands at the begin of. */
    public static void read(JsonParser in, ListSink sink) throws IOException {
        ListReader reader = new ListReader(sink, in);
        reader.take(in.currentToken());
        while (reader.at != At.OVER) {
            JsonToken token = in.nextToken();
            if (token == null) {
                throw new IOException("it ends within the list");
            }
            reader.take(token);
        }
        reader.over();
    }

    /** One list that is there whole. */
    public static ListLine read(byte[] text) throws IOException {
        ListLine[] read = new ListLine[1];
        ListReader reader = new ListReader(new Collected(line -> read[0] = line));
        reader.piece(text, 0, text.length);
        reader.over();
        return read[0];
    }

    /** Collects a list into an object. */
    public static final class Collected implements ListSink {
        private final Consumer<ListLine> taker;
        private List<ListLine.Entry> entries = new ArrayList<>();

        public Collected(Consumer<ListLine> taker) {
            this.taker = taker;
        }

        @Override public void begin() {
            entries = new ArrayList<>();
        }

        @Override public void entry(ListLine.Entry entry) {
            entries.add(entry);
        }

        @Override public void end(long index, boolean whole) {
            taker.accept(new ListLine(index, whole, entries));
        }
    }

    /** The next bytes of it. */
    public void piece(byte[] bytes, int from, int to) throws IOException {
        ByteArrayFeeder feeder = (ByteArrayFeeder) in.getNonBlockingInputFeeder();
        feeder.feedInput(bytes, from, to);
        while (at != At.OVER) {
            JsonToken token = in.nextToken();
            if (token == null || token == JsonToken.NOT_AVAILABLE) {
                return;
            }
            take(token);
        }
    }

    /** Entries read so far. */
    public long entries() {
        return entries;
    }

    /** All bytes have come: the list holds now, or it is malformed. */
    public void over() throws IOException {
        if (at != At.OVER) {
            throw new IOException("it ends within the list");
        }
        if (index < 0) {
            throw new IOException("no index");
        }
        sink.end(index, whole);
    }

    private void take(JsonToken token) throws IOException {
        if (passing > 0 || token.isStructStart() && !expected(token)) {
            passing += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        switch (at) {
            case BEFORE -> {
                if (token != JsonToken.START_OBJECT) {
                    throw new IOException("expected an object");
                }
                at = At.LIST;
            }
            case LIST -> list(token);
            case ENDPOINTS -> {
                if (token == JsonToken.END_ARRAY) {
                    at = At.LIST;
                } else if (token == JsonToken.START_OBJECT) {
                    at = At.ENDPOINT;
                    name = address = zone = type = status = "";
                    group = -1;
                    weight = 0;
                } else {
                    throw new IOException("expected an endpoint");
                }
            }
            case ENDPOINT -> endpoint(token);
            default -> throw new IOException("more than a list");
        }
    }

    /** Whether a structure may begin here; any other is passed over where its field is not known. */
    private boolean expected(JsonToken token) throws IOException {
        boolean known = switch (at) {
            case LIST -> field.equals("endpoints") || field.equals("index") || field.equals("snapshot");
            case ENDPOINT -> List.of("name", "address", "zone", "type", "status", "group", "weight").contains(field);
            default -> true;
        };
        if (known && (at == At.ENDPOINT || at == At.LIST && !(field.equals("endpoints") && token == JsonToken.START_ARRAY))) {
            throw new IOException("\"" + field + "\" is not of its kind");
        }
        return known;
    }

    private void list(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = in.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            at = At.OVER;
        } else if (token == JsonToken.START_ARRAY) {
            at = At.ENDPOINTS;
        } else if (field.equals("index")) {
            index = in.getLongValue();
        } else if (field.equals("snapshot")) {
            whole = in.getBooleanValue();
        } else if (field.equals("endpoints")) {
            throw new IOException("\"endpoints\" is not of its kind");
        }
    }

    private void endpoint(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = in.currentName();
            return;
        }
        if (token == JsonToken.END_OBJECT) {
            at = At.ENDPOINTS;
            field = "endpoints";
            entry();
            return;
        }
        switch (field) {
            case "name" -> name = in.getText();
            case "address" -> address = in.getText();
            case "zone" -> zone = in.getText();
            case "type" -> type = in.getText();
            case "status" -> status = in.getText();
            case "group" -> group = in.getIntValue();
            case "weight" -> weight = in.getDoubleValue();
            default -> { }
        }
    }

    private void entry() throws IOException {
        if (name.isEmpty() || group < 0) {
            throw new IOException("an endpoint without a name or group");
        }
        if (!STATUSES.contains(status)) {
            // Guards endpoints against a spoilt word: taken for an end, it would drop them.
            throw new IOException("an endpoint of an unknown status");
        }
        entries++;
        sink.entry(new ListLine.Entry(name, address, zone, type, group, status, weight));
    }
}
