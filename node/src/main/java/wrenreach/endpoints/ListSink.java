package wrenreach.endpoints;

import java.io.IOException;

/** Receives a list entry by entry while it is read; the entries take effect only once the list has ended. */
public interface ListSink {
    /** A list begins; a previous one that has not ended is abandoned. */
    void begin();

    /** An entry of the list. Throws IOException if the list can't be accepted; the message says why. */
    void entry(ListUpdate.Entry entry) throws IOException;

    /** The list is complete: its version, and whether it is a snapshot of the whole list or a delta. */
    void end(long index, boolean whole) throws IOException;
}
