package wrenreach.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wrenreach.held.HeldMail;
import wrenreach.log.LogEvent;

/**
 * Posts the endings of undelivered mails to the platform, and repeats each until the platform acknowledges it. Owned by the event loop.
 * Each post has a connection of its own: a 204 has nothing in it that tells it from the copy of an earlier one.
 */
public final class Notices {
    private static final System.Logger LOG = System.getLogger(Notices.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    /** The first timeout of a post. The platform answers at once, and an ending has 350 ms after its mail's deadline: a second post fits in. */
    private static final long RESPONSE_TIMEOUT_MS = 150;
    /** The timeout grows up to this after failures, since responses of a slow platform would otherwise never be received. */
    private static final long MAX_RESPONSE_TIMEOUT_MS = 1000;
    /** Time between the first failure and the next try. */
    private static final long INITIAL_BACKOFF_MS = 100;
    /** Most time between a failure and the next try. */
    private static final long MAX_BACKOFF_MS = 400;
    /** The largest body of a response that is read. */
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    /** Notices in one post; each is far shorter than its part of the limit for a body. */
    private static final int MAX_BATCH_SIZE = 200;

    private final EventLoop loop;
    private final Connector connector;
    private final Consumer<HeldMail> onAcknowledged;
    private final Backoff backoff;
    private final Set<HeldMail> unacknowledged = new LinkedHashSet<>();
    private InetSocketAddress address;
    private List<HeldMail> inFlight = List.of();
    private Channel channel;
    private boolean connectPending;
    private boolean paused;
    /** Whether the post in flight is written whole. */
    private boolean written;
    private boolean failing;
    private DelayedTask responseTimeout;

    /** onAcknowledged: called for each mail whose notice the platform acknowledged; seed: of the jitter of the backoff. */
    public Notices(EventLoop loop, ChannelFactory<? extends Channel> channelFactory, InetSocketAddress address, Consumer<HeldMail> onAcknowledged,
                   long seed) {
        this(loop, channelFactory, address, onAcknowledged, new Backoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, seed));
    }

    Notices(EventLoop loop, ChannelFactory<? extends Channel> channelFactory, InetSocketAddress address, Consumer<HeldMail> onAcknowledged,
            Backoff backoff) {
        this.loop = loop;
        connector = new Connector(loop, new Bootstrap().channelFactory(channelFactory)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) MAX_RESPONSE_TIMEOUT_MS), "completion notifications");
        this.address = address;
        this.onAcknowledged = onAcknowledged;
        this.backoff = backoff;
    }

    /** Adds a mail that ended undelivered; it is posted by a later {@link #flush}. */
    public void add(HeldMail held) {
        unacknowledged.add(held);
    }

    /** Mails whose ending the platform has not acknowledged. */
    public Set<HeldMail> unacknowledged() {
        return unacknowledged;
    }

    /** While paused nothing is posted, as the records of the added endings may not be written. */
    public void pause(boolean on) {
        paused = on;
    }

    /** Posts unacknowledged endings, one post at a time. */
    public void flush() {
        if (paused || unacknowledged.isEmpty() || !inFlight.isEmpty() || connectPending) {
            return;
        }
        openConnection();
    }

    private void post() {
        inFlight = unacknowledged.stream().limit(MAX_BATCH_SIZE).toList();
        written = false;
        DefaultFullHttpRequest post = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v2/finals",
                Unpooled.wrappedBuffer(encode(inFlight)));
        post.headers().set(HttpHeaderNames.HOST, Addresses.format(address))
                .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(post.content().readableBytes()));
        responseTimeout = DelayedTask.schedule(loop, 1000 * backoff.scaledTimeout(RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS), () -> postFailed("no answer"));
        Channel current = channel;
        channel.writeAndFlush(post).addListener(done -> written |= done.isSuccess() && current == channel);
    }

    /** Posts to another address from now on; a post to the old one without a response is repeated there. */
    public void setAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            dropConnection();
            flush();
        }
    }

    private void dropConnection() {
        inFlight = List.of();
        if (responseTimeout != null) {
            responseTimeout.cancel();
        }
        if (channel != null) {
            Channel former = channel;
            channel = null;
            former.close();
        }
    }

    static byte[] encode(List<HeldMail> ended) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            for (HeldMail held : ended) {
                try (JsonGenerator out = JSON.createGenerator(bytes)) {
                    out.writeStartObject();
                    out.writeStringField("id", held.submission.id());
                    out.writeStringField("status", held.ending.deferred() ? "deferred" : "undeliverable");
                    if (held.ending.deferred() && held.ending.retryAfterMs() > 0) {
                        out.writeNumberField("again_ms", held.ending.retryAfterMs());
                    }
                    out.writeEndObject();
                }
                bytes.write('\n');
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private void openConnection() {
        connectPending = true;
        InetSocketAddress target = address;
        connector.open(target, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel opened) {
                opened.pipeline().addLast(new HttpClientCodec(), new InterimResponseFilter(), new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                        new ResponseHandler());
            }
        }, new Connector.Listener() {
            @Override public void connected(Channel opened) {
                connectPending = false;
                if (target.equals(address) && !paused && !unacknowledged.isEmpty()) {
                    channel = opened;
                    post();
                } else {
                    opened.close();
                    flush();
                }
            }

            @Override public void failed(boolean local) {
                connectPending = false;
                if (target.equals(address)) {
                    postFailed("no connection");
                } else {
                    flush();
                }
            }
        });
    }

    /** Keeps the endings and posts them again after a backoff, so that none is lost while the platform can't be reached. */
    private void postFailed(String why) {
        if (!failing) {
            failing = true;
            LogEvent.log(LOG, Level.WARNING, "notices.unanswered", "notices: {why}; {kept} kept and sent again, first that of message {id}",
                    "why", why, "kept", unacknowledged.size(), "id", unacknowledged.isEmpty() ? "none" : unacknowledged.iterator().next().submission.id());
        }
        dropConnection();
        loop.schedule(this::flush, backoff.nextDelay(), TimeUnit.MILLISECONDS);
    }

    private void responseReceived(FullHttpResponse response) {
        if (response.status().code() != 204 || !written) {
            postFailed(written ? "answer " + response.status().code() : "an answer before the post was written");
            return;
        }
        backoff.reset();
        if (failing) {
            failing = false;
            LogEvent.log(LOG, Level.INFO, "notices.answered", "notices: answered again");
        }
        List<HeldMail> acknowledged = new ArrayList<>(inFlight);
        dropConnection();
        acknowledged.forEach(unacknowledged::remove);
        acknowledged.forEach(onAcknowledged);
        flush();
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel) {
                responseReceived(response);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                postFailed("connection closed");
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
