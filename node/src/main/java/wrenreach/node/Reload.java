package wrenreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import wrenreach.log.LogEvent;
import wrenreach.watch.FileWatch;

/**
 * A file that is read again while the node runs: on a signal, or whenever it changes where signals don't come through.
 * It is taken whole or not at all; one that can't be used is read again for a bounded time, as it may only be half
 * written, and then changes nothing.
 */
public final class Reload implements FileWatch.ChangeHandler {
    private static final System.Logger LOG = System.getLogger(Reload.class.getName());
    private static final long RETRY_INTERVAL_MS = 50;

    /** The file's bytes, from their begin each time: they may be more than one would hold. */
    public interface Source {
        InputStream open() throws IOException;
    }

    /** Who takes a file. */
    public interface Handler {
        /** Puts all of it in force, or nothing and throws. */
        void apply(Source file) throws RejectedFileException, IOException;
    }

    /** The bytes can't be used; the message is for staff. */
    public static final class RejectedFileException extends Exception {
        private static final long serialVersionUID = 1;

        public RejectedFileException(String message) {
            super(message);
        }
    }

    private final Path file;
    private final long retryMicros;
    private Handler handler;
    /** The print of what was taken last. */
    private byte[] appliedDigest;
    private String problem = "";
    private boolean signalPending;

    /** patience: for how many microseconds a file that can't be used is read again. */
    public Reload(Path file, long patience) {
        this.file = file;
        this.retryMicros = patience;
    }

    /** Who takes the file from now on. Guards a signal that came before there was a node to tell. */
    public synchronized void setHandler(Handler host) {
        handler = host;
        if (signalPending) {
            signalled();
        }
    }

    /**
     * One signal, on a thread of its own: reading blocks, which the node's loop must not. Synchronized, as several
     * signals in a row may each have a thread: the last to read is the last to tell.
     */
    public synchronized void signalled() {
        if (handler == null) {
            signalPending = true;
            return;
        }
        appliedDigest = null;
        long until = System.nanoTime() / 1000 + retryMicros;
        while (!fileChanged()) {
            if (System.nanoTime() / 1000 >= until) {
                stillUnfinished();
                return;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Reads the file and takes it where it has changed; false: it can't be used as it is. */
    @Override public synchronized boolean fileChanged() {
        if (handler == null) {
            return true;
        }
        try {
            DigestingSource now = new DigestingSource();
            now.open().close();
            if (!Arrays.equals(now.contentDigest, appliedDigest)) {
                DigestingSource read = new DigestingSource();
                handler.apply(read);
                appliedDigest = read.contentDigest;
            }
            return true;
        } catch (IOException e) {
            problem = e instanceof NoSuchFileException ? "no such file" : "can't be read: " + e.getMessage();
        } catch (RejectedFileException e) {
            problem = e.getMessage();
        }
        return false;
    }

    /**
     * The file, and the print of what was read of it last: its bytes may be too many to keep. Guards against a file that is
     * replaced between a look at it and its reading, which would be taken twice.
     */
    private final class DigestingSource implements Source {
        private byte[] contentDigest;

        @Override public InputStream open() throws IOException {
            MessageDigest sum;
            try {
                sum = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java has SHA-256", e);
            }
            return new DigestInputStream(Files.newInputStream(file), sum) {
                private boolean closed;

                /** What its reader has left is read for the print. */
                @Override public void close() throws IOException {
                    if (!closed) {
                        closed = true;
                        transferTo(OutputStream.nullOutputStream());
                        contentDigest = sum.digest();
                        super.close();
                    }
                }
            };
        }
    }

    @Override public synchronized void stillUnfinished() {
        LogEvent.log(LOG, Level.WARNING, "reload.refused", "reload: {file}: {why}; all stays as it was",
                "file", file, "why", problem);
    }
}
