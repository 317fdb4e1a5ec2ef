package wrenreach.app;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import wrenreach.frame.Command;
import wrenreach.operator.OperatorFile;

/** wrenreach config check|show: what is wrong with an operator's file, and what is in force by it. */
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
                List<OperatorFile.EffectiveValue> shown = file.effectiveValues();
                int width = shown.stream().mapToInt(one -> (one.key() + one.value()).length()).max().orElse(0) + 3;
                for (OperatorFile.EffectiveValue one : shown) {
                    String pair = one.key() + " = " + one.value();
                    out.println(pair + " ".repeat(width + 1 - pair.length()) + "# " + one.origin() + ": " + one.about());
                }
            } else {
                out.println(words.get(1) + ": sound");
            }
            return 0;
        } catch (OperatorFile.InvalidFileException e) {
            e.faults().forEach(fault -> err.println(fault.format(words.get(1))));
            return 2;
        }
    }
}
