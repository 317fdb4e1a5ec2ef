package wrenreach.lists;

import java.nio.file.Path;
import wrenreach.operator.Key;
import wrenreach.operator.Section;
import wrenreach.operator.Unit;

/** The section [lists] of the operator's file: endpoints from files that the node watches. Times in microseconds, sizes in bytes. */
record ListsSection(
        @Key(about = "the manifest that names the parts of the list") Path manifest,
        @Key(about = "a folder that lasts, for the list in force and what is said of it") Path kept,
        @Key(about = "all: discovery's endpoints are not used; named: they are for destinations that no file names",
                byDefault = "all", oneOf = {"all", "named"}) String scope,
        @Key(about = "a list that takes away more than this part of a zone's endpoints waits for a confirmation",
                byDefault = "0.5", least = "0", most = "1", live = true) double mostGone,
        @Key(about = "for so long what was taken away counts towards most_gone", byDefault = "10m",
                unit = Unit.DURATION, least = "0s", most = "24h", live = true) long window,
        @Key(about = "for so long an endpoint that is left out may end its calls", byDefault = "10s",
                unit = Unit.DURATION, least = "0s", most = "1h", live = true) long drain,
        @Key(about = "between two looks at the manifest where nothing tells of a change", byDefault = "5s",
                unit = Unit.DURATION, least = "50ms", most = "1h") long look,
        @Key(about = "for so long a list that can't be read is tried again before the log names its fault",
                byDefault = "1s", unit = Unit.DURATION, least = "0s", most = "1m") long patience,
        @Key(about = "all parts of a list together", byDefault = "64MiB", unit = Unit.SIZE, least = "1KiB",
                most = "1GiB") long mostBytes,
        @Key(about = "endpoints of a list", byDefault = "200000", least = "1", most = "1000000") int mostEndpoints,
        @Key(about = "endpoints of one destination", byDefault = "4096", least = "1", most = "65536")
        int mostOfDestination) {
    static final Section<ListsSection> SECTION = new Section<>("lists", ListsSection.class);

    ListFiles.Bounds bounds() {
        return new ListFiles.Bounds(mostBytes, mostEndpoints, mostOfDestination);
    }

    ListGuard.Limits limits() {
        return new ListGuard.Limits(mostGone, window);
    }
}
