package wrenreach.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The files of one store, behind an interface so that tests can inject faults. Names are plain file names, without folders. */
public interface Disk extends AutoCloseable {
    /** One open file. */
    interface Handle extends AutoCloseable {
        /** Its length in bytes. */
        long size() throws IOException;

        /** Fills the buffer from an offset on, up to the end of the file; returns how many bytes were read. */
        int read(long at, ByteBuffer to) throws IOException;

        /** Writes at an offset; it may write less than all, and returns how many bytes it wrote. */
        int write(long at, ByteBuffer from) throws IOException;

        /** Truncates the file to this size in bytes. */
        void truncate(long size) throws IOException;

        /** Returns once all that was written is on stable storage, safe from a loss of power. */
        void force() throws IOException;

        @Override void close() throws IOException;
    }

    /**
     * Locks the store for this process.
     *
     * @throws IOException another process has locked it
     */
    void lock() throws IOException;

    /** The names of all files. */
    List<String> list() throws IOException;

    /** Opens a file for reading and writing; with create it must not exist yet. */
    Handle open(String name, boolean create) throws IOException;

    /** Opens a file for reading only. */
    Handle openReadOnly(String name) throws IOException;

    void delete(String name) throws IOException;

    /** Returns once creations and deletions of files so far are safe from a loss of power. */
    void forceDirectory() throws IOException;

    @Override void close() throws IOException;
}
