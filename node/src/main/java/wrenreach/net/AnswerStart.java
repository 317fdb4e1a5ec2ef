package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stands before the HTTP codec of a call: tells an answer's status as soon as its first line is whole, as that holds
 * whatever follows; leaves out interim answers (1xx); and finds fault with bytes that no call waits for.
 */
final class AnswerStart extends ByteToMessageDecoder {
    private static final Pattern FIRST_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})( .*)?");
    /** What may come before an answer's first line is whole, interim answers included. */
    private static final int START_LIMIT = 16 * 1024;

    private enum At { UNASKED, FIRST_LINE, INTERIM, REST }

    private final Runnable begun;
    private At at = At.UNASKED;
    private int seen;
    private int status;

    /** begun: run when an answer's first line is there. */
    AnswerStart(Runnable begun) {
        this.begun = begun;
    }

    /** A call goes out: an answer may come. */
    void expect() {
        at = At.FIRST_LINE;
        status = 0;
        seen = 0;
    }

    /** The answer has ended; nothing more belongs to it, and it says nothing of the next call on its connection. */
    void ended() {
        at = At.UNASKED;
        status = 0;
    }

    /** The status of the answer that is coming in, 0 before its first line is whole. */
    int status() {
        return status;
    }

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (at == At.REST) {
            out.add(in.readRetainedSlice(in.readableBytes()));
            return;
        }
        if (at == At.UNASKED) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("bytes that belong to no answer");
        }
        int length = in.bytesBefore((byte) '\n');
        if (seen + (length < 0 ? in.readableBytes() : length) > START_LIMIT) {
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("an answer's first line does not end");
        }
        if (length < 0) {
            return;
        }
        seen += length + 1;
        int start = in.readerIndex();
        String line = in.toString(start, length, StandardCharsets.ISO_8859_1).stripTrailing();
        if (at == At.INTERIM) {
            in.skipBytes(length + 1);
            at = line.isEmpty() ? At.FIRST_LINE : At.INTERIM;
            return;
        }
        Matcher matcher = FIRST_LINE.matcher(line);
        if (!matcher.matches()) {
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("no first line of an answer");
        }
        int code = Integer.parseInt(matcher.group(1));
        if (code < 200) {
            in.skipBytes(length + 1);
            at = At.INTERIM;
        } else {
            status = code;
            at = At.REST;
            begun.run();
            out.add(in.readRetainedSlice(in.readableBytes()));
        }
    }
}
