package wrenreach.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads batches of events from a stream, in frames of little-endian fields. Malformed input ends in a {@link WireException}. */
public final class FrameReader {
    /** Header of a batch: clock, length, count of records. */
    private static final int HEADER_BYTES = 16;
    /** Size of a host entry in a manifest. */
    private static final int HOST_BYTES = 23;
    /** How many roster numbers there are, from 0. */
    private static final int ROSTER_LIMIT = 16;
    private static final double MICROS_PER_SECOND = 1e6;

    private final InputStream in;
    private ByteBuffer frame;
    /** The current record as error messages name it: index and event name. */
    private String recordLabel;
    /** Where the current record starts, in bytes after the header. */
    private int recordStart;
    /** Where the field whose range is checked starts, in bytes after the header. */
    private int fieldStart;

    public FrameReader(InputStream in) {
        this.in = in;
    }

    /** Returns the next batch, or null where the input ends between frames. */
    public Event.Batch read() throws IOException {
        byte[] head = in.readNBytes(HEADER_BYTES);
        if (head.length == 0) {
            return null;
        }
        if (head.length < HEADER_BYTES) {
            throw new WireException("batch header at byte " + head.length + ": expected " + HEADER_BYTES
                    + " bytes, input ended");
        }
        ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
        long clock = toMicros(header.getDouble());
        long length = Integer.toUnsignedLong(header.getInt()) - 4;
        long count = Integer.toUnsignedLong(header.getInt());
        if (length < 0 || length > Integer.MAX_VALUE - HEADER_BYTES) {
            throw new WireException("batch header at byte 8: expected a length of 4 to 2147483631, got "
                    + (length + 4));
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new WireException("batch at byte " + (HEADER_BYTES + body.length) + ": expected " + length
                    + " bytes of records, input ended");
        }
        frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        List<Event> events = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            events.add(event(i));
        }
        if (frame.hasRemaining()) {
            throw new WireException("batch at byte " + (HEADER_BYTES + frame.position()) + ": expected its end after "
                    + count + " records, got " + frame.remaining() + " bytes more");
        }
        return new Event.Batch(clock, events);
    }

    private Event event(long index) throws WireException {
        recordStart = frame.position();
        recordLabel = "record " + index;
        int code = u8("an event code");
        recordLabel += " (" + recordName(code) + ")";
        return switch (code) {
            case 1 -> new Event.Enlist(u16("NodeId"), i64("Seed"), text());
            case 2 -> new Event.View(u16("NodeId"), scope(), i64("Version"), u16("RosterId"));
            case 3 -> new Event.Req(u16("NodeId"), i64("Call"), Math.round((float) f32("DestNo")), u16("Type"),
                    i64("Subject"), u8("Opts"), expiresInAfterHint(), u32("ClientGroup"));
            case 4 -> accepted();
            case 5 -> new Event.Response(u16("NodeId"), i64("Call"), u16("N"), endpoint(), result(),
                    doneFlagAfterTimeTaken(), u32("Detail"), feedback());
            case 6 -> new Event.Cancelled(u16("NodeId"), i64("Call"));
            case 7 -> new Event.Ring(u16("NodeId"), u32("Label"));
            case 8 -> probed();
            case 9 -> peerData();
            case 10 -> new Event.Stop(u16("NodeId"));
            case 11 -> new Event.Manifest(roster(), hosts());
            default -> throw malformed(recordStart, "an event code from 1 to 11, got " + code);
        };
    }

    private static String recordName(int code) {
        String[] names = {"?", "enlist", "view", "req", "accepted", "response", "cancelled_by_client", "ring",
            "probed", "peer_data", "stop", "manifest"};
        return code < names.length ? names[code] : "?";
    }

    private Event accepted() throws WireException {
        Event.Accepted accepted = new Event.Accepted(u16("NodeId"), i64("Call"), u16("N"));
        f64("TimeTaken");
        endpoint();
        return accepted;
    }

    private Event probed() throws WireException {
        Event.Probed probed = new Event.Probed(u16("NodeId"));
        f64("TimeTaken");
        result();
        endpoint();
        feedback();
        return probed;
    }

    private Event peerData() throws WireException {
        Event.PeerData data = new Event.PeerData(u16("NodeId"));
        u16("Who");
        skip(u16("a count of Bytes"), "Bytes");
        return data;
    }

    private long expiresInAfterHint() throws WireException {
        f64("Hint");
        return toMicros(f64("ExpiresIn"));
    }

    private boolean doneFlagAfterTimeTaken() throws WireException {
        f64("TimeTaken");
        return u8("DoneFlag") != 0;
    }

    private int scope() throws WireException {
        return checkMaximum(3, "Scope", markedU8("Scope"));
    }

    private int result() throws WireException {
        return checkMaximum(7, "Result", markedU8("Result"));
    }

    private int roster() throws WireException {
        fieldStart = frame.position();
        return checkMaximum(ROSTER_LIMIT - 1, "list number", u16("RosterId"));
    }

    /** Reads a byte and remembers its place for the message of a failed range check. */
    private int markedU8(String field) throws WireException {
        fieldStart = frame.position();
        return u8(field);
    }

    private int checkMaximum(int maximum, String field, int value) throws WireException {
        if (value > maximum) {
            throw malformed(fieldStart, "a " + field + " from 0 to " + maximum + ", got " + value);
        }
        return value;
    }

    private List<Event.Host> hosts() throws WireException {
        long count = u32("a count of Hosts");
        requireBytes(count * HOST_BYTES, count + " entries of " + HOST_BYTES + " bytes");
        List<Event.Host> hosts = new ArrayList<>((int) count);
        for (long i = 0; i < count; i++) {
            int dest = u16("Dest");
            long endpoint = endpoint();
            int availability = u8("Availability");
            int sku = u8("Sku");
            double share = f32("Share");
            f64("LastStart");
            hosts.add(new Event.Host(dest, endpoint, availability, sku, share, u8("Zone")));
        }
        return hosts;
    }

    private double[] feedback() throws WireException {
        int count = u8("a count of Feedback");
        double[] values = new double[count];
        for (int i = 0; i < count; i++) {
            values[i] = f32("Feedback");
        }
        return values;
    }

    private long endpoint() throws WireException {
        requireBytes(6, "an endpoint of 6 bytes");
        long address = 0;
        for (int i = 0; i < 4; i++) {
            address = address << 8 | frame.get() & 0xff;
        }
        return address << 16 | frame.getShort() & 0xffff;
    }

    private String text() throws WireException {
        long count = u32("a count of Conf");
        requireBytes(count, count + " bytes of Conf");
        byte[] bytes = new byte[(int) count];
        frame.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private void skip(int count, String what) throws WireException {
        requireBytes(count, count + " bytes of " + what);
        frame.position(frame.position() + count);
    }

    private int u8(String what) throws WireException {
        requireBytes(1, what);
        return frame.get() & 0xff;
    }

    private int u16(String what) throws WireException {
        requireBytes(2, what);
        return frame.getShort() & 0xffff;
    }

    private long u32(String what) throws WireException {
        requireBytes(4, what);
        return Integer.toUnsignedLong(frame.getInt());
    }

    private long i64(String what) throws WireException {
        requireBytes(8, what);
        return frame.getLong();
    }

    private double f32(String what) throws WireException {
        requireBytes(4, what);
        return frame.getFloat();
    }

    private double f64(String what) throws WireException {
        requireBytes(8, what);
        return frame.getDouble();
    }

    private void requireBytes(long bytes, String expected) throws WireException {
        if (frame.remaining() < bytes) {
            throw malformed(frame.position(), expected + ", the frame ended");
        }
    }

    private WireException malformed(int at, String expected) {
        return new WireException(recordLabel + " at byte " + (HEADER_BYTES + recordStart) + ", field at byte " + (HEADER_BYTES + at)
                + ": expected " + expected);
    }

    static long toMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
