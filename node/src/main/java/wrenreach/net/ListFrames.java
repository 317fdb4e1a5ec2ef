package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.DefaultByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Cuts a watch's bytes into pieces of objects, indented over several lines or not, and empty pieces for its blank lines: a
 * piece is what has come of an object, so that none is ever held whole. What can't become an object is told by an exception
 * as soon as that shows: text outside of one, a line that ends in a string, and a blank line or a new object at a line's start
 * within one, as half an object leaves them.
 */
final class ListFrames extends ByteToMessageDecoder {
    /** What has come of an object; the last piece ends it. */
    static final class Piece extends DefaultByteBufHolder {
        final boolean last;

        private Piece(ByteBuf bytes, boolean last) {
            super(bytes);
            this.last = last;
        }
    }

    /** Bytes of the piece that have been looked at, and the one before them. */
    private int seen;
    private byte before;
    private int depth;
    private boolean text;
    private boolean escaped;
    private boolean lineStart = true;
    /** The line holds an object's end: its own end is no blank line. */
    private boolean ended;

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
            before = c;
            if (!out.isEmpty()) {
                return;
            }
        }
        if (depth > 0 && seen > 0) {
            out.add(new Piece(in.readRetainedSlice(seen), false));
            seen = 0;
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
                out.add(new Piece(Unpooled.EMPTY_BUFFER, false));
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
            if (c == '{' && began && before == '\n') {
                spoilt(in, "an object begins in another");
            }
        } else if ((c == '}' || c == ']') && --depth == 0) {
            out.add(new Piece(in.readRetainedSlice(seen), true));
            seen = 0;
            ended = true;
        }
    }

    private static void spoilt(ByteBuf in, String why) {
        in.skipBytes(in.readableBytes());
        throw new CorruptedFrameException(why);
    }
}
