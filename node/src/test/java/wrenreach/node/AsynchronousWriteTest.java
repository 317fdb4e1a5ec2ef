package wrenreach.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wrenreach.DeliveryDispatcher;
import wrenreach.held.Journal;
import wrenreach.held.Ledger;

/** A node whose ledger confirms its writes later, as the store does that waits for the disk: what arrives during a write. */
class AsynchronousWriteTest {
    private static final String FIELDS = "c=order,t=shop,d=9000,dest=1";

    @TempDir Path stateFolder;
    /** What to call on the loop once a write is durable, for each write in progress. */
    private final BlockingQueue<Runnable> writesInProgress = new LinkedBlockingQueue<>();
    /** Ids of submissions that the node has read and begun to admit. */
    private final BlockingQueue<String> idsRead = new LinkedBlockingQueue<>();
    private final List<Socket> clients = new ArrayList<>();
    private DeliveryNode node;
    private InetSocketAddress address;

    @BeforeEach void startNode() throws Exception {
        Config config = Config.parse(Files.readAllBytes(Path.of("deploy/sample.json")), Map.of());
        node = new DeliveryNode(config, slowLedger(Journal.open(stateFolder, config.diskBytes())), DeliveryDispatcher::new);
        node.start();
        address = node.serving().get(20, TimeUnit.SECONDS);
        writesInProgress.clear();
    }

    @AfterEach void stop() throws IOException {
        node.stop();
        for (Socket client : clients) {
            client.close();
        }
    }

    /** A ledger on the journal whose writes are confirmed by the test, once the node serves. */
    private Ledger slowLedger(Journal journal) {
        return (Ledger) Proxy.newProxyInstance(Ledger.class.getClassLoader(), new Class<?>[] {Ledger.class}, (proxy, method, arguments) -> {
            if (method.getName().equals("hasEnded")) {
                idsRead.add((String) arguments[0]);
            }
            long sizeBefore = journal.size();
            try {
                Object result = method.invoke(journal, arguments);
                if (method.getName().equals("write") && journal.size() != sizeBefore && node.serving().isDone()) {
                    writesInProgress.add((Runnable) arguments[0]);
                    return false;
                }
                return result;
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        });
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(20_000);
        clients.add(client);
        return client;
    }

    private Socket submit(String id) throws Exception {
        Socket client = connect();
        submit(client, id);
        return client;
    }

    /** Sends a submission and waits until the node has read it. */
    private void submit(Socket client, String id) throws Exception {
        send(client, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$" + id.length() + "\r\n" + id + "\r\n$" + FIELDS.length() + "\r\n" + FIELDS
                + "\r\n$4\r\nbody\r\n");
        assertThat(idsRead.poll(20, TimeUnit.SECONDS)).isEqualTo(id);
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readLine(Socket client) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = client.getInputStream().read(); c >= 0 && c != '\n'; c = client.getInputStream().read()) {
            line.append((char) c);
        }
        return line.toString().strip();
    }

    private Runnable nextWrite() throws InterruptedException {
        Runnable write = writesInProgress.poll(20, TimeUnit.SECONDS);
        assertThat(write).as("a write in progress").isNotNull();
        return write;
    }

    private void complete(Runnable write) throws Exception {
        node.loop().submit(write).get();
    }

    /** Guards against requests that are never answered because they were read while records were being written (review/3). */
    @Test void requestReadDuringAWriteIsAnsweredAfterItsOwnWrite() throws Exception {
        Socket first = submit("a1");
        Runnable firstWrite = nextWrite();
        Socket second = submit("b1");
        Socket third = submit("c1");
        complete(firstWrite);
        assertThat(readLine(first)).isEqualTo("+OK");
        Runnable secondWrite = nextWrite();
        assertThat(second.getInputStream().available()).as("bytes sent before the record is durable").isZero();
        Socket fourth = submit("d1");
        complete(secondWrite);
        assertThat(readLine(second)).isEqualTo("+OK");
        assertThat(readLine(third)).isEqualTo("+OK");
        complete(nextWrite());
        assertThat(readLine(fourth)).isEqualTo("+OK");
    }

    /** The replies to requests that one client sends at once keep their order, and none overtakes one that waits for a write. */
    @Test void requestsOfOneClientAreAnsweredInTheirOrderOverSeveralWrites() throws Exception {
        Socket client = submit("a1");
        Runnable firstWrite = nextWrite();
        submit(client, "a2");
        send(client, "*1\r\n$4\r\nPING\r\n");
        submit(client, "a3");
        complete(firstWrite);
        assertThat(readLine(client)).isEqualTo("+OK");
        Runnable secondWrite = nextWrite();
        assertThat(client.getInputStream().available()).as("replies that overtake one without a reply").isZero();
        complete(secondWrite);
        assertThat(List.of(readLine(client), readLine(client), readLine(client))).containsExactly("+OK", "+PONG", "+OK");
    }

    /** Guards against a shutdown that ends the process with requests unanswered that were read during its last write. */
    @Test void requestReadDuringTheLastWriteIsRefusedBeforeTheProcessEnds() throws Exception {
        Socket first = submit("a1");
        Runnable write = nextWrite();
        Socket second = submit("b1");
        node.loop().submit(node::finish).get();
        complete(write);
        assertThat(readLine(first)).isEqualTo("+OK");
        assertThat(readLine(second)).isEqualTo("-BUSY");
        assertThat(node.stopped().get(20, TimeUnit.SECONDS)).isZero();
        assertThat(Journal.read(stateFolder)).extracting(mail -> mail.submission.id()).containsExactly("a1");
    }
}
