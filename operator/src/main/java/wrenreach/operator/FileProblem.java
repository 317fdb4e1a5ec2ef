package wrenreach.operator;

/** One thing that is wrong with the operator's file; line 0: the file as a whole. */
public record FileProblem(int line, String key, String problem) {
    /** FILE:LINE: key: what is wrong. */
    public String format(Object file) {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + problem;
    }
}
