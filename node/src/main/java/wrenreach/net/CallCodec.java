package wrenreach.net;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import wrenreach.api.Outcome;
import wrenreach.held.Submission;
import wrenreach.state.ResponseFingerprint;

/** Encodes a call as an HTTP request and decodes the response. */
final class CallCodec {
    /** Longer waits that a receiver asks for are shortened to one day. */
    private static final long MAX_RETRY_AFTER_MS = 86_400_000;
    /** A load report with a larger value is ignored. */
    private static final double MAX_REPORTED_VALUE = 1e6;

    private static final Pattern RETRY_AFTER = Pattern.compile("(?i)Wait-Ms:[ \\t]*([0-9.]+)");
    /** The start of any response: it stands within another one where that was cut off and the next one came behind it. */
    private static final String RESPONSE_START = "HTTP/1.";
    /** The headers that the protocol defines. Others, as Date or Via, may differ between a response and its copy. */
    private static final List<String> PROTOCOL_HEADERS = List.of("X-Load-Report", "Wait-Ms", "Slots-Taken");

    private final List<String> reportNames;

    /** reportNames: the names of the values in a load report, in the order of the settings. */
    CallCodec(List<String> reportNames) {
        this.reportNames = reportNames;
    }

    /** The request of a call; budgetMs: how long the node waits for the response, in milliseconds. */
    static FullHttpRequest encode(Submission mail, String host, long budgetMs) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/events",
                Unpooled.wrappedBuffer(mail.body()));
        request.headers().set(HttpHeaderNames.HOST, host).set("X-Call-Id", mail.id());
        if (!mail.tag().isEmpty()) {
            request.headers().set("Idempotency-Key", mail.tag());
        }
        request.headers().set("X-Budget-Ms", Long.toString(budgetMs))
                .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(mail.body().length));
        return request;
    }

    /** The result that the protocol gives to a response, by its status and headers. */
    CallResult decode(HttpResponse response) {
        double[] report = parseLoadReport(response.headers().get("X-Load-Report"));
        return switch (response.status().code()) {
            case 200 -> new CallResult(new Outcome.Delivered(), report, true, true);
            case 410 -> new CallResult(new Outcome.NotSent(false), report, true, true);
            case 429 -> new CallResult(new Outcome.Rejected(1000 * parseRetryAfterMs(response.headers().get("Wait-Ms"))), report, false,
                    true);
            case 500 -> new CallResult(new Outcome.ServerError(), report, false, true);
            case 503 -> new CallResult("1".equals(response.headers().get("Slots-Taken")) ? new Outcome.NotSent(true)
                    : new Outcome.Rejected(0), report, false, true);
            case 504 -> new CallResult(new Outcome.NotSent(false), report, false, true);
            // A status that the protocol doesn't name: the mail may have taken effect.
            default -> new CallResult(new Outcome.ServerError(), report, false, false);
        };
    }

    /** The fingerprint of a whole response. */
    static ResponseFingerprint fingerprint(FullHttpResponse response) {
        int bodyHash = response.content().isReadable() ? hash(response.content().nioBuffer()) : 0;
        StringBuilder content = new StringBuilder().append(response.status().code()).append('\n').append(bodyHash).append('\n');
        for (String name : PROTOCOL_HEADERS) {
            content.append(response.headers().getAll(name)).append('\n');
        }
        return new ResponseFingerprint(hash(ByteBuffer.wrap(content.toString().getBytes(StandardCharsets.ISO_8859_1))), bodyHash,
                response.status().code() == 200, isMerged(response));
    }

    private static int hash(ByteBuffer bytes) {
        CRC32 crc = new CRC32();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Whether another response begins within this one, or may begin at the end of its body. */
    private static boolean isMerged(FullHttpResponse response) {
        for (Map.Entry<String, String> header : response.headers()) {
            if (header.getKey().contains(RESPONSE_START) || header.getValue().contains(RESPONSE_START)) {
                return true;
            }
        }
        String text = response.content().toString(StandardCharsets.ISO_8859_1);
        return response.status().reasonPhrase().contains(RESPONSE_START) || text.contains(RESPONSE_START) || endsInResponseStart(text);
    }

    private static boolean endsInResponseStart(String text) {
        for (int length = 1; length < RESPONSE_START.length(); length++) {
            if (text.endsWith(RESPONSE_START.substring(0, length))) {
                return true;
            }
        }
        return false;
    }

    /** How long anything in this text of responses asks to wait, in microseconds; 0 if nothing does. */
    static long longestRetryAfter(CharSequence responses) {
        return RETRY_AFTER.matcher(responses).results().mapToLong(found -> 1000 * parseRetryAfterMs(found.group(1))).max().orElse(0);
    }

    private static long parseRetryAfterMs(String ms) {
        try {
            return ms == null ? 0 : Math.max(0, Math.min(MAX_RETRY_AFTER_MS, (long) Math.ceil(Double.parseDouble(ms))));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The values in the order of the settings; empty where there is no report, or one that can't be read whole. */
    double[] parseLoadReport(String text) {
        if (text == null || reportNames.isEmpty()) {
            return new double[0];
        }
        double[] report = new double[reportNames.size()];
        Arrays.fill(report, Double.NaN);
        try {
            for (String pair : text.split(",")) {
                int equals = pair.indexOf('=');
                int index = equals < 0 ? -1 : reportNames.indexOf(pair.substring(0, equals).strip());
                if (index >= 0) {
                    report[index] = Double.parseDouble(pair.substring(equals + 1).strip());
                }
            }
        } catch (NumberFormatException e) {
            return new double[0];
        }
        // Keeps implausible values from the decisions: rates and shares are not negative, and no rate is that high.
        return Arrays.stream(report).allMatch(value -> value >= 0 && value <= MAX_REPORTED_VALUE) ? report : new double[0];
    }
}
