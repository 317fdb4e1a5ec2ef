package wrenreach.operator;

import java.util.Collection;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** The known name that somebody may have meant. */
final class NameSuggestion {
    /** More letters wrong than this are no slip any more. */
    private static final int MAX_EDIT_DISTANCE = 3;

    private NameSuggestion() { }

    /** "; did you mean ...?" or nothing. */
    static String hint(String name, Collection<String> known) {
        String best = null;
        int least = MAX_EDIT_DISTANCE + 1;
        for (String candidate : known) {
            int distance = new LevenshteinDistance(MAX_EDIT_DISTANCE).apply(name, candidate);
            if (distance >= 0 && distance < least && distance < Math.max(name.length(), candidate.length())) {
                least = distance;
                best = candidate;
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }
}
