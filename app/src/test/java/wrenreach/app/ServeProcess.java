package wrenreach.app;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts a node as a process from the classes under test, and helps with its clients and its discovery. */
final class ServeProcess {
    private ServeProcess() { }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Returns the sample config with the given listener port, and with discovery, platform and receiver at one other port. */
    static String config(int listenerPort, int outsidePort) throws IOException {
        return Files.readString(Path.of("deploy/sample.json")).replace("127.0.0.1:9", "127.0.0.1:" + outsidePort)
                .replace("127.0.0.1:0", "127.0.0.1:" + listenerPort);
    }

    /** Starts a node on the folder's state and waits until it serves; its log is appended to a file in the folder. */
    static Process start(Path folder, String json, int listenerPort) throws Exception {
        return start(folder, json, listenerPort, List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"), List.of());
    }

    /** The same with these options of the JVM and further arguments of the command. */
    static Process start(Path folder, String json, int listenerPort, List<String> jvmOptions, List<String> arguments) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), json);
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "wrenreach.app.Launch", "serve", "--config",
                config.toString(), "--state", folder.resolve("state").toString()));
        command.addAll(arguments);
        Process node = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile())).start();
        for (int i = 0; i < 2000; i++) {
            if (firstReplyByte(listenerPort, "PING\r\n") == '+') {
                return node;
            }
            Thread.sleep(10);
        }
        node.destroyForcibly();
        throw new AssertionError("does not serve: " + Files.readString(folder.resolve("log")));
    }

    /** Returns the first byte of the reply, or -1 where the node does not listen or closed the connection. */
    static int firstReplyByte(int listenerPort, String request) {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
            client.setSoTimeout(20_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return client.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Accepts a watch of the endpoint list, which stays open, and reports no change. */
    static void acceptWatch(HttpExchange exchange) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        exchange.getResponseBody().write("{\"index\":0,\"snapshot\":false,\"endpoints\":[]}\n".getBytes(StandardCharsets.US_ASCII));
        exchange.getResponseBody().flush();
    }
}
