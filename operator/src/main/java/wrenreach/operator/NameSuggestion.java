package wrenreach.operator;

import java.util.Collection;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests the known name that a misspelt one may stand for. */
final class NameSuggestion {
    /** Largest edit distance that still counts as a misspelling. */
    private static final int MAX_EDIT_DISTANCE = 3;

    private NameSuggestion() { }

    /** Returns "; did you mean ...?", or an empty text where no known name is close. */
    static String hint(String name, Collection<String> known) {
        String best = null;
        int bestDistance = MAX_EDIT_DISTANCE + 1;
        for (String candidate : known) {
            int distance = new LevenshteinDistance(MAX_EDIT_DISTANCE).apply(name, candidate);
            if (distance >= 0 && distance < bestDistance && distance < Math.max(name.length(), candidate.length())) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }
}
