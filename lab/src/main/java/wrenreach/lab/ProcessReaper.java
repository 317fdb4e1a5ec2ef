package wrenreach.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A helper process that kills the processes that a run leaves behind, however the run's own process ended. It is told each process that the run
 * starts, and outlives the run for a moment. A process is identified by its id and its start time, so that another one that got the same id later
 * is not killed.
 */
public final class ProcessReaper implements AutoCloseable {
    private final Process process;
    private final PrintStream commands;

    /** Starts the helper process; its class path is only the place of this class. */
    ProcessReaper() throws IOException {
        String classPath;
        try {
            classPath = Path.of(ProcessReaper.class.getProtectionDomain().getCodeSource().getLocation().toURI()).toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
        process = new ProcessBuilder(ProcessNode.java(), "-XX:+UseSerialGC", "-Xmx16m", "-XX:TieredStopAtLevel=1", "-cp",
                classPath, ProcessReaper.class.getName()).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
    }

    /** Reports a process that the run has started. */
    synchronized void started(ProcessHandle handle) {
        commands.println("+ " + handle.pid() + " " + handle.info().startInstant().map(Instant::toEpochMilli).orElse(0L));
    }

    /** Reports that a process has ended. */
    synchronized void ended(long pid) {
        commands.println("- " + pid);
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Ends the helper process, which first kills the processes that it still knows of. */
    @Override public void close() {
        commands.close();
    }

    /** Reads starts and ends from standard input until the run is gone, and then kills the processes that are left. */
    public static void main(String[] args) throws IOException {
        Map<Long, Long> startedAt = new HashMap<>();
        BufferedReader reports = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = reports.readLine(); line != null; line = reports.readLine()) {
            String[] words = line.split(" ");
            if (words[0].equals("+") && words.length == 3) {
                startedAt.put(Long.parseLong(words[1]), Long.parseLong(words[2]));
            } else if (words[0].equals("-") && words.length == 2) {
                startedAt.remove(Long.parseLong(words[1]));
            }
        }
        List<Long> pids = new ArrayList<>(startedAt.keySet());
        for (long pid : pids) {
            Optional<ProcessHandle> process = ProcessHandle.of(pid);
            long began = process.flatMap(handle -> handle.info().startInstant()).map(Instant::toEpochMilli).orElse(-1L);
            if (process.isPresent() && began == startedAt.get(pid)) {
                process.get().destroyForcibly();
            }
        }
    }
}
