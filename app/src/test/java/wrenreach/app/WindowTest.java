package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Processes that are killed with a call in flight, and a deduplication window that is over before the next process starts. */
class WindowTest {
    /** What the kill follows immediately: the OK to the client, the last byte of the call, or the response to the call. */
    enum KillPoint { TAKEN, LAST_BYTE, ANSWER }

    private static final Pattern NOTICE = Pattern.compile("\"id\":\"(\\w+)\",\"status\":\"(\\w+)\"");
    private static final long DEDUPLICATION_WINDOW_MS = 1000;
    @TempDir Path folder;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
    private final CountDownLatch killed = new CountDownLatch(1);
    private volatile KillPoint killPoint;
    private HttpServer outsideServer;
    private int listenerPort;
    private Process node;

    @BeforeEach void listen() throws IOException {
        listenerPort = ServeProcess.freePort();
        outsideServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        outsideServer.setExecutor(threads);
        outsideServer.createContext("/events", exchange -> {
            exchange.getRequestBody().readAllBytes();
            String id = exchange.getRequestHeaders().getFirst("X-Call-Id");
            if (id.equals("m3")) {
                return; // Never answered: it ends at its deadline.
            }
            if (killPoint == KillPoint.LAST_BYTE && id.equals("m1")) {
                recordCallAndKill(id);
            }
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
            if (killPoint == KillPoint.ANSWER && id.equals("m1")) {
                recordCallAndKill(id);
            } else if (killPoint == KillPoint.TAKEN || !id.equals("m1")) {
                calls.add(id);
            }
        });
        outsideServer.createContext("/v2/finals", exchange -> {
            Matcher ids = NOTICE.matcher(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.US_ASCII));
            while (ids.find()) {
                notices.add(ids.group(1) + " " + ids.group(2));
            }
            exchange.sendResponseHeaders(204, -1);
            exchange.close();
        });
        outsideServer.createContext("/api/targets", ServeProcess::acceptWatch);
        outsideServer.start();
    }

    /** Records a call and kills the process at the first one; later calls are only recorded. */
    private void recordCallAndKill(String id) {
        calls.add(id);
        if (killed.getCount() > 0) {
            try {
                node.destroyForcibly().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            killed.countDown();
        }
    }

    @AfterEach void close() throws InterruptedException {
        if (node != null) {
            node.destroyForcibly().waitFor();
        }
        outsideServer.stop(0);
        threads.shutdownNow();
    }

    private void start(String effect) throws Exception {
        node = ServeProcess.start(folder, ServeProcess.config(listenerPort, outsideServer.getAddress().getPort()).replace("\"weight\": 10", "\"weight\": 200")
                .replace("\"Window\": 5", "\"Window\": " + DEDUPLICATION_WINDOW_MS / 1000).replace("\"Effect\": \"token\"", "\"Effect\": \"" + effect + "\""),
                listenerPort);
    }

    /** Returns the first byte of the reply, or -1 where the node does not listen or closed the connection. */
    private int firstReplyByte(String request) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            int firstByte = client.getInputStream().read();
            if (firstByte == '+' && killPoint == KillPoint.TAKEN && request.contains("m1")) {
                node.destroyForcibly().waitFor();
                killed.countDown();
            }
            return firstByte;
        } catch (IOException e) {
            return -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private int submit(String id, int lifetimeMs) {
        String terms = "c=order,t=shop,d=" + lifetimeMs + ",k=k-" + id.charAt(1) + ",dest=1";
        return firstReplyByte("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\n" + id + "\r\n$" + terms.length() + "\r\n" + terms + "\r\n$5\r\nhello\r\n");
    }

    /** Returns the notices before that of m3. Notices are sent in the order in which mails end. */
    private List<String> noticesBeforeM3() throws InterruptedException {
        List<String> before = new ArrayList<>();
        for (String notice = notices.poll(20, TimeUnit.SECONDS); notice != null; notice = notices.poll(20, TimeUnit.SECONDS)) {
            if (notice.startsWith("m3 ")) {
                return before;
            }
            before.add(notice);
        }
        throw new AssertionError("no notice of m3; before it " + before);
    }

    @ParameterizedTest
    @CsvSource({"TAKEN, token", "LAST_BYTE, token", "ANSWER, token", "TAKEN, side_effect", "LAST_BYTE, side_effect",
        "ANSWER, side_effect"})
    void mailInFlightAtTheKillIsNotSentAgainAndIsReportedCorrectly(KillPoint point, String effect) throws Exception {
        killPoint = point;
        start(effect);
        submit("m1", 15_000);
        assertThat(killed.await(20, TimeUnit.SECONDS)).isTrue();
        Thread.sleep(2 * DEDUPLICATION_WINDOW_MS); // The window is over; a slower start only makes that more certain.
        start(effect);
        assertThat(submit("m2", 15_000)).isEqualTo('+');
        // Submitted after the restart, it ends a second later: what ends before it ends in time, many seconds before its deadline.
        assertThat(submit("m3", 1000)).isEqualTo('+');
        String callId = calls.poll(20, TimeUnit.SECONDS);
        int callsOfM1 = 0;
        for (; callId != null && !callId.equals("m2"); callId = calls.poll(20, TimeUnit.SECONDS)) {
            callsOfM1++;
        }
        assertThat(callId).as("the next mail is called: the node serves").isEqualTo("m2");
        List<String> before = noticesBeforeM3();
        if (point == KillPoint.TAKEN && callsOfM1 == 0 && before.isEmpty()) {
            callsOfM1 += "m1".equals(calls.poll(20, TimeUnit.SECONDS)) ? 1 : 0;
        }
        String more = calls.poll(500, TimeUnit.MILLISECONDS);
        System.out.println(point + " " + effect + ": " + callsOfM1 + " calls of the mail, notices in time " + before);
        assertThat(more).as("a call more").isNull();
        if (point == KillPoint.TAKEN) {
            // It was called once, by either process, or a notice reports its end.
            assertThat(callsOfM1 == 1 || !before.isEmpty()).isTrue();
        } else {
            assertThat(callsOfM1).isEqualTo(1);
        }
        if (point == KillPoint.LAST_BYTE || !before.isEmpty()) {
            assertThat(before).as("told once and in time; it may have run: not harmless to hand in again").containsExactly("m1 undeliverable");
        }
        assertThat(notices.poll(500, TimeUnit.MILLISECONDS)).as("a notice more, or late").isNull();
    }
}
