package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process whose store waits for the disk, at which clients submit mails at the same moment. */
class SyncStoreTest {
    private static final int CLIENTS = 24;
    private static final int ROUNDS = 10;
    /** Submissions that every third client sends at once. */
    private static final int PIPELINED = 3;
    private static final int BODY_BYTES = 4;
    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private LoopbackReceiver receiver;
    private Process node;
    private int listenerPort;

    @BeforeEach void start() throws Exception {
        receiver = new LoopbackReceiver();
        listenerPort = ServeProcess.freePort();
        Path operator = Files.writeString(folder.resolve("operator.toml"), "[store]\non = true\ndurability = \"sync\"\n");
        node = ServeProcess.start(folder, ServeProcess.config(listenerPort, receiver.port()), listenerPort,
                List.of("@deploy/serve.options"), List.of("--operator", operator.toString()));
    }

    @AfterEach void close() throws Exception {
        node.destroyForcibly().waitFor();
        receiver.close();
        threads.shutdownNow();
    }

    /** Guards against requests that are never answered because they were read while the disk had records to write (review/3). */
    @Test void simultaneousRequestsAreAllAnswered() throws Exception {
        int expected = 0;
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<Callable<Integer>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String client = "m" + round + "-" + i + "-";
                String[] ids = IntStream.range(0, i % PIPELINED == 0 ? PIPELINED : 1).mapToObj(number -> client + number).toArray(String[]::new);
                clients.add(() -> ClientRequests.submit(listenerPort, BODY_BYTES, ids));
                expected += ids.length;
            }
            for (Future<Integer> replies : threads.invokeAll(clients)) {
                answered += replies.get();
            }
        }
        assertThat(Files.readString(folder.resolve("log"))).contains("store: on");
        assertThat(answered).as("replies").isEqualTo(expected);
    }
}
