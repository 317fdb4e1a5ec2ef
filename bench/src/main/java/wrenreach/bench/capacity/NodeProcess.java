package wrenreach.bench.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A delivery node in a process of its own, started from a built checkout with the shipped options and observed from outside. */
final class NodeProcess implements AutoCloseable {
    private static final Pattern HEAP_USED = Pattern.compile("used (\\d+)K");
    /** Clock ticks per second in /proc/PID/stat. */
    private static final double TICKS_PER_SECOND = 100;

    private final Path checkout;
    private final Process process;
    final int port;
    final long startedAt = System.nanoTime();

    NodeProcess(Path checkout, Path config, Path state, Path log) throws IOException {
        this.checkout = checkout;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        List<String> command = new ArrayList<>(List.of("java", "@deploy/serve.options"));
        if (Files.exists(checkout.resolve("target/wrenreach.jsa"))) {
            command.add("-XX:SharedArchiveFile=target/wrenreach.jsa");
        }
        command.addAll(List.of("-jar", "target/wrenreach.jar", "serve", "--config", config.toAbsolutePath().toString(), "--state",
                state.toAbsolutePath().toString()));
        ProcessBuilder builder = new ProcessBuilder(command).directory(checkout.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
        process = builder.start();
    }

    boolean alive() {
        return process.isAlive();
    }

    int exitCode() throws InterruptedException {
        return process.waitFor();
    }

    /** Seconds from the start to the first PONG; NaN: the process ended, or did not respond in time. */
    double serves(int patienceSeconds) throws InterruptedException {
        long until = startedAt + TimeUnit.SECONDS.toNanos(patienceSeconds);
        while (process.isAlive() && System.nanoTime() < until) {
            try (Socket socket = open()) {
                if (ask(socket, "PING\r\n").startsWith("+PONG")) {
                    return (System.nanoTime() - startedAt) / 1e9;
                }
            } catch (IOException e) {
                Thread.sleep(2);
            }
        }
        return Double.NaN;
    }

    Socket open() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        return socket;
    }

    static String ask(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        StringBuilder line = new StringBuilder();
        InputStream in = socket.getInputStream();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            line.append((char) c);
        }
        if (line.isEmpty()) {
            throw new IOException("closed");
        }
        return line.toString();
    }

    /** Whether a mail for the destination is not refused with an error, that is, whether the list in force contains the destination. */
    boolean knows(int destination, String id) throws IOException {
        String fields = "c=order,t=shop,d=2000,dest=" + destination;
        try (Socket socket = open()) {
            return !ask(socket, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n5\r\n$" + id.length() + "\r\n" + id + "\r\n$" + fields.length() + "\r\n"
                    + fields + "\r\n$4\r\nbody\r\n").startsWith("-ERR");
        }
    }

    /** Processor time so far in seconds, with a resolution of 10 ms. */
    double processorSeconds() throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(words[11]) + Long.parseLong(words[12])) / TICKS_PER_SECOND;
    }

    /** Processor time so far of each thread, in nanoseconds of the scheduler's clock; ticks are too coarse for an idle node. */
    Map<String, Long> threadNanos() throws IOException {
        Map<String, Long> nanos = new TreeMap<>();
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads.toList()) {
                try {
                    nanos.put(thread.getFileName().toString(), Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0]));
                } catch (NoSuchFileException e) {
                    continue; // The thread has ended in the meantime.
                }
            }
        }
        return nanos;
    }

    /** Processor time in seconds since an earlier {@link #threadNanos}, of the threads that exist now. */
    double secondsSince(Map<String, Long> before) throws IOException {
        long nanos = 0;
        for (Map.Entry<String, Long> thread : threadNanos().entrySet()) {
            nanos += thread.getValue() - before.getOrDefault(thread.getKey(), 0L);
        }
        return nanos / 1e9;
    }

    double residentBytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return 1024.0 * Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return Double.NaN;
    }

    /** Bytes of the heap that are live after a garbage collection. */
    double liveBytes() throws IOException, InterruptedException {
        jcmd("GC.run");
        Matcher used = HEAP_USED.matcher(jcmd("GC.heap_info"));
        double bytes = 0;
        // The first 2 figures belong to the two generations; the last one is the metaspace's.
        for (int i = 0; i < 2 && used.find(); i++) {
            bytes += 1024.0 * Long.parseLong(used.group(1));
        }
        return bytes;
    }

    private String jcmd(String what) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder("jcmd", Long.toString(process.pid()), what).directory(checkout.toFile())
                .redirectErrorStream(true).start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return output;
    }

    /** Kills the process at once. */
    @Override public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
