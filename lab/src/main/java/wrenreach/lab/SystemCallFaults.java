package wrenreach.lab;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Failing system calls and a stepped wall clock for one process and its successors. A small library is loaded into the process
 * (LD_PRELOAD); a file that both sides map says which calls fail, how often and with which error, and counts those that did.
 */
final class SystemCallFaults {
    private static final String SOURCE = "system_call_faults.c", LIBRARY = "system_call_faults.so", CONTROL = "system-call-faults";
    private static final long COMPILE_TIMEOUT_S = 60;
    private static final int PARTS_PER_MILLION = 1_000_000;
    private static final int WALL_OFFSET_POSITION = 8, FAULTS_POSITION = 16, FAULT_BYTES = 16, ERROR_OFFSET = 4, INJECTED_OFFSET = 8;

    /** What may fail, in the order of the library's {@code enum call}. */
    enum Call {
        /** A socket can't be made: ENFILE, EMFILE, ENOBUFS, ENOMEM. */
        SOCKET,
        /** A connection can't be begun: EADDRNOTAVAIL, ENETUNREACH. */
        CONNECT,
        /** A connection that came can't be accepted: ECONNABORTED, EMFILE, ENFILE, ENOBUFS. */
        ACCEPT,
        /** A read or write of a connection: ETIMEDOUT, EHOSTUNREACH, ECONNRESET. */
        TRANSFER,
        /** Reads and writes, also of the state folder, that move less than they could. */
        SHORT,
        /** Waits for events that end with EINTR. */
        WAIT,
        /** Writes, syncs, renames and openings for writing in the state folder: ENOSPC, EIO. */
        FOLDER
    }

    /** In place of an errno of FOLDER: the process is killed with half of the bytes written. */
    static final int KILLED_IN_WRITE = -9;
    /** In place of an errno: one of those documented for the call is drawn. */
    static final int RANDOM_ERROR = 0;

    private static Path compiled;

    private final Path control;
    private final Path stateFolder;
    private final MappedByteBuffer shared;

    /** Faults for processes that keep their state in this folder; the control file goes beside it. */
    SystemCallFaults(Path stateFolder, long seed) throws IOException {
        this.stateFolder = stateFolder;
        control = stateFolder.resolveSibling(CONTROL);
        int size = FAULTS_POSITION + FAULT_BYTES * Call.values().length;
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            shared = channel.map(FileChannel.MapMode.READ_WRITE, 0, size);
        }
        shared.order(ByteOrder.nativeOrder());
        shared.putLong(0, seed);
    }

    /** Puts into a process's environment what makes it subject to these faults; IOException where the library can't be had. */
    void addToEnvironment(Map<String, String> environment) throws IOException {
        environment.put("LD_PRELOAD", library().toString());
        environment.put("WRENREACH_FAULTS_CONTROL", control.toAbsolutePath().toString());
        environment.put("WRENREACH_FAULTS_FOLDER", stateFolder.toAbsolutePath().toString());
    }

    /** From now on this share of the calls fails, from 0 to 1, with this errno or {@link #DRAWN}. */
    void fail(Call call, double share, int error) {
        int at = FAULTS_POSITION + FAULT_BYTES * call.ordinal();
        shared.putInt(at + ERROR_OFFSET, error);
        shared.putInt(at, (int) Math.round(share * PARTS_PER_MILLION));
    }

    /** How many calls have been made to fail since the beginning. */
    int injected(Call call) {
        return shared.getInt(FAULTS_POSITION + FAULT_BYTES * call.ordinal() + INJECTED_OFFSET);
    }

    /** The wall clock of the process is ahead of the machine's by so much, or behind it where below 0. */
    void stepWallClock(long nanos) {
        shared.putLong(WALL_OFFSET_POSITION, shared.getLong(WALL_OFFSET_POSITION) + nanos);
    }

    /** The library, compiled once a run; IOException names what is missing. */
    private static synchronized Path library() throws IOException {
        if (compiled == null) {
            Path folder = Files.createTempDirectory("wrenreach-faults-");
            Path source = folder.resolve(SOURCE);
            Path made = folder.resolve(LIBRARY);
            try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
                Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
            }
            compile(source, made);
            source.toFile().deleteOnExit();
            made.toFile().deleteOnExit();
            folder.toFile().deleteOnExit();
            compiled = made;
        }
        return compiled;
    }

    private static void compile(Path source, Path made) throws IOException {
        Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", made.toString(), source.toString(), "-ldl")
                .redirectErrorStream(true).start();
        String said = new String(compiler.getInputStream().readAllBytes());
        try {
            if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("faults of system calls need a C compiler, and cc did not make the library: " + said);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while cc ran", e);
        }
    }
}
