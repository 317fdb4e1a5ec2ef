package wrenreach.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Collects the actions of a reply and writes them as one little-endian frame. Times are given in microseconds and written as seconds. */
public final class ReplyWriter {
    /** Longest text of a record, in bytes of UTF-8: its length is written as 16 bits. */
    private static final int MAX_TEXT_BYTES = 0xffff;
    private static final double MICROS_PER_SECOND = 1e6;

    private ByteBuffer body = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    public void callOut(int node, long call, long endpoint, long timeoutAt) {
        startRecord(74, node).putLong(call);
        endpoint(endpoint).putDouble(timeoutAt / MICROS_PER_SECOND);
    }

    public void revoke(int node, long call, int number) {
        startRecord(68, node).putLong(call).putShort((short) number);
    }

    public void reject(int node, long call, long retryAfter) {
        startRecord(67, node).putLong(call).putDouble(retryAfter / MICROS_PER_SECOND);
    }

    public void fail(int node, long call) {
        startRecord(75, node).putLong(call);
    }

    public void notifyMe(int node, int label, long delay) {
        startRecord(73, node).putInt(label).putDouble(delay / MICROS_PER_SECOND);
    }

    public void release(int node, long endpoint) {
        startRecord(65, node);
        endpoint(endpoint);
    }

    public void track(int node) {
        startRecord(71, node).put((byte) 1);
    }

    public void listAll(int node) {
        startRecord(70, node);
    }

    public void journalLine(int node, String text) {
        text(66, node, text);
    }

    public void fault(int node, String text) {
        text(69, node, text);
    }

    /** Writes the frame and starts the next one. */
    public void writeTo(OutputStream out) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN);
        head.putInt(body.position() + 4).putInt(records);
        out.write(head.array());
        out.write(body.array(), 0, body.position());
        out.flush();
        body.clear();
        records = 0;
    }

    /** Writes a record with a text, which is cut to MAX_TEXT_BYTES without splitting a UTF-8 character. */
    private void text(int code, int node, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_TEXT_BYTES);
        while (length < bytes.length && (bytes[length] & 0xc0) == 0x80) {
            length--;
        }
        startRecord(code, node);
        ensureCapacity(length + 2);
        body.putShort((short) length).put(bytes, 0, length);
    }

    /** Makes room for a record of up to 64 bytes and writes its code and node. */
    private ByteBuffer startRecord(int code, int node) {
        ensureCapacity(64);
        records++;
        return body.put((byte) code).putShort((short) node);
    }

    /** Writes an endpoint: 4 bytes of address in network byte order, then the port, little-endian. */
    private ByteBuffer endpoint(long endpoint) {
        for (int shift = 40; shift >= 16; shift -= 8) {
            body.put((byte) (endpoint >> shift));
        }
        return body.putShort((short) endpoint);
    }

    private void ensureCapacity(int bytes) {
        if (body.remaining() < bytes) {
            body = ByteBuffer.allocate(Math.max(body.capacity() * 2, body.position() + bytes))
                    .order(ByteOrder.LITTLE_ENDIAN).put(body.flip());
        }
    }
}
