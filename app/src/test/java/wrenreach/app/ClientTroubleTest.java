package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Trouble with clients drawn from a seed: how many flood the node, with what, in pieces of which size; how many others submit mails at the
 * same moment; and how the node keeps its records. A few seeds run in CI; {@code -Dwrenreach.clientSeeds=1-50} plays others.
 */
@Isolated("its load would slow the fleets of other tests")
class ClientTroubleTest {
    private static final String SEEDS = System.getProperty("wrenreach.clientSeeds", "1-8");
    private static final long PLAY_NANOS = 4_000_000_000L;
    private static final int MAX_FLOODING_CLIENTS = 250;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** The clients send so much between two commands that are cut in the middle. */
    private static final int MAX_WRITE_BYTES = 2_000_000;
    private static final int MAX_SIMULTANEOUS_CLIENTS = 12;
    private static final int MAX_PIPELINED = 3;
    private static final int MAX_PAUSE_MS = 500;

    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    static LongStream seeds() {
        String[] bounds = SEEDS.split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
    }

    /** How the node keeps what it owes. */
    private enum Records {
        JOURNAL, STORE, STORE_SYNC;

        private List<String> arguments(Path folder) throws Exception {
            if (this == JOURNAL) {
                return List.of();
            }
            String section = "[store]\non = true\ndurability = \"" + (this == STORE_SYNC ? "sync" : "os") + "\"\n";
            return List.of("--operator", Files.writeString(folder.resolve("operator.toml"), section).toString());
        }
    }

    /** A command that the node refuses or answers at once. */
    private static byte[] drawCommand(Random random) {
        int bodyBytes = 1 + random.nextInt(random.nextBoolean() ? 100 : MAX_BODY_BYTES);
        return switch (random.nextInt(5)) {
            case 0 -> ClientRequests.command("ENQUEUE", "bad", "c=no-such-class,t=shop,d=8000,dest=1", bodyBytes);
            case 1 -> ClientRequests.command("ENQUEUE", "bad", "c=" + "x".repeat(bodyBytes) + ",t=shop,d=8000,dest=1", 1);
            case 2 -> ClientRequests.command("ENQUEUE", "bad", "c=order,t=shop,d=8000,dest=99", bodyBytes);
            case 3 -> ClientRequests.command("ENQUEUE", "bad", "c=order,t=shop,d=soon,dest=1", bodyBytes);
            default -> ClientRequests.command("UNKNOWN", "bad", "", bodyBytes);
        };
    }

    private static <T> T draw(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    /** The process lives, every request of a usual client is answered in time, and no message is called twice at a receiver that delivers it. */
    @ParameterizedTest @MethodSource("seeds") void usualClientsAreServedMeanwhile(long seed) throws Exception {
        Random random = new Random(seed);
        Records records = draw(random, List.of(Records.values()));
        int floodingClients = random.nextInt(MAX_FLOODING_CLIENTS + 1);
        byte[] command = drawCommand(random);
        byte[] commands = ClientRequests.repeated(command, 1 + random.nextInt(MAX_WRITE_BYTES));
        int bytesPerWrite = random.nextInt(3) > 0 ? commands.length : 1 + random.nextInt(2000);
        System.out.printf("seed %d: %s, %d clients send %d commands of %d bytes, %d bytes at a time%n", seed, records, floodingClients,
                commands.length / command.length, command.length, bytesPerWrite);
        int listenerPort = ServeProcess.freePort();
        try (LoopbackReceiver receiver = new LoopbackReceiver()) {
            String config = ServeProcess.config(listenerPort, receiver.port()).replace("\"sockets\": 512", "\"sockets\": 1024");
            Process node = ServeProcess.start(folder, config, listenerPort, List.of("@deploy/serve.options"), records.arguments(folder));
            try (FloodingClients flooding = new FloodingClients(floodingClients, listenerPort, commands, bytesPerWrite, node::isAlive)) {
                long end = System.nanoTime() + PLAY_NANOS;
                for (int round = 0; System.nanoTime() < end; round++) {
                    assertThat(unanswered(random, round, listenerPort)).as("requests without an answer, round %d", round).isZero();
                    Thread.sleep(random.nextInt(MAX_PAUSE_MS));
                }
                assertThat(node.isAlive()).as("the process lives").isTrue();
            } finally {
                node.destroyForcibly().waitFor();
                threads.shutdownNow();
            }
            assertThat(receiver.callsById().values()).allMatch(calls -> calls == 1);
        }
    }

    /** Clients submit mails at the same moment; returns how many of their requests were not answered in time. */
    private int unanswered(Random random, int round, int listenerPort) throws Exception {
        List<Callable<Integer>> clients = new ArrayList<>();
        int requests = 0;
        int count = 1 + random.nextInt(MAX_SIMULTANEOUS_CLIENTS);
        for (int i = 0; i < count; i++) {
            String client = "m" + round + "-" + i + "-";
            String[] ids = IntStream.rangeClosed(1, 1 + random.nextInt(MAX_PIPELINED)).mapToObj(number -> client + number).toArray(String[]::new);
            int bodyBytes = 1 + random.nextInt(random.nextInt(4) > 0 ? 200 : MAX_BODY_BYTES);
            clients.add(() -> ClientRequests.submit(listenerPort, bodyBytes, ids));
            requests += ids.length;
        }
        int answered = 0;
        for (Future<Integer> replies : threads.invokeAll(clients)) {
            answered += replies.get();
        }
        return requests - answered;
    }
}
