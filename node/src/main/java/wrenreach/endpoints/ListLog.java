package wrenreach.endpoints;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.BitSet;
import java.util.List;
import java.util.zip.CRC32;
import wrenreach.log.LogEvent;

/**
 * The endpoint list as discovery sent it last, stored in the state folder so that a later process does not fall behind what this one
 * knew: a snapshot and the deltas since, appended as they are received. The file is valid up to its last intact commit, so each list
 * is stored whole or not at all, wherever a kill cuts the file. Once the file has doubled, a new snapshot is written beside it, in slices.
 * The format is described in docs/files.md; the previous format (one object in the file {@code list}) can be read. Owned by the node's
 * event loop. An error on writing never reaches the node: it goes on without a stored list.
 */
public final class ListLog implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ListLog.class.getName());
    static final String FILE_NAME = "list.log";
    /** A new snapshot that is not complete yet. */
    static final String NEXT_FILE_NAME = "list.log.next";
    /** The file of the previous format. */
    static final String FORM_1_FILE_NAME = "list";
    /** First line of the file; names the format. */
    private static final String HEADER = "wrenreach list 2\n";
    /** The file may take the folder's limit divided by this, and so may the file that replaces it. */
    private static final int SIZE_LIMIT_DIVISOR = 50;
    /** Rows of a snapshot written at once: about a millisecond of work. */
    static final int SLICE_ROWS = 1000;
    /** Bytes that are buffered before they are written. */
    static final int BUFFER_BYTES = 1 << 14;
    /** A file shorter than this is not worth a new snapshot. */
    private static final int MIN_REWRITE_BYTES = 1 << 12;
    /** The file holds a status as its position in this list. */
    private static final List<String> STATUSES = List.of("SERVING", "DRAINING", "DELETED");

    /** The version of the stored list, and the address of the discovery service that it comes from. */
    public record StoredVersion(long index, String discoveryAddress) { }

    private final Path folder;
    private final Path file;
    private final Path nextFile;
    private final long maxBytes;
    /** Appends to the file; null: there is no file to which a delta could be appended. */
    private LogWriter logWriter;
    /** Writes the new snapshot; null: none is being written. */
    private LogWriter snapshotWriter;
    /** The next row that the snapshot writes. */
    private int snapshotRow;
    /** Rows that the snapshot has passed and that have changed since: they are to be written again. */
    private final BitSet staleRows = new BitSet();
    /** The snapshot has all rows that are in force. */
    private boolean snapshotComplete;
    /** A list is being read: it has begun and is not committed. */
    private boolean listInProgress;
    /** Bytes of the file when its snapshot was complete, or when it was opened. */
    private long snapshotBytes;
    private StoredVersion storedVersion;
    /** Bytes of the file up to its last intact commit, as {@link #inspect} found them. */
    private long validBytes;
    /** A failure to store the list is logged once only. */
    private boolean warningLogged;

    /** Opens nothing yet; limit: bytes that the folder may hold. */
    public ListLog(Path folder, long limit) {
        this.folder = folder;
        file = folder.resolve(FILE_NAME);
        nextFile = folder.resolve(NEXT_FILE_NAME);
        maxBytes = limit / SIZE_LIMIT_DIVISOR;
    }

    /** How many bytes of the folder's limit the log may take, the file that replaces it included. */
    public static long sizeLimit(long limit) {
        return 2 * (limit / SIZE_LIMIT_DIVISOR);
    }

    // ---- Reading, at the start ----

    /** The version of the stored list, or null if there is none. Throws IOException if what is stored can't be read; the message says why. */
    public StoredVersion inspect() throws IOException {
        storedVersion = null;
        validBytes = 0;
        try (InputStream in = open(file)) {
            if (in == null) {
                return inspectForm1();
            }
            readLines(in, Long.MAX_VALUE, null);
        }
        if (storedVersion == null) {
            throw new IOException("no sound list in " + FILE_NAME);
        }
        return storedVersion;
    }

    /** Replays what {@link #inspect} found to the sink, list by list, and opens the file for appending. */
    public void replayTo(ListSink sink) throws IOException {
        if (validBytes > 0) {
            try (InputStream in = open(file)) {
                readLines(in, validBytes, sink);
            }
            logWriter = new LogWriter(file, validBytes);
            snapshotBytes = validBytes;
        } else {
            readForm1(sink);
        }
    }

    /** Null: there is no such file. */
    private static InputStream open(Path path) throws IOException {
        try {
            return new BufferedInputStream(Files.newInputStream(path), BUFFER_BYTES);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Reads lines up to the file offset end, and no further than the first damaged commit; without a sink it only looks for the last intact commit. */
    private void readLines(InputStream in, long end, ListSink sink) throws IOException {
        String header = new String(in.readNBytes(HEADER.length()), StandardCharsets.UTF_8);
        if (!header.equals(HEADER)) {
            throw new IOException("it does not begin with \"" + HEADER.strip() + "\"");
        }
        CRC32 crc = new CRC32();
        byte[] buffer = new byte[1 << 16];
        long bufferOffset = HEADER.length();
        boolean begun = false;
        boolean whole = true;
        int buffered = 0;
        for (int read = in.read(buffer); read > 0; read = in.read(buffer, buffered, buffer.length - buffered)) {
            buffered += read;
            int lineStart = 0;
            for (int i = buffered - read; i < buffered && bufferOffset + i < end; i++) {
                if (buffer[i] != '\n') {
                    continue;
                }
                if (buffer[lineStart] == 'C') {
                    String[] fields = new String(buffer, lineStart, i - lineStart, StandardCharsets.UTF_8).split("\t", -1);
                    if (fields.length != 4 || !fields[3].equals(Long.toHexString(crc.getValue()))) {
                        return;
                    }
                    crc.reset();
                    validBytes = sink == null ? bufferOffset + i + 1 : validBytes;
                    storedVersion = new StoredVersion(Long.parseLong(fields[1]), unescape(fields[2]));
                    if (sink != null) {
                        beginOnce(sink, begun);
                        sink.end(storedVersion.index, whole);
                        begun = whole = false;
                    }
                } else {
                    crc.update(buffer, lineStart, i + 1 - lineStart);
                    if (sink != null) {
                        begun = beginOnce(sink, begun);
                        sink.entry(parseEntry(new String(buffer, lineStart, i - lineStart, StandardCharsets.UTF_8)));
                    }
                }
                lineStart = i + 1;
            }
            // The rest of the buffer is the beginning of a line. One that fills the whole buffer is taken for damage and ends the reading.
            System.arraycopy(buffer, lineStart, buffer, 0, buffered - lineStart);
            bufferOffset += lineStart;
            buffered -= lineStart;
        }
    }

    /** Begins the list at the sink unless it has begun; true. */
    private static boolean beginOnce(ListSink sink, boolean begun) {
        if (!begun) {
            sink.begin();
        }
        return true;
    }

    private static ListUpdate.Entry parseEntry(String line) throws IOException {
        String[] fields = line.split("\t", -1);
        try {
            return new ListUpdate.Entry(unescape(fields[1]), unescape(fields[2]), unescape(fields[3]), unescape(fields[4]),
                    Integer.parseInt(fields[5]), STATUSES.get(Integer.parseInt(fields[0])), Double.parseDouble(fields[6]));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new IOException("a line that is no endpoint", e);
        }
    }

    // ---- The previous format ----

    private StoredVersion inspectForm1() throws IOException {
        storedVersion = readForm1(new ListReader.CollectingSink(list -> { }));
        return storedVersion;
    }

    private StoredVersion readForm1(ListSink sink) throws IOException {
        Path form1File = folder.resolve(FORM_1_FILE_NAME);
        try (InputStream in = open(form1File)) {
            if (in == null) {
                return null;
            }
            if (Files.size(form1File) > maxBytes) {
                throw new IOException(FORM_1_FILE_NAME + " is longer than any that was written");
            }
            return readForm1(in, sink);
        }
    }

    private static StoredVersion readForm1(InputStream text, ListSink sink) throws IOException {
        int form = 0;
        String discoveryAddress = null;
        long[] index = {-1};
        try (JsonParser in = new JsonFactory().createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("expected an object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "form" -> form = in.getIntValue();
                    case "from" -> discoveryAddress = in.getText();
                    case "list" -> ListReader.read(in, new ForwardingListSink(sink) {
                        @Override public void end(long version, boolean whole) throws IOException {
                            index[0] = version;
                            super.end(version, whole);
                        }
                    });
                    default -> in.skipChildren();
                }
            }
        }
        if (form != 1 || discoveryAddress == null || index[0] < 0) {
            throw new IOException("not of form 1 or 2");
        }
        return new StoredVersion(index[0], discoveryAddress);
    }

    // ---- Writing ----

    /** A list begins: what was staged of a previous one that has not ended is abandoned. */
    public void begin() {
        listInProgress = true;
        if (logWriter != null) {
            tryWrite(() -> logWriter.rollBack());
        }
    }

    /** Stages an entry of the list that differs from the stored list. */
    public void stageEntry(ListUpdate.Entry entry) {
        if (logWriter != null) {
            tryWrite(() -> logWriter.writeEntry(entry));
        }
    }

    /** The list is in force from now on. If no file is stored yet, or it has become long, a new snapshot begins; that of a short list is written at once. */
    public void commit(long index, String discoveryAddress, EndpointTable table) {
        listInProgress = false;
        storedVersion = new StoredVersion(index, discoveryAddress);
        if (logWriter != null) {
            tryWrite(() -> logWriter.commit(storedVersion));
        }
        if (snapshotWriter != null) {
            // Rows that the snapshot has passed may have changed: they are written again, and of two lines for an endpoint the later one counts.
            // The snapshot is not started again, as a list that changes faster than a snapshot is written would never be stored.
            tryWrite(() -> {
                for (int i = 0; i < table.changedRows(); i++) {
                    int changed = table.changedRows(i);
                    if (changed < snapshotRow && table.status(changed) == EndpointTable.ABSENT) {
                        // Written now, as the row may belong to another endpoint by the time the stale rows are written.
                        snapshotWriter.writeEntry(table.entry(changed));
                        staleRows.clear(changed);
                    } else if (changed < snapshotRow) {
                        staleRows.set(changed);
                    }
                }
            });
        } else if (logWriter == null || logWriter.size > Math.max(MIN_REWRITE_BYTES, 2 * snapshotBytes)) {
            tryWrite(() -> {
                snapshotWriter = new LogWriter(nextFile, 0);
                snapshotRow = 0;
                snapshotComplete = false;
                staleRows.clear();
            });
        }
        writeSnapshotSlice(table);
    }

    /** Whether {@link #writeSnapshotSlice} has something to do; a complete snapshot waits for the end of a list that is being read. */
    public boolean hasSnapshotWork() {
        return snapshotWriter != null && !(listInProgress && snapshotComplete);
    }

    /** Writes the next slice of a new snapshot. It does not replace the file while a list is being read, as that list's entries are staged there. */
    public void writeSnapshotSlice(EndpointTable table) {
        if (snapshotWriter == null) {
            return;
        }
        tryWrite(() -> {
            int firstRow = snapshotRow;
            int endRow = Math.min(table.rows(), snapshotRow + SLICE_ROWS);
            for (; snapshotRow < endRow; snapshotRow++) {
                if (table.status(snapshotRow) != EndpointTable.ABSENT) {
                    snapshotWriter.writeEntry(table.entry(snapshotRow));
                }
            }
            for (int written = endRow - firstRow; written < SLICE_ROWS && !staleRows.isEmpty(); written++) {
                int staleRow = staleRows.nextSetBit(0);
                staleRows.clear(staleRow);
                snapshotWriter.writeEntry(table.entry(staleRow));
            }
            snapshotComplete = snapshotRow >= table.rows() && staleRows.isEmpty();
            if (snapshotComplete && !listInProgress) {
                snapshotWriter.commit(storedVersion);
                Files.move(nextFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                Files.deleteIfExists(folder.resolve(FORM_1_FILE_NAME));
                closeWriter(logWriter);
                logWriter = snapshotWriter;
                snapshotWriter = null;
                snapshotBytes = logWriter.size;
            }
        });
    }

    private interface WriteOperation {
        void run() throws IOException;
    }

    /** If the list can't be stored, an older one is deleted too, and the node goes on without a stored list. */
    private void tryWrite(WriteOperation operation) {
        try {
            operation.run();
        } catch (IOException e) {
            if (!warningLogged) {
                warningLogged = true;
                LogEvent.log(LOG, Level.WARNING, "list.kept", "the list can't be kept for the next start: {why}", "why",
                        e.getMessage());
            }
            deleteFiles();
        }
    }

    /**
     * Deletes the stored list to make space for the records of accepted mails on a full disk. The next list that is received is stored again, as
     * far as there is space.
     *
     * @return false: there was nothing to delete
     */
    public boolean discard() {
        boolean deleted = deleteFiles();
        if (deleted && !warningLogged) {
            warningLogged = true;
            LogEvent.log(LOG, Level.WARNING, "list.kept", "the list kept for the next start leaves its room to what is owed");
        }
        return deleted;
    }

    private boolean deleteFiles() {
        close();
        try {
            return Files.deleteIfExists(nextFile) | Files.deleteIfExists(file) | Files.deleteIfExists(folder.resolve(FORM_1_FILE_NAME));
        } catch (IOException e) {
            // The next start uses the newer of what is left here and the list in its config.
            return false;
        }
    }

    @Override public void close() {
        closeWriter(logWriter);
        closeWriter(snapshotWriter);
        logWriter = snapshotWriter = null;
    }

    private static void closeWriter(LogWriter writer) {
        if (writer != null) {
            try {
                writer.channel.close();
            } catch (IOException e) {
                LogEvent.log(LOG, Level.DEBUG, "list.closed", "{file}: {why}", "file", FILE_NAME, "why", e.getMessage());
            }
        }
    }

    /** A file that is appended to line by line; lines after its last commit are not valid yet. */
    private final class LogWriter {
        private final FileChannel channel;
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(256);
        private final CRC32 crc = new CRC32();
        private long writtenBytes;
        private long committedBytes;
        /** Bytes including those in the buffer. */
        private long size;

        /** keptBytes: what is kept of the file's content; the rest is truncated. */
        LogWriter(Path path, long keptBytes) throws IOException {
            channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.truncate(keptBytes);
            writtenBytes = committedBytes = size = keptBytes;
            if (keptBytes == 0) {
                append(HEADER);
            }
        }

        void writeEntry(ListUpdate.Entry entry) throws IOException {
            String line = STATUSES.indexOf(entry.status()) + "\t" + escape(entry.name()) + "\t" + escape(entry.address()) + "\t"
                    + escape(entry.zone()) + "\t" + escape(entry.type()) + "\t" + entry.group() + "\t" + entry.weight() + "\n";
            byte[] bytes = append(line);
            crc.update(bytes, 0, bytes.length);
            if (buffer.size() >= BUFFER_BYTES) {
                flush();
            }
        }

        void commit(StoredVersion version) throws IOException {
            append("C\t" + version.index + "\t" + escape(version.discoveryAddress) + "\t" + Long.toHexString(crc.getValue()) + "\n");
            flush();
            crc.reset();
            committedBytes = writtenBytes;
        }

        /** Removes everything after the last commit. */
        void rollBack() throws IOException {
            buffer.reset();
            crc.reset();
            if (writtenBytes > committedBytes) {
                channel.truncate(committedBytes);
                writtenBytes = committedBytes;
            }
            size = committedBytes;
        }

        private byte[] append(String line) throws IOException {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            buffer.write(bytes, 0, bytes.length);
            size += bytes.length;
            if (size > maxBytes) {
                throw new IOException("it takes more than the " + maxBytes + " bytes that it may (a fiftieth of the folder's room)");
            }
            return bytes;
        }

        private void flush() throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap(buffer.toByteArray());
            while (bytes.hasRemaining()) {
                writtenBytes += channel.write(bytes, writtenBytes);
            }
            buffer.reset();
        }
    }

    private static String escape(String text) {
        if (text.indexOf('\\') < 0 && text.indexOf('\t') < 0 && text.indexOf('\n') < 0) {
            return text;
        }
        return text.replace("\\", "\\\\").replace("\t", "\\t").replace("\n", "\\n");
    }

    private static String unescape(String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder plain = new StringBuilder(text.length());
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\\' && ++i < text.length()) {
                c = text.charAt(i) == 't' ? '\t' : text.charAt(i) == 'n' ? '\n' : text.charAt(i);
            }
            plain.append(c);
        }
        return plain.toString();
    }
}
