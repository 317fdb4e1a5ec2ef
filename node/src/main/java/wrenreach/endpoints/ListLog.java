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
    static final String NAME = "list.log", NEXT = "list.log.next", FORM_1 = "list";
    private static final String HEAD = "wrenreach list 2\n";
    /** One part in so many of the folder's room, for the file and for the one that takes its place. */
    private static final int PART = 50;
    /** Rows of a snapshot written at once, about a millisecond's work; bytes gathered before they are written. */
    static final int SLICE = 1000, GATHERED = 1 << 14;
    /** A file shorter than this is not worth a new snapshot. */
    private static final int SMALL = 1 << 12;
    private static final List<String> STATUSES = List.of("SERVING", "DRAINING", "DELETED");

    /** The version that is kept, and the address of the discovery that it is one of. */
    public record Kept(long index, String from) { }

    private final Path folder;
    private final Path file;
    private final Path next;
    private final long most;
    /** What goes to the file: null: it holds nothing that changes could be added to. */
    private Writer log;
    /** A snapshot under way, and its next row. */
    private Writer snapshot;
    private int row;
    /** Rows that it has passed and that have changed since. */
    private final BitSet stale = new BitSet();
    /** It has all rows, as far as they are in force. */
    private boolean passed;
    /** A list is on its way. */
    private boolean listing;
    /** Bytes of the last snapshot. */
    private long based;
    private Kept kept;
    private long sound;
    private boolean told;

    /** limit: bytes that the folder may hold. */
    public ListLog(Path folder, long limit) {
        this.folder = folder;
        file = folder.resolve(NAME);
        next = folder.resolve(NEXT);
        most = limit / PART;
    }

    /** What of the folder's room it may take. */
    public static long room(long limit) {
        return 2 * (limit / PART);
    }

    // ---- Reading, at the start ----

    /** What is kept, or null; IOException says what is wrong with it. */
    public Kept look() throws IOException {
        kept = null;
        sound = 0;
        try (InputStream in = open(file)) {
            if (in == null) {
                return lookAtForm1();
            }
            lines(in, Long.MAX_VALUE, null);
        }
        if (kept == null) {
            throw new IOException("no sound list in " + NAME);
        }
        return kept;
    }

    /** Tells what {@link #look} has found, list by list. */
    public void tell(ListSink sink) throws IOException {
        if (sound > 0) {
            try (InputStream in = open(file)) {
                lines(in, sound, sink);
            }
            log = new Writer(file, sound);
            based = sound;
        } else {
            form1(sink);
        }
    }

    private static InputStream open(Path path) throws IOException {
        try {
            return new BufferedInputStream(Files.newInputStream(path), GATHERED);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Reads up to there; without a sink it only looks for the last sound commit. */
    private void lines(InputStream in, long until, ListSink sink) throws IOException {
        String head = new String(in.readNBytes(HEAD.length()), StandardCharsets.UTF_8);
        if (!head.equals(HEAD)) {
            throw new IOException("it does not begin with \"" + HEAD.strip() + "\"");
        }
        CRC32 crc = new CRC32();
        byte[] buffer = new byte[1 << 16];
        long before = HEAD.length();
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
                    sound = sink == null ? before + i + 1 : sound;
                    kept = new Kept(Long.parseLong(words[1]), unescaped(words[2]));
                    if (sink != null) {
                        begin(sink, begun);
                        sink.end(kept.index, whole);
                        begun = whole = false;
                    }
                } else {
                    crc.update(buffer, from, i + 1 - from);
                    if (sink != null) {
                        begun = begin(sink, begun);
                        sink.entry(entry(new String(buffer, from, i - from, StandardCharsets.UTF_8)));
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

    private static ListLine.Entry entry(String line) throws IOException {
        String[] words = line.split("\t", -1);
        try {
            return new ListLine.Entry(unescaped(words[1]), unescaped(words[2]), unescaped(words[3]), unescaped(words[4]),
                    Integer.parseInt(words[5]), STATUSES.get(Integer.parseInt(words[0])), Double.parseDouble(words[6]));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw new IOException("a line that is no endpoint", e);
        }
    }

    // ---- The form before ----

    private Kept lookAtForm1() throws IOException {
        kept = form1(new ListReader.Collected(list -> { }));
        return kept;
    }

    private Kept form1(ListSink sink) throws IOException {
        Path before = folder.resolve(FORM_1);
        try (InputStream in = open(before)) {
            if (in == null) {
                return null;
            }
            if (Files.size(before) > most) {
                throw new IOException(FORM_1 + " is longer than any that was written");
            }
            return form1(in, sink);
        }
    }

    private static Kept form1(InputStream text, ListSink sink) throws IOException {
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
                    case "list" -> ListReader.read(in, new Passing(sink) {
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
        return new Kept(index[0], from);
    }

    // ---- Writing ----

    /** A list begins: what was noted of one that has not ended is given up. */
    public void begin() {
        listing = true;
        if (log != null) {
            attempt(() -> log.back());
        }
    }

    /** An entry of it that differs from what was kept. */
    public void note(ListLine.Entry entry) {
        if (log != null) {
            attempt(() -> log.entry(entry));
        }
    }

    /** It holds from now on; a short list that is not kept yet, or has become long, is written anew at once. */
    public void commit(long index, String from, EndpointTable table) {
        listing = false;
        kept = new Kept(index, from);
        if (log != null) {
            attempt(() -> log.commit(kept));
        }
        if (snapshot != null) {
            // What it has passed may have changed since: of an endpoint that stands there twice the later line counts. Not begun
            // anew: guards against lists that change more often than one can be written.
            attempt(() -> {
                for (int i = 0; i < table.touched(); i++) {
                    int touched = table.touched(i);
                    if (touched < row && table.status(touched) == EndpointTable.ABSENT) {
                        // Its place may be another's by the time that what is stale is written.
                        snapshot.entry(table.entry(touched));
                        stale.clear(touched);
                    } else if (touched < row) {
                        stale.set(touched);
                    }
                }
            });
        } else if (log == null || log.size > Math.max(SMALL, 2 * based)) {
            attempt(() -> {
                snapshot = new Writer(next, 0);
                row = 0;
                passed = false;
                stale.clear();
            });
        }
        slice(table);
    }

    /** Whether {@link #slice} has something to do; a snapshot that is ready waits for the end of a list that is on its way. */
    public boolean slices() {
        return snapshot != null && !(listing && passed);
    }

    /** The next slice of a new snapshot. It takes the file's place not while a list is on its way: what was noted of that is there. */
    public void slice(EndpointTable table) {
        if (snapshot == null) {
            return;
        }
        attempt(() -> {
            int from = row;
            int until = Math.min(table.rows(), row + SLICE);
            for (; row < until; row++) {
                if (table.status(row) != EndpointTable.ABSENT) {
                    snapshot.entry(table.entry(row));
                }
            }
            for (int left = until - from; left < SLICE && !stale.isEmpty(); left++) {
                int again = stale.nextSetBit(0);
                stale.clear(again);
                snapshot.entry(table.entry(again));
            }
            passed = row >= table.rows() && stale.isEmpty();
            if (passed && !listing) {
                snapshot.commit(kept);
                Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                Files.deleteIfExists(folder.resolve(FORM_1));
                drop(log);
                log = snapshot;
                snapshot = null;
                based = log.size;
            }
        });
    }

    private interface Attempt {
        void make() throws IOException;
    }

    /** Where it can't be kept nothing stays that is older, and the node goes on without. */
    private void attempt(Attempt attempt) {
        try {
            attempt.make();
        } catch (IOException e) {
            if (!told) {
                told = true;
                LogEvent.tell(LOG, Level.WARNING, "list.kept", "the list can't be kept for the next start: {why}", "why",
                        e.getMessage());
            }
            remove();
        }
    }

    /**
     * Leaves its room to what is owed, where that finds none; false: it had none. The next list that is told is kept anew, as
     * far as there is room again.
     */
    public boolean giveUp() {
        boolean removed = remove();
        if (removed && !told) {
            told = true;
            LogEvent.tell(LOG, Level.WARNING, "list.kept", "the list kept for the next start leaves its room to what is owed");
        }
        return removed;
    }

    private boolean remove() {
        close();
        try {
            return Files.deleteIfExists(next) | Files.deleteIfExists(file) | Files.deleteIfExists(folder.resolve(FORM_1));
        } catch (IOException e) {
            // The next start takes what is newer of this and its config's list.
            return false;
        }
    }

    @Override public void close() {
        drop(log);
        drop(snapshot);
        log = snapshot = null;
    }

    private static void drop(Writer writer) {
        if (writer != null) {
            try {
                writer.channel.close();
            } catch (IOException e) {
                LogEvent.tell(LOG, Level.DEBUG, "list.closed", "{file}: {why}", "file", NAME, "why", e.getMessage());
            }
        }
    }

    /** A file that grows line by line; what follows its last commit does not count yet. */
    private final class Writer {
        private final FileChannel channel;
        private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(256);
        private final CRC32 crc = new CRC32();
        private long written;
        private long committed;
        /** Bytes, those gathered counted. */
        private long size;

        Writer(Path path, long from) throws IOException {
            channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.truncate(from);
            written = committed = size = from;
            if (from == 0) {
                append(HEAD);
            }
        }

        void entry(ListLine.Entry entry) throws IOException {
            String line = STATUSES.indexOf(entry.status()) + "\t" + escaped(entry.name()) + "\t" + escaped(entry.address()) + "\t"
                    + escaped(entry.zone()) + "\t" + escaped(entry.type()) + "\t" + entry.group() + "\t" + entry.weight() + "\n";
            byte[] bytes = append(line);
            crc.update(bytes, 0, bytes.length);
            if (gathered.size() >= GATHERED) {
                write();
            }
        }

        void commit(Kept now) throws IOException {
            append("C\t" + now.index + "\t" + escaped(now.from) + "\t" + Long.toHexString(crc.getValue()) + "\n");
            write();
            crc.reset();
            committed = written;
        }

        /** Back to the last commit. */
        void back() throws IOException {
            gathered.reset();
            crc.reset();
            if (written > committed) {
                channel.truncate(committed);
                written = committed;
            }
            size = committed;
        }

        private byte[] append(String line) throws IOException {
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            gathered.write(bytes, 0, bytes.length);
            size += bytes.length;
            if (size > most) {
                throw new IOException("it takes more than the " + most + " bytes that it may (a fiftieth of the folder's room)");
            }
            return bytes;
        }

        private void write() throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap(gathered.toByteArray());
            while (bytes.hasRemaining()) {
                written += channel.write(bytes, written);
            }
            gathered.reset();
        }
    }

    private static String escaped(String text) {
        if (text.indexOf('\\') < 0 && text.indexOf('\t') < 0 && text.indexOf('\n') < 0) {
            return text;
        }
        return text.replace("\\", "\\\\").replace("\t", "\\t").replace("\n", "\\n");
    }

    private static String unescaped(String text) {
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
