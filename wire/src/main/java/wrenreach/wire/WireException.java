package wrenreach.wire;

import java.io.IOException;

/** The input does not follow the protocol; the message is one line of text. */
public final class WireException extends IOException {
    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
