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
 * The list of endpoints as it was last heard, in the state folder, so that a later process does not fall behind what this one
 * was told: a snapshot and the changes since, appended as they are told. It counts up to its last sound commit, so each list
 * is there whole or not at all, wherever a kill cuts it. Once it has doubled, a new snapshot is written in slices beside it.
 * The form stands in docs/files.md; the form before (one object in the file {@code list}) is read.
 */
public final class ListLog implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ListLog.class.getName());
    static final String FILE_NAME = "list.log", NEXT_FILE_NAME = "list.log.next", FORM_1_FILE_NAME = "list";
    private static final String HEADER = "wrenreach list 2\n";
    /** One part in so many of the folder's room, for the file and for the one that takes its place. */
    private static final int SIZE_LIMIT_DIVISOR = 50;
    /** Rows of a snapshot written at once, about a millisecond's work; bytes gathered before they are written. */
    static final int SLICE_ROWS = 1000, BUFFER_BYTES = 1 << 14;
    /** A file shorter than this is not worth a new snapshot. */
    private static final int MIN_REWRITE_BYTES = 1 << 12;
    private static final List<String> STATUSES = List.of("SERVING", "DRAINING", "DELETED");

    /** The version that is kept, and the address of the discovery that it is one of. */
    public record StoredVersion(long index, String discoveryAddress) { }

    private final Path folder;
    private final Path file;
    private final Path nextFile;
    private final long maxBytes;
    /** What goes to the file: null: it holds nothing that changes could be added to. */
    private LogWriter logWriter;
    /** A snapshot under way, and its next row. */
    private LogWriter snapshotWriter;
    private int snapshotRow;
    /** Rows that it has passed and that have changed since. */
    private final BitSet staleRows = new BitSet();
    /** It has all rows, as far as they are in force. */
    private boolean snapshotComplete;
    /** A list is on its way. */
    private boolean listInProgress;
    /** Bytes of the last snapshot. */
    private long snapshotBytes;
    private StoredVersion storedVersion;
    private long validBytes;
    private boolean warningLogged;

    /** limit: bytes that the folder may hold. */
    public ListLog(Path folder, long limit) {
        this.folder = folder;
        file = folder.resolve(FILE_NAME);
        nextFile = folder.resolve(NEXT_FILE_NAME);
        maxBytes = limit / SIZE_LIMIT_DIVISOR;
    }

    /** What of the folder's room it may take. */
    public static long sizeLimit(long limit) {
        return 2 * (limit / SIZE_LIMIT_DIVISOR);
    }

    // ---- Reading, at the start ----

    /** What is kept, or null; IOException says what is wrong with it. */
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

    /** Tells what {@link #look} has found, list by list. */
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

    private static InputStream open(Path path) throws IOException {
        try {
            return new BufferedInputStream(Files.newInputStream(path), BUFFER_BYTES);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Reads up to there; without a sink it only looks for the last sound commit. */
    private void readLines(InputStream in, long until, ListSink sink) throws IOException {
        String head = new String(in.readNBytes(HEADER.length()), StandardCharsets.UTF_8);
        if (!head.equals(HEADER)) {
            throw new IOException("it does not begin with \"" + HEADER.strip() + "\"");
        }
        CRC32 crc = new CRC32();
        byte[] buffer = new byte[1 << 16];
        long before = HEADER.length();
        boolean begun = false;
        boolean whole = true;
        int have = 0;
        for (int read = in.read(buffer); read > 0; read = in.read(buffer, have, buffer.length - have)) {
            have += read;
            int from = 0;
            for (int i = have - read; i < have && before + i < until; i++) {
                if (buffer[i] != '\n') {
                    continue;
                }
                if (buffer[from] == 'C') {
                    String[] words = new String(buffer, from, i - from, StandardCharsets.UTF_8).split("\t", -1);
                    if (words.length != 4 || !words[3].equals(Long.toHexString(crc.getValue()))) {
                        return;
                    }
                    crc.reset();
                    validBytes = sink == null ? before + i + 1 : validBytes;
                    storedVersion = new StoredVersion(Long.parseLong(words[1]), unescape(words[2]));
                    if (sink != null) {
                        begin(sink, begun);
                        sink.end(storedVersion.index, whole);
                        begun = whole = false;
                    }
                } else {
                    crc.update(buffer, from, i + 1 - from);
                    if (sink != null) {
                        begun = begin(sink, begun);
                        sink.entry(parseEntry(new String(buffer, from, i - from, StandardCharsets.UTF_8)));
                    }
                }
                from = i + 1;
            }
            // What is left is the begin of a line; one that fills the buffer is none, and ends what counts.
            System.arraycopy(buffer, from, buffer, 0, have - from);
            before += from;
            have -= from;
        }
    }

    private static boolean begin(ListSink sink, boolean begun) {
        if (!begun) {
            sink.begin();
        }
        return true;
    }

    private static ListUpdate.Entry parseEntry(String line) throws IOException {
        String[] words = line.split("\t", -1);
        try {
            return new ListUpdate.Entry(unescape(words[1]), unescape(words[2]), unescape(words[3]), unescape(words[4]),
                    Integer.parseInt(words[5]), STATUSES.get(Integer.parseInt(words[0])), Double.parseDouble(words[6]));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new IOException("a line that is no endpoint", e);
        }
    }

    // ---- The form before ----

    private StoredVersion inspectForm1() throws IOException {
        storedVersion = readForm1(new ListReader.CollectingSink(list -> { }));
        return storedVersion;
    }

    private StoredVersion readForm1(ListSink sink) throws IOException {
        Path before = folder.resolve(FORM_1_FILE_NAME);
        try (InputStream in = open(before)) {
            if (in == null) {
                return null;
            }
            if (Files.size(before) > maxBytes) {
                throw new IOException(FORM_1_FILE_NAME + " is longer than any that was written");
            }
            return readForm1(in, sink);
        }
    }

    private static StoredVersion readForm1(InputStream text, ListSink sink) throws IOException {
        int form = 0;
        String from = null;
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
                    case "from" -> from = in.getText();
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
        if (form != 1 || from == null || index[0] < 0) {
            throw new IOException("not of form 1 or 2");
        }
        return new StoredVersion(index[0], from);
    }

    // ---- Writing ----

    /** A list begins: what was noted of one that has not ended is given up. */
    public void begin() {
        listInProgress = true;
        if (logWriter != null) {
            tryWrite(() -> logWriter.rollBack());
        }
    }

    /** An entry of it that differs from what was kept. */
    public void stageEntry(ListUpdate.Entry entry) {
        if (logWriter != null) {
            tryWrite(() -> logWriter.writeEntry(entry));
        }
    }

    /** It holds from now on; a short list that is not kept yet, or has become long, is written anew at once. */
    public void commit(long index, String from, EndpointTable table) {
        listInProgress = false;
        storedVersion = new StoredVersion(index, from);
        if (logWriter != null) {
            tryWrite(() -> logWriter.commit(storedVersion));
        }
        if (snapshotWriter != null) {
            // What it has passed may have changed since: of an endpoint that stands there twice the later line counts. Not begun
            // anew: guards against lists that change more often than one can be written.
            tryWrite(() -> {
                for (int i = 0; i < table.changedRows(); i++) {
                    int touched = table.changedRows(i);
                    if (touched < snapshotRow && table.status(touched) == EndpointTable.ABSENT) {
                        // Its place may be another's by the time that what is stale is written.
                        snapshotWriter.writeEntry(table.entry(touched));
                        staleRows.clear(touched);
                    } else if (touched < snapshotRow) {
                        staleRows.set(touched);
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

    /** Whether {@link #slice} has something to do; a snapshot that is ready waits for the end of a list that is on its way. */
    public boolean hasSnapshotWork() {
        return snapshotWriter != null && !(listInProgress && snapshotComplete);
    }

    /** The next slice of a new snapshot. It takes the file's place not while a list is on its way: what was noted of that is there. */
    public void writeSnapshotSlice(EndpointTable table) {
        if (snapshotWriter == null) {
            return;
        }
        tryWrite(() -> {
            int from = snapshotRow;
            int until = Math.min(table.rows(), snapshotRow + SLICE_ROWS);
            for (; snapshotRow < until; snapshotRow++) {
                if (table.status(snapshotRow) != EndpointTable.ABSENT) {
                    snapshotWriter.writeEntry(table.entry(snapshotRow));
                }
            }
            for (int left = until - from; left < SLICE_ROWS && !staleRows.isEmpty(); left++) {
                int again = staleRows.nextSetBit(0);
                staleRows.clear(again);
                snapshotWriter.writeEntry(table.entry(again));
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

    /** Where it can't be kept nothing stays that is older, and the node goes on without. */
    private void tryWrite(WriteOperation attempt) {
        try {
            attempt.run();
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
     * Leaves its room to what is owed, where that finds none; false: it had none. The next list that is told is kept anew, as
     * far as there is room again.
     */
    public boolean discard() {
        boolean removed = deleteFiles();
        if (removed && !warningLogged) {
            warningLogged = true;
            LogEvent.log(LOG, Level.WARNING, "list.kept", "the list kept for the next start leaves its room to what is owed");
        }
        return removed;
    }

    private boolean deleteFiles() {
        close();
        try {
            return Files.deleteIfExists(nextFile) | Files.deleteIfExists(file) | Files.deleteIfExists(folder.resolve(FORM_1_FILE_NAME));
        } catch (IOException e) {
            // The next start takes what is newer of this and its config's list.
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

    /** A file that grows line by line; what follows its last commit does not count yet. */
    private final class LogWriter {
        private final FileChannel channel;
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(256);
        private final CRC32 crc = new CRC32();
        private long writtenBytes;
        private long committedBytes;
        /** Bytes, those gathered counted. */
        private long size;

        LogWriter(Path path, long from) throws IOException {
            channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.truncate(from);
            writtenBytes = committedBytes = size = from;
            if (from == 0) {
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

        void commit(StoredVersion now) throws IOException {
            append("C\t" + now.index + "\t" + escape(now.discoveryAddress) + "\t" + Long.toHexString(crc.getValue()) + "\n");
            flush();
            crc.reset();
            committedBytes = writtenBytes;
        }

        /** Back to the last commit. */
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
