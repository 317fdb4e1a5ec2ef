package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import wrenreach.net.SubmissionServer;

/** A process with the memory of the deploy file, at which hundreds of clients send most of a large request in small pieces and stop. */
@Isolated("its load would slow the fleets of other tests")
class SlowClientsTest {
    private static final int SENDING_THREADS = 8;
    private static final int SLOW_CLIENTS = 800;
    /** Pieces have any size up to this: each occupies a buffer of the size that was expected. */
    private static final int MAX_PIECE_BYTES = 1400;
    private static final int PAUSE_MS = 15;
    /** What each sends of a request of the largest body: nearly all. */
    private static final int SENT_BYTES = 64_000;
    /** How long the slow clients go on; each is closed by the node after 2 s and begins again. */
    private static final long DURATION_MS = 8_000;
    private static final int USUAL_INTERVAL_MS = 50;
    private static final int USUAL_BODY_BYTES = 5;
    @TempDir Path folder;
    private final ExecutorService threads = Executors.newFixedThreadPool(SENDING_THREADS);
    private LoopbackReceiver receiver;
    private Process node;
    private int listenerPort;

    @BeforeEach void start() throws Exception {
        receiver = new LoopbackReceiver();
        listenerPort = ServeProcess.freePort();
        String config = ServeProcess.config(listenerPort, receiver.port()).replace("\"sockets\": 512", "\"sockets\": 1024");
        node = ServeProcess.start(folder, config, listenerPort, List.of("@deploy/serve.options"), List.of());
    }

    @AfterEach void close() throws Exception {
        threads.shutdownNow();
        node.destroyForcibly().waitFor();
        receiver.close();
    }

    /** Sends a piece on each of its connections in turn, and opens those anew that the node has closed. */
    private void sendSlowly(int connections, long until) {
        byte[] request = ClientRequests.submission("slow", SubmissionServer.MAX_BODY_BYTES);
        Socket[] sockets = new Socket[connections];
        int[] sent = new int[connections];
        SplittableRandom sizes = new SplittableRandom(connections);
        while (System.nanoTime() < until && !threads.isShutdown()) {
            for (int i = 0; i < connections; i++) {
                try {
                    if (sockets[i] == null) {
                        sockets[i] = new Socket(InetAddress.getLoopbackAddress(), listenerPort);
                        sockets[i].setTcpNoDelay(true);
                        sent[i] = 0;
                    }
                    if (sent[i] < SENT_BYTES) {
                        OutputStream out = sockets[i].getOutputStream();
                        int piece = 1 + sizes.nextInt(MAX_PIECE_BYTES);
                        out.write(request, sent[i], piece);
                        sent[i] += piece;
                    } else if (sockets[i].getInputStream().available() > 0) {
                        sockets[i].close();
                        sockets[i] = null;
                    }
                } catch (IOException e) {
                    sockets[i] = null;
                }
            }
            LockSupport.parkNanos(1_000_000 * PAUSE_MS);
        }
        closeAll(sockets);
    }

    private static void closeAll(Socket[] sockets) {
        for (Socket socket : sockets) {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                continue; // Closed by the node.
            }
        }
    }

    /** Guards against reads that wait for memory because unfinished requests have used it up: no client got an answer for seconds. */
    @Test void unfinishedRequestsOfManyClientsLeaveMemoryForOthers() throws Exception {
        long until = System.nanoTime() + 1_000_000 * DURATION_MS;
        for (int i = 0; i < SENDING_THREADS; i++) {
            threads.execute(() -> sendSlowly(SLOW_CLIENTS / SENDING_THREADS, until));
        }
        List<Long> waits = new ArrayList<>();
        int answered = 0;
        for (int i = 0; System.nanoTime() < until; i++) {
            long start = System.nanoTime();
            answered += ClientRequests.submit(listenerPort, USUAL_BODY_BYTES, "usual-" + i);
            waits.add((System.nanoTime() - start) / 1_000_000);
            Thread.sleep(USUAL_INTERVAL_MS);
        }
        String log = Files.readString(folder.resolve("log"));
        assertThat(node.isAlive()).as("the process lives; its log: %s", log).isTrue();
        assertThat(log).doesNotContain("direct buffer memory");
        assertThat(answered).as("requests of the usual client that were answered").isEqualTo(waits.size());
        assertThat(waits).as("milliseconds that the usual client waited").filteredOn(wait -> wait > 2_000).isEmpty();
    }
}
