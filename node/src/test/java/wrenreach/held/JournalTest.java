package wrenreach.held;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class JournalTest {
    private static final long FOLDER_LIMIT_BYTES = 100_000;
    @TempDir Path folder;

    private static HeldMail mail(String id, int bytes) {
        return new HeldMail(new Submission(id, "key", "order", "shop", "tag", 3, new byte[bytes]), 77);
    }

    private static RecordedAttempt attempt(int number, boolean neverRan) {
        return new RecordedAttempt(number, "s-1", 2, 55, neverRan);
    }

    private List<String> outstandingIds() throws IOException {
        return Journal.read(folder).stream().map(held -> held.submission.id()).toList();
    }

    @Test void writtenMailsAreRecoveredWithAttemptsAndEnding() throws IOException {
        HeldMail first = mail("first", 4);
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            assertThat(journal.resumed()).isFalse();
            HeldMail completed = mail("over", 4);
            journal.accepted(completed);
            journal.accepted(first);
            journal.accepted(mail("second", 0));
            journal.attemptStarted(first, attempt(0, false));
            journal.attemptStarted(first, attempt(1, true));
            journal.attemptStarted(first, attempt(2, false));
            journal.neverRan(first, 2);
            journal.ended(first, new Ending(true, 500));
            journal.completed(completed);
            journal.write();
        }
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            assertThat(journal.resumed()).isTrue();
            assertThat(outstandingIds()).containsExactly("first", "second");
            HeldMail recovered = journal.outstanding().get(0);
            assertThat(recovered.submission).usingRecursiveComparison().isEqualTo(first.submission);
            assertThat(recovered.deadline).isEqualTo(77);
            assertThat(recovered.attempts).containsExactly(attempt(0, false), attempt(1, true), attempt(2, true));
            assertThat(recovered.ending).isEqualTo(new Ending(true, 500));
            assertThat(recovered.accepted).isTrue();
        }
    }

    @Test void retractedRecordsAreNotWritten() throws IOException {
        HeldMail kept = mail("stays", 4);
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            journal.accepted(kept);
            journal.attemptStarted(kept, attempt(0, false));
            journal.write();
            HeldMail retracted = mail("gone", 4);
            journal.accepted(retracted);
            journal.attemptStarted(retracted, attempt(0, false));
            journal.attemptStarted(kept, attempt(1, false));
            journal.retractAttempt(kept, 1);
            journal.retract(retracted);
            assertThat(retracted.accepted).isFalse();
            journal.attemptStarted(kept, attempt(1, true));
            journal.write();
        }
        assertThat(outstandingIds()).containsExactly("stays");
        assertThat(Journal.read(folder).get(0).attempts).containsExactly(attempt(0, false), attempt(1, true));
    }

    /** The content of a file that can't be written or truncated any more is unknown, so the next write creates a new one of all outstanding mails. */
    @Test void writeAfterAFailedOneRecordsEverything() throws IOException {
        HeldMail first = mail("first", 4);
        Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES);
        journal.accepted(first);
        journal.write();
        journal.close();
        journal.ended(first, new Ending(false, 0));
        assertThatThrownBy(journal::write).isInstanceOf(ClosedChannelException.class);
        HeldMail second = mail("second", 4);
        journal.accepted(second);
        journal.write();
        journal.completed(second);
        journal.write();
        journal.close();
        assertThat(outstandingIds()).containsExactly("first");
        assertThat(Journal.read(folder).get(0).ending).isEqualTo(new Ending(false, 0));
    }

    /** The clock is recorded with the first other record, not before, and compaction keeps it. */
    @Test void timeBaseIsRecordedOnceWithTheFirstRecord() throws IOException {
        TimeBase base = new TimeBase("a boot", 12);
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            assertThat(journal.timeBase()).isEmpty();
            journal.startClock(base, () -> 0);
            journal.write();
            assertThat(Files.size(folder.resolve("journal"))).isZero();
            for (int i = 0; i < 200; i++) {
                HeldMail mail = mail("m" + i, 1000);
                journal.accepted(mail);
                journal.write();
                journal.completed(mail);
            }
            journal.write();
            assertThat(journal.size()).as("it has been compacted").isLessThan(FOLDER_LIMIT_BYTES);
        }
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            assertThat(journal.timeBase()).contains(base);
        }
    }

    /** A kill may cut a write at any byte: whole records count, a torn one does not, and new records are appended after the whole ones. */
    @Test void fileTruncatedAtAnyByteKeepsWholeRecords() throws IOException {
        List<Long> ends = new ArrayList<>();
        Path file = folder.resolve("journal");
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            for (String id : List.of("a", "b", "c")) {
                journal.accepted(mail(id, 5));
                journal.write();
                ends.add(Files.size(file));
            }
        }
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut <= whole.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            long cutAt = cut;
            int kept = (int) ends.stream().filter(end -> end <= cutAt).count();
            try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
                assertThat(journal.outstanding()).hasSize(kept);
                journal.accepted(mail("next", 1));
                journal.write();
            }
            assertThat(outstandingIds()).hasSize(kept + 1).endsWith("next");
        }
    }

    /** Writes mails of these ids, one record each, and returns where each record ends. */
    private List<Integer> writeMails(String... ids) throws IOException {
        List<Integer> ends = new ArrayList<>();
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            for (String id : ids) {
                journal.accepted(mail(id, 5));
                journal.write();
                ends.add((int) journal.size());
            }
        }
        return ends;
    }

    /** Inserts the bytes into the file. */
    private void insert(int at, byte[] inserted) throws IOException {
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, ByteBuffer.allocate(whole.length + inserted.length).put(whole, 0, at).put(inserted).put(whole, at, whole.length - at).array());
    }

    /** A record whose checksum is right, of this content. */
    private static byte[] record(byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(content);
        return ByteBuffer.allocate(8 + content.length).putInt(content.length).putInt((int) crc.getValue()).put(content).array();
    }

    /** The content of an acceptance as it was written before texts were bounded: the tenant's length is cut to 16 bits. */
    private static byte[] contentWithCutLength(int tenantBytes, byte filling) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(1);
        out.writeUTF("long");
        out.writeLong(77);
        out.writeUTF("");
        out.writeUTF("order");
        out.writeShort(tenantBytes);
        byte[] tenant = new byte[tenantBytes];
        Arrays.fill(tenant, filling);
        out.write(tenant);
        out.writeUTF("tag");
        out.writeInt(3);
        out.writeInt(0);
        return bytes.toByteArray();
    }

    /** Guards against a record that can't be read and keeps the node from starting: all that was owed was lost (review/6). */
    @ParameterizedTest
    @CsvSource({"65536, -61", "80000, -61", "80000, 0", "131072, 65", "70000, 127"})
    void recordWithACutLengthCostsTheOthersNothing(int tenantBytes, byte filling) throws IOException {
        for (int place = 0; place <= 3; place++) {
            Files.deleteIfExists(folder.resolve("journal"));
            List<Integer> ends = writeMails("a", "b", "c");
            insert(place == 0 ? 0 : ends.get(place - 1), record(contentWithCutLength(tenantBytes, filling)));
            try (Journal journal = Journal.open(folder, 10 * FOLDER_LIMIT_BYTES)) {
                assertThat(journal.outstanding()).extracting(held -> held.submission.id()).contains("a", "b", "c").doesNotContain("long");
                assertThat(journal.outstanding()).filteredOn(held -> "abc".contains(held.submission.id()))
                        .as("not taken for attempted").allMatch(held -> held.attempts.isEmpty());
                journal.accepted(mail("next", 1));
                journal.write();
            }
            assertThat(outstandingIds()).containsSubsequence("a", "b", "c", "next");
        }
    }

    /** Guards against records of any content that end the reading: empty, of an unknown type, too short, or with bytes left over. */
    @ParameterizedTest
    @ValueSource(strings = {"", "1", "0900", "050001", "0500016100", "010001610000000000000001ffff", "02000161ffffffff000000"})
    void recordOfOtherContentIsSkipped(String content) throws IOException {
        List<Integer> ends = writeMails("a", "b");
        insert(ends.get(0), record(HexFormat.of().parseHex(content.length() % 2 == 0 ? content : "0" + content)));
        assertThat(outstandingIds()).containsExactly("a", "b");
    }

    /** Guards against the loss of all records behind a damaged one, wherever in it the damage is. */
    @Test void recordsBehindADamagedOneCount() throws IOException {
        List<Integer> ends = writeMails("a", "b", "c", "d");
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        for (int at = ends.get(0); at < ends.get(1); at++) {
            byte[] damaged = whole.clone();
            damaged[at] ^= 0x41;
            Files.write(file, damaged);
            boolean inLength = at < ends.get(0) + Integer.BYTES;
            assertThat(outstandingIds()).as("damaged at byte %d", at).containsExactlyElementsOf(inLength ? List.of("a", "b", "c", "d") : List.of("a", "c", "d"));
        }
    }

    /** A damaged record may have told of an attempt: mails accepted before it count as attempted, so that none has a second effect. */
    @Test void mailsAcceptedBeforeADamagedRecordCountAsAttempted() throws IOException {
        List<Integer> ends = writeMails("a", "b", "c");
        byte[] whole = Files.readAllBytes(folder.resolve("journal"));
        whole[ends.get(1) - 1] ^= 1;
        Files.write(folder.resolve("journal"), whole);
        List<HeldMail> mails = Journal.read(folder);
        assertThat(mails).extracting(held -> held.submission.id()).containsExactly("a", "c");
        assertThat(mails.get(0).attempts).hasSize(1).noneMatch(RecordedAttempt::neverRan);
        assertThat(mails.get(1).attempts).isEmpty();
    }

    /** Guards against a hole of zeros, as two writers leave it, that counts as empty records or ends the file. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8, 9, 64, 1000})
    void holeOfZerosIsSkipped(int bytes) throws IOException {
        List<Integer> ends = writeMails("a", "b");
        insert(ends.get(0), new byte[bytes]);
        assertThat(outstandingIds()).containsExactly("a", "b");
    }

    /** Guards against lengths that are cut to 16 bits: the writer refuses, and what it holds stays as it was. */
    @Test void overlongTextsAreRefusedByTheWriter() throws IOException {
        try (Journal journal = Journal.open(folder, 100 * FOLDER_LIMIT_BYTES)) {
            journal.accepted(mail("a", 5));
            for (HeldMail overlong : List.of(mail("x".repeat(Entry.MAX_TEXT_BYTES + 1), 1), mail("\u00e9".repeat(40_000), 1), mail("b", Entry.MAX_BODY_BYTES + 1))) {
                assertThatThrownBy(() -> journal.accepted(overlong)).isInstanceOf(Entry.TooLongException.class);
                assertThat(overlong.accepted).isFalse();
            }
            journal.accepted(mail("c".repeat(Entry.MAX_TEXT_BYTES), Entry.MAX_BODY_BYTES));
            journal.write();
        }
        assertThat(outstandingIds()).containsExactly("a", "c".repeat(Entry.MAX_TEXT_BYTES));
    }

    /** Guards against an id that is forgotten with its end: a command with it that came later ran a second time (review/2). */
    @Test void idsOfEndedMailsAreRememberedOverRestartsAndCompactions() throws IOException {
        HeldMail delivered = mail("delivered", 5);
        HeldMail bounced = mail("bounced", 5);
        HeldMail deferred = mail("deferred", 5);
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            for (HeldMail mail : List.of(delivered, bounced, deferred)) {
                journal.accepted(mail);
            }
            journal.ended(bounced, new Ending(false, 0));
            journal.ended(deferred, new Ending(true, 500));
            assertThat(journal.hasEnded("delivered")).isFalse();
            List.of(delivered, bounced, deferred).forEach(journal::completed);
            journal.write();
        }
        for (int start = 0; start < 3; start++) {
            try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
                journal.startClock(new TimeBase("a boot", 5), () -> 12);
                assertThat(List.of("delivered", "bounced")).allMatch(journal::hasEnded);
                assertThat(journal.hasEnded("deferred")).as("may be handed in again").isFalse();
                for (int i = 0; i < 60; i++) {
                    HeldMail mail = mail("m" + start + "-" + i, 1000);
                    journal.accepted(mail);
                    journal.write();
                    journal.completed(mail);
                }
                journal.write();
                assertThat(journal.size()).as("it has been compacted").isLessThan(60_000);
            }
        }
    }

    /** The ids of ended mails are bounded in time and space, whatever their length. */
    @Test void rememberedIdsAreBounded() throws IOException {
        long[] now = {0};
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            journal.startClock(new TimeBase("a boot", 5), () -> now[0]);
            for (int i = 0; i < 5000; i++) {
                HeldMail mail = mail(i + "x".repeat(100), 10);
                journal.accepted(mail);
                journal.completed(mail);
                journal.write();
                assertThat(journal.size()).isLessThan(FOLDER_LIMIT_BYTES * 6 / 10);
            }
            assertThat(journal.hasEnded(4999 + "x".repeat(100))).isTrue();
            assertThat(journal.hasEnded(0 + "x".repeat(100))).isFalse();
            now[0] = 601_000_000;
            journal.write();
            assertThat(journal.hasEnded(4999 + "x".repeat(100))).as("after its time").isFalse();
        }
    }

    @Test void compactionKeepsOutstandingMailsInOrder() throws IOException {
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            HeldMail kept = mail("kept", 10);
            journal.accepted(kept);
            journal.attemptStarted(kept, attempt(0, true));
            journal.ended(kept, new Ending(false, 0));
            for (int i = 0; i < 2000; i++) {
                HeldMail completed = mail("m" + i, 100);
                journal.accepted(completed);
                journal.write();
                journal.completed(completed);
            }
            HeldMail last = mail("last", 10);
            journal.accepted(last);
            journal.write();
            assertThat(Files.size(folder.resolve("journal"))).isLessThan(FOLDER_LIMIT_BYTES);
            assertThat(folder.resolve("journal.next")).doesNotExist();
        }
        assertThat(outstandingIds()).containsExactly("kept", "last");
        HeldMail kept = Journal.read(folder).get(0);
        assertThat(kept.attempts).containsExactly(attempt(0, true));
        assertThat(kept.ending).isEqualTo(new Ending(false, 0));
    }

    /** Old and new file exist side by side during a compaction: together they have to stay within the folder's limit. */
    @Test void noMailFitsThatLeavesNoSpaceForCompaction() throws IOException {
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            int accepted = 0;
            while (journal.fits(1000, 0, 2)) {
                journal.accepted(mail("m" + accepted++, 1000));
                journal.write();
                long bothFiles = Files.size(folder.resolve("journal")) + journal.outstanding().size() * 1100L;
                assertThat(bothFiles).isLessThan(FOLDER_LIMIT_BYTES);
            }
            assertThat(accepted).isGreaterThan(20);
            assertThat(journal.fits(10, 1000, 2)).isFalse();
            journal.completed(journal.outstanding().get(0));
            journal.completed(journal.outstanding().get(0));
            assertThat(journal.fits(1000, 0, 2)).isTrue();
        }
    }

    @Test void fileOfAnUnfinishedCompactionIsDeleted() throws IOException {
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            journal.accepted(mail("a", 5));
            journal.write();
        }
        Files.write(folder.resolve("journal.next"), new byte[50]);
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            assertThat(journal.outstanding()).hasSize(1);
        }
        assertThat(folder.resolve("journal.next")).doesNotExist();
    }
}
