package wrenreach.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.InlineCommandRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wrenreach.held.Submission;

/** Decodes a RESP message of a client to a request. */
final class RequestDecoder extends MessageToMessageDecoder<RedisMessage> {
    /** The most fields of a submission: far more than the protocol has. */
    private static final int MAX_FIELDS = 64;

    @Override protected void decode(ChannelHandlerContext ctx, RedisMessage message, List<Object> out) {
        if (message instanceof InlineCommandRedisMessage inline) {
            out.add(inline.content().strip().equalsIgnoreCase("PING") ? new Request.Ping()
                    : new Request.Malformed("expected an array of bulk strings", true));
            return;
        }
        if (!(message instanceof ArrayRedisMessage array) || array.isNull()) {
            out.add(new Request.Malformed("expected an array of bulk strings", true));
            return;
        }
        List<ByteBuf> words = new ArrayList<>(array.children().size());
        for (RedisMessage child : array.children()) {
            if (!(child instanceof FullBulkStringRedisMessage bulk) || bulk.isNull()) {
                out.add(new Request.Malformed("expected an array of bulk strings", true));
                return;
            }
            words.add(bulk.content());
        }
        out.add(parse(words));
    }

    /** The request of a command and its arguments; {@link Request.Malformed} where they are none. */
    static Request parse(List<ByteBuf> words) {
        String command = words.isEmpty() ? "" : decodeText(words.get(0));
        if (command.equalsIgnoreCase("PING")) {
            return new Request.Ping();
        }
        if (!command.equalsIgnoreCase("ENQUEUE")) {
            return new Request.Malformed("unknown command", false);
        }
        if (words.size() != 5) {
            return new Request.Malformed("ENQUEUE takes a key, an id, fields and a body", false);
        }
        String key = decodeText(words.get(1));
        String id = decodeText(words.get(2));
        if (!isPrintableWord(id) || !isPrintableWord(key)) {
            return new Request.Malformed("malformed key or id", false);
        }
        return parseSubmission(key.chars().allMatch(c -> c == '0') ? "" : key, id, decodeText(words.get(3)),
                ByteBufUtil.getBytes(words.get(4)));
    }

    private static Request parseSubmission(String key, String id, String fields, byte[] body) {
        String queueClass = "", tenant = "", tag = "";
        long lifetime = -1, destination = -1;
        String[] parts = fields.split(",", MAX_FIELDS + 1);
        if (parts.length > MAX_FIELDS) {
            return new Request.Malformed("malformed fields", false);
        }
        for (String field : parts) {
            int equals = field.indexOf('=');
            String value = field.substring(equals + 1);
            switch (equals < 0 ? "" : field.substring(0, equals)) {
                case "c" -> queueClass = value;
                case "t" -> tenant = value;
                case "d" -> lifetime = parseNumber(value);
                case "dest" -> destination = parseNumber(value);
                case "k" -> tag = value;
                default -> { } // A field of a later protocol, or one that the decisions don't use.
            }
        }
        if (lifetime < 0 || destination < 0 || destination > Integer.MAX_VALUE
                || !tag.isEmpty() && !isPrintableWord(tag)) {
            return new Request.Malformed("malformed fields", false);
        }
        Submission submission = new Submission(id, key, queueClass, tenant, tag, (int) destination, body);
        return submission.tooLong() ? new Request.Malformed("malformed fields", false) : new Request.Submit(submission, lifetime);
    }

    /** Whether it is a word of printable ASCII: ids are sent in HTTP headers, where a line end would begin a header of its own. */
    private static boolean isPrintableWord(String text) {
        return !text.isEmpty() && text.length() <= Submission.MAX_WORD_LENGTH && text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long parseNumber(String text) {
        try {
            return text.length() > 15 ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static String decodeText(ByteBuf bytes) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
