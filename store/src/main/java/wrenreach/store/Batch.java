package wrenreach.store;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records that are written together: all of them or none. A frame on disk consists of its length, a CRC32C, the sequence number, the
 * sequence number that was known to be forced when it was written (-1: the store is never forced), and the records. The CRC begins
 * with the store's salt and covers all of the frame but itself. Because of the salt, a value that imitates a frame is never taken for
 * one. Each record consists of its type, the lengths of key and value, a CRC32C of its own, the key and the value.
 */
public final class Batch {
    /** Bytes of a frame before its records. */
    static final int FRAME_HEADER_BYTES = 24;
    /** Bytes of a record before its key. */
    static final int RECORD_HEADER_BYTES = 11;
    /** Bytes that a key may have, in UTF-8. */
    public static final int MAX_KEY_BYTES = 1024;
    /** Bytes that a value may have. */
    public static final int MAX_VALUE_BYTES = 1 << 24;
    /** Bytes that all records of a batch may have together. */
    public static final int MAX_BYTES = 1 << 26;
    /** Type of a record that sets the value of its key. */
    static final byte PUT = 1;
    /** Type of a record that deletes its key. */
    static final byte DELETE = 2;

    /** One record: where in the frame it begins, and its length, in bytes. The value of a deletion is empty. */
    record Entry(byte type, String key, byte[] value, int offset, int length) { }

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    private int count;

    /** Sets the value of a key. */
    public Batch put(String key, byte[] value) {
        return add(PUT, key, value);
    }

    /** Deletes a key and its value. */
    public Batch delete(String key) {
        return add(DELETE, key, new byte[0]);
    }

    private Batch add(byte type, String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        if (name.length == 0 || name.length > MAX_KEY_BYTES || value.length > MAX_VALUE_BYTES
                || bytes.size() + RECORD_HEADER_BYTES + name.length + value.length > MAX_BYTES) {
            throw new IllegalArgumentException("a key has 1 to " + MAX_KEY_BYTES + " bytes, a value up to " + MAX_VALUE_BYTES + ", a batch up to "
                    + MAX_BYTES);
        }
        ByteBuffer head = ByteBuffer.allocate(RECORD_HEADER_BYTES).put(type).putShort((short) name.length).putInt(value.length);
        head.putInt(recordChecksum(head.array(), 0, name, value));
        bytes.writeBytes(head.array());
        bytes.writeBytes(name);
        bytes.writeBytes(value);
        count++;
        return this;
    }

    private static int recordChecksum(byte[] head, int at, byte[] key, byte[] value) {
        CRC32C crc = new CRC32C();
        crc.update(head, at, RECORD_HEADER_BYTES - 4);
        crc.update(key);
        crc.update(value);
        return (int) crc.getValue();
    }

    public boolean isEmpty() {
        return count == 0;
    }

    public int count() {
        return count;
    }

    /** Bytes of its frame on disk. */
    public int size() {
        return FRAME_HEADER_BYTES + bytes.size();
    }

    /** The frame that is written to a segment. */
    byte[] frame(long sequence, long forced, int salt) {
        byte[] frame = new byte[size()];
        ByteBuffer buffer = ByteBuffer.wrap(frame).putInt(bytes.size()).putInt(0).putLong(sequence).putLong(forced);
        buffer.put(bytes.toByteArray());
        buffer.putInt(4, checksum(frame, 0, frame.length, salt));
        return frame;
    }

    /** The CRC of the frame that begins at the offset. */
    static int checksum(byte[] bytes, int at, int length, int salt) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(4).putInt(0, salt));
        crc.update(bytes, at, 4);
        crc.update(bytes, at + 8, length - 8);
        return (int) crc.getValue();
    }

    /** The length of the valid frame that begins at the offset; 0: there is none. */
    static int validFrameLength(byte[] bytes, int at, int end, int salt) {
        if (end - at < FRAME_HEADER_BYTES) {
            return 0;
        }
        ByteBuffer head = ByteBuffer.wrap(bytes, at, FRAME_HEADER_BYTES);
        int length = head.getInt();
        int check = head.getInt();
        return length > 0 && length <= end - at - FRAME_HEADER_BYTES && head.getLong() > 0 && checksum(bytes, at, FRAME_HEADER_BYTES + length, salt) == check
                ? FRAME_HEADER_BYTES + length : 0;
    }

    static long sequence(byte[] bytes, int at) {
        return ByteBuffer.wrap(bytes, at + 8, 8).getLong();
    }

    static long forcedSequence(byte[] bytes, int at) {
        return ByteBuffer.wrap(bytes, at + 16, 8).getLong();
    }

    /** The records of a valid frame. */
    static List<Entry> entries(byte[] bytes, int at, int length) {
        List<Entry> all = new ArrayList<>();
        for (int next = at + FRAME_HEADER_BYTES; next < at + length;) {
            ByteBuffer head = ByteBuffer.wrap(bytes, next, RECORD_HEADER_BYTES);
            byte type = head.get();
            int key = head.getShort() & 0xffff;
            int value = head.getInt();
            int size = RECORD_HEADER_BYTES + key + value;
            byte[] content = new byte[value];
            System.arraycopy(bytes, next + RECORD_HEADER_BYTES + key, content, 0, value);
            all.add(new Entry(type, new String(bytes, next + RECORD_HEADER_BYTES, key, StandardCharsets.UTF_8), content, next - at, size));
            next += size;
        }
        return all;
    }

    /** The value of a single record; null: it is damaged. */
    static byte[] recordValue(byte[] record) {
        ByteBuffer head = ByteBuffer.wrap(record);
        head.get();
        int key = head.getShort() & 0xffff;
        int value = head.getInt();
        int check = head.getInt();
        if (RECORD_HEADER_BYTES + key + value != record.length) {
            return null;
        }
        byte[] name = java.util.Arrays.copyOfRange(record, RECORD_HEADER_BYTES, RECORD_HEADER_BYTES + key);
        byte[] content = java.util.Arrays.copyOfRange(record, RECORD_HEADER_BYTES + key, record.length);
        return recordChecksum(record, 0, name, content) == check ? content : null;
    }
}
