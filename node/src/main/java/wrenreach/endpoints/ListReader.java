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

    private enum State { START, LIST, ENDPOINTS, ENDPOINT, DONE }

    private final ListSink sink;
    private final JsonParser parser;
    private State state = State.START;
    private String field = "";
    /** How deep in something that is passed over. */
    private int skipDepth;
    private long entryCount;
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
        this.parser = in;
        sink.begin();
    }

    /** The list that the parser stands at the begin of. */
    public static void read(JsonParser in, ListSink sink) throws IOException {
        ListReader reader = new ListReader(sink, in);
        reader.handle(in.currentToken());
        while (reader.state != State.DONE) {
            JsonToken token = in.nextToken();
            if (token == null) {
                throw new IOException("it ends within the list");
            }
            reader.handle(token);
        }
        reader.finish();
    }

    /** One list that is there whole. */
    public static ListUpdate read(byte[] text) throws IOException {
        ListUpdate[] read = new ListUpdate[1];
        ListReader reader = new ListReader(new CollectingSink(line -> read[0] = line));
        reader.feed(text, 0, text.length);
        reader.finish();
        return read[0];
    }

    /** Collects a list into an object. */
    public static final class CollectingSink implements ListSink {
        private final Consumer<ListUpdate> consumer;
        private List<ListUpdate.Entry> entries = new ArrayList<>();

        public CollectingSink(Consumer<ListUpdate> taker) {
            this.consumer = taker;
        }

        @Override public void begin() {
            entries = new ArrayList<>();
        }

        @Override public void entry(ListUpdate.Entry entry) {
            entries.add(entry);
        }

        @Override public void end(long index, boolean whole) {
            consumer.accept(new ListUpdate(index, whole, entries));
        }
    }

    /** The next bytes of it. */
    public void feed(byte[] bytes, int from, int to) throws IOException {
        ByteArrayFeeder feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        feeder.feedInput(bytes, from, to);
        while (state != State.DONE) {
            JsonToken token = parser.nextToken();
            if (token == null || token == JsonToken.NOT_AVAILABLE) {
                return;
            }
            handle(token);
        }
    }

    /** Entries read so far. */
    public long entryCount() {
        return entryCount;
    }

    /** All bytes have come: the list holds now, or it is malformed. */
    public void finish() throws IOException {
        if (state != State.DONE) {
            throw new IOException("it ends within the list");
        }
        if (index < 0) {
            throw new IOException("no index");
        }
        sink.end(index, whole);
    }

    private void handle(JsonToken token) throws IOException {
        if (skipDepth > 0 || token.isStructStart() && !isExpected(token)) {
            skipDepth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        switch (state) {
            case START -> {
                if (token != JsonToken.START_OBJECT) {
                    throw new IOException("expected an object");
                }
                state = State.LIST;
            }
            case LIST -> readListToken(token);
            case ENDPOINTS -> {
                if (token == JsonToken.END_ARRAY) {
                    state = State.LIST;
                } else if (token == JsonToken.START_OBJECT) {
                    state = State.ENDPOINT;
                    name = address = zone = type = status = "";
                    group = -1;
                    weight = 0;
                } else {
                    throw new IOException("expected an endpoint");
                }
            }
            case ENDPOINT -> readEndpointToken(token);
            default -> throw new IOException("more than a list");
        }
    }

    /** Whether a structure may begin here; any other is passed over where its field is not known. */
    private boolean isExpected(JsonToken token) throws IOException {
        boolean known = switch (state) {
            case LIST -> field.equals("endpoints") || field.equals("index") || field.equals("snapshot");
            case ENDPOINT -> List.of("name", "address", "zone", "type", "status", "group", "weight").contains(field);
            default -> true;
        };
        if (known && (state == State.ENDPOINT || state == State.LIST && !(field.equals("endpoints") && token == JsonToken.START_ARRAY))) {
            throw new IOException("\"" + field + "\" is not of its kind");
        }
        return known;
    }

    private void readListToken(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            state = State.DONE;
        } else if (token == JsonToken.START_ARRAY) {
            state = State.ENDPOINTS;
        } else if (field.equals("index")) {
            index = parser.getLongValue();
        } else if (field.equals("snapshot")) {
            whole = parser.getBooleanValue();
        } else if (field.equals("endpoints")) {
            throw new IOException("\"endpoints\" is not of its kind");
        }
    }

    private void readEndpointToken(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
            return;
        }
        if (token == JsonToken.END_OBJECT) {
            state = State.ENDPOINTS;
            field = "endpoints";
            emitEntry();
            return;
        }
        switch (field) {
            case "name" -> name = parser.getText();
            case "address" -> address = parser.getText();
            case "zone" -> zone = parser.getText();
            case "type" -> type = parser.getText();
            case "status" -> status = parser.getText();
            case "group" -> group = parser.getIntValue();
            case "weight" -> weight = parser.getDoubleValue();
            default -> { }
        }
    }

    private void emitEntry() throws IOException {
        if (name.isEmpty() || group < 0) {
            throw new IOException("an endpoint without a name or group");
        }
        if (!STATUSES.contains(status)) {
            // Guards endpoints against a spoilt word: taken for an end, it would drop them.
            throw new IOException("an endpoint of an unknown status");
        }
        entryCount++;
        sink.entry(new ListUpdate.Entry(name, address, zone, type, group, status, weight));
    }
}
