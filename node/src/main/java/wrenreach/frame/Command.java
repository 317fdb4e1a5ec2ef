package wrenreach.frame;

import java.io.PrintStream;
import java.util.List;

/** A command that a subsystem adds to the command line: wrenreach NAME WORDS. */
public interface Command {
    /** The command's name: the first word of the command line. */
    String name();

    /** Lines for the help page, one for each form of the command. */
    List<String> usage();

    /** Runs the command; words: those after the name. Returns the exit code: 0 done, 1 a check found an error, 2 wrong usage or file. */
    int run(List<String> words, PrintStream out, PrintStream err);
}
