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
 * A process beside a run that outlives it for a moment: it is told each process that the run starts, and ends those that are
 * left when the run's own process is gone, however it went. A process is known by its id and the instant at which it began,
 * so that one which got the same id later is not touched.
 */
public final class ProcessReaper implements AutoCloseable {
    private final Process process;
    private final PrintStream commands;

    /** Starts the keeper's process; it needs nothing but where this class lies. */
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

    /** The run has started this process. */
    synchronized void started(ProcessHandle one) {
        commands.println("+ " + one.pid() + " " + one.info().startInstant().map(Instant::toEpochMilli).orElse(0L));
    }

    /** It has ended. */
    synchronized void ended(long pid) {
        commands.println("- " + pid);
    }

    boolean alive() {
        return process.isAlive();
    }

    /** The run is over, and so is the keeper; what it still knows of is ended. */
    @Override public void close() {
        commands.close();
    }

    /** Reads what has started and ended until the run is gone. */
    public static void main(String[] none) throws IOException {
        Map<Long, Long> alive = new HashMap<>();
        BufferedReader told = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = told.readLine(); line != null; line = told.readLine()) {
            String[] words = line.split(" ");
            if (words[0].equals("+") && words.length == 3) {
                alive.put(Long.parseLong(words[1]), Long.parseLong(words[2]));
            } else if (words[0].equals("-") && words.length == 2) {
                alive.remove(Long.parseLong(words[1]));
            }
        }
        List<Long> pids = new ArrayList<>(alive.keySet());
        for (long pid : pids) {
            Optional<ProcessHandle> one = ProcessHandle.of(pid);
            long began = one.flatMap(handle -> handle.info().startInstant()).map(Instant::toEpochMilli).orElse(-1L);
            if (one.isPresent() && began == alive.get(pid)) {
                one.get().destroyForcibly();
            }
        }
    }
}
