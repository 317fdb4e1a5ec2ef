package wrenreach.held;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

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

    @Test void recordsAreIgnoredFromACorruptedOneOn() throws IOException {
        try (Journal journal = Journal.open(folder, FOLDER_LIMIT_BYTES)) {
            journal.accepted(mail("a", 5));
            journal.accepted(mail("b", 5));
            journal.write();
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 3] ^= 1;
        Files.write(file, bytes);
        assertThat(outstandingIds()).containsExactly("a");
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
