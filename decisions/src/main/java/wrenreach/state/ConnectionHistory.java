package wrenreach.state;

import java.util.Arrays;

/** The content of the responses that came on one connection. */
public final class ConnectionHistory {
    private static final int[] EMPTY = {};
    private int[] contents = EMPTY;
    private int size;

    /** How many responses came. */
    public int size() {
        return size;
    }

    /** Whether a response of the same content came before. */
    public boolean contains(ResponseFingerprint response) {
        for (int i = 0; i < size; i++) {
            if (contents[i] == response.content()) {
                return true;
            }
        }
        return false;
    }

    public void add(ResponseFingerprint response) {
        if (size == contents.length) {
            contents = Arrays.copyOf(contents, Math.max(4, 2 * size));
        }
        contents[size++] = response.content();
    }
}
