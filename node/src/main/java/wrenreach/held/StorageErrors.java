package wrenreach.held;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

/** What an error of the state folder tells. Java has no types for them: the system's words have to do. */
public final class StorageErrors {
    private static final List<String> DISK_FULL_MESSAGES = List.of("no space left on device", "disk quota exceeded");
    private static final List<String> TRANSIENT_MESSAGES = List.of("input/output error", "too many open files", "cannot allocate memory");

    private StorageErrors() { }

    /** There is no room: what was written before stands, and the file's end is where it was cut off. */
    public static boolean isDiskFull(IOException failure) {
        return messageContains(failure, DISK_FULL_MESSAGES);
    }

    /** It may go away by itself: worth another try. */
    public static boolean isTransient(IOException failure) {
        return isDiskFull(failure) || messageContains(failure, TRANSIENT_MESSAGES);
    }

    private static boolean messageContains(IOException failure, List<String> words) {
        String said = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        return words.stream().anyMatch(said::contains);
    }
}
