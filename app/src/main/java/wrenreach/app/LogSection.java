package wrenreach.app;

import wrenreach.operator.Key;
import wrenreach.operator.Section;

/** The section [log]: the format of the node's log. */
record LogSection(
        @Key(about = "text: a line for people; json: one JSON object a line", byDefault = "text",
                oneOf = {"text", "json"}, live = true) String format) {
    static final Section<LogSection> SECTION = new Section<>("log", LogSection.class);

    boolean json() {
        return format.equals("json");
    }
}
