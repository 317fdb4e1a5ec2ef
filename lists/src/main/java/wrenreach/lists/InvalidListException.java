package wrenreach.lists;

/** Files that can't be taken as a list; the message is FILE:LINE: what is wrong. */
final class InvalidListException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidListException(Object file, int line, String what) {
        super(file + (line > 0 ? ":" + line : "") + ": " + what);
    }
}
