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
final class ListFrameDecoder extends ByteToMessageDecoder {
    /** What has come of an object; the last piece ends it. */
    static final class Fragment extends DefaultByteBufHolder {
        final boolean last;

        private Fragment(ByteBuf bytes, boolean last) {
            super(bytes);
            this.last = last;
        }
    }

    /** Bytes of the piece that have been looked at, and the one before them. */
    private int scanned;
    private byte previous;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineStart = true;
    /** The line holds an object's end: its own end is no blank line. */
    private boolean objectEnded;

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        while (scanned < in.readableBytes()) {
            byte c = in.getByte(in.readerIndex() + scanned++);
            boolean began = lineStart;
            lineStart = c == '\n' || lineStart && (c == ' ' || c == '\t' || c == '\r');
            if (depth == 0) {
                scanOutside(c, in, out);
            } else {
                scanInside(c, began, in, out);
            }
            previous = c;
            if (!out.isEmpty()) {
                return;
            }
        }
        if (depth > 0 && scanned > 0) {
            out.add(new Fragment(in.readRetainedSlice(scanned), false));
            scanned = 0;
        }
    }

    private void scanOutside(byte c, ByteBuf in, List<Object> out) {
        if (c == '{') {
            depth = 1;
            in.skipBytes(scanned - 1);
            scanned = 1;
        } else if (c == '\n') {
            in.skipBytes(scanned);
            scanned = 0;
            if (!objectEnded) {
                out.add(new Fragment(Unpooled.EMPTY_BUFFER, false));
            }
            objectEnded = false;
        } else if (c != ' ' && c != '\t' && c != '\r') {
            malformed(in, "expected an object");
        }
    }

    private void scanInside(byte c, boolean began, ByteBuf in, List<Object> out) {
        if (c == '\n' && (inString || began)) {
            malformed(in, inString ? "a line ends in a string" : "a blank line in an object");
        } else if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            depth++;
            if (c == '{' && began && previous == '\n') {
                malformed(in, "an object begins in another");
            }
        } else if ((c == '}' || c == ']') && --depth == 0) {
            out.add(new Fragment(in.readRetainedSlice(scanned), true));
            scanned = 0;
            objectEnded = true;
        }
    }

    private static void malformed(ByteBuf in, String why) {
        in.skipBytes(in.readableBytes());
        throw new CorruptedFrameException(why);
    }
}
