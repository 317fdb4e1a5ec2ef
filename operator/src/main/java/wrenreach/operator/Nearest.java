package wrenreach.operator;

import java.util.Collection;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** The known name that somebody may have meant. */
final class Nearest {
    /** More letters wrong than this are no slip any more. */
    private static final int SLIPS = 3;

    private Nearest() { }

    /** "; did you mean ...?" or nothing. */
    static String hint(String name, Collection<String> known) {
        String best = null;
        int least = SLIPS + 1;
        for (String candidate : known) {
            int distance = new LevenshteinDistance(SLIPS).apply(name, candidate);
            if (distance >= 0 && distance < least && distance < Math.max(name.length(), candidate.length())) {
                least = distance;
                best = candidate;
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }
}
