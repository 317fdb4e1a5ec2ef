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
 * What mails cost a delivery node of a large fleet, by the destinations that it knows: each mail for another one, as at the
 * size that is coming, one endpoint or two each, all up or some down. Real process, receivers and client on loopback.
 */
final class TrafficSlopes {
    private static final int PATIENCE_S = 30, WARM_MS = 2000;
    /** Lets each mail in: a tenant's quota, mails held at a time. */
    private static final int ROOM = 10_000;

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
                    .replace("\"QuotaPerS\": 10", "\"QuotaPerS\": " + ROOM).replace("\"MaxOpen\": 100", "\"MaxOpen\": " + ROOM));
            StringBuilder whole = new StringBuilder();
            SampleConfig.list(whole, 1, 1, destinations + 1, true, words(layout, receivers.address()));
            agent.wholeList(whole.append('\n').toString().getBytes(StandardCharsets.US_ASCII));
            try (NodeProcess node = new NodeProcess(checkout, config, state, folder.resolve("log"))) {
                if (Double.isNaN(node.serves(PATIENCE_S))) {
                    // For each figure that is not had: none of them is to be worked out from smaller sizes.
                    String why = node.alive() ? "serves nobody" : "exit " + node.exitCode();
                    for (int rate : size.counts("traffic_rates")) {
                        say(slope + "." + rate, destinations, Double.NaN, "cores", why);
                    }
                    say(slope + ".live", destinations, Double.NaN, "bytes", why);
                    return;
                }
                Random random = new Random((long) size.number("seed"));
                for (int rate : size.counts("traffic_rates")) {
                    at(node, receivers, rate, destinations, random, slope + "." + rate);
                }
                say(slope + ".live", destinations, node.liveBytes(), "bytes", "");
            }
        }
    }

    /** The first ones are down, as many as the size says, if any are. */
    private IntFunction<String> words(Layout layout, String up) {
        double down = layout == Layout.DOWN ? size.number("down_part") : 0;
        int every = down == 0 ? Integer.MAX_VALUE : (int) Math.round(1 / down);
        return i -> {
            String address = i % every == 0 ? "127.0.0.1:9" : up;
            String first = SampleConfig.endpoint("e" + i, address, i);
            return layout == Layout.TWO ? first + "," + SampleConfig.endpoint("e" + i + "-2", address, i) : first;
        };
    }

    private void at(NodeProcess node, Receivers receivers, int rate, int destinations, Random random, String slope)
            throws IOException, InterruptedException {
        int seconds = size.count("traffic_seconds");
        try (Load load = new Load(node, rate, destinations, random, slope)) {
            load.send(WARM_MS);
            long relayed = receivers.answeredCalls();
            long asked = load.asked;
            Map<String, Long> before = node.threadNanos();
            long from = System.nanoTime();
            load.send(1000 * seconds);
            double took = (System.nanoTime() - from) / 1e9;
            say(slope, destinations, node.secondsSince(before) / took, "cores", String.format(Locale.ROOT,
                    "%d handed in; %d relayed; of all %d taken; %d refused", load.asked - asked, receivers.answeredCalls() - relayed,
                    load.answers.get('+'), load.answers.get('-')));
        }
    }

    private void say(String slope, long at, double value, String unit, String note) {
        taker.accept(new Measurement(build, slope, at, value, unit, note));
    }

    /** One client that hands in mails for destinations by chance, at a rate, and reads what it is answered. */
    private static final class Load implements AutoCloseable {
        private final Socket socket;
        private final int rate;
        private final int destinations;
        private final Random random;
        private final String name;
        private final Thread reader;
        /** How many answers began with '+' and with '-'. */
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
                return; // It has been closed.
            }
        }

        @Override public void close() throws IOException {
            socket.close();
        }
    }
}
