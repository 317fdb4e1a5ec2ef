package wrenreach.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import wrenreach.endpoints.EndpointTable;
import wrenreach.endpoints.ListReader;
import wrenreach.endpoints.ListSink;
import wrenreach.endpoints.ListUpdate;
import wrenreach.log.LogEvent;

/**
 * Follows the endpoint list that discovery serves. A watch is a response that stays open and brings list updates; a snapshot is the
 * whole list. While discovery can't be reached, the node goes on with the list that it has. Owned by the event loop.
 */
public final class Discovery {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final long TCP_CONNECT_TIMEOUT_MS = 1000;
    /** Least time between two log lines on unusable lists, in microseconds. */
    private static final long LOG_INTERVAL_US = 10_000_000;
    /** Time until a response begins, and between two entries of a snapshot: discovery answers at once. */
    private static final long RESPONSE_TIMEOUT_MS = 1000;
    /** How long a response is waited for beside later requests, while no list has come: discovery may answer all of them late. */
    private static final long LATE_RESPONSE_TIMEOUT_MS = 10_000;
    /** Requests that are waited for at a time. */
    private static final int MAX_LATE_REQUESTS = 6;
    /** The same after several failures: discovery answers later where many nodes ask at a time. */
    private static final long MAX_RESPONSE_TIMEOUT_MS = 2000;
    /** After a list that was too large the next try comes after so many times the maximal backoff: it would be as large a moment later. */
    private static final int TOO_LARGE_BACKOFF_FACTOR = 30;

    /**
     * The timeouts of the watch. They are short, as the operators' protocol counts a list update as known to the node 6 s after the
     * watch fell silent, or 6 s after discovery can be reached again.
     *
     * @param silenceTimeout milliseconds after which a watch that brings nothing is closed
     * @param initialBackoff milliseconds between the first failure and the next try
     * @param maxBackoff most milliseconds between a failure and the next try
     */
    public record Timeouts(long silenceTimeout, long initialBackoff, long maxBackoff) {
        /**
         * A watch brings something every 2 s. An update that a silent one misses counts as received 6 s after it fell silent: this
         * leaves time for a second watch that is silent from the start, and a third. What discovery has when it recovers counts as
         * received 6 s later: the last request that fails may take the whole silence timeout, and the backoff after it leaves a second.
         */
        public static final Timeouts NODE_DEFAULTS = new Timeouts(3500, 250, 1500);
    }

    /** Receives the lists and failures, on the event loop. */
    public interface Host {
        /** The sink of the next list, which gets the entries as they are read. */
        ListSink listSink();

        /** A watch or a request failed and isn't repeated unless asked for. */
        void listFailed();
    }

    private final EventLoop loop;
    private final Host host;
    private final boolean reopensWatch;
    private final Backoff backoff;
    private final Connector connector;
    private final Timeouts timeouts;
    private InetSocketAddress address;
    private long index;
    /** Whether the known index is one of this address, and no lower one has come since. */
    private boolean indexValid;
    private boolean following;
    /** Channels in use; those to a former address are not among them. */
    private final Set<Channel> openChannels = new LinkedHashSet<>();
    /** The scheduled try after a failure. */
    private Future<?> nextTry;
    private boolean failing;
    private boolean stopped;
    private boolean refuses;
    private boolean unusableLogged;
    private long nextLogAt;
    /** Whether the last list was too large. */
    private boolean listTooLarge;
    /** The last watch that has brought a list. */
    private Channel heardWatch;
    /** Whether this process has had a list; before that it can't serve, and a late response is better than none. */
    private boolean listReceived;

    /**
     * Requests nothing before {@link #follow} or {@link #fetchSnapshot}.
     *
     * @param index the version of the known list
     * @param indexValid whether it is one of this address
     * @param reopensWatch whether a failed watch is opened again after a backoff, and not only on request
     * @param seed of the jitter of the backoff
     */
    public Discovery(EventLoop loop, ChannelFactory<? extends Channel> channelFactory, Host host, InetSocketAddress address, long index,
                     boolean indexValid, boolean reopensWatch, long seed, Timeouts timeouts) {
        this.indexValid = indexValid;
        this.timeouts = timeouts;
        this.loop = loop;
        this.host = host;
        this.address = address;
        this.index = index;
        this.reopensWatch = reopensWatch;
        backoff = new Backoff(timeouts.initialBackoff, timeouts.maxBackoff, seed);
        connector = new Connector(loop, new Bootstrap().channelFactory(channelFactory)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new TimedReadAllocator(loop.ticker()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) TCP_CONNECT_TIMEOUT_MS), "discovery");
    }

    /** Opens a watch from the known index on, or requests a snapshot first where that index may not be valid. */
    public void follow() {
        following = true;
        if (nextTry != null) {
            // Without this a change of address between a failure and the next try would open a second watch.
            nextTry.cancel(false);
        }
        if (openChannels.contains(heardWatch)) {
            return;
        }
        if (!indexValid) {
            requestSnapshot(true);
            return;
        }
        request("/api/targets?stream=1&index=" + index, true, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new InterimResponseFilter(), new WatchBodyDecoder(), new ListFrameDecoder(), new WatchHandler());
            }
        });
    }

    /** Requests one snapshot. */
    public void fetchSnapshot() {
        requestSnapshot(false);
    }

    private void requestSnapshot(boolean thenFollow) {
        request("/api/targets", thenFollow, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new InterimResponseFilter(), new SnapshotHandler(thenFollow));
            }
        });
    }

    /**
     * Continues at another address. Open connections are dropped and a snapshot is requested first: late updates of the old address
     * must not be applied, and an index may mean something else at the new one.
     */
    public void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        refuses = false;
        indexValid = false;
        backoff.reset();
        List<Channel> former = new ArrayList<>(openChannels);
        openChannels.clear();
        former.forEach(Channel::close);
        if (following && !stopped) {
            follow();
        }
    }

    /**
     * Whether discovery has answered a watch with a status that says that it has no list to send, and sent none since. An error of its own or too
     * many requests are no such status: another request may be answered.
     */
    public boolean refuses() {
        return refuses;
    }

    /** The address that the list comes from. */
    public InetSocketAddress address() {
        return address;
    }

    /** Ignores all failures from now on, so that nothing is tried again. */
    public void stop() {
        stopped = true;
    }

    private void request(String path, boolean watch, ChannelInitializer<Channel> handlers) {
        PendingConnection pending = new PendingConnection(address, path, watch);
        pending.channel = connector.open(address, handlers, pending);
        if (pending.channel != null) {
            openChannels.add(pending.channel);
        }
    }

    /** A connection being opened, and the request to send on it. */
    private final class PendingConnection implements Connector.Listener {
        private final InetSocketAddress target;
        private final String path;
        private final boolean watch;
        /** Null where its socket could not be created. */
        private Channel channel;

        PendingConnection(InetSocketAddress target, String path, boolean watch) {
            this.target = target;
            this.path = path;
            this.watch = watch;
        }

        @Override public void connected(Channel connected) {
            if (!openChannels.contains(connected)) {
                connected.close();
                return;
            }
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            get.headers().set(HttpHeaderNames.HOST, Addresses.format(target));
            connected.writeAndFlush(get);
        }

        @Override public void failed(boolean local) {
            boolean current = channel == null ? target.equals(address) : openChannels.remove(channel);
            if (current) {
                requestFailed("no connection", watch, false);
            }
        }
    }

    private long delayAfterFailure() {
        return listTooLarge ? TOO_LARGE_BACKOFF_FACTOR * timeouts.maxBackoff : backoff.nextDelay();
    }

    /** late: the response may still come. */
    private void requestFailed(String why, boolean watch, boolean late) {
        if (stopped) {
            return;
        }
        if (!failing) {
            failing = true;
            LogEvent.log(LOG, Level.WARNING, "discovery.silent", "discovery: {why}; going on with list {index}",
                    "why", why, "index", index);
        }
        if (reopensWatch && watch) {
            nextTry = loop.schedule(this::follow, late ? timeouts.initialBackoff : delayAfterFailure(), TimeUnit.MILLISECONDS);
        } else {
            following &= !watch;
            host.listFailed();
        }
    }

    /** A list being read from discovery and passed on to the sink of the host. */
    private final class IncomingList implements ListSink {
        private final boolean watch;
        private ListReader reader;
        private ListSink sink;

        IncomingList(boolean watch) {
            this.watch = watch;
        }

        /** Reads the next bytes; returns whether they completed an entry. */
        boolean feed(ByteBuf bytes) throws IOException {
            if (reader == null) {
                reader = new ListReader(this);
            }
            long entriesBefore = reader.entryCount();
            byte[] array = ByteBufUtil.getBytes(bytes);
            reader.feed(array, 0, array.length);
            return reader.entryCount() > entriesBefore;
        }

        /** All bytes of the list have come. */
        void finish() throws IOException {
            if (reader == null) {
                throw new IOException("no list");
            }
            ListReader ended = reader;
            reader = null;
            ended.finish();
        }

        @Override public void begin() {
            sink = host.listSink();
            sink.begin();
        }

        @Override public void entry(ListUpdate.Entry entry) throws IOException {
            sink.entry(entry);
        }

        @Override public void end(long newIndex, boolean snapshot) throws IOException {
            if (watch && newIndex < index) {
                // A late update of a lower index could undo a drain: a snapshot says what is in force.
                indexValid = false;
                throw new IOException("version " + newIndex + " after " + index);
            }
            sink.end(newIndex, snapshot);
            index = newIndex;
            indexValid = true;
            listReceived = true;
            refuses = false;
            listTooLarge = false;
            if (failing) {
                failing = false;
                LogEvent.log(LOG, Level.INFO, "discovery.heard", "discovery: heard again, list {index}", "index", index);
            }
        }
    }

    /** A list can't be used: the one before stays in force. */
    private void listUnusable(IOException why) {
        listTooLarge = why instanceof EndpointTable.TooLarge;
        if (listTooLarge) {
            LogEvent.log(LOG, Level.ERROR, "discovery.toolarge", "discovery: {why}; list {index} holds on, and what has changed "
                    + "since is not known here; the next try is in {seconds} s", "why", why.getMessage(), "index", index, "seconds",
                    TOO_LARGE_BACKOFF_FACTOR * timeouts.maxBackoff / 1000);
        } else {
            logUnusable(why.getMessage());
        }
    }

    /** Logs unusable lists at a limited rate, so that repeated ones don't flood the log. */
    private void logUnusable(String why) {
        long now = loop.ticker().nanoTime() / 1000;
        if (!unusableLogged || now >= nextLogAt) {
            unusableLogged = true;
            nextLogAt = now + LOG_INTERVAL_US;
            LogEvent.log(LOG, Level.WARNING, "discovery.line", "discovery: a list can't be used: {why}", "why",
                    String.valueOf(why).lines().findFirst().orElse(""));
        }
    }

    private static boolean hasNoList(HttpResponseStatus status) {
        return status.codeClass() == HttpStatusClass.CLIENT_ERROR && !status.equals(HttpResponseStatus.REQUEST_TIMEOUT)
                && !status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
    }

    /** Passes on the bytes of the body of a watch as they come, and closes the connection on an error status or at its end. */
    private final class WatchBodyDecoder extends MessageToMessageDecoder<HttpObject> {
        @Override protected void decode(ChannelHandlerContext ctx, HttpObject message, List<Object> out) {
            boolean failed = message instanceof HttpResponse response && response.status().code() != 200;
            if (message.decoderResult().isFailure() || failed) {
                refuses |= failed && message.decoderResult().isSuccess() && hasNoList(((HttpResponse) message).status());
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse) {
                ctx.fireUserEventTriggered(message);
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                out.add(content.content().retain());
            }
            if (message instanceof LastHttpContent) {
                ctx.close();
            }
        }
    }

    /** Closes a connection whose response is late, and reports the failure of one that is in use. */
    private abstract class ResponseHandler<T> extends SimpleChannelInboundHandler<T> {
        private final boolean watch;
        private DelayedTask timeout;
        /** Whether the request counts as failed already, and its response is only waited for beside a later one. */
        private boolean late;

        ResponseHandler(boolean watch) {
            this.watch = watch;
        }

        /** Closes the connection unless this is called again within the given time. */
        final void restartTimeout(ChannelHandlerContext ctx, long ms) {
            restartTimeout(ms, ctx::close);
        }

        private void restartTimeout(long ms, Runnable onTimeout) {
            if (timeout != null) {
                timeout.cancel();
            }
            timeout = DelayedTask.schedule(loop, 1000 * ms, onTimeout);
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            long timeoutMs = listReceived ? backoff.scaledTimeout(RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS) : RESPONSE_TIMEOUT_MS;
            restartTimeout(timeoutMs, () -> responseLate(ctx));
        }

        private void responseLate(ChannelHandlerContext ctx) {
            if (listReceived || openChannels.size() >= MAX_LATE_REQUESTS || !openChannels.contains(ctx.channel())) {
                ctx.close();
                return;
            }
            late = true;
            restartTimeout(ctx, LATE_RESPONSE_TIMEOUT_MS);
            requestFailed("late", watch, true);
        }

        /** A list has come on this connection: other requests and the next try are not needed. */
        final void supersedeOthers(ChannelHandlerContext ctx) {
            late = false;
            if (nextTry != null) {
                nextTry.cancel(false);
            }
            List<Channel> others = new ArrayList<>(openChannels);
            others.remove(ctx.channel());
            openChannels.retainAll(List.of(ctx.channel()));
            others.forEach(Channel::close);
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (timeout != null) {
                timeout.cancel();
            }
            if (openChannels.remove(ctx.channel()) && !late) {
                requestFailed("silent or closed", watch, false);
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof DecoderException && openChannels.contains(ctx.channel())) {
                logUnusable(cause.getMessage());
            }
            ctx.close();
        }
    }

    /** Handles a watch. Only entries, whole objects and blank lines restart the timeout, so that a watch that falls silent within a list is closed. */
    private final class WatchHandler extends ResponseHandler<ListFrameDecoder.Fragment> {
        /** A list could not be read. All further input is ignored: a new watch brings all changes since the last known index. */
        private boolean malformed;
        private final IncomingList incoming = new IncomingList(true);

        WatchHandler() {
            super(true);
        }

        @Override public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof HttpResponse) {
                restartTimeout(ctx, timeouts.silenceTimeout);
            }
        }

        private void watchHeard(ChannelHandlerContext ctx) {
            if (heardWatch != ctx.channel()) {
                heardWatch = ctx.channel();
                following = true;
                supersedeOthers(ctx);
            }
        }

        /** Where nothing has changed since the known list, a watch may bring no list: then a snapshot says what is in force. */
        private void requestFirstList() {
            if (!listReceived && openChannels.size() < MAX_LATE_REQUESTS) {
                fetchSnapshot();
            }
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, ListFrameDecoder.Fragment fragment) {
            if (malformed || !openChannels.contains(ctx.channel())) {
                return;
            }
            if (!fragment.content().isReadable()) {
                restartTimeout(ctx, timeouts.silenceTimeout);
                // Reset here and not at each list: valid lists that are each followed by a malformed one must not shorten the backoff.
                backoff.reset();
                requestFirstList();
                return;
            }
            try {
                if (incoming.feed(fragment.content()) || fragment.last) {
                    restartTimeout(ctx, timeouts.silenceTimeout);
                }
                if (fragment.last) {
                    incoming.finish();
                    watchHeard(ctx);
                }
            } catch (IOException e) {
                malformed = true;
                listUnusable(e);
                ctx.close();
            }
        }
    }

    /** Handles a snapshot. */
    private final class SnapshotHandler extends ResponseHandler<HttpObject> {
        private final boolean thenFollow;
        private final IncomingList incoming = new IncomingList(false);
        private boolean consumed;

        SnapshotHandler(boolean thenFollow) {
            super(thenFollow);
            this.thenFollow = thenFollow;
        }

        @Override protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (consumed || !openChannels.contains(ctx.channel())) {
                return;
            }
            boolean valid = message.decoderResult().isSuccess()
                    && !(message instanceof HttpResponse response && response.status().code() != 200);
            try {
                if (valid && message instanceof HttpContent content && content.content().isReadable()
                        && incoming.feed(content.content())) {
                    restartTimeout(ctx, backoff.scaledTimeout(RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS));
                }
                if (valid && message instanceof LastHttpContent) {
                    consumed = true;
                    incoming.finish();
                    if (thenFollow && openChannels.contains(ctx.channel())) {
                        supersedeOthers(ctx);
                        openChannels.remove(ctx.channel());
                        follow();
                    }
                    openChannels.remove(ctx.channel());
                }
            } catch (IOException e) {
                consumed = true;
                listUnusable(e);
            }
            if (!valid || consumed) {
                ctx.close();
            }
        }
    }
}
