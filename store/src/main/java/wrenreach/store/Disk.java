package wrenreach.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The files of one store; what a test may put in its place. Names are plain, without folders. */
public interface Disk extends AutoCloseable {
    /** One open file. */
    interface Handle extends AutoCloseable {
        /** Its length in bytes. */
        long size() throws IOException;

        /** Fills the buffer from that place on as far as the file goes; how many bytes came. */
        int read(long at, ByteBuffer to) throws IOException;

        /** Writes at that place; it may write less than all, and tells how much. */
        int write(long at, ByteBuffer from) throws IOException;

        /** Cuts the file off. */
        void truncate(long size) throws IOException;

        /** Returns once what was written will outlast a loss of power. */
        void force() throws IOException;

        @Override void close() throws IOException;
    }

    /** Takes the store for this process alone; IOException where another one has it. */
    void lock() throws IOException;

    /** The names of all files. */
    List<String> list() throws IOException;

    /** Opens a file; create: it must not be there yet. */
    Handle open(String name, boolean create) throws IOException;

    /** Opens a file for reading only. */
    Handle openReadOnly(String name) throws IOException;

    void delete(String name) throws IOException;

    /** Returns once files made and deleted before will be so after a loss of power. */
    void forceDirectory() throws IOException;

    @Override void close() throws IOException;
}
