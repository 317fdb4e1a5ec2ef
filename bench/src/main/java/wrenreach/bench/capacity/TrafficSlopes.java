package wrenreach.bench.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.Stream;

/**
 * Measures what mails cost a delivery node of a large fleet, by the number of destinations that it knows. Each mail goes to a random
 * destination, as at the expected size. Destinations have one or two endpoints each, and all are up or some are down. The node is a
 * real process; receivers and client are on loopback.
 */
final class TrafficSlopes {
    /** How long the node may take to serve, in seconds. */
    private static final int START_TIMEOUT_S = 30;
    /** Load before the measurement begins, in milliseconds. */
    private static final int WARM_UP_MS = 2000;
    /** Tenant quota and limit of held mails, high enough that every mail is accepted. */
    private static final int AMPLE_LIMIT = 10_000;

    private enum Layout { ONE, TWO, DOWN }

    private final SizeFile size;
    private final String build;
    private final Path checkout;
    private final Path folder;
    private final Consumer<Measurement> taker;

    TrafficSlopes(SizeFile size, String build, Path checkout, Path folder, Consumer<Measurement> taker) {
        this.size = size;
        this.build = build;
        this.checkout = checkout;
        this.folder = folder;
        this.taker = taker;
    }

    void measure(int destinations) throws IOException, InterruptedException {
        for (Layout layout : Layout.values()) {
            measure(destinations, layout);
        }
    }

    private void measure(int destinations, Layout layout) throws IOException, InterruptedException {
        String slope = "traffic." + layout.name().toLowerCase(Locale.ROOT);
        Path state = Files.createDirectories(folder.resolve("traffic-state"));
        try (Stream<Path> files = Files.walk(state)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).filter(f -> !f.equals(state)).toList()) {
                Files.delete(file);
            }
        }
        try (DiscoveryStub agent = new DiscoveryStub(); Receivers receivers = new Receivers()) {
            Path config = SampleConfig.write(folder.resolve("traffic.json"), size, destinations, words(layout, receivers.address()),
                    agent.port());
            Files.writeString(config, Files.readString(config).replace("\"GroupSize\": 1", "\"GroupSize\": " + size.count("nodes"))
                    .replace("\"QuotaPerS\": 10", "\"QuotaPerS\": " + AMPLE_LIMIT).replace("\"MaxOpen\": 100", "\"MaxOpen\": " + AMPLE_LIMIT));
            StringBuilder whole = new StringBuilder();
            SampleConfig.list(whole, 1, 1, destinations + 1, true, words(layout, receivers.address()));
            agent.wholeList(whole.append('\n').toString().getBytes(StandardCharsets.US_ASCII));
            try (NodeProcess node = new NodeProcess(checkout, config, state, folder.resolve("log"))) {
                if (Double.isNaN(node.serves(START_TIMEOUT_S))) {
                    // One line for each missing figure, so that none of them is extrapolated from smaller sizes.
                    String why = node.alive() ? "serves nobody" : "exit " + node.exitCode();
                    for (int rate : size.counts("traffic_rates")) {
                        report(slope + "." + rate, destinations, Double.NaN, "cores", why);
                    }
                    report(slope + ".live", destinations, Double.NaN, "bytes", why);
                    return;
                }
                Random random = new Random((long) size.number("seed"));
                for (int rate : size.counts("traffic_rates")) {
                    measureRate(node, receivers, rate, destinations, random, slope + "." + rate);
                }
                report(slope + ".live", destinations, node.liveBytes(), "bytes", "");
            }
        }
    }

    /** The JSON of each destination's endpoints. With the layout DOWN, every n-th destination is down, n = 1 / down_part of the size file. */
    private IntFunction<String> words(Layout layout, String up) {
        double down = layout == Layout.DOWN ? size.number("down_part") : 0;
        int every = down == 0 ? Integer.MAX_VALUE : (int) Math.round(1 / down);
        return i -> {
            String address = i % every == 0 ? "127.0.0.1:9" : up;
            String first = SampleConfig.endpoint("e" + i, address, i);
            return layout == Layout.TWO ? first + "," + SampleConfig.endpoint("e" + i + "-2", address, i) : first;
        };
    }

    private void measureRate(NodeProcess node, Receivers receivers, int rate, int destinations, Random random, String slope)
            throws IOException, InterruptedException {
        int seconds = size.count("traffic_seconds");
        try (Load load = new Load(node, rate, destinations, random, slope)) {
            load.send(WARM_UP_MS);
            long relayed = receivers.answeredCalls();
            long asked = load.asked;
            Map<String, Long> before = node.threadNanos();
            long from = System.nanoTime();
            load.send(1000 * seconds);
            double took = (System.nanoTime() - from) / 1e9;
            report(slope, destinations, node.secondsSince(before) / took, "cores", String.format(Locale.ROOT,
                    "%d handed in; %d relayed; of all %d taken; %d refused", load.asked - asked, receivers.answeredCalls() - relayed,
                    load.answers.get('+'), load.answers.get('-')));
        }
    }

    private void report(String slope, long at, double value, String unit, String note) {
        taker.accept(new Measurement(build, slope, at, value, unit, note));
    }

    /** One client that submits mails for random destinations at a constant rate, and counts the replies. */
    private static final class Load implements AutoCloseable {
        private final Socket socket;
        private final int rate;
        private final int destinations;
        private final Random random;
        private final String name;
        private final Thread reader;
        /** How many replies began with each character; '+' means accepted, '-' refused. */
        private final AtomicLongArray answers = new AtomicLongArray(128);
        private long asked;

        Load(NodeProcess node, int rate, int destinations, Random random, String name) throws IOException {
            this.rate = rate;
            this.destinations = destinations;
            this.random = random;
            this.name = name;
            socket = node.open();
            reader = new Thread(this::read, "answers");
            reader.setDaemon(true);
            reader.start();
        }

        void send(long ms) throws IOException, InterruptedException {
            OutputStream out = socket.getOutputStream();
            long from = System.nanoTime();
            long until = from + 1_000_000 * ms;
            for (long sent = 0; System.nanoTime() < until; Thread.sleep(2)) {
                for (; sent < (System.nanoTime() - from) / 1e9 * rate; sent++) {
                    String id = name + "-" + asked++;
                    String fields = "c=order,t=shop,d=15000,k=" + id + ",dest=" + (1 + random.nextInt(destinations));
                    out.write(("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n"
                            + fields + "\r\n$5\r\nhello\r\n").getBytes(StandardCharsets.US_ASCII));
                }
            }
        }

        private void read() {
            try {
                InputStream in = socket.getInputStream();
                boolean begins = true;
                byte[] bytes = new byte[1 << 14];
                for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                    for (int i = 0; i < n; i++) {
                        if (begins) {
                            answers.incrementAndGet(bytes[i] & 127);
                        }
                        begins = bytes[i] == '\n';
                    }
                }
            } catch (IOException e) {
                return; // The connection has been closed.
            }
        }

        @Override public void close() throws IOException {
            socket.close();
        }
    }
}
