package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.Submission;

/** Measures what held mails cost a delivery node that starts with them: size of the journal, recovery time, memory. Bodies have 200 bytes. */
final class HeldSlopes {
    /** Size of the body of each mail. */
    private static final int BODY_BYTES = 200;
    /** How long the node may take to serve, in seconds. */
    private static final int START_TIMEOUT_S = 60;

    private HeldSlopes() { }

    static void measure(SizeFile size, String build, Path checkout, Path folder, int held, Consumer<Measurement> taker)
            throws IOException, InterruptedException {
        Path state = Files.createDirectories(folder.resolve("held-" + held));
        Files.deleteIfExists(state.resolve("journal"));
        long limit = (long) (1_000_000 * size.number("disk_mb"));
        try (Journal journal = Journal.open(state, limit)) {
            long deadline = 1000 * System.currentTimeMillis() + 3_600_000_000L;
            for (int i = 0; i < held; i++) {
                journal.accepted(new HeldMail(new Submission("held-" + i, "5", "order", "shop", "key-" + i, 1, new byte[BODY_BYTES]), deadline));
                if (i % 1000 == 999) {
                    journal.write();
                }
            }
            journal.write();
            taker.accept(new Measurement(build, "held.disk", held, journal.size(), "bytes", ""));
        }
        Path config = Files.writeString(folder.resolve("held.json"), Files.readString(Path.of("deploy/sample.json"))
                .replace("\"memory_mb\": 192", "\"memory_mb\": " + size.count("memory_mb"))
                .replace("\"MaxOpen\": 100", "\"MaxOpen\": " + (held + 1000))
                .replace("\"disk_mb\": 2}", "\"disk_mb\": " + size.count("disk_mb") + "}"));
        try (NodeProcess node = new NodeProcess(checkout, config, state, folder.resolve("log"))) {
            double seconds = node.serves(START_TIMEOUT_S);
            String why = Double.isNaN(seconds) ? node.alive() ? "the process stays and serves nobody" : "exit " + node.exitCode() : "";
            taker.accept(new Measurement(build, "held.start", held, seconds, "s", why));
            if (!Double.isNaN(seconds)) {
                taker.accept(new Measurement(build, "held.live", held, node.liveBytes(), "bytes", ""));
            }
        }
    }
}
