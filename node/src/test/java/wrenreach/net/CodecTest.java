package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.api.Outcome;
import wrenreach.endpoints.ListReader;
import wrenreach.endpoints.ListUpdate;
import wrenreach.held.Ending;
import wrenreach.held.HeldMail;
import wrenreach.held.Submission;

/** The formats of requests and replies of clients, calls, lists, notices and addresses. */
class CodecTest {
    /** The smallest buffer that a client's bytes are read to. */
    private static final int SMALLEST_READ_BUFFER = 256;
    private static final Submission MAIL =
            new Submission("9b1f", "7f3a", "notice", "acme", "5c0f", 7, new byte[] {0, 13, 10, -1});
    private final EmbeddedChannel channel = new EmbeddedChannel(SubmissionServer.codecs(64));

    private Request nextRequest() {
        return channel.readInbound();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static String enqueue(String key, String id, String fields, String body) {
        StringBuilder text = new StringBuilder("*5\r\n");
        for (String word : List.of("ENQUEUE", key, id, fields, body)) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    /** Guards against requests in very many pieces, each of which occupied the buffer that it was read to: several times the bound of a client. */
    @Test void requestInManyPiecesStaysWithinTheMemoryOfAClient() {
        EmbeddedChannel client = new EmbeddedChannel(SubmissionServer.codecs(SubmissionServer.MAX_BODY_BYTES));
        client.config().setAllocator(Buffers.CLIENT_ALLOCATOR);
        long usedBefore = Buffers.CLIENT_ALLOCATOR.metric().usedDirectMemory() + Buffers.CLIENT_ALLOCATOR.metric().usedHeapMemory();
        String start = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\nm\r\n$1\r\nc\r\n$" + SubmissionServer.MAX_BODY_BYTES + "\r\n";
        client.writeInbound(bytes(start));
        for (int i = 0; i < SubmissionServer.MAX_BODY_BYTES; i++) {
            client.writeInbound(client.alloc().ioBuffer(SMALLEST_READ_BUFFER).writeByte('x'));
            long used = Buffers.CLIENT_ALLOCATOR.metric().usedDirectMemory() + Buffers.CLIENT_ALLOCATOR.metric().usedHeapMemory() - usedBefore;
            assertThat(used).as("bytes held after %d bytes of the body", i).isLessThanOrEqualTo(SubmissionServer.MAX_CLIENT_BYTES);
        }
        client.writeInbound(bytes("\r\n"));
        assertThat((Object) client.readInbound()).isInstanceOf(Request.class);
        assertThat(Buffers.CLIENT_ALLOCATOR.metric().usedHeapMemory()).as("heap for buffers of clients").isZero();
    }

    @Test void submissionIsDecodedForAnyBodyAndAnyFragmentation() {
        String text = enqueue("7f3a", "9b1f", "c=notice,t=acme,d=8000,k=5c0f,dest=7,again=1", "\0\r\n\u00ff");
        for (char c : text.toCharArray()) {
            channel.writeInbound(bytes(String.valueOf(c)));
        }
        Request.Submit handIn = (Request.Submit) nextRequest();
        assertThat(handIn.lifetimeMs()).isEqualTo(8000);
        assertThat(handIn.submission()).usingRecursiveComparison().isEqualTo(MAIL);
    }

    @Test void zerosMeanNoOrderKeyAndPipelinedRequestsKeepTheirOrder() {
        channel.writeInbound(bytes(enqueue("0000", "a", "c=n,d=1,dest=1", "") + "*1\r\n$4\r\nping\r\n"));
        assertThat(((Request.Submit) nextRequest()).submission().key()).isEmpty();
        assertThat(nextRequest()).isEqualTo(new Request.Ping());
    }

    @ParameterizedTest
    @ValueSource(strings = {"c=n,dest=1", "c=n,d=-5,dest=1", "c=n,d=x,dest=1", "c=n,d=1", "c=n,d=1,dest=-2",
        "d=1,dest=1,k=a b"})
    void malformedFieldsAreRejectedAndTheConnectionStaysOpen(String fields) {
        channel.writeInbound(bytes(enqueue("0", "a", fields, "x")));
        assertThat(nextRequest()).isEqualTo(new Request.Malformed("malformed fields", false));
    }

    /** Guards against texts that no record can hold: a tenant of 40,000 bytes was taken on where the settings name no tenants (review/6). */
    @ParameterizedTest
    @CsvSource({"t, 129", "t, 4000", "t, 40000", "t, 65000", "c, 129", "c, 40000", "k, 129"})
    void overlongFieldIsRejected(String field, int length) {
        EmbeddedChannel client = new EmbeddedChannel(SubmissionServer.codecs(SubmissionServer.MAX_BODY_BYTES));
        for (String letter : List.of("\u00e9", "x", "\u00ff")) {
            client.writeInbound(bytes(enqueue("0", "a", "c=n,d=1,dest=1," + field + "=" + letter.repeat(length), "x")));
            assertThat((Object) client.readInbound()).isEqualTo(new Request.Malformed("malformed fields", false));
        }
    }

    /** Guards against very many short fields, each of which costs time and memory: clients that sent them at full speed kept others waiting. */
    @ParameterizedTest
    @CsvSource({"',a=1', 60, true", "',a=1', 61, false", "',a=1', 15000, false", "',', 31000, false", "',=', 31000, false"})
    void manyFieldsAreRejected(String field, int count, boolean accepted) {
        EmbeddedChannel client = new EmbeddedChannel(SubmissionServer.codecs(SubmissionServer.MAX_BODY_BYTES));
        client.writeInbound(bytes(enqueue("0", "a", "c=n,d=1,t=s,dest=1" + field.repeat(count), "x")));
        Object request = client.readInbound();
        assertThat(request instanceof Request.Submit).isEqualTo(accepted);
        assertThat(accepted || request.equals(new Request.Malformed("malformed fields", false))).isTrue();
    }

    /** An id is sent in a header of the call, where a line end in it would begin a header of its own. */
    @Test void idWithALineEndIsRejected() {
        channel.writeInbound(bytes(enqueue("0", "a\r\nX: 1", "c=n,d=1,dest=1", "x")));
        assertThat(nextRequest()).isInstanceOf(Request.Malformed.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"*2\r\n$4\r\nPING\r\n$65\r\n", "*17\r\n"})
    void announcedSizeOverTheLimitIsRejectedBeforeItIsRead(String text) {
        channel.writeInbound(bytes(text));
        assertThat(nextRequest()).isEqualTo(new Request.Malformed("request too large", true));
        channel.writeInbound(bytes("x".repeat(65) + "\r\n"));
        assertThat(nextRequest()).isNull();
    }

    /** A length or a line without end must be rejected before it is complete, as it would use up the memory. */
    @ParameterizedTest
    @ValueSource(strings = {"$", "*5\r\n$", "*1\r\n$3", "PING"})
    void endlessRequestIsRejected(String text) {
        PartialRequestLimiter limiter = new PartialRequestLimiter(4096);
        EmbeddedChannel client = new EmbeddedChannel();
        client.pipeline().addLast(limiter).addLast(SubmissionServer.codecs(64));
        client.writeInbound(bytes(text));
        Object rejection = null;
        for (int i = 0; i < 5000 && rejection == null; i++) {
            try {
                client.writeInbound(bytes("1"));
                rejection = client.readInbound();
            } catch (DecoderException e) {
                rejection = e;
            }
        }
        assertThat(rejection).isNotNull();
        assertThat(limiter.hasPartialRequest()).isTrue();
    }

    @Test void unknownCommandIsRejected() {
        channel.writeInbound(bytes("GET / HTTP/1.1\r\n"));
        assertThat(((Request.Malformed) nextRequest()).close()).isTrue();
        channel.writeInbound(bytes("*1\r\n$3\r\nFOO\r\n"));
        assertThat(nextRequest()).isEqualTo(new Request.Malformed("unknown command", false));
    }

    private String reply(Reply reply) {
        channel.writeOutbound(reply);
        StringBuilder text = new StringBuilder();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            text.append(out.toString(StandardCharsets.US_ASCII));
            out.release();
        }
        return text.toString();
    }

    @Test void repliesAreEncodedAsTheProtocolSays() {
        assertThat(reply(new Reply.Accepted())).isEqualTo("+OK\r\n");
        assertThat(reply(new Reply.Pong())).isEqualTo("+PONG\r\n");
        assertThat(reply(new Reply.Busy(0))).isEqualTo("-BUSY\r\n");
        assertThat(reply(new Reply.Busy(250))).isEqualTo("-BUSY 250\r\n");
        assertThat(reply(new Reply.Error("unknown class", false))).isEqualTo("-ERR unknown class\r\n");
    }

    @Test void callCarriesIdTagBudgetAndBodyUnchanged() {
        FullHttpRequest call = CallCodec.encode(MAIL, "127.0.0.1:1", 1500);
        assertThat(call.uri()).isEqualTo("/events");
        assertThat(call.headers().get("X-Call-Id")).isEqualTo("9b1f");
        assertThat(call.headers().get("Idempotency-Key")).isEqualTo("5c0f");
        assertThat(call.headers().get("X-Budget-Ms")).isEqualTo("1500");
        assertThat(call.headers().get("Content-Length")).isEqualTo("4");
        assertThat(call.content().array()).isEqualTo(MAIL.body());
    }

    private static CallResult answer(int status, String... headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (int i = 0; i < headers.length; i += 2) {
            response.headers().set(headers[i], headers[i + 1]);
        }
        return new CallCodec(List.of("x0", "x1")).decode(response);
    }

    @Test void statusesMapToTheOutcomesOfTheProtocol() {
        assertThat(answer(200).outcome()).isEqualTo(new Outcome.Delivered());
        assertThat(answer(200).completed()).isTrue();
        assertThat(answer(500).outcome()).isEqualTo(new Outcome.ServerError());
        assertThat(answer(429, "Wait-Ms", "350").outcome()).isEqualTo(new Outcome.Rejected(350_000));
        assertThat(answer(429).outcome()).isEqualTo(new Outcome.Rejected(0));
        assertThat(answer(429, "Wait-Ms", "soon").outcome()).isEqualTo(new Outcome.Rejected(0));
        assertThat(answer(503).outcome()).isEqualTo(new Outcome.Rejected(0));
        assertThat(answer(503, "Slots-Taken", "1").outcome()).isEqualTo(new Outcome.NotSent(true));
        assertThat(answer(504).outcome()).isEqualTo(new Outcome.NotSent(false));
        assertThat(answer(504).completed()).isFalse();
        assertThat(answer(410).outcome()).isEqualTo(new Outcome.NotSent(false));
        assertThat(answer(410).completed()).isTrue();
        assertThat(answer(302).readable()).isFalse();
        assertThat(answer(302).outcome().neverRan()).isFalse();
    }

    @Test void loadReportIsReadInTheSettingsOrderOrNotAtAll() {
        assertThat(answer(200, "X-Load-Report", "x1=25, x0=0.4,x9=1").loadReport()).containsExactly(0.4, 25);
        assertThat(answer(200, "X-Load-Report", "x0=0.4").loadReport()).isEmpty();
        assertThat(answer(200, "X-Load-Report", "x0=a,x1=2").loadReport()).isEmpty();
        assertThat(answer(200, "X-Load-Report", "x0=0.4,x1=-2").loadReport()).isEmpty();
        assertThat(answer(200, "X-Load-Report", "x0=0.4,x1=1e300").loadReport()).isEmpty();
        assertThat(answer(200, "X-Load-Report", "x0=NaN,x1=2").loadReport()).isEmpty();
        assertThat(answer(200).loadReport()).isEmpty();
    }

    @Test void listIsReadAndUnknownFieldsAreSkipped() throws IOException {
        ListUpdate line = ListReader.read("""
                {"index":41,"more":{"a":[1]},"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:80",
                "zone":"a","type":"m","group":3,"status":"SERVING","weight":1.5,"since_ms":0,"new":[]}]}"""
                .getBytes(StandardCharsets.UTF_8));
        assertThat(line).isEqualTo(new ListUpdate(41, true,
                List.of(new ListUpdate.Entry("s", "127.0.0.1:80", "a", "m", 3, "SERVING", 1.5))));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"index\":1", "{\"endpoints\":[]}", "{\"index\":1,\"endpoints\":[7]}",
        "{\"index\":1,\"endpoints\":[{\"name\":\"s\"}]}", "{\"index\":\"x\"}", "{\"index\":1,\"endpoints\":7}",
        "{\"index\":1,\"endpoints\":[{\"name\":\"s\",\"group\":\"x\"}]}"})
    void malformedListThrowsIoException(String text) {
        assertThatThrownBy(() -> ListReader.read(text.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(IOException.class);
    }

    @Test void noticesAreOneObjectPerLine() {
        HeldMail bounced = new HeldMail(MAIL, 0);
        bounced.ending = new Ending(false, 0);
        HeldMail deferred = new HeldMail(new Submission("a\"b", "", "", "", "", 1, new byte[0]), 0);
        deferred.ending = new Ending(true, 500);
        assertThat(new String(Notices.encode(List.of(bounced, deferred)), StandardCharsets.UTF_8)).isEqualTo("""
                {"id":"9b1f","status":"undeliverable"}
                {"id":"a\\"b","status":"deferred","again_ms":500}
                """);
    }

    @ParameterizedTest
    @CsvSource({"10.1.0.18:6379, 6379", "[::1]:80, 80", "127.0.0.1:0, 0"})
    void numericAddressesAreParsed(String text, int port) {
        assertThat(Addresses.parse(text).getPort()).isEqualTo(port);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "host:80", "10.1.0.18", "10.1.0.18:x", "10.1.0.18:70000", ":1"})
    void invalidAddressesAreRejected(String text) {
        assertThatThrownBy(() -> Addresses.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }
}
