package wrenreach.held;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

/**
 * Classifies I/O errors of the state folder. Java has no exception types for these causes, so the text of the operating system's message
 * decides.
 */
public final class StorageErrors {
    /** Parts of messages, in lower case, that say that the disk or the quota is used up. */
    private static final List<String> DISK_FULL_MESSAGES = List.of("no space left on device", "disk quota exceeded");
    /** Parts of messages, in lower case, of errors that may go away by themselves. */
    private static final List<String> TRANSIENT_MESSAGES = List.of("input/output error", "too many open files", "cannot allocate memory");

    private StorageErrors() { }

    /** Whether the disk is full: what was written before is intact, and the file ends where it was truncated. */
    public static boolean isDiskFull(IOException failure) {
        return messageContains(failure, DISK_FULL_MESSAGES);
    }

    /** Whether the error may go away by itself, so that a retry is worthwhile; a full disk included. */
    public static boolean isTransient(IOException failure) {
        return isDiskFull(failure) || messageContains(failure, TRANSIENT_MESSAGES);
    }

    private static boolean messageContains(IOException failure, List<String> parts) {
        String message = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        return parts.stream().anyMatch(message::contains);
    }
}
