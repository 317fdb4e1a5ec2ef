package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Processes whose system calls fail in the ways that Linux documents. */
@Execution(ExecutionMode.CONCURRENT)
class SystemCallFaultsTest {
    @TempDir Path folder;

    private LabRun play(int rate, String... faults) throws Exception {
        return play(rate, 2500, faults);
    }

    private LabRun play(int rate, int lifetimeMs, String... faults) throws Exception {
        return LabRun.play(folder, Files.writeString(folder.resolve("faults.toml"), """
                [experiment]
                about = "Failing system calls"
                seeds = 1
                [fleet]
                nodes = 1
                destinations = 2
                endpoints = 2
                [traffic]
                rate = %d
                length = "6s"
                classes = ["order tagged importance 1 target 1000 lifetime %d share 1"]
                [faults]
                schedule = [%s]
                """.formatted(rate, lifetimeMs, Stream.of(faults).map(one -> '"' + one + '"').collect(Collectors.joining(", ")))));
    }

    private static int numberAfter(String log, String before) {
        int at = log.lastIndexOf(before) + before.length();
        return Integer.parseInt(log.substring(at).replaceFirst("\\D.*", "").lines().findFirst().orElseThrow());
    }

    /** All rules hold, and the faults did occur. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "CONNECT; connect_fails 0 0.2 at 500 for 5000, reset nodes-receivers 0.5 at 700 for 1 every 60",
        "ACCEPT; accept_fails 0 0.2 at 500 for 5000",
        "TRANSFER; transfer_fails 0 0.02 at 500 for 5000",
        "SHORT; short_transfers 0 0.7 at 500 for 5000",
        "WAIT; waits_interrupted 0 0.5 at 500 for 5000",
        "FOLDER; folder_fails 0 1 28 at 1500 for 2000, kill 0 at 4000 for 300",
        "FOLDER; folder_fails 0 1 5 at 1500 for 2000",
        "FOLDER; folder_fails 0 0.3 at 500 for 5000",
        "FOLDER; folder_fails 0 0.3 28 at 500 for 3400, kill 0 at 4000 for 300",
        "FOLDER; folder_fails 0 1 5 at 1500 for 2500, kill 0 at 2000 for 300",
        "FOLDER; kill_in_write 0 at 1500 for 300, kill_in_write 0 at 3500 for 300, folder_fails 0 0.2 at 5000 for 500",
        "SOCKET; socket_fails 0 0.3 at 500 for 5000, kill 0 at 1500 for 300, stop 0 at 3000 for 300"})
    void theRulesHoldUnderFailingSystemCalls(String call, String faults) throws Exception {
        LabRun run = play(40, faults.split(", "));
        assertThat(run.code()).as(run.output()).isZero();
        assertThat(numberAfter(run.log("1-1/n0.log"), "made to fail so far: " + call + " ")).as("faults that struck").isPositive();
    }

    /** Timeouts follow real time: a step of the wall clock ends no mail early and leaves none outstanding, also across a restart. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "wall_ahead 0 3600 at 2100 for 30000", "wall_behind 0 3600 at 2100 for 30000", "wall_ahead 0 3600 at 1500 for 700",
        "wall_behind 0 3600 at 1000 for 1100", "wall_ahead 0 5 at 2100 for 30000"})
    void aSteppedWallClockChangesNoTimeout(String step) throws Exception {
        // A lifetime that is long enough for the recovered mails: with less, a third of them reach their deadline even without a clock step.
        LabRun run = play(40, 6000, "down all at 600 for 1300", "kill 0 at 1900 for 500", step);
        assertThat(run.code()).as(run.output()).isZero();
        assertThat(run.log("1-1/n0.log")).containsPattern("recovered [1-9][0-9]+ mails");
    }

    /** A mail that was refused because its record could not be written is not recovered by the next process and is not sent. */
    @Test void aRefusedMailIsNotSentAfterARestart() throws Exception {
        LabRun run = play(80, 8000, "folder_fails 0 1 5 at 600 for 150 every 1150", "kill 0 at 5700 for 300");
        assertThat(run.code()).as(run.output()).isZero();
        assertThat(run.log("1-1/n0.log")).contains("the state folder takes no records", "the state folder takes records again");
    }

    /** After a failed accept the next one follows at once: with one in five failing, clients need a second try, but wait no second. */
    @Test void clientsAreAcceptedAgainAtOnce() throws Exception {
        LabRun run = play(60, "accept_fails 0 0.2 at 300 for 5700");
        assertThat(run.code()).as(run.output()).isZero();
        String timeline = run.log("1-1/timeline.txt");
        long accepted = timeline.lines().filter(line -> line.contains("answer=OK")).count();
        long unanswered = timeline.lines().filter(line -> line.contains("answer=NONE")).count();
        assertThat(unanswered).as("unanswered, of " + accepted + " accepted").isLessThan(accepted / 2);
    }

    /** Faults of the local machine are not counted against receivers. */
    @Test void breakersOfHealthyReceiversStayClosed() throws Exception {
        LabRun run = play(40, 8000, "connect_fails 0 1 at 1500 for 3500", "reset nodes-receivers 1 at 1505 for 1 every 300");
        assertThat(run.code()).as(run.output()).isZero();
        String log = run.log("1-1/n0.log");
        assertThat(numberAfter(log, "made to fail so far: CONNECT ")).isGreaterThan(10);
        assertThat(log).doesNotContain("breaker opened by ConnectFailed", "breaker opened by LocalFault", "breaker reopened");
    }
}
