package wrenreach.endpoints;

import java.io.IOException;

/** Who takes a list as it is read, entry by entry; what it takes holds only once the list has ended. */
public interface ListSink {
    /** A list begins; one that has not ended is given up. */
    void begin();

    /** An entry; IOException: the list can't be taken, and the message says why. */
    void entry(ListUpdate.Entry entry) throws IOException;

    /** All of it has come: its version, and whether it is the whole list or what has changed. */
    void end(long index, boolean whole) throws IOException;
}
