package wrenreach.operator;

/** One thing that is wrong with the operator's file; line 0: the file as a whole. */
public record Fault(int line, String key, String what) {
    /** FILE:LINE: key: what is wrong. */
    public String at(Object file) {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + what;
    }
}
