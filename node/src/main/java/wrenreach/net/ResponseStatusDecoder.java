package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Precedes the HTTP codec of a call. It reports a response's status as soon as the status line is complete, since the status
 * holds whatever follows; skips interim responses (1xx); and fails with CorruptedFrameException on bytes that no call waits for.
 */
final class ResponseStatusDecoder extends ByteToMessageDecoder {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})( .*)?");
    /** Bytes that may come before the final status line is complete, interim responses included. */
    private static final int MAX_START_BYTES = 16 * 1024;

    /** What the next bytes are: unexpected, a status line, headers of an interim response, or the rest of a response to pass on. */
    private enum State { NONE_EXPECTED, STATUS_LINE, INTERIM_HEADERS, PASS_THROUGH }

    /** What has come since the request is kept up to so many bytes. */
    private static final int MAX_KEPT_BYTES = 4 * 1024;

    private final IntConsumer onStatusLine;
    private final StringBuilder received = new StringBuilder();
    private State state = State.NONE_EXPECTED;
    private int bytesSeen;
    private int status;

    /** onStatusLine: gets the status when the status line of a final response has come; may throw CorruptedFrameException if none is due yet. */
    ResponseStatusDecoder(IntConsumer onStatusLine) {
        this.onStatusLine = onStatusLine;
    }

    /** A call is written: its response may come. */
    void expectResponse() {
        state = State.STATUS_LINE;
        status = 0;
        bytesSeen = 0;
        received.setLength(0);
    }

    /** What has come since the last request was written, from its final status line on. */
    CharSequence received() {
        return received;
    }

    /** The response has ended: further bytes are an error, and its status says nothing of the next call on the connection. */
    void responseEnded() {
        state = State.NONE_EXPECTED;
        status = 0;
    }

    /** The status of the response being read; 0 before its status line is complete. */
    int status() {
        return status;
    }

    private void passOn(ByteBuf in, List<Object> out) {
        int kept = Math.min(in.readableBytes(), MAX_KEPT_BYTES - received.length());
        received.append(in.toString(in.readerIndex(), kept, StandardCharsets.ISO_8859_1));
        out.add(in.readRetainedSlice(in.readableBytes()));
    }

    private void beginResponse(ByteBuf in, int code) {
        try {
            onStatusLine.accept(code);
        } catch (CorruptedFrameException e) {
            in.skipBytes(in.readableBytes());
            throw e;
        }
    }

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (state == State.PASS_THROUGH) {
            passOn(in, out);
            return;
        }
        if (state == State.NONE_EXPECTED) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("bytes that belong to no answer");
        }
        int length = in.bytesBefore((byte) '\n');
        if (bytesSeen + (length < 0 ? in.readableBytes() : length) > MAX_START_BYTES) {
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("an answer's first line does not end");
        }
        if (length < 0) {
            return;
        }
        bytesSeen += length + 1;
        int start = in.readerIndex();
        String line = in.toString(start, length, StandardCharsets.ISO_8859_1).stripTrailing();
        if (state == State.INTERIM_HEADERS) {
            in.skipBytes(length + 1);
            state = line.isEmpty() ? State.STATUS_LINE : State.INTERIM_HEADERS;
            return;
        }
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("no first line of an answer");
        }
        int code = Integer.parseInt(matcher.group(1));
        if (code < 200) {
            in.skipBytes(length + 1);
            state = State.INTERIM_HEADERS;
        } else {
            beginResponse(in, code);
            status = code;
            state = State.PASS_THROUGH;
            passOn(in, out);
        }
    }
}
