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
 * Makes system calls fail and steps the wall clock for one process and its successors. A small library is loaded into the process (LD_PRELOAD); a
 * file that both sides map into memory says which calls fail, how often and with which error, and counts those that did.
 */
final class SystemCallFaults {
    /** The resource with the library's source. */
    private static final String SOURCE = "system_call_faults.c";
    /** File name of the compiled library. */
    private static final String LIBRARY = "system_call_faults.so";
    /** File name of the file that both sides map. */
    private static final String CONTROL = "system-call-faults";
    /** How long the compiler may take, in seconds. */
    private static final long COMPILE_TIMEOUT_S = 60;
    /** Shares of calls are written in parts per million. */
    private static final int PARTS_PER_MILLION = 1_000_000;
    /** Position in the mapped file of the offset of the wall clock, in bytes. */
    private static final int WALL_OFFSET_POSITION = 8;
    /** Position in the mapped file of the entry of the first call, in bytes. */
    private static final int FAULTS_POSITION = 16;
    /** Size of the entry of a call, in bytes. */
    private static final int FAULT_BYTES = 16;
    /** Offset of the errno in an entry, in bytes. */
    private static final int ERROR_OFFSET = 4;
    /** Offset of the count of failed calls in an entry, in bytes. */
    private static final int INJECTED_OFFSET = 8;

    /** The calls that may fail, in the order of the library's {@code enum call}. */
    enum Call {
        /** Creating a socket: ENFILE, EMFILE, ENOBUFS, ENOMEM. */
        SOCKET,
        /** Starting a TCP connect: EADDRNOTAVAIL, ENETUNREACH. */
        CONNECT,
        /** Accepting a connection: ECONNABORTED, EMFILE, ENFILE, ENOBUFS. */
        ACCEPT,
        /** Reading from or writing to a connection: ETIMEDOUT, EHOSTUNREACH, ECONNRESET. */
        TRANSFER,
        /** Reads and writes, including those of the state folder, that transfer less than they could. */
        SHORT,
        /** Waits for events that end with EINTR. */
        WAIT,
        /** Writing, syncing, renaming and opening for writing in the state folder: ENOSPC, EIO. */
        FOLDER
    }

    /** Instead of an errno for FOLDER: the process is killed with half of the bytes written. */
    static final int KILLED_IN_WRITE = -9;
    /** Instead of an errno: one of those documented for the call is chosen at random. */
    static final int RANDOM_ERROR = 0;

    private static Path compiled;

    private final Path control;
    private final Path stateFolder;
    private final MappedByteBuffer shared;

    /** Sets up faults for processes with this state folder; the control file is created beside it. */
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

    /** Adds the variables that subject a process to these faults to its environment; IOException if the library can't be built. */
    void addToEnvironment(Map<String, String> environment) throws IOException {
        environment.put("LD_PRELOAD", library().toString());
        environment.put("WRENREACH_FAULTS_CONTROL", control.toAbsolutePath().toString());
        environment.put("WRENREACH_FAULTS_FOLDER", stateFolder.toAbsolutePath().toString());
    }

    /** Makes this share of the calls, from 0 to 1, fail from now on, with this errno or {@link #RANDOM_ERROR}. */
    void fail(Call call, double share, int error) {
        int at = FAULTS_POSITION + FAULT_BYTES * call.ordinal();
        shared.putInt(at + ERROR_OFFSET, error);
        shared.putInt(at, (int) Math.round(share * PARTS_PER_MILLION));
    }

    /** How many calls have been made to fail so far. */
    int injected(Call call) {
        return shared.getInt(FAULTS_POSITION + FAULT_BYTES * call.ordinal() + INJECTED_OFFSET);
    }

    /** Steps the wall clock of the process forward by so many nanoseconds, or back if negative. */
    void stepWallClock(long nanos) {
        shared.putLong(WALL_OFFSET_POSITION, shared.getLong(WALL_OFFSET_POSITION) + nanos);
    }

    /** The path of the library, which is compiled once per JVM; IOException names what is missing. */
    private static synchronized Path library() throws IOException {
        if (compiled == null) {
            Path folder = Files.createTempDirectory("wrenreach-faults-");
            Path source = folder.resolve(SOURCE);
            Path library = folder.resolve(LIBRARY);
            try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
                Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
            }
            compile(source, library);
            source.toFile().deleteOnExit();
            library.toFile().deleteOnExit();
            folder.toFile().deleteOnExit();
            compiled = library;
        }
        return compiled;
    }

    private static void compile(Path source, Path library) throws IOException {
        Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", library.toString(), source.toString(), "-ldl")
                .redirectErrorStream(true).start();
        String output = new String(compiler.getInputStream().readAllBytes());
        try {
            if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("faults of system calls need a C compiler, and cc did not make the library: " + output);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while cc ran", e);
        }
    }
}
