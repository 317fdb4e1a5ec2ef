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
 * Reads a file again while the node runs: on a signal, or whenever it changes where signals don't arrive. The file is applied whole or
 * not at all. One that can't be used may only be half written, so it is read again for a bounded time; if it stays unusable it changes
 * nothing.
 */
public final class Reload implements FileWatch.ChangeHandler {
    private static final System.Logger LOG = System.getLogger(Reload.class.getName());
    /** Milliseconds between two reads of a file that can't be used. */
    private static final long RETRY_INTERVAL_MS = 50;

    /** The file's content; each call reads it from the beginning, as it may be too large to be held in memory. */
    public interface Source {
        InputStream open() throws IOException;
    }

    /** Applies the content of a file. */
    public interface Handler {
        /** Applies all of it, or nothing and throws. */
        void apply(Source file) throws RejectedFileException, IOException;
    }

    /** The content can't be used; the message is for staff. */
    public static final class RejectedFileException extends Exception {
        private static final long serialVersionUID = 1;

        public RejectedFileException(String message) {
            super(message);
        }
    }

    private final Path file;
    private final long retryMicros;
    private Handler handler;
    /** Digest of the content that was applied last; null: the next read is applied in any case. */
    private byte[] appliedDigest;
    /** Why the file could not be used when it was read last. */
    private String problem = "";
    /** A signal came before there was a handler. */
    private boolean signalPending;

    /** retryMicros: for how many microseconds a file that can't be used is read again. */
    public Reload(Path file, long retryMicros) {
        this.file = file;
        this.retryMicros = retryMicros;
    }

    /** Sets who applies the file from now on. A signal that came before there was a handler is handled now. */
    public synchronized void setHandler(Handler newHandler) {
        handler = newHandler;
        if (signalPending) {
            signalled();
        }
    }

    /**
     * Handles a signal, on a thread of its own: reading blocks, which the node's event loop must not. Synchronized, as several signals in
     * a row may each have a thread: the last one to read is the last one to apply.
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

    /** Reads the file and applies it if it has changed; false: it can't be used as it is. */
    @Override public synchronized boolean fileChanged() {
        if (handler == null) {
            return true;
        }
        try {
            DigestingSource current = new DigestingSource();
            current.open().close();
            if (!Arrays.equals(current.contentDigest, appliedDigest)) {
                DigestingSource source = new DigestingSource();
                handler.apply(source);
                appliedDigest = source.contentDigest;
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
     * The file, with a digest of what was read from it last, since its content may be too large to keep. The digest is of the content
     * that was applied: otherwise a file that is replaced between the check and its reading would be applied twice.
     */
    private final class DigestingSource implements Source {
        private byte[] contentDigest;

        @Override public InputStream open() throws IOException {
            MessageDigest sha256;
            try {
                sha256 = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java has SHA-256", e);
            }
            return new DigestInputStream(Files.newInputStream(file), sha256) {
                private boolean closed;
                private boolean ended;

                @Override public int read() throws IOException {
                    int read = super.read();
                    ended |= read < 0;
                    return read;
                }

                @Override public int read(byte[] into, int offset, int length) throws IOException {
                    int read = super.read(into, offset, length);
                    ended |= read < 0;
                    return read;
                }

                /** Reads what its reader has left, so that the digest covers the whole file, but nothing that came after the end it saw. */
                @Override public void close() throws IOException {
                    if (!closed) {
                        closed = true;
                        if (!ended) {
                            transferTo(OutputStream.nullOutputStream());
                        }
                        contentDigest = sha256.digest();
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
