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
    private static final long LIMIT = 100_000;
    @TempDir Path folder;

    private static HeldMail mail(String id, int bytes) {
        return new HeldMail(new Submission(id, "key", "order", "shop", "tag", 3, new byte[bytes]), 77);
    }

    private static PastConnect connect(int number, boolean neverRan) {
        return new PastConnect(number, "s-1", 2, 55, neverRan);
    }

    private List<String> owed() throws IOException {
        return Journal.read(folder).stream().map(held -> held.submission.id()).toList();
    }

    @Test void whatWasWrittenComesBackWithItsConnectsAndEnding() throws IOException {
        HeldMail first = mail("first", 4);
        try (Journal journal = Journal.open(folder, LIMIT)) {
            assertThat(journal.resumed()).isFalse();
            HeldMail over = mail("over", 4);
            journal.taken(over);
            journal.taken(first);
            journal.taken(mail("second", 0));
            journal.connecting(first, connect(0, false));
            journal.connecting(first, connect(1, true));
            journal.connecting(first, connect(2, false));
            journal.neverRan(first, 2);
            journal.ended(first, new Ending(true, 500));
            journal.over(over);
            journal.write();
        }
        try (Journal journal = Journal.open(folder, LIMIT)) {
            assertThat(journal.resumed()).isTrue();
            assertThat(owed()).containsExactly("first", "second");
            HeldMail back = journal.owed().get(0);
            assertThat(back.submission).usingRecursiveComparison().isEqualTo(first.submission);
            assertThat(back.endsBy).isEqualTo(77);
            assertThat(back.connects).containsExactly(connect(0, false), connect(1, true), connect(2, true));
            assertThat(back.ending).isEqualTo(new Ending(true, 500));
            assertThat(back.owed).isTrue();
        }
    }

    @Test void whatIsTakenBackBeforeItIsWrittenNeverWas() throws IOException {
        HeldMail stays = mail("stays", 4);
        try (Journal journal = Journal.open(folder, LIMIT)) {
            journal.taken(stays);
            journal.connecting(stays, connect(0, false));
            journal.write();
            HeldMail gone = mail("gone", 4);
            journal.taken(gone);
            journal.connecting(gone, connect(0, false));
            journal.connecting(stays, connect(1, false));
            journal.retractAttempt(stays, 1);
            journal.retract(gone);
            assertThat(gone.owed).isFalse();
            journal.connecting(stays, connect(1, true));
            journal.write();
        }
        assertThat(owed()).containsExactly("stays");
        assertThat(Journal.read(folder).get(0).connects).containsExactly(connect(0, false), connect(1, true));
    }

    /** A file that can't be written or cut any more is not believed: the next write makes a new one of all that is owed. */
    @Test void afterAFailedWriteTheNextOneRecordsAll() throws IOException {
        HeldMail first = mail("first", 4);
        Journal journal = Journal.open(folder, LIMIT);
        journal.taken(first);
        journal.write();
        journal.close();
        journal.ended(first, new Ending(false, 0));
        assertThatThrownBy(journal::write).isInstanceOf(ClosedChannelException.class);
        HeldMail second = mail("second", 4);
        journal.taken(second);
        journal.write();
        journal.over(second);
        journal.write();
        journal.close();
        assertThat(owed()).containsExactly("first");
        assertThat(Journal.read(folder).get(0).ending).isEqualTo(new Ending(false, 0));
    }

    /** The clock goes with the first record, not before, and outlasts compaction. */
    @Test void theClockOfItsTimesIsRecordedOnce() throws IOException {
        TimeBase base = new TimeBase("a boot", 12);
        try (Journal journal = Journal.open(folder, LIMIT)) {
            assertThat(journal.timeBase()).isEmpty();
            journal.startClock(base, () -> 0);
            journal.write();
            assertThat(Files.size(folder.resolve("journal"))).isZero();
            for (int i = 0; i < 200; i++) {
                HeldMail mail = mail("m" + i, 1000);
                journal.taken(mail);
                journal.write();
                journal.over(mail);
            }
            journal.write();
            assertThat(journal.size()).as("it has been compacted").isLessThan(LIMIT);
        }
        try (Journal journal = Journal.open(folder, LIMIT)) {
            assertThat(journal.timeBase()).contains(base);
        }
    }

    /** Guards a kill at any byte: whole records count, the torn one does not, and new ones follow them. */
    @Test void aFileCutAtAnyByteKeepsItsWholeRecords() throws IOException {
        List<Long> ends = new ArrayList<>();
        Path file = folder.resolve("journal");
        try (Journal journal = Journal.open(folder, LIMIT)) {
            for (String id : List.of("a", "b", "c")) {
                journal.taken(mail(id, 5));
                journal.write();
                ends.add(Files.size(file));
            }
        }
        byte[] whole = Files.readAllBytes(file);
        for (int cut = 0; cut <= whole.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            long size = cut;
            int kept = (int) ends.stream().filter(end -> end <= size).count();
            try (Journal journal = Journal.open(folder, LIMIT)) {
                assertThat(journal.owed()).hasSize(kept);
                journal.taken(mail("next", 1));
                journal.write();
            }
            assertThat(owed()).hasSize(kept + 1).endsWith("next");
        }
    }

    @Test void aRecordWithAFlippedBitEndsTheFile() throws IOException {
        try (Journal journal = Journal.open(folder, LIMIT)) {
            journal.taken(mail("a", 5));
            journal.taken(mail("b", 5));
            journal.write();
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 3] ^= 1;
        Files.write(file, bytes);
        assertThat(owed()).containsExactly("a");
    }

    @Test void compactionKeepsWhatIsOwedInItsOrder() throws IOException {
        try (Journal journal = Journal.open(folder, LIMIT)) {
            HeldMail kept = mail("kept", 10);
            journal.taken(kept);
            journal.connecting(kept, connect(0, true));
            journal.ended(kept, new Ending(false, 0));
            for (int i = 0; i < 2000; i++) {
                HeldMail passing = mail("m" + i, 100);
                journal.taken(passing);
                journal.write();
                journal.over(passing);
            }
            HeldMail last = mail("last", 10);
            journal.taken(last);
            journal.write();
            assertThat(Files.size(folder.resolve("journal"))).isLessThan(LIMIT);
            assertThat(folder.resolve("journal.next")).doesNotExist();
        }
        assertThat(owed()).containsExactly("kept", "last");
        HeldMail kept = Journal.read(folder).get(0);
        assertThat(kept.connects).containsExactly(connect(0, true));
        assertThat(kept.ending).isEqualTo(new Ending(false, 0));
    }

    /** Guards the disk: old and new file stand beside each other during a compaction. */
    @Test void noMailFitsThatWouldLeaveNoRoomToCompact() throws IOException {
        try (Journal journal = Journal.open(folder, LIMIT)) {
            int taken = 0;
            while (journal.fits(1000, 0, 2)) {
                journal.taken(mail("m" + taken++, 1000));
                journal.write();
                long together = Files.size(folder.resolve("journal")) + journal.owed().size() * 1100L;
                assertThat(together).isLessThan(LIMIT);
            }
            assertThat(taken).isGreaterThan(20);
            assertThat(journal.fits(10, 1000, 2)).isFalse();
            journal.over(journal.owed().get(0));
            journal.over(journal.owed().get(0));
            assertThat(journal.fits(1000, 0, 2)).isTrue();
        }
    }

    @Test void anUnfinishedCompactionIsDropped() throws IOException {
        try (Journal journal = Journal.open(folder, LIMIT)) {
            journal.taken(mail("a", 5));
            journal.write();
        }
        Files.write(folder.resolve("journal.next"), new byte[50]);
        try (Journal journal = Journal.open(folder, LIMIT)) {
            assertThat(journal.owed()).hasSize(1);
        }
        assertThat(folder.resolve("journal.next")).doesNotExist();
    }
}
