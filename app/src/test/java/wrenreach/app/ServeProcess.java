package wrenreach.app;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A whole node as a process of its own, from the classes under test, and what it meets outside. */
final class ServeProcess {
    private ServeProcess() { }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** The sample config with its door, and discovery, platform and receiver at one port. */
    static String config(int door, int outside) throws IOException {
        return Files.readString(Path.of("deploy/sample.json")).replace("127.0.0.1:9", "127.0.0.1:" + outside)
                .replace("127.0.0.1:0", "127.0.0.1:" + door);
    }

    /** Starts it on the folder's state and waits until it serves; its log goes on in the folder. */
    static Process start(Path folder, String json, int door) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), json);
        Process node = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "wrenreach.app.Launch", "serve", "--config",
                config.toString(), "--state", folder.resolve("state").toString())
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile())).start();
        for (int i = 0; i < 2000; i++) {
            if (firstReplyByte(door, "PING\r\n") == '+') {
                return node;
            }
            Thread.sleep(10);
        }
        node.destroyForcibly();
        throw new AssertionError("does not serve: " + Files.readString(folder.resolve("log")));
    }

    /** The first byte of the answer; -1: it does not listen, or closed the connection. */
    static int firstReplyByte(int door, String request) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), door)) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return client.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Takes a watch of the list of endpoints, which stays open, and tells no change. */
    static void acceptWatch(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        exchange.getResponseBody().write("{\"index\":0,\"snapshot\":false,\"endpoints\":[]}\n".getBytes(StandardCharsets.US_ASCII));
        exchange.getResponseBody().flush();
    }
}
