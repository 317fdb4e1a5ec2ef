package wrenreach.lists;

import java.util.LinkedHashMap;
import java.util.Map;
import wrenreach.endpoints.ListUpdate;

/** Short notation of lists for tests: one word per endpoint, destination/name@zone, followed by ! if it is draining. */
final class Lists {
    private Lists() { }

    static ListUpdate.Entry entry(String word) {
        boolean drains = word.endsWith("!");
        String[] parts = word.replace("!", "").split("[/@]");
        int destination = Integer.parseInt(parts[0]);
        return new ListUpdate.Entry(Generation.idOf(destination, parts[1]), "127.0.0.1:9", parts[2], "small", destination,
                drains ? Generation.DRAINING : Generation.SERVING, 1);
    }

    static Generation list(String words) {
        Map<String, ListUpdate.Entry> entries = new LinkedHashMap<>();
        for (String word : words.isEmpty() ? new String[0] : words.split(" ")) {
            entries.put(entry(word).name(), entry(word));
        }
        return new Generation(Integer.toHexString(words.hashCode()), words, entries);
    }
}
