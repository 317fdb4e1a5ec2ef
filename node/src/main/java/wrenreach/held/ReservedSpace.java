package wrenreach.held;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Room on the disk that is taken so that it can be let go: a file of no content. */
public final class ReservedSpace {
    /** Between two tries to take it again, in microseconds. */
    private static final long RETRY_INTERVAL_MICROS = 1_000_000;

    private final Path file;
    private final long bytes;
    private boolean reserved;
    private long lastTriedAt;

    /** bytes: how much it takes; a disk that has no room for it now may have later. */
    public ReservedSpace(Path file, long bytes) {
        this.file = file;
        this.bytes = bytes;
        reserved = reserve();
    }

    /** Whether the room is there. */
    public boolean reserved() {
        return reserved;
    }

    /** Lets it go; false: it was gone already. */
    public boolean release() throws IOException {
        boolean was = reserved && bytes > 0;
        reserved = false;
        Files.deleteIfExists(file);
        return was;
    }

    /** Takes it again where it is gone and the disk has room; true: it is back. */
    public boolean restore(long now) {
        if (reserved || now - lastTriedAt < RETRY_INTERVAL_MICROS) {
            return false;
        }
        lastTriedAt = now;
        reserved = reserve();
        return reserved;
    }

    private boolean reserve() {
        try {
            if (bytes == 0 || Files.exists(file) && Files.size(file) == bytes) {
                return true;
            }
            try (FileChannel to = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer zeros = ByteBuffer.allocate(1 << 14);
                for (long left = bytes; left > 0;) {
                    zeros.clear().limit((int) Math.min(left, zeros.capacity()));
                    left -= to.write(zeros);
                }
            }
            return true;
        } catch (IOException e) {
            // Part of it may be there: it would only take room from what is owed.
            try {
                Files.deleteIfExists(file);
            } catch (IOException left) {
                return false;
            }
            return false;
        }
    }
}
