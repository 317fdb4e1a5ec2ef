package wrenreach.lists;

/** Thrown where files don't hold a valid list. The message is "FILE:LINE: what is wrong", without ":LINE" where line is 0. */
final class InvalidListException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidListException(Object file, int line, String what) {
        super(file + (line > 0 ? ":" + line : "") + ": " + what);
    }
}
