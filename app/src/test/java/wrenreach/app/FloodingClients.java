package wrenreach.app;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;

/** Clients that send the same at full speed, each on a new connection whenever the node closes one, until they are closed. */
final class FloodingClients implements AutoCloseable {
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final int listenerPort;
    private final byte[] commands;
    private final int bytesPerWrite;
    private final BooleanSupplier nodeAlive;

    /** bytesPerWrite: the commands are sent in pieces of this size. */
    FloodingClients(int clients, int listenerPort, byte[] commands, int bytesPerWrite, BooleanSupplier nodeAlive) {
        this.listenerPort = listenerPort;
        this.commands = commands;
        this.bytesPerWrite = bytesPerWrite;
        this.nodeAlive = nodeAlive;
        for (int i = 0; i < clients; i++) {
            threads.execute(this::flood);
        }
    }

    private boolean active() {
        return nodeAlive.getAsBoolean() && !threads.isShutdown();
    }

    private void flood() {
        while (active()) {
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listenerPort)) {
                client.setTcpNoDelay(true);
                threads.execute(() -> readReplies(client));
                while (active()) {
                    sendCommands(client);
                }
            } catch (IOException e) {
                continue; // Closed by the node.
            }
        }
    }

    private void sendCommands(Socket client) throws IOException {
        for (int i = 0; i < commands.length && active(); i += bytesPerWrite) {
            client.getOutputStream().write(commands, i, Math.min(bytesPerWrite, commands.length - i));
        }
    }

    private static void readReplies(Socket client) {
        try {
            client.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            return; // Closed.
        }
    }

    @Override public void close() {
        threads.shutdownNow();
    }
}
