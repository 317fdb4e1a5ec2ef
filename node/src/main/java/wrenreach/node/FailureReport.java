package wrenreach.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Describes a failure that ends the node, in one line for the staff on call. */
public final class FailureReport {
    /** Maximum number of stack frames in the line. */
    private static final int MAX_FRAMES = 4;
    /** Bytes in what the line calls a MB. */
    private static final long MB = 1 << 20;

    private FailureReport() { }

    /** Describes the failure; endpoints, mails: how many of them the node holds. */
    static String describe(Throwable thrown, int endpoints, int mails) {
        return thrown instanceof OutOfMemoryError
                ? outOfMemory(thrown) + ", " + endpoints + " endpoints are listed and " + mails + " mails held" : describeWithFrames(thrown);
    }

    /** States which memory has run out and how large the heap is. */
    public static String outOfMemory(Throwable thrown) {
        return "out of memory (" + thrown.getMessage() + "): the heap has " + Runtime.getRuntime().maxMemory() / MB + " MB";
    }

    /** States what was thrown and from where, the innermost frame first. */
    public static String describeWithFrames(Throwable thrown) {
        List<String> frames = new ArrayList<>();
        StackTraceElement[] stack = thrown.getStackTrace();
        for (int i = 0; i < stack.length && i < MAX_FRAMES; i++) {
            frames.add(stack[i].getFileName() + ":" + stack[i].getLineNumber());
        }
        return thrown + (frames.isEmpty() ? "" : " at " + String.join(" < ", frames));
    }

    /** States what staff can do about the failure. */
    static String advice(Throwable thrown) {
        if (thrown instanceof OutOfMemoryError) {
            return "give it more memory (-Xmx in deploy/serve.options) or a shorter list";
        }
        return thrown instanceof IOException ? "see to the disk and start it again" : "a defect, report this line";
    }
}
