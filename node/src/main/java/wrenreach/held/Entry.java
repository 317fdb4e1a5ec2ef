package wrenreach.held;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** One record of the ledger and its form on disk. */
public sealed interface Entry {
    /** The first byte of the content of {@link Accepted}. */
    int ACCEPTED_TYPE = 1;
    /** The highest type. */
    int LAST_TYPE = 6;
    /** Most bytes of a text in a record: its length takes 16 bits. */
    int MAX_TEXT_BYTES = 0xFFFF;
    /** Most bytes of a body in a record. */
    int MAX_BODY_BYTES = 1 << 19;
    /** Most bytes of a record's content. */
    int MAX_CONTENT_BYTES = 1 << 20;
    /** Fewest bytes of a record's content: the type and an empty id. */
    int MIN_CONTENT_BYTES = 3;

    /** A text or a body is longer than a record can hold. */
    final class TooLongException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        TooLongException(String what, int bytes, int maxBytes) {
            super(what + " of " + bytes + " bytes: a record holds at most " + maxBytes);
        }
    }

    /** The id of the mail that the record is about. */
    String id();

    /** The mail was accepted; the deadline is by the clock of the records, see {@link TimeBase}. */
    record Accepted(Submission submission, long deadline) implements Entry {
        @Override public String id() {
            return submission.id();
        }
    }

    /** The bytes of an attempt are about to be sent. */
    record AttemptStarted(String id, RecordedAttempt attempt) implements Entry { }

    /** An attempt is known not to have been run by the receiver. */
    record NeverRan(String id, int number) implements Entry { }

    /** The mail ended undelivered, and a notice to the platform is due. */
    record Ended(String id, Ending ending) implements Entry { }

    /** From this record on, times are measured by this clock. It is about no mail. */
    record Clock(TimeBase base) implements Entry {
        @Override public String id() {
            return "";
        }
    }

    /** Nothing is outstanding for the mail any more. */
    record Completed(String id) implements Entry { }

    /**
     * The record's content: its type, the mail's id and the rest; without the length and checksum that the journal puts before it.
     *
     * @throws TooLongException if a text or the body is longer than a record can hold
     */
    default byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            if (this instanceof Accepted accepted) {
                Submission submission = accepted.submission;
                out.writeByte(ACCEPTED_TYPE);
                writeString(out, submission.id());
                out.writeLong(accepted.deadline);
                writeString(out, submission.key());
                writeString(out, submission.queueClass());
                writeString(out, submission.tenant());
                writeString(out, submission.tag());
                out.writeInt(submission.destination());
                writeBody(out, submission.body());
            } else if (this instanceof AttemptStarted started) {
                out.writeByte(2);
                writeString(out, started.id);
                out.writeInt(started.attempt.number());
                writeString(out, started.attempt.endpoint());
                out.writeInt(started.attempt.zone());
                out.writeLong(started.attempt.sentAt());
            } else if (this instanceof NeverRan neverRan) {
                out.writeByte(3);
                writeString(out, neverRan.id);
                out.writeInt(neverRan.number);
            } else if (this instanceof Ended ended) {
                out.writeByte(4);
                writeString(out, ended.id);
                out.writeBoolean(ended.ending.deferred());
                out.writeLong(ended.ending.retryAfterMs());
            } else if (this instanceof Clock clock) {
                out.writeByte(6);
                writeString(out, id());
                writeString(out, clock.base.boot());
                out.writeLong(clock.base.offset());
            } else {
                out.writeByte(5);
                writeString(out, id());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads what {@link #encode} wrote; throws IOException if the bytes are no such record, or more than one. */
    static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        Entry entry = decode(in);
        if (in.available() > 0) {
            throw new IOException(in.available() + " bytes behind the record's last field");
        }
        return entry;
    }

    /** The length of the record's content that begins here, as its fields tell it; -1 if no record does. */
    static int lengthOf(byte[] bytes, int from) {
        if (from >= bytes.length || bytes[from] < ACCEPTED_TYPE || bytes[from] > LAST_TYPE) {
            return -1;
        }
        ByteArrayInputStream in = new ByteArrayInputStream(bytes, from, bytes.length - from);
        try {
            decode(new DataInputStream(in));
            return bytes.length - from - in.available();
        } catch (IOException e) {
            return -1;
        }
    }

    private static Entry decode(DataInputStream in) throws IOException {
        int type = in.readByte();
        String id = readString(in);
        return switch (type) {
            case ACCEPTED_TYPE -> {
                long deadline = in.readLong();
                yield new Accepted(new Submission(id, readString(in), readString(in), readString(in), readString(in), readDestination(in),
                        readBytes(in, in.readInt())), deadline);
            }
            case 2 -> new AttemptStarted(id,
                    new RecordedAttempt(in.readInt(), readString(in), in.readInt(), in.readLong(), false));
            case 3 -> new NeverRan(id, in.readInt());
            case 4 -> new Ended(id, new Ending(in.readBoolean(), in.readLong()));
            case 5 -> new Completed(id);
            case 6 -> new Clock(new TimeBase(readString(in), in.readLong()));
            default -> throw new IOException("unknown type " + type);
        };
    }

    private static void writeString(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new TooLongException("a text", bytes.length, MAX_TEXT_BYTES);
        }
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static void writeBody(DataOutputStream out, byte[] body) throws IOException {
        if (body.length > MAX_BODY_BYTES) {
            throw new TooLongException("a body", body.length, MAX_BODY_BYTES);
        }
        out.writeInt(body.length);
        out.write(body);
    }

    private static String readString(DataInputStream in) throws IOException {
        return new String(readBytes(in, in.readUnsignedShort()), StandardCharsets.UTF_8);
    }

    private static int readDestination(DataInputStream in) throws IOException {
        int destination = in.readInt();
        if (destination < 0) {
            throw new IOException("a destination of " + destination);
        }
        return destination;
    }

    private static byte[] readBytes(DataInputStream in, int length) throws IOException {
        if (length < 0 || length > in.available()) {
            throw new IOException("a field of " + length + " bytes where " + in.available() + " are left");
        }
        return in.readNBytes(length);
    }
}
