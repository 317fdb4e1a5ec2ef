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
import io.netty.handler.codec.http.HttpUtil;
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

/** Tells the platform of mails that ended undelivered, again and again until it answers. */
public final class Notices {
    private static final System.Logger LOG = System.getLogger(Notices.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    /**
     * The platform answers at once, and an ending has 350 ms after its mail's time. So the first patience leaves room for
     * a second post; it grows to the longest, or a slow platform would never be heard.
     */
    private static final long RESPONSE_TIMEOUT_MS = 150, MAX_RESPONSE_TIMEOUT_MS = 1000, INITIAL_BACKOFF_MS = 100, MAX_BACKOFF_MS = 400;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    /** Notices in one post; each is far shorter than its part of a body's limit. */
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
    /** The connection has brought an answer: if it breaks, that says nothing of the platform. */
    private boolean connectionProven;
    private boolean failing;
    private DelayedTask responseTimeout;

    /** heard: told of each mail whose notice was answered; seed: of the pauses after a failure. */
    public Notices(EventLoop loop, ChannelFactory<? extends Channel> connecting, InetSocketAddress address, Consumer<HeldMail> heard,
                   long seed) {
        this(loop, connecting, address, heard, new Backoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, seed));
    }

    Notices(EventLoop loop, ChannelFactory<? extends Channel> connecting, InetSocketAddress address, Consumer<HeldMail> heard,
            Backoff pauses) {
        this.loop = loop;
        connector = new Connector(loop, new Bootstrap().channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) MAX_RESPONSE_TIMEOUT_MS), "completion notifications");
        this.address = address;
        this.onAcknowledged = heard;
        this.backoff = pauses;
    }

    public void add(HeldMail held) {
        unacknowledged.add(held);
    }

    /** Endings that the platform has not confirmed. */
    public Set<HeldMail> unacknowledged() {
        return unacknowledged;
    }

    /** While paused nothing is posted: what has been added may not be recorded. */
    public void pause(boolean on) {
        paused = on;
    }

    /** Posts what is untold, one post at a time. */
    public void flush() {
        if (paused || unacknowledged.isEmpty() || !inFlight.isEmpty() || connectPending) {
            return;
        }
        if (channel == null || !channel.isActive()) {
            openConnection();
            return;
        }
        inFlight = unacknowledged.stream().limit(MAX_BATCH_SIZE).toList();
        DefaultFullHttpRequest post = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v2/finals",
                Unpooled.wrappedBuffer(encode(inFlight)));
        post.headers().set(HttpHeaderNames.HOST, Addresses.format(address))
                .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(post.content().readableBytes()));
        responseTimeout = DelayedTask.schedule(loop, 1000 * backoff.scaledTimeout(RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS), () -> postFailed("no answer"));
        channel.writeAndFlush(post);
    }

    /** Posts to another address; what was posted to the old one and not answered goes out there once more. */
    public void setAddress(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
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
            Channel old = channel;
            channel = null;
            old.close();
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
        InetSocketAddress to = address;
        connector.open(to, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel fresh) {
                fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), new ResponseHandler());
            }
        }, new Connector.Listener() {
            @Override public void connected(Channel fresh) {
                connectPending = false;
                if (to.equals(address)) {
                    channel = fresh;
                    connectionProven = false;
                } else {
                    fresh.close();
                }
                flush();
            }

            @Override public void failed(boolean ofThisMachine) {
                connectPending = false;
                if (to.equals(address)) {
                    postFailed("no connection");
                } else {
                    flush();
                }
            }
        });
    }

    /** Guards endings while the platform can't be reached: they stay, and go again after a short pause. */
    private void postFailed(String why) {
        if (!failing) {
            failing = true;
            LogEvent.log(LOG, Level.WARNING, "notices.unanswered", "notices: {why}; {kept} kept and sent again",
                    "why", why, "kept", unacknowledged.size());
        }
        dropConnection();
        loop.schedule(this::flush, backoff.nextDelay(), TimeUnit.MILLISECONDS);
    }

    private void responseReceived(FullHttpResponse response) {
        if (response.status().code() != 204) {
            postFailed("answer " + response.status().code());
            return;
        }
        responseTimeout.cancel();
        backoff.reset();
        connectionProven = true;
        if (failing) {
            failing = false;
            LogEvent.log(LOG, Level.INFO, "notices.answered", "notices: answered again");
        }
        List<HeldMail> told = new ArrayList<>(inFlight);
        inFlight = List.of();
        told.forEach(unacknowledged::remove);
        told.forEach(onAcknowledged);
        if (!HttpUtil.isKeepAlive(response)) {
            channel.close();
            channel = null;
        }
        flush();
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && !inFlight.isEmpty()) {
                responseReceived(response);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                if (!inFlight.isEmpty() && connectionProven) {
                    // Guards endings against a connection that was closed while it stood idle: a new one is made at once.
                    dropConnection();
                    flush();
                } else if (!inFlight.isEmpty()) {
                    postFailed("connection closed");
                }
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
