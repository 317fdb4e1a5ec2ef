package wrenreach.net;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import java.util.List;
import wrenreach.api.Outcome;
import wrenreach.held.Submission;

/** The form of a call on the wire. */
final class CallCodec {
    private static final long MAX_RETRY_AFTER_MS = 86_400_000;
    private static final double MAX_REPORTED_VALUE = 1e6;

    private final List<String> reportNames;

    /** reportNames: the figures of a load report, in the order of the settings. */
    CallCodec(List<String> reportNames) {
        this.reportNames = reportNames;
    }

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
            // Guards against what no page names: it may have run.
            default -> new CallResult(new Outcome.ServerError(), report, false, false);
        };
    }

    private static long parseRetryAfterMs(String ms) {
        try {
            return ms == null ? 0 : Math.max(0, Math.min(MAX_RETRY_AFTER_MS, (long) Math.ceil(Double.parseDouble(ms))));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The figures in the settings' order; none where the answer holds no report that can be read. */
    double[] parseLoadReport(String text) {
        if (text == null || reportNames.isEmpty()) {
            return new double[0];
        }
        double[] report = new double[reportNames.size()];
        Arrays.fill(report, Double.NaN);
        try {
            for (String pair : text.split(",")) {
                int equals = pair.indexOf('=');
                int at = equals < 0 ? -1 : reportNames.indexOf(pair.substring(0, equals).strip());
                if (at >= 0) {
                    report[at] = Double.parseDouble(pair.substring(equals + 1).strip());
                }
            }
        } catch (NumberFormatException e) {
            return new double[0];
        }
        // Guards the decisions against spoilt figures: rates and shares are not negative, and no rate is that high.
        return Arrays.stream(report).allMatch(figure -> figure >= 0 && figure <= MAX_REPORTED_VALUE) ? report : new double[0];
    }
}
