package wrenreach.frame;

import java.io.PrintStream;
import java.util.List;

/** A command of a subsystem's: wrenreach NAME WORDS. */
public interface Command {
    /** The first word. */
    String name();

    /** Lines for the help page, one a form. */
    List<String> usage();

    /** Runs it; the exit code: 0 done, 1 found wrong, 2 usage or file. */
    int run(List<String> words, PrintStream out, PrintStream err);
}
