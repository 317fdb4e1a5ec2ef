package wrenreach.held;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import wrenreach.log.LogEvent;

/**
 * The list of endpoints as it was last heard, in the state folder: whole or not at all, so that a later process does not
 * fall behind what this one was told.
 */
public final class KeptFile {
    private static final System.Logger LOG = System.getLogger(KeptFile.class.getName());
    private static final String NAME = "list", NEXT = "list.next";
    /** One part in so many of the folder's room, for the file and for the one that takes its place. */
    private static final int PART = 50;

    private final Path file;
    private final Path next;
    private final long most;
    private boolean told;

    /** limit: bytes that the folder may hold. */
    public KeptFile(Path folder, long limit) {
        file = folder.resolve(NAME);
        next = folder.resolve(NEXT);
        most = limit / PART;
    }

    /** What of the folder's room it may take. */
    public static long room(long limit) {
        return 2 * (limit / PART);
    }

    /** What was kept last, or null. */
    public byte[] read() throws IOException {
        try {
            return Files.size(file) > most ? null : Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Keeps this in place of what was kept; where it can't, nothing stays that is older, and the node goes on without. */
    public void keep(byte[] text) {
        try {
            if (text.length > most) {
                throw new IOException("it takes " + text.length + " bytes of at most " + most);
            }
            Files.write(next, text);
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            if (!told) {
                told = true;
                LogEvent.tell(LOG, Level.WARNING, "list.kept", "the list can't be kept for the next start: {why}", "why",
                        e.getMessage());
            }
            drop();
        }
    }

    private void drop() {
        try {
            Files.deleteIfExists(next);
            Files.deleteIfExists(file);
        } catch (IOException e) {
            // Told above; the next start takes what is newer of this and its config's list.
            return;
        }
    }
}
