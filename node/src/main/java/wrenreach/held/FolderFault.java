package wrenreach.held;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

/** What an error of the state folder tells. Java has no types for them: the system's words have to do. */
public final class FolderFault {
    private static final List<String> WANT_OF_ROOM = List.of("no space left on device", "disk quota exceeded");
    private static final List<String> PASSING = List.of("input/output error", "too many open files", "cannot allocate memory");

    private FolderFault() { }

    /** There is no room: what was written before stands, and the file's end is where it was cut off. */
    public static boolean isForWantOfRoom(IOException failure) {
        return says(failure, WANT_OF_ROOM);
    }

    /** It may go away by itself: worth another try. */
    public static boolean mayPass(IOException failure) {
        return isForWantOfRoom(failure) || says(failure, PASSING);
    }

    private static boolean says(IOException failure, List<String> words) {
        String said = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        return words.stream().anyMatch(said::contains);
    }
}
