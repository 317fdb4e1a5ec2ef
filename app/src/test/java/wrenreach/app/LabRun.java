package wrenreach.app;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import wrenreach.lab.LabCommand;

/** One run of an experiment on fleets of processes: its exit code (0 where all rules hold), its output and its folder. */
record LabRun(int code, String output, Path out) {
    static LabRun play(Path folder, Path experiment) {
        Path out = folder.resolve("out");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(output, true, StandardCharsets.UTF_8);
        int code = new LabCommand().run(List.of("load", experiment.toString(), "--out", out.toString()), print, print);
        return new LabRun(code, output.toString(StandardCharsets.UTF_8), out);
    }

    /** Returns a log file of one of the run's days, by its path under {@code days}. */
    String log(String name) throws IOException {
        return Files.readString(out.resolve("days").resolve(name));
    }
}
