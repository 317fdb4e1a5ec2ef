package wrenreach.held;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Disk space that is reserved by a file of zeros, so that deleting the file makes room for other writes on a full disk. Owned by one
 * thread.
 */
public final class ReservedSpace {
    /** Minimum time between two tries to reserve the space again. */
    private static final long RETRY_INTERVAL_MICROS = 1_000_000;

    private final Path file;
    /** Size of the file; 0: nothing is reserved, which counts as reserved. */
    private final long bytes;
    private boolean reserved;
    /** By the clock that {@link #restore} is called with, in microseconds. */
    private long lastTriedAt;

    /**
     * Reserves the space if the disk has room for it; if not, {@link #restore} tries again later.
     *
     * @param bytes how much is reserved
     */
    public ReservedSpace(Path file, long bytes) {
        this.file = file;
        this.bytes = bytes;
        reserved = reserve();
    }

    /** Whether the space is reserved at present. */
    public boolean reserved() {
        return reserved;
    }

    /** Releases the space for other writes. False: it had been released already. */
    public boolean release() throws IOException {
        boolean wasReserved = reserved && bytes > 0;
        reserved = false;
        Files.deleteIfExists(file);
        return wasReserved;
    }

    /**
     * Reserves released space again if the disk has room.
     *
     * @param now microseconds of a clock that only goes forward
     * @return true if the space was released before this call and is reserved now
     */
    public boolean restore(long now) {
        if (reserved || now - lastTriedAt < RETRY_INTERVAL_MICROS) {
            return false;
        }
        lastTriedAt = now;
        reserved = reserve();
        return reserved;
    }

    /** True if the file has its whole size; where it can't be written, what was written of it is deleted. */
    private boolean reserve() {
        try {
            if (bytes == 0 || Files.exists(file) && Files.size(file) == bytes) {
                return true;
            }
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer zeros = ByteBuffer.allocate(1 << 14);
                for (long left = bytes; left > 0;) {
                    zeros.clear().limit((int) Math.min(left, zeros.capacity()));
                    left -= channel.write(zeros);
                }
            }
            return true;
        } catch (IOException e) {
            // A part of the file may have been written: it would only take space away from the records of accepted mails.
            try {
                Files.deleteIfExists(file);
            } catch (IOException notDeleted) {
                return false;
            }
            return false;
        }
    }
}
