package wrenreach.held;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** One record of the journal and its form on disk. */
public sealed interface Entry {
    /** The mail that it is about. */
    String id();

    /** Taken on; endsBy by the clock of the records, see {@link TimeBase}. */
    record Accepted(Submission submission, long deadline) implements Entry {
        @Override public String id() {
            return submission.id();
        }
    }

    /** A connect's bytes are about to go out. */
    record AttemptStarted(String id, RecordedAttempt attempt) implements Entry { }

    /** A connect is known not to have run. */
    record NeverRan(String id, int number) implements Entry { }

    /** Ended undelivered, to be told to the platform. */
    record Ended(String id, Ending ending) implements Entry { }

    /** From here on times are read by this clock. */
    record Clock(TimeBase base) implements Entry {
        @Override public String id() {
            return "";
        }
    }

    /** Nothing is owed any more. */
    record Completed(String id) implements Entry { }

    /** The record without its length and checksum. */
    default byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        DataOutputStream out = new DataOutputStream(bytes);
        try {
            if (this instanceof Accepted t) {
                Submission s = t.submission;
                out.writeByte(1);
                text(out, s.id());
                out.writeLong(t.deadline);
                text(out, s.key());
                text(out, s.queueClass());
                text(out, s.tenant());
                text(out, s.tag());
                out.writeInt(s.destination());
                out.writeInt(s.body().length);
                out.write(s.body());
            } else if (this instanceof AttemptStarted c) {
                out.writeByte(2);
                text(out, c.id);
                out.writeInt(c.attempt.number());
                text(out, c.attempt.endpoint());
                out.writeInt(c.attempt.zone());
                out.writeLong(c.attempt.sentAt());
            } else if (this instanceof NeverRan n) {
                out.writeByte(3);
                text(out, n.id);
                out.writeInt(n.number);
            } else if (this instanceof Ended e) {
                out.writeByte(4);
                text(out, e.id);
                out.writeBoolean(e.ending.deferred());
                out.writeLong(e.ending.retryAfterMs());
            } else if (this instanceof Clock c) {
                out.writeByte(6);
                text(out, id());
                text(out, c.base.boot());
                out.writeLong(c.base.offset());
            } else {
                out.writeByte(5);
                text(out, id());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads what encode wrote; IOException where it is no record of this form. */
    static Entry decode(byte[] bytes) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        int type = in.readByte();
        String id = text(in);
        return switch (type) {
            case 1 -> {
                long endsBy = in.readLong();
                yield new Accepted(new Submission(id, text(in), text(in), text(in), text(in), in.readInt(),
                        in.readNBytes(in.readInt())), endsBy);
            }
            case 2 -> new AttemptStarted(id,
                    new RecordedAttempt(in.readInt(), text(in), in.readInt(), in.readLong(), false));
            case 3 -> new NeverRan(id, in.readInt());
            case 4 -> new Ended(id, new Ending(in.readBoolean(), in.readLong()));
            case 5 -> new Completed(id);
            case 6 -> new Clock(new TimeBase(text(in), in.readLong()));
            default -> throw new IOException("unknown type " + type);
        };
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static String text(DataInputStream in) throws IOException {
        return new String(in.readNBytes(in.readUnsignedShort()), StandardCharsets.UTF_8);
    }
}
