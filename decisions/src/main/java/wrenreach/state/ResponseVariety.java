package wrenreach.state;

/** Whether the responses of an endpoint that say that a mail is delivered can be told from each other, by the last two of them. */
public final class ResponseVariety {
    private int lastBody;
    private boolean distinct;

    /** Whether the last two had bodies, and different ones. */
    public boolean distinct() {
        return distinct;
    }

    public void add(ResponseFingerprint response) {
        distinct = lastBody != 0 && response.body() != 0 && response.body() != lastBody;
        lastBody = response.body();
    }
}
