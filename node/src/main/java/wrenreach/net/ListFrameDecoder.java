package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.DefaultByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Splits the bytes of a watch into fragments of JSON objects, which may be indented over several lines, and empty fragments for its
 * blank lines. A fragment is as much of an object as has come, so that no object is ever in memory whole. Malformed input fails with
 * CorruptedFrameException as soon as it is seen: text outside of an object, a line end in a string, and a blank line or a new object
 * at the start of a line within an object, which half an object leaves behind.
 */
final class ListFrameDecoder extends ByteToMessageDecoder {
    /** Part of an object; the last fragment ends it. */
    static final class Fragment extends DefaultByteBufHolder {
        final boolean last;

        private Fragment(ByteBuf bytes, boolean last) {
            super(bytes);
            this.last = last;
        }
    }

    /** Bytes of the fragment that have been scanned. */
    private int scanned;
    /** The byte before the one being scanned. */
    private byte previous;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineStart = true;
    /** An object has ended on this line, so that the end of the line is no blank line. */
    private boolean objectEnded;

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        while (scanned < in.readableBytes()) {
            byte c = in.getByte(in.readerIndex() + scanned++);
            boolean atLineStart = lineStart;
            lineStart = c == '\n' || lineStart && (c == ' ' || c == '\t' || c == '\r');
            if (depth == 0) {
                scanOutside(c, in, out);
            } else {
                scanInside(c, atLineStart, in, out);
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

    private void scanInside(byte c, boolean atLineStart, ByteBuf in, List<Object> out) {
        if (c == '\n' && (inString || atLineStart)) {
            malformed(in, inString ? "a line ends in a string" : "a blank line in an object");
        } else if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            depth++;
            if (c == '{' && atLineStart && previous == '\n') {
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
