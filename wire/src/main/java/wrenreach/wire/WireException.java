package wrenreach.wire;

import java.io.IOException;

/** The input does not follow the wire; the message is one plain line. */
public final class WireException extends IOException {
    private static final long serialVersionUID = 1L;

    public WireException(String message) {
        super(message);
    }
}
