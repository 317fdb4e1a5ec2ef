package wrenreach.held;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** Tells when files were last written. */
public final class LastWrite {
    private LastWrite() { }

    /** Milliseconds of the wall clock at which the file, or a file in the folder, was last written; empty if there is none or it can't be told. */
    public static OptionalLong millis(Path path) {
        try {
            OptionalLong newest = OptionalLong.empty();
            for (Path file : filesOf(path)) {
                newest = OptionalLong.of(Math.max(newest.orElse(Long.MIN_VALUE), Files.getLastModifiedTime(file).toMillis()));
            }
            return newest;
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    private static List<Path> filesOf(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            return Files.exists(path) ? List.of(path) : List.of();
        }
        try (Stream<Path> files = Files.list(path)) {
            return files.toList();
        }
    }
}
