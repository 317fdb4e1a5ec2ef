package wrenreach.endpoints;

import java.io.IOException;

/** Hands a list on to another sink. */
public class ForwardingListSink implements ListSink {
    private final ListSink target;

    public ForwardingListSink(ListSink to) {
        this.target = to;
    }

    @Override public void begin() {
        target.begin();
    }

    @Override public void entry(ListUpdate.Entry entry) throws IOException {
        target.entry(entry);
    }

    @Override public void end(long index, boolean whole) throws IOException {
        target.end(index, whole);
    }
}
