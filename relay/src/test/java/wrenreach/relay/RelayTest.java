package wrenreach.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the relays between sockets on loopback. */
class RelayTest {
    /** Limit on waiting for what has to come. */
    private static final int TIMEOUT_MS = 20_000;
    /** How long nothing may come where nothing is expected. */
    private static final int SILENCE_MS = 300;
    private static final Impairment CUT = new Impairment(Impairment.Kind.CUT, 0, 0);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LinkDirection forward = new LinkDirection();
    private final LinkDirection reverse = new LinkDirection();
    private final List<String> errors = new ArrayList<>();
    private InetSocketAddress relayAddress;
    private ServerSocket target;
    private TcpRelay relay;

    @BeforeEach void start() throws Exception {
        target = new ServerSocket(0, 50, new InetSocketAddress("127.0.0.1", 0).getAddress());
        target.setSoTimeout(TIMEOUT_MS);
        try (ServerSocket free = new ServerSocket(0, 1, new InetSocketAddress("127.0.0.2", 0).getAddress())) {
            relayAddress = (InetSocketAddress) free.getLocalSocketAddress();
        }
        relay = new TcpRelay(loop, relayAddress, new InetSocketAddress("127.0.0.3", 0), (InetSocketAddress) target.getLocalSocketAddress(),
                forward, reverse, () -> 0.5, errors::add);
        runOnLoop(relay::start);
        retryUntilPasses(() -> {
            connect().close();
            target.accept().close();
        });
    }

    @AfterEach void stop() throws IOException {
        assertThat(errors).isEmpty();
        target.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private interface Task {
        void run() throws Exception;
    }

    private void runOnLoop(Task work) throws Exception {
        loop.submit(() -> {
            work.run();
            return null;
        }).get();
    }

    /** Repeats a check until it passes, as a change made on the event loop shows at the sockets only a moment later. */
    private static void retryUntilPasses(Task work) throws Exception {
        for (int i = 0;; i++) {
            try {
                work.run();
                return;
            } catch (Exception | AssertionError e) {
                if (i == 200) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }

    private void setImpairment(LinkDirection direction, Impairment impairment, boolean on) throws Exception {
        runOnLoop(() -> {
            if (on) {
                direction.begin(impairment);
            } else {
                direction.end(impairment);
            }
            relay.changed();
        });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(relayAddress, TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void assertPasses(Socket from, Socket to, String text) throws IOException {
        from.getOutputStream().write(text.getBytes());
        assertThat(new String(to.getInputStream().readNBytes(text.length()))).isEqualTo(text);
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_MS);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(TIMEOUT_MS);
    }

    @Test void relaysBothDirectionsFromTheSourceAddress() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            assertThat(b.getInetAddress().getHostAddress()).isEqualTo("127.0.0.3");
            b.setSoTimeout(TIMEOUT_MS);
            assertPasses(a, b, "there");
            assertPasses(b, a, "back");
            a.close();
            assertThat(b.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test void aCutHoldsDataUntilItEndsAndNewConnectionsTimeOut() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(TIMEOUT_MS);
            assertPasses(a, b, "x");
            setImpairment(forward, CUT, true);
            setImpairment(forward, CUT, true);
            a.getOutputStream().write("held".getBytes());
            assertSilent(b);
            assertPasses(b, a, "the other way is sound");
            Socket late = new Socket();
            assertThatThrownBy(() -> late.connect(relayAddress, SILENCE_MS)).isInstanceOf(SocketTimeoutException.class);
            setImpairment(forward, CUT, false);
            assertSilent(b); // Two cuts overlapped: one of them still applies.
            setImpairment(forward, CUT, false);
            assertThat(new String(b.getInputStream().readNBytes(4))).isEqualTo("held");
            retryUntilPasses(() -> connect().close());
        }
    }

    @Test void connectionsAreRefusedWhenImpairedOrTheTargetIsDown() throws Exception {
        Impairment refuse = new Impairment(Impairment.Kind.REFUSE, 0, 0);
        setImpairment(reverse, refuse, true);
        retryUntilPasses(() -> assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class));
        setImpairment(reverse, refuse, false);
        retryUntilPasses(() -> connect().close());
        runOnLoop(() -> relay.targetUp(false));
        retryUntilPasses(() -> assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class));
        runOnLoop(() -> relay.targetUp(true));
        retryUntilPasses(() -> connect().close());
    }

    @Test void stopResetsConnectionsAndStartListensAgain() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(TIMEOUT_MS);
            assertPasses(a, b, "x");
            runOnLoop(relay::stop);
            assertThatThrownBy(() -> a.getInputStream().read()).isInstanceOf(SocketException.class);
            assertThatThrownBy(() -> b.getInputStream().read()).isInstanceOf(SocketException.class);
            retryUntilPasses(() -> assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class));
            runOnLoop(relay::start);
            retryUntilPasses(() -> connect().close());
        }
    }

    @Test void truncationPassesHalfAndTheRestOnceItEnds() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(TIMEOUT_MS);
            assertPasses(a, b, "x");
            Impairment half = new Impairment(Impairment.Kind.HALF, 0, 0);
            setImpairment(forward, half, true);
            assertPasses(b, a, "y");
            a.getOutputStream().write("halfhalf".getBytes());
            assertThat(new String(b.getInputStream().readNBytes(4))).isEqualTo("half");
            assertSilent(b);
            setImpairment(forward, half, false);
            assertThat(new String(b.getInputStream().readNBytes(4))).isEqualTo("half");
        }
    }

    /** Overlapping delays are summed and the lowest rate applies; the order of the data stays. */
    @Test void delayedAndRateLimitedDataArrivesLateAndInOrder() throws Exception {
        LinkDirection direction = new LinkDirection();
        direction.begin(new Impairment(Impairment.Kind.DELAY, 40, 20));
        direction.begin(new Impairment(Impairment.Kind.DELAY, 100, 0));
        direction.begin(new Impairment(Impairment.Kind.RATE, 1000, 0));
        direction.begin(new Impairment(Impairment.Kind.RATE, 500, 0));
        assertThat(direction.delayNanos(() -> 0.5)).isEqualTo(150_000_000);
        assertThat(direction.transferNanos(50)).isEqualTo(100_000_000);
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(TIMEOUT_MS);
            assertPasses(a, b, "x");
            setImpairment(forward, new Impairment(Impairment.Kind.DELAY, 400, 0), true);
            a.getOutputStream().write("slow".getBytes());
            assertSilent(b);
            setImpairment(forward, new Impairment(Impairment.Kind.DELAY, 400, 0), false);
            a.getOutputStream().write("fast".getBytes());
            assertThat(new String(b.getInputStream().readNBytes(8))).isEqualTo("slowfast");
        }
    }

    @Test void datagramImpairmentsApplyPerDirection() throws Exception {
        try (DatagramSocket a = new DatagramSocket(0, relayAddress.getAddress()); DatagramSocket b = new DatagramSocket(0, relayAddress.getAddress());
                DatagramSocket stranger = new DatagramSocket(0, relayAddress.getAddress())) {
            InetSocketAddress aKnows = new InetSocketAddress("127.0.0.4", relayAddress.getPort());
            InetSocketAddress bKnows = new InetSocketAddress("127.0.0.5", relayAddress.getPort());
            UdpRelay udp = new UdpRelay(loop, new UdpRelay.Side((InetSocketAddress) a.getLocalSocketAddress(), aKnows),
                    new UdpRelay.Side((InetSocketAddress) b.getLocalSocketAddress(), bKnows), forward, reverse, () -> 0.5);
            loop.submit(udp::start).get().sync();
            a.setSoTimeout(TIMEOUT_MS);
            b.setSoTimeout(TIMEOUT_MS);
            send(stranger, aKnows, "forged");
            send(a, aKnows, "1");
            assertThat(receive(b, bKnows)).isEqualTo("1");
            send(b, bKnows, "2");
            assertThat(receive(a, aKnows)).isEqualTo("2");
            setImpairment(forward, new Impairment(Impairment.Kind.DOUBLING, 0.6, 0), true);
            send(a, aKnows, "3");
            assertThat(List.of(receive(b, bKnows), receive(b, bKnows))).containsExactly("3", "3");
            Impairment loss = new Impairment(Impairment.Kind.LOSS, 0.6, 0);
            setImpairment(forward, loss, true);
            send(a, aKnows, "4");
            send(b, bKnows, "5");
            assertThat(receive(a, aKnows)).isEqualTo("5");
            setImpairment(forward, loss, false);
            Impairment reordering = new Impairment(Impairment.Kind.REORDERING, 0.6, 800);
            setImpairment(reverse, reordering, true);
            send(b, bKnows, "6");
            runOnLoop(() -> { }); // The relay has to read the datagram before the impairment ends.
            retryUntilPasses(() -> assertThat(udp.passed()).isEqualTo(5));
            setImpairment(reverse, reordering, false);
            send(b, bKnows, "7");
            assertThat(List.of(receive(a, aKnows), receive(a, aKnows))).containsExactlyInAnyOrder("7", "6");
            assertThat(udp.lost()).isEqualTo(1);
        }
    }

    private static void send(DatagramSocket from, InetSocketAddress to, String text) throws IOException {
        from.send(new DatagramPacket(text.getBytes(), text.length(), to));
    }

    private static String receive(DatagramSocket at, InetSocketAddress from) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        at.receive(packet);
        assertThat(packet.getSocketAddress()).isEqualTo(from);
        return new String(packet.getData(), 0, packet.getLength());
    }
}
