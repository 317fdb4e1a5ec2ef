package wrenreach.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses that are taken for the answer to a call or post that they don't belong to, with a node's process on loopback. */
@Execution(ExecutionMode.CONCURRENT)
class StaleResponseTest {
    private static final String REJECTING = "\"rejecting all 0.3 at 300 for 9000\", ";
    @TempDir Path folder;

    private LabRun play(String faults, String mailClass) throws Exception {
        return LabRun.play(folder, Files.writeString(folder.resolve("copies.toml"), """
                [experiment]
                about = "Responses that belong to no call"
                seeds = 1
                [fleet]
                nodes = 1
                destinations = 4
                endpoints = 2
                [traffic]
                rate = 60
                length = "7s"
                classes = ["%s"]
                [faults]
                schedule = [%s]
                """.formatted(mailClass, faults)));
    }

    @ParameterizedTest
    @CsvSource({"copy_after_request all 0.1 5", "copy_after_response all 0.3 6", "copy_after_response all 0.3 130", "half_copy all 0.2 10",
        "copy_with_response all 0.2", "wrong_length all 0.2"})
    void staleResponseEndsNoOtherCall(String fault) throws Exception {
        LabRun run = play(REJECTING + "\"" + fault + " at 300 for 9000\"", "order tagged importance 1 target 1000 lifetime 3000 share 1");
        assertThat(run.code()).as(run.output()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"1 10", "0.5 200"})
    void staleResponseConfirmsNoOtherNotice(String shareAndDelay) throws Exception {
        LabRun run = play("\"rejecting all 0.9 at 300 for 9000\", \"notices_refused all 0.4 at 300 for 9000\", \"notice_copies all " + shareAndDelay
                + " at 300 for 9000\"", "order tagged importance 1 target 500 lifetime 900 share 1");
        assertThat(run.code()).as(run.output()).isZero();
    }
}
