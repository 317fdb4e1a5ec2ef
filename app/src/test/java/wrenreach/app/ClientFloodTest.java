package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A process with the memory of the deploy file, at which many clients send at full speed what it refuses, while another client submits mails. */
@Isolated("its load would slow the fleets of other tests")
class ClientFloodTest {
    private static final int FLOODING_CLIENTS = 200;
    /** What each of them sends in one write, at least. */
    private static final int WRITE_BYTES = 2_000_000;
    private static final int USUAL_MAILS = 40;
    private static final int USUAL_INTERVAL_MS = 100;
    private static final int USUAL_BODY_BYTES = 5;

    /** What the flooding clients send. */
    enum Form {
        LONG_BODIES("c=no-such-class,t=shop,d=8000,dest=1", 16_000),
        LONGEST_BODIES("c=no-such-class,t=shop,d=8000,dest=1", 64 * 1024),
        LONG_FIELDS("c=" + "x".repeat(50_000) + ",t=shop,d=8000,dest=1", 1);

        private final byte[] command;

        Form(String fields, int bodyBytes) {
            command = ClientRequests.command("ENQUEUE", "bad", fields, bodyBytes);
        }
    }

    @TempDir Path folder;
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
        node.destroyForcibly().waitFor();
        receiver.close();
    }

    /** Guards against a node that runs out of memory by requests that it has refused already (review/1). */
    @ParameterizedTest @EnumSource void requestsThatAreRefusedDoNotExhaustTheMemory(Form form) throws Exception {
        byte[] commands = ClientRequests.repeated(form.command, WRITE_BYTES);
        int answered = 0;
        try (FloodingClients flooding = new FloodingClients(FLOODING_CLIENTS, listenerPort, commands, commands.length, node::isAlive)) {
            for (int i = 0; i < USUAL_MAILS && node.isAlive(); i++) {
                answered += ClientRequests.submit(listenerPort, USUAL_BODY_BYTES, "usual-" + i);
                Thread.sleep(USUAL_INTERVAL_MS);
            }
        }
        assertThat(node.isAlive()).as("the process lives; its log: %s", Files.readString(folder.resolve("log"))).isTrue();
        assertThat(answered).as("requests of the other client that were answered").isEqualTo(USUAL_MAILS);
    }
}
