package wrenreach.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the default file system, or of any other that Java supports. */
public final class FolderDisk implements Disk {
    /** Name of the file whose lock keeps other processes out. */
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private FileChannel lockChannel;

    /** Uses a folder that exists. */
    public FolderDisk(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new NotDirectoryException(folder.toString());
        }
        this.folder = folder;
    }

    @Override public void lock() throws IOException {
        lockChannel = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockChannel.close();
            lockChannel = null;
            throw new IOException("store " + folder + " is open in another process");
        }
    }

    @Override public List<String> list() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(Files::isRegularFile).map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE)).sorted().toList();
        }
    }

    @Override public Handle open(String name, boolean create) throws IOException {
        return new File(FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE,
                create ? StandardOpenOption.CREATE_NEW : StandardOpenOption.WRITE));
    }

    @Override public Handle openReadOnly(String name) throws IOException {
        return new File(FileChannel.open(folder.resolve(name), StandardOpenOption.READ));
    }

    @Override public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override public void forceDirectory() throws IOException {
        FileChannel directory;
        try {
            directory = FileChannel.open(folder, StandardOpenOption.READ);
        } catch (IOException e) {
            // Where a directory can't be opened as a file, the operating system persists file names by itself.
            return;
        }
        try (directory) {
            directory.force(true);
        }
    }

    @Override public void close() throws IOException {
        if (lockChannel != null) {
            lockChannel.close();
        }
    }

    private record File(FileChannel channel) implements Handle {
        @Override public long size() throws IOException {
            return channel.size();
        }

        @Override public int read(long at, ByteBuffer to) throws IOException {
            int begin = to.position();
            while (to.hasRemaining() && channel.read(to, at + to.position() - begin) >= 0) {
                continue;
            }
            return to.position() - begin;
        }

        @Override public int write(long at, ByteBuffer from) throws IOException {
            return channel.write(from, at);
        }

        @Override public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override public void force() throws IOException {
            channel.force(false);
        }

        @Override public void close() throws IOException {
            channel.close();
        }
    }
}
