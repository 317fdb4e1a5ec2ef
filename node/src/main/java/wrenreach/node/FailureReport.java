package wrenreach.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** What a failure that ends a node tells the one on call, in one line. */
public final class FailureReport {
    private static final int MAX_FRAMES = 4;
    private static final long MB = 1 << 20;

    private FailureReport() { }

    /** The failure in words; endpoints, mails: what the node holds. */
    static String describe(Throwable thrown, int endpoints, int mails) {
        return thrown instanceof OutOfMemoryError
                ? outOfMemory(thrown) + ", " + endpoints + " endpoints are listed and " + mails + " mails held" : describeWithFrames(thrown);
    }

    /** Out of which memory, and how much there is of it. */
    public static String outOfMemory(Throwable thrown) {
        return "out of memory (" + thrown.getMessage() + "): the heap has " + Runtime.getRuntime().maxMemory() / MB + " MB";
    }

    /** What was thrown and from where, the nearest first. */
    public static String describeWithFrames(Throwable thrown) {
        List<String> frames = new ArrayList<>();
        StackTraceElement[] all = thrown.getStackTrace();
        for (int i = 0; i < all.length && i < MAX_FRAMES; i++) {
            frames.add(all[i].getFileName() + ":" + all[i].getLineNumber());
        }
        return thrown + (frames.isEmpty() ? "" : " at " + String.join(" < ", frames));
    }

    static String advice(Throwable thrown) {
        if (thrown instanceof OutOfMemoryError) {
            return "give it more memory (-Xmx in deploy/serve.options) or a shorter list";
        }
        return thrown instanceof IOException ? "see to the disk and start it again" : "a defect, report this line";
    }
}
