package wrenreach.operator;

/** One problem of the operator's file; line 0 stands for the file as a whole. */
public record FileProblem(int line, String key, String problem) {
    /** Formats as FILE:LINE: key: problem. */
    public String format(Object file) {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + problem;
    }
}
