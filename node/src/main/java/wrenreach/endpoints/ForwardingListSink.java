package wrenreach.endpoints;

import java.io.IOException;

/** Forwards a list to another sink; subclasses intercept parts of it. */
public class ForwardingListSink implements ListSink {
    private final ListSink target;

    public ForwardingListSink(ListSink target) {
        this.target = target;
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
