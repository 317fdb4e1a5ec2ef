package wrenreach.endpoints;

import java.io.IOException;

/** Hands a list on to another sink. */
public class Passing implements ListSink {
    private final ListSink to;

    public Passing(ListSink to) {
        this.to = to;
    }

    @Override public void begin() {
        to.begin();
    }

    @Override public void entry(ListLine.Entry entry) throws IOException {
        to.entry(entry);
    }

    @Override public void end(long index, boolean whole) throws IOException {
        to.end(index, whole);
    }
}
