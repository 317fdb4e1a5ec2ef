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
    private static final long ANSWER_MS = 150, LONGEST_ANSWER_MS = 1000, FIRST_PAUSE_MS = 100, LONGEST_PAUSE_MS = 400;
    private static final int ANSWER_LIMIT = 64 * 1024;
    /** Notices in one post; each is far shorter than its part of a body's limit. */
    private static final int BATCH = 200;

    private final EventLoop loop;
    private final Connector connector;
    private final Consumer<HeldMail> heard;
    private final Pauses pauses;
    private final Set<HeldMail> untold = new LinkedHashSet<>();
    private InetSocketAddress address;
    private List<HeldMail> posted = List.of();
    private Channel channel;
    private boolean opening;
    private boolean paused;
    /** The connection has brought an answer: if it breaks, that says nothing of the platform. */
    private boolean kept;
    private boolean failing;
    private Due patience;

    /** heard: told of each mail whose notice was answered; seed: of the pauses after a failure. */
    public Notices(EventLoop loop, ChannelFactory<? extends Channel> connecting, InetSocketAddress address, Consumer<HeldMail> heard,
                   long seed) {
        this(loop, connecting, address, heard, new Pauses(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, seed));
    }

    Notices(EventLoop loop, ChannelFactory<? extends Channel> connecting, InetSocketAddress address, Consumer<HeldMail> heard,
            Pauses pauses) {
        this.loop = loop;
        connector = new Connector(loop, new Bootstrap().channelFactory(connecting)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) LONGEST_ANSWER_MS), "completion notifications");
        this.address = address;
        this.heard = heard;
        this.pauses = pauses;
    }

    public void add(HeldMail held) {
        untold.add(held);
    }

    /** Endings that the platform has not confirmed. */
    public Set<HeldMail> untold() {
        return untold;
    }

    /** While paused nothing is posted: what has been added may not be recorded. */
    public void pause(boolean on) {
        paused = on;
    }

    /** Posts what is untold, one post at a time. */
    public void flush() {
        if (paused || untold.isEmpty() || !posted.isEmpty() || opening) {
            return;
        }
        if (channel == null || !channel.isActive()) {
            open();
            return;
        }
        posted = untold.stream().limit(BATCH).toList();
        DefaultFullHttpRequest post = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v2/finals",
                Unpooled.wrappedBuffer(body(posted)));
        post.headers().set(HttpHeaderNames.HOST, Addresses.text(address))
                .set(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
                .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(post.content().readableBytes()));
        patience = Due.after(loop, 1000 * pauses.stretched(ANSWER_MS, LONGEST_ANSWER_MS), () -> broken("no answer"));
        channel.writeAndFlush(post);
    }

    /** Posts to another address; what was posted to the old one and not answered goes out there once more. */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            leave();
            flush();
        }
    }

    private void leave() {
        posted = List.of();
        if (patience != null) {
            patience.cancel();
        }
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.close();
        }
    }

    static byte[] body(List<HeldMail> ended) {
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

    private void open() {
        opening = true;
        InetSocketAddress to = address;
        connector.open(to, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel fresh) {
                fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ANSWER_LIMIT), new Answers());
            }
        }, new Connector.Listener() {
            @Override public void connected(Channel fresh) {
                opening = false;
                if (to.equals(address)) {
                    channel = fresh;
                    kept = false;
                } else {
                    fresh.close();
                }
                flush();
            }

            @Override public void failed(boolean ofThisMachine) {
                opening = false;
                if (to.equals(address)) {
                    broken("no connection");
                } else {
                    flush();
                }
            }
        });
    }

    /** Guards endings while the platform can't be reached: they stay, and go again after a short pause. */
    private void broken(String why) {
        if (!failing) {
            failing = true;
            LogEvent.tell(LOG, Level.WARNING, "notices.unanswered", "notices: {why}; {kept} kept and sent again",
                    "why", why, "kept", untold.size());
        }
        leave();
        loop.schedule(this::flush, pauses.next(), TimeUnit.MILLISECONDS);
    }

    private void answered(FullHttpResponse response) {
        if (response.status().code() != 204) {
            broken("answer " + response.status().code());
            return;
        }
        patience.cancel();
        pauses.over();
        kept = true;
        if (failing) {
            failing = false;
            LogEvent.tell(LOG, Level.INFO, "notices.answered", "notices: answered again");
        }
        List<HeldMail> told = new ArrayList<>(posted);
        posted = List.of();
        told.forEach(untold::remove);
        told.forEach(heard);
        if (!HttpUtil.isKeepAlive(response)) {
            channel.close();
            channel = null;
        }
        flush();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && !posted.isEmpty()) {
                answered(response);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                if (!posted.isEmpty() && kept) {
                    // Guards endings against a connection that was closed while it stood idle: a new one is made at once.
                    leave();
                    flush();
                } else if (!posted.isEmpty()) {
                    broken("connection closed");
                }
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
