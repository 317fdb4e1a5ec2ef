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
 * Parses discovery's JSON form of a list incrementally, as its bytes arrive: only one entry and the current bytes are in memory. An
 * IOException says what is malformed or why the sink can't accept the list; the reader can't be used after that.
 */
public final class ListReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final List<String> STATUSES = List.of("SERVING", "DRAINING", "DELETED");

    /** Where in the list the parser is. */
    private enum State { START, LIST, ENDPOINTS, ENDPOINT, DONE }

    private final ListSink sink;
    private final JsonParser parser;
    private State state = State.START;
    /** The JSON field whose value comes next. */
    private String field = "";
    /** Nesting depth within an unknown structure that is skipped; 0: none is. */
    private int skipDepth;
    private long entryCount;
    /** Version of the list; -1: not read yet. */
    private long index = -1;
    /** Whether the list is a snapshot of the whole list. */
    private boolean whole;
    /** The fields of the endpoint that is being read. */
    private String name, address, zone, type, status;
    private int group;
    private double weight;

    /** A reader of one list, whose bytes are passed to {@link #feed}. */
    public ListReader(ListSink sink) throws IOException {
        this(sink, JSON.createNonBlockingByteArrayParser());
    }

    private ListReader(ListSink sink, JsonParser parser) {
        this.sink = sink;
        this.parser = parser;
        sink.begin();
    }

    /** Reads the list whose first token is the parser's current one. */
    public static void read(JsonParser parser, ListSink sink) throws IOException {
        ListReader reader = new ListReader(sink, parser);
        reader.handle(parser.currentToken());
        while (reader.state != State.DONE) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IOException("it ends within the list");
            }
            reader.handle(token);
        }
        reader.finish();
    }

    /** Reads one list whose bytes are all present. */
    public static ListUpdate read(byte[] text) throws IOException {
        ListUpdate[] result = new ListUpdate[1];
        ListReader reader = new ListReader(new CollectingSink(update -> result[0] = update));
        reader.feed(text, 0, text.length);
        reader.finish();
        return result[0];
    }

    /** Collects a list into one {@link ListUpdate}. */
    public static final class CollectingSink implements ListSink {
        private final Consumer<ListUpdate> consumer;
        private List<ListUpdate.Entry> entries = new ArrayList<>();

        public CollectingSink(Consumer<ListUpdate> consumer) {
            this.consumer = consumer;
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

    /** Parses the next bytes of the list: those from from up to, but not including, to. */
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

    /** The number of entries read so far. */
    public long entryCount() {
        return entryCount;
    }

    /** All bytes have been fed: ends the list at the sink, or throws IOException if it is incomplete. */
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

    /** Whether an object or array may begin here. One of an unknown field is skipped; one as the value of a known field is an error. */
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
            // A corrupted status must not be taken for the end of an endpoint, as that would remove it.
            throw new IOException("an endpoint of an unknown status");
        }
        entryCount++;
        sink.entry(new ListUpdate.Entry(name, address, zone, type, group, status, weight));
    }
}
