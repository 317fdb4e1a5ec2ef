package wrenreach.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wrenreach.held.Ending;
import wrenreach.held.Entry;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.held.Ledger;
import wrenreach.held.RecordedAttempt;
import wrenreach.held.Submission;
import wrenreach.store.Batch;
import wrenreach.store.FolderDisk;
import wrenreach.store.Store;

class StoreLedgerTest {
    /** Bytes that the store may take. */
    private static final long LIMIT = 2_000_000;
    /** In microseconds. */
    private static final long MINUTE = 60_000_000;
    @TempDir Path folder;
    private long wallMillis = 1_800_000_000_000L;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private StoreLedger open(boolean sync, long rememberBytes) throws IOException {
        return StoreLedger.open(folder, LIMIT, sync, MINUTE, rememberBytes, () -> 1000 * wallMillis, 5);
    }

    private static HeldMail mail(String id, int bytes) {
        return new HeldMail(new Submission(id, "key", "order", "shop", "tag " + id, 3, new byte[bytes]), 99);
    }

    private static RecordedAttempt attempt(int number) {
        return new RecordedAttempt(number, "e" + number, 1, 1000 + number, false);
    }

    private static List<String> ids(Ledger ledger) {
        return ledger.outstanding().stream().map(held -> held.submission.id()).toList();
    }

    private static void write(Ledger ledger) throws IOException {
        assertThat(ledger.write(() -> { })).isTrue();
    }

    /** Three mails, in an order that is not that of their ids: one in flight, one ended, one completed. */
    private static void fill(Ledger ledger) throws IOException {
        HeldMail inFlight = mail("z", 10);
        HeldMail ended = mail("b", 20);
        HeldMail completed = mail("y", 30);
        for (HeldMail mail : List.of(inFlight, completed, ended)) {
            ledger.accepted(mail);
        }
        write(ledger);
        ledger.attemptStarted(inFlight, attempt(0));
        ledger.neverRan(inFlight, 0);
        ledger.attemptStarted(inFlight, attempt(1));
        ledger.attemptStarted(completed, attempt(0));
        write(ledger);
        ledger.completed(completed);
        ledger.ended(ended, new Ending(true, 70));
        write(ledger);
    }

    private static void assertFilled(Ledger ledger) {
        assertThat(ids(ledger)).containsExactly("z", "b");
        HeldMail inFlight = ledger.outstanding().get(0);
        assertThat(inFlight.deadline).isEqualTo(99);
        assertThat(inFlight.submission.tag()).isEqualTo("tag z");
        assertThat(inFlight.submission.body()).hasSize(10);
        assertThat(inFlight.attempts).containsExactly(new RecordedAttempt(0, "e0", 1, 1000, true), attempt(1));
        assertThat(ledger.outstanding().get(1).ending).isEqualTo(new Ending(true, 70));
        assertThat(ledger.resumed()).isTrue();
    }

    @Test void outstandingMailsAndEndedIdsSurviveARestart() throws Exception {
        try (Ledger ledger = open(false, 10_000)) {
            assertThat(ledger.resumed()).isFalse();
            fill(ledger);
        }
        try (Ledger ledger = open(false, 10_000)) {
            assertFilled(ledger);
            assertThat(ledger.hasEnded("y")).isTrue();
            assertThat(ledger.hasEnded("z")).isFalse();
            wallMillis += 60_001;
            ledger.accepted(mail("later", 1));
            write(ledger);
            assertThat(ledger.hasEnded("y")).as("after its time").isFalse();
        }
        try (Ledger ledger = open(false, 10_000)) {
            assertThat(ledger.hasEnded("y")).isFalse();
            assertThat(ids(ledger)).containsExactly("z", "b", "later");
        }
    }

    @Test void rememberedIdsKeepTheirByteLimit() throws Exception {
        try (Ledger ledger = open(false, 1000)) {
            for (int i = 0; i < 100; i++) {
                HeldMail mail = mail("m" + i, 10);
                ledger.accepted(mail);
                write(ledger);
                ledger.completed(mail);
                write(ledger);
            }
            long known = Stream.iterate(0, i -> i + 1).limit(100).filter(i -> ledger.hasEnded("m" + i)).count();
            assertThat(known).isBetween(10L, 16L);
            assertThat(ledger.hasEnded("m99")).isTrue();
            assertThat(ledger.hasEnded("m0")).isFalse();
        }
    }

    /** A migration that was interrupted is started over or finished: no mail is lost, and none is there twice. */
    @Test void journalIsMigratedExactlyOnce() throws Exception {
        try (Journal journal = Journal.open(folder, LIMIT)) {
            fill(journal);
        }
        Path begun = Files.createDirectories(folder.resolve("store.new"));
        Files.write(begun.resolve("segment-0000000000000001.log"), new byte[200]);
        try (Ledger ledger = open(false, 0)) {
            assertFilled(ledger);
        }
        assertThat(folder.resolve("journal")).doesNotExist();
        assertThatThrownBy(() -> Journal.open(folder, LIMIT)).isInstanceOf(IOException.class).hasMessageContaining("[store] has to stay on");
        // The process ended after the store got its final name and before the old file was deleted.
        Files.write(folder.resolve("journal"), new byte[] {0, 0, 0, 1});
        try (Ledger ledger = open(false, 0)) {
            assertFilled(ledger);
        }
        assertThat(folder.resolve("journal")).doesNotExist();
        assertThat(runCommand("held", folder.toString())).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("z class=order dest=3", "2 mails owed", "deferred");
    }

    /** With sync, a write completes on the event loop, and only once its records are forced. */
    @Test void withSyncAWriteCompletesOnlyOnceForced() throws Exception {
        java.util.concurrent.BlockingQueue<Runnable> loop = new java.util.concurrent.LinkedBlockingQueue<>();
        try (Ledger ledger = open(true, 0)) {
            ledger.attach(loop::add, () -> { });
            ledger.accepted(mail("a", 10));
            int[] lasts = {0};
            assertThat(ledger.write(() -> lasts[0]++)).isFalse();
            assertThat(lasts[0]).isZero();
            loop.take().run();
            assertThat(lasts[0]).isEqualTo(1);
            assertThat(ledger.write(() -> lasts[0]++)).as("nothing noted").isTrue();
        }
    }

    /** A missing record may have said that a mail was sent, so none is sent again as if it had not been. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void afterDamageOutstandingMailsCountAsSent(int batch) throws Exception {
        try (Ledger ledger = open(false, 0)) {
            ledger.accepted(mail("a", 500));
            write(ledger);
            ledger.accepted(mail("b", 500));
            write(ledger);
            ledger.accepted(mail("c", 500));
            write(ledger);
        }
        Path segment = folder.resolve("store/segment-0000000000000001.log");
        byte[] bytes = Files.readAllBytes(segment);
        bytes[200 + 600 * batch] ^= 1;
        Files.write(segment, bytes);
        try (Ledger ledger = open(false, 0)) {
            assertThat(ids(ledger)).containsExactly(batch == 0 ? "b" : "a", "c");
            assertThat(ledger.outstanding()).allSatisfy(held -> assertThat(held.attempts).hasSize(1)
                    .allSatisfy(attempt -> assertThat(attempt.neverRan()).isFalse()));
            ledger.accepted(mail("later", 5));
            write(ledger);
        }
        // The damaged range is still there; it says nothing of mails that came after it was found.
        try (Ledger ledger = open(false, 0)) {
            assertThat(ids(ledger)).hasSize(3).endsWith("later");
            assertThat(ledger.outstanding()).extracting(held -> held.attempts.size()).containsExactly(1, 1, 0);
        }
    }

    @Test void storeKeepsItsDiskLimit() throws Exception {
        try (StoreLedger ledger = open(false, 10_000)) {
            int count = 0;
            while (ledger.fits(1000, 0, 4)) {
                ledger.accepted(mail("m" + count++, 1000));
                write(ledger);
            }
            assertThat(count).isBetween(200, 900);
            for (HeldMail held : ledger.outstanding()) {
                for (int i = 0; i < 4; i++) {
                    ledger.attemptStarted(held, attempt(i));
                    write(ledger);
                }
            }
            try (Stream<Path> files = Files.list(folder.resolve("store"))) {
                assertThat(files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum()).isLessThanOrEqualTo(LIMIT);
            }
            ledger.outstanding().forEach(ledger::completed);
            write(ledger);
            assertThat(ledger.fits(1000, 0, 4)).isTrue();
        }
    }

    private int runCommand(String... words) {
        out.reset();
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        return new StoreCommand().run(List.of(words), print, print);
    }

    @Test void commandDistinguishesSoundDamagedAndMissingStores() throws Exception {
        Path bench = folder.resolve("bench");
        assertThat(runCommand("bench", bench.toString(), "--records", "2000")).isZero();
        assertThat(runCommand("check", bench.toString())).isZero();
        assertThat(runCommand("stats", bench.toString())).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("2000 keys", "200 batches");
        assertThat(runCommand("dump", bench.toString())).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8).lines()).hasSize(2000).first().asString().startsWith("t0 0000");
        Path segment = bench.resolve("segment-0000000000000001.log");
        byte[] bytes = Files.readAllBytes(segment);
        bytes[bytes.length / 2] ^= 1;
        Files.write(segment, bytes);
        assertThat(runCommand("check", bench.toString())).isEqualTo(1);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("1 batches are lost");
        assertThat(runCommand("repair", bench.toString())).as("never without a copy").isEqualTo(2);
        assertThat(runCommand("repair", bench.toString(), "--copy", folder.resolve("copy").toString())).isZero();
        assertThat(folder.resolve("copy").resolve(segment.getFileName().toString())).hasBinaryContent(bytes);
        assertThat(runCommand("check", bench.toString())).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("1990 keys");
        assertThat(runCommand("check", folder.toString())).isEqualTo(2);
        assertThat(runCommand("check", folder.resolve("none").toString())).isEqualTo(2);
        assertThat(runCommand("check")).isEqualTo(2);
        assertThat(runCommand("bench", bench.toString(), "--records", "1")).as("not over another store").isEqualTo(1);
        assertThat(runCommand("bench", bench.toString(), "--records", "x")).isEqualTo(2);
    }

    /** Changes records of the store behind the ledger's back. */
    private void change(Batch batch) throws IOException {
        try (Store store = Store.open(new FolderDisk(folder.resolve("store")), LIMIT, false, 5)) {
            store.write(batch);
        }
    }

    /** Guards against a record that can't be read and keeps the node from starting: all that was owed was lost (review/6, in the store). */
    @ParameterizedTest
    @ValueSource(strings = {"tlong", "tz", "cz\0" + "1", "nz\0" + "0", "eb", "ry", "rnew", "b"})
    void recordThatCannotBeReadCostsTheOthersNothing(String key) throws IOException {
        for (int bytes : new int[] {0, 1, 7, 9, 200}) {
            try (StoreLedger ledger = open(false, 1000)) {
                fill(ledger);
            }
            byte[] noise = new byte[bytes];
            Arrays.fill(noise, (byte) 0xC3);
            change(new Batch().put(key, noise));
            try (StoreLedger ledger = open(false, 1000)) {
                assertThat(ids(ledger)).isEqualTo(key.equals("tz") ? List.of("b") : List.of("z", "b"));
                if (key.startsWith("c")) {
                    assertThat(ledger.outstanding().get(0).attempts).as("the attempt may have run").filteredOn(attempt -> !attempt.neverRan()).isNotEmpty();
                } else if (key.startsWith("e")) {
                    assertThat(ledger.outstanding().get(1).ending).as("it has ended").isNotNull();
                }
                ledger.accepted(mail("next", 1));
                write(ledger);
                ledger.outstanding().forEach(ledger::completed);
                write(ledger);
            }
            try (StoreLedger ledger = open(false, 1000)) {
                assertThat(ids(ledger)).isEmpty();
            }
        }
    }

    /** Guards against lengths that are cut to 16 bits: the writer refuses, and what it holds stays as it was. */
    @Test void overlongTextsAreRefusedByTheWriter() throws IOException {
        HeldMail overlong = new HeldMail(new Submission("a", "key", "order", "\u00e9".repeat(40_000), "tag", 3, new byte[1]), 99);
        try (StoreLedger ledger = open(false, 1000)) {
            fill(ledger);
            assertThatThrownBy(() -> ledger.accepted(overlong)).isInstanceOf(Entry.TooLongException.class);
            assertThat(overlong.accepted).isFalse();
            write(ledger);
        }
        try (StoreLedger ledger = open(false, 1000)) {
            assertFilled(ledger);
        }
    }
}
