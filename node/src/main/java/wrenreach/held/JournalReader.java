package wrenreach.held;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import wrenreach.log.LogEvent;

/**
 * Reads a journal file: records of length and checksum, 4 bytes each, and content, which are applied to the outstanding mails in their
 * order. A record that is cut off by the end of the file ends it. One that can't be read is skipped and logged, so that it costs the
 * others nothing; as it may have told of an attempt, the mails that were outstanding then count as attempted.
 */
final class JournalReader {
    private static final System.Logger LOG = System.getLogger(JournalReader.class.getName());
    /** Length and checksum. */
    static final int HEADER_BYTES = 8;
    /** What {@link #findRecord} returns where there is none. */
    private static final int NONE = -1;

    /** Ids of ended mails that are kept while the file is read, the latest ones. */
    private static final int MAX_ENDED_IDS = 50_000;

    private final Path file;
    private final ByteBuffer bytes;
    private final Map<String, HeldMail> outstanding = new LinkedHashMap<>();
    /** The ids of mails that have ended and may have run, the oldest first. */
    private final Set<String> ended = new LinkedHashSet<>();
    /** The mails that were outstanding at the last record that can't be read and may have told of an attempt. */
    private List<HeldMail> outstandingAtDamage = List.of();
    private TimeBase timeBase;
    private int unreadableRecords;
    private int position;

    private JournalReader(Path file, byte[] content) {
        this.file = file;
        bytes = ByteBuffer.wrap(content);
    }

    /** Reads the file; one that doesn't exist counts as empty. */
    static JournalReader read(Path file) throws IOException {
        JournalReader reader = new JournalReader(file, Files.exists(file) ? Files.readAllBytes(file) : new byte[0]);
        reader.readRecords();
        return reader;
    }

    /** The mails that are accepted and not completed, by id, in the order in which they were accepted. */
    Map<String, HeldMail> outstanding() {
        return outstanding;
    }

    /** The ids of mails that have ended and may have run, the oldest first. */
    Set<String> ended() {
        return ended;
    }

    /** Where the last whole record ends: new ones are appended there. */
    long validBytes() {
        return position;
    }

    /** The clock that the records' times are measured by; null: the wall clock. */
    TimeBase timeBase() {
        return timeBase;
    }

    static int checksum(byte[] content) {
        return checksum(content, 0, content.length);
    }

    private static int checksum(byte[] array, int from, int length) {
        CRC32 crc = new CRC32();
        crc.update(array, from, length);
        return (int) crc.getValue();
    }

    private void readRecords() {
        while (bytes.limit() - position >= HEADER_BYTES) {
            int length = wholeLengthAt(position);
            if (length != NONE) {
                readContent(length);
                position += HEADER_BYTES + length;
                continue;
            }
            if (isCutOff()) {
                break;
            }
            countAsAttempted();
            int next = findNext();
            if (next == NONE) {
                break;
            }
            skip("its checksum or length is wrong", next - position);
            position = next;
        }
        outstandingAtDamage.forEach(JournalReader::addUnknownAttempt);
        if (position < bytes.limit()) {
            LogEvent.log(LOG, Level.WARNING, "journal.torn", "journal: cut off a torn tail of {bytes} bytes", "bytes", bytes.limit() - position);
        }
        if (unreadableRecords > 1) {
            LogEvent.log(LOG, Level.ERROR, "journal.skipped", "journal: {records} records can't be read and were skipped", "records", unreadableRecords);
        }
    }

    private boolean isPlausibleLength(int length) {
        return length >= Entry.MIN_CONTENT_BYTES && length <= Entry.MAX_CONTENT_BYTES;
    }

    /**
     * The length of the content of the record that begins here; NONE: no record begins here whose checksum is right. Where the recorded
     * length is damaged, the fields of the content tell where it ends.
     */
    private int wholeLengthAt(int at) {
        int recorded = bytes.getInt(at);
        if (isWhole(at, recorded)) {
            return recorded;
        }
        int told = Entry.lengthOf(bytes.array(), at + HEADER_BYTES);
        return isWhole(at, told) ? told : NONE;
    }

    /** Whether content of this length lies within the file and its checksum is right. */
    private boolean isWhole(int at, int length) {
        return isPlausibleLength(length) && length <= bytes.limit() - at - HEADER_BYTES
                && checksum(bytes.array(), at + HEADER_BYTES, length) == bytes.getInt(at + Integer.BYTES);
    }

    /** Whether the file ends within the record at the position. */
    private boolean isCutOff() {
        int length = bytes.getInt(position);
        return isPlausibleLength(length) && length > bytes.limit() - position - HEADER_BYTES;
    }

    private byte[] contentAt(int at, int length) {
        byte[] content = new byte[length];
        bytes.get(at + HEADER_BYTES, content);
        return content;
    }

    /** Applies the whole record at the position. */
    private void readContent(int length) {
        byte[] content = contentAt(position, length);
        Entry entry;
        try {
            entry = Entry.decode(content);
        } catch (IOException e) {
            skip(String.valueOf(e.getMessage()), HEADER_BYTES + content.length);
            if (content[0] != Entry.ACCEPTED_TYPE) {
                countAsAttempted();
            }
            return;
        }
        if (entry instanceof Entry.Clock clock) {
            timeBase = clock.base();
        }
        apply(entry, HEADER_BYTES + content.length);
    }

    /** Where the next record begins behind one whose checksum or length is wrong; NONE: there is no other. */
    private int findNext() {
        int end = position + HEADER_BYTES + bytes.getInt(position);
        boolean lengthFits = isPlausibleLength(bytes.getInt(position)) && end <= bytes.limit();
        if (lengthFits && (end == bytes.limit() || end + HEADER_BYTES <= bytes.limit() && wholeLengthAt(end) != NONE)) {
            return end;
        }
        for (int at = position + 1; at <= bytes.limit() - HEADER_BYTES - Entry.MIN_CONTENT_BYTES; at++) {
            if (isRecord(at)) {
                return at;
            }
        }
        return NONE;
    }

    /** Whether a record begins here that can be read, with the length that it tells. */
    private boolean isRecord(int at) {
        int length = Entry.lengthOf(bytes.array(), at + HEADER_BYTES);
        return length == bytes.getInt(at) && isWhole(at, length);
    }

    /** Logs the first record that can't be read and counts the others. */
    private void skip(String why, int skippedBytes) {
        if (unreadableRecords++ == 0) {
            LogEvent.log(LOG, Level.ERROR, "journal.unreadable",
                    "journal: {file}: the record at byte {offset} can't be read ({why}): {bytes} bytes skipped; all others count",
                    "file", file, "offset", position, "why", why, "bytes", skippedBytes);
        }
    }

    private void countAsAttempted() {
        outstandingAtDamage = new ArrayList<>(outstanding.values());
    }

    /** Prevents a second effect at the receiver: the record that can't be read may have said that the mail was sent. */
    private static void addUnknownAttempt(HeldMail held) {
        if (held.ending == null) {
            int number = held.attempts.stream().mapToInt(RecordedAttempt::number).max().orElse(-1) + 1;
            held.attempts.add(new RecordedAttempt(number, "", 0, 0, false));
        }
    }

    private void apply(Entry entry, int recordBytes) {
        HeldMail held = outstanding.get(entry.id());
        if (entry instanceof Entry.Accepted accepted) {
            held = new HeldMail(accepted.submission(), accepted.deadline());
            held.accepted = true;
            outstanding.put(entry.id(), held);
            ended.remove(entry.id());
        } else if (entry instanceof Entry.Completed) {
            outstanding.remove(entry.id());
            addEnded(held, entry.id());
            return;
        } else if (held == null) {
            return;
        } else if (entry instanceof Entry.AttemptStarted started) {
            held.attempts.add(started.attempt());
        } else if (entry instanceof Entry.NeverRan neverRan) {
            held.markNeverRan(neverRan.number());
        } else if (entry instanceof Entry.Ended endedEntry) {
            held.ending = endedEntry.ending();
        }
        held.journalBytes += recordBytes;
    }

    /** held: null where only the id was kept in a compaction. */
    private void addEnded(HeldMail held, String id) {
        if (held == null || held.mayHaveRun()) {
            ended.remove(id);
            ended.add(id);
            if (ended.size() > MAX_ENDED_IDS) {
                ended.remove(ended.iterator().next());
            }
        }
    }
}
