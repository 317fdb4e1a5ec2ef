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

/** Relays between sockets of the test's own on loopback. */
class RelayTest {
    private static final int SOON = 20_000, NEVER = 300;
    private static final Impairment CUT = new Impairment(Impairment.Kind.CUT, 0, 0);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LinkDirection there = new LinkDirection();
    private final LinkDirection back = new LinkDirection();
    private final List<String> failed = new ArrayList<>();
    private InetSocketAddress at;
    private ServerSocket target;
    private TcpRelay relay;

    @BeforeEach void start() throws Exception {
        target = new ServerSocket(0, 50, new InetSocketAddress("127.0.0.1", 0).getAddress());
        target.setSoTimeout(SOON);
        try (ServerSocket free = new ServerSocket(0, 1, new InetSocketAddress("127.0.0.2", 0).getAddress())) {
            at = (InetSocketAddress) free.getLocalSocketAddress();
        }
        relay = new TcpRelay(loop, at, new InetSocketAddress("127.0.0.3", 0), (InetSocketAddress) target.getLocalSocketAddress(),
                there, back, () -> 0.5, failed::add);
        does(relay::start);
        until(() -> {
            connect().close();
            target.accept().close();
        });
    }

    @AfterEach void stop() throws IOException {
        assertThat(failed).isEmpty();
        target.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private interface Work {
        void run() throws Exception;
    }

    private void does(Work work) throws Exception {
        loop.submit(() -> {
            work.run();
            return null;
        }).get();
    }

    /** What the loop has been told shows at the sockets a moment later. */
    private static void until(Work work) throws Exception {
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

    private void troubled(LinkDirection way, Impairment trouble, boolean on) throws Exception {
        does(() -> {
            if (on) {
                way.begin(trouble);
            } else {
                way.end(trouble);
            }
            relay.changed();
        });
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(at, SOON);
        socket.setSoTimeout(SOON);
        return socket;
    }

    private static void says(Socket from, Socket to, String text) throws IOException {
        from.getOutputStream().write(text.getBytes());
        assertThat(new String(to.getInputStream().readNBytes(text.length()))).isEqualTo(text);
    }

    private static void silent(Socket socket) throws IOException {
        socket.setSoTimeout(NEVER);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(SOON);
    }

    @Test void passesOnBothWaysUnderTheAddressOfWhoAsks() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            assertThat(b.getInetAddress().getHostAddress()).isEqualTo("127.0.0.3");
            b.setSoTimeout(SOON);
            says(a, b, "there");
            says(b, a, "back");
            a.close();
            assertThat(b.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test void aCutWayHoldsWhatItCarriesUntilItIsOverAndConnectsNeverComeUp() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(SOON);
            says(a, b, "x");
            troubled(there, CUT, true);
            troubled(there, CUT, true);
            a.getOutputStream().write("held".getBytes());
            silent(b);
            says(b, a, "the other way is sound");
            Socket late = new Socket();
            assertThatThrownBy(() -> late.connect(at, NEVER)).isInstanceOf(SocketTimeoutException.class);
            troubled(there, CUT, false);
            silent(b); // Two cuts overlapped: the other one goes on.
            troubled(there, CUT, false);
            assertThat(new String(b.getInputStream().readNBytes(4))).isEqualTo("held");
            until(() -> connect().close());
        }
    }

    @Test void whereItRefusesOrNobodyListensBehindItNobodyListens() throws Exception {
        Impairment refuse = new Impairment(Impairment.Kind.REFUSE, 0, 0);
        troubled(back, refuse, true);
        until(() -> assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class));
        troubled(back, refuse, false);
        until(() -> connect().close());
        does(() -> relay.targetUp(false));
        until(() -> assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class));
        does(() -> relay.targetUp(true));
        until(() -> connect().close());
    }

    @Test void aRelayThatDiesResetsItsConnectionsAndComesBack() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(SOON);
            says(a, b, "x");
            does(relay::stop);
            assertThatThrownBy(() -> a.getInputStream().read()).isInstanceOf(SocketException.class);
            assertThatThrownBy(() -> b.getInputStream().read()).isInstanceOf(SocketException.class);
            until(() -> assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class));
            does(relay::start);
            until(() -> connect().close());
        }
    }

    @Test void halfAMessageGoesThroughAndTheRestOnlyWhenItIsOver() throws Exception {
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(SOON);
            says(a, b, "x");
            Impairment half = new Impairment(Impairment.Kind.HALF, 0, 0);
            troubled(there, half, true);
            says(b, a, "y");
            a.getOutputStream().write("halfhalf".getBytes());
            assertThat(new String(b.getInputStream().readNBytes(4))).isEqualTo("half");
            silent(b);
            troubled(there, half, false);
            assertThat(new String(b.getInputStream().readNBytes(4))).isEqualTo("half");
        }
    }

    /** Delays are summed where they overlap; a rate spreads a large piece; the order stays. */
    @Test void whatIsDelayedOrPacedComesLaterAndInOrder() throws Exception {
        LinkDirection way = new LinkDirection();
        way.begin(new Impairment(Impairment.Kind.DELAY, 40, 20));
        way.begin(new Impairment(Impairment.Kind.DELAY, 100, 0));
        way.begin(new Impairment(Impairment.Kind.RATE, 1000, 0));
        way.begin(new Impairment(Impairment.Kind.RATE, 500, 0));
        assertThat(way.delayNanos(() -> 0.5)).isEqualTo(150_000_000);
        assertThat(way.transferNanos(50)).isEqualTo(100_000_000);
        try (Socket a = connect(); Socket b = target.accept()) {
            b.setSoTimeout(SOON);
            says(a, b, "x");
            troubled(there, new Impairment(Impairment.Kind.DELAY, 400, 0), true);
            a.getOutputStream().write("slow".getBytes());
            silent(b);
            troubled(there, new Impairment(Impairment.Kind.DELAY, 400, 0), false);
            a.getOutputStream().write("fast".getBytes());
            assertThat(new String(b.getInputStream().readNBytes(8))).isEqualTo("slowfast");
        }
    }

    @Test void datagramsAreLostDoubledAndOvertakenEachWayByItself() throws Exception {
        try (DatagramSocket a = new DatagramSocket(0, at.getAddress()); DatagramSocket b = new DatagramSocket(0, at.getAddress());
                DatagramSocket stranger = new DatagramSocket(0, at.getAddress())) {
            InetSocketAddress aKnows = new InetSocketAddress("127.0.0.4", at.getPort());
            InetSocketAddress bKnows = new InetSocketAddress("127.0.0.5", at.getPort());
            UdpRelay udp = new UdpRelay(loop, new UdpRelay.Side((InetSocketAddress) a.getLocalSocketAddress(), aKnows),
                    new UdpRelay.Side((InetSocketAddress) b.getLocalSocketAddress(), bKnows), there, back, () -> 0.5);
            loop.submit(udp::start).get().sync();
            a.setSoTimeout(SOON);
            b.setSoTimeout(SOON);
            send(stranger, aKnows, "forged");
            send(a, aKnows, "1");
            assertThat(hear(b, bKnows)).isEqualTo("1");
            send(b, bKnows, "2");
            assertThat(hear(a, aKnows)).isEqualTo("2");
            troubled(there, new Impairment(Impairment.Kind.DOUBLING, 0.6, 0), true);
            send(a, aKnows, "3");
            assertThat(List.of(hear(b, bKnows), hear(b, bKnows))).containsExactly("3", "3");
            Impairment loss = new Impairment(Impairment.Kind.LOSS, 0.6, 0);
            troubled(there, loss, true);
            send(a, aKnows, "4");
            send(b, bKnows, "5");
            assertThat(hear(a, aKnows)).isEqualTo("5");
            troubled(there, loss, false);
            Impairment late = new Impairment(Impairment.Kind.REORDERING, 0.6, 800);
            troubled(back, late, true);
            send(b, bKnows, "6");
            does(() -> { }); // The relay has read it before the way changes.
            until(() -> assertThat(udp.passed()).isEqualTo(5));
            troubled(back, late, false);
            send(b, bKnows, "7");
            assertThat(List.of(hear(a, aKnows), hear(a, aKnows))).containsExactlyInAnyOrder("7", "6");
            assertThat(udp.lost()).isEqualTo(1);
        }
    }

    private static void send(DatagramSocket from, InetSocketAddress to, String text) throws IOException {
        from.send(new DatagramPacket(text.getBytes(), text.length(), to));
    }

    private static String hear(DatagramSocket at, InetSocketAddress from) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        at.receive(packet);
        assertThat(packet.getSocketAddress()).isEqualTo(from);
        return new String(packet.getData(), 0, packet.getLength());
    }
}
