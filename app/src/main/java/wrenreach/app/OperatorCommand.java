package wrenreach.app;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import wrenreach.frame.Command;
import wrenreach.operator.OperatorFile;

/** The command wrenreach config check|show: reports all problems of an operator's file, or prints the values in force. */
final class OperatorCommand implements Command {
    @Override public String name() {
        return "config";
    }

    @Override public List<String> usage() {
        return List.of("config check FILE   tells all that is wrong with an operator's file",
                "config show FILE    prints what is in force by it, and where each value comes from");
    }

    @Override public int run(List<String> words, PrintStream out, PrintStream err) {
        if (words.size() != 2 || !List.of("check", "show").contains(words.get(0))) {
            usage().forEach(line -> err.println("usage: wrenreach " + line));
            return 2;
        }
        try {
            OperatorFile file = OperatorFile.read(Path.of(words.get(1)), Parts.sections());
            if (words.get(0).equals("show")) {
                List<OperatorFile.EffectiveValue> values = file.effectiveValues();
                int width = values.stream().mapToInt(value -> (value.key() + value.value()).length()).max().orElse(0) + 3;
                for (OperatorFile.EffectiveValue value : values) {
                    String pair = value.key() + " = " + value.value();
                    out.println(pair + " ".repeat(width + 1 - pair.length()) + "# " + value.origin() + ": " + value.about());
                }
            } else {
                out.println(words.get(1) + ": sound");
            }
            return 0;
        } catch (OperatorFile.InvalidFileException e) {
            e.faults().forEach(problem -> err.println(problem.format(words.get(1))));
            return 2;
        }
    }
}
