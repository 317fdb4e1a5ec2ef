package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Cuts a watch's bytes into objects, indented over several lines or not, and empty buffers for its blank lines. What can't
 * become an object is told by an exception as soon as that shows: text outside of one, a line that ends in a string, and a
 * blank line or a new object at a line's start within one, as half an object leaves them.
 */
final class ListFrames extends ByteToMessageDecoder {
    private final int limit;
    /** Bytes of what is being read that have been looked at. */
    private int seen;
    private int depth;
    private boolean text;
    private boolean escaped;
    private boolean lineStart = true;
    /** The line holds an object's end: its own end is no blank line. */
    private boolean ended;

    /** limit: bytes that an object may take. */
    ListFrames(int limit) {
        this.limit = limit;
    }

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        while (seen < in.readableBytes()) {
            byte c = in.getByte(in.readerIndex() + seen++);
            boolean began = lineStart;
            lineStart = c == '\n' || lineStart && (c == ' ' || c == '\t' || c == '\r');
            if (depth == 0) {
                outside(c, in, out);
            } else {
                inside(c, began, in, out);
            }
            if (seen > limit) {
                in.skipBytes(in.readableBytes());
                throw new TooLongFrameException("a list of over " + limit + " bytes");
            }
            if (!out.isEmpty()) {
                return;
            }
        }
    }

    private void outside(byte c, ByteBuf in, List<Object> out) {
        if (c == '{') {
            depth = 1;
            in.skipBytes(seen - 1);
            seen = 1;
        } else if (c == '\n') {
            in.skipBytes(seen);
            seen = 0;
            if (!ended) {
                out.add(Unpooled.EMPTY_BUFFER);
            }
            ended = false;
        } else if (c != ' ' && c != '\t' && c != '\r') {
            spoilt(in, "expected an object");
        }
    }

    private void inside(byte c, boolean began, ByteBuf in, List<Object> out) {
        if (c == '\n' && (text || began)) {
            spoilt(in, text ? "a line ends in a string" : "a blank line in an object");
        } else if (text) {
            text = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            text = true;
        } else if (c == '{' || c == '[') {
            depth++;
            if (c == '{' && began && in.getByte(in.readerIndex() + seen - 2) == '\n') {
                spoilt(in, "an object begins in another");
            }
        } else if ((c == '}' || c == ']') && --depth == 0) {
            out.add(in.readRetainedSlice(seen));
            seen = 0;
            ended = true;
        }
    }

    private static void spoilt(ByteBuf in, String why) {
        in.skipBytes(in.readableBytes());
        throw new CorruptedFrameException(why);
    }
}
