package wrenreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The part of the capacity page that is computed from measured figures. The same figures give the same text. */
final class CapacityPage {
    /** Marks the beginning of the computed part of the page. */
    private static final String BEGIN = "<!-- figures: written by bench/capacity.sh page -->\n";
    /** Marks the end of the computed part of the page. */
    private static final String END = "<!-- end of figures -->\n";
    /** In seconds. */
    private static final double DAY = 86_400;

    private final SizeFile size;
    private final List<Measurement> all;
    private final StringBuilder out = new StringBuilder();

    private CapacityPage(SizeFile size, List<Measurement> all) {
        this.size = size;
        this.all = all;
    }

    static void write(SizeFile size, List<Measurement> all, Path page) throws IOException {
        String text = Files.readString(page);
        Files.writeString(page, text.substring(0, text.indexOf(BEGIN) + BEGIN.length()) + figures(size, all)
                + text.substring(text.indexOf(END)));
    }

    /** The computed part of the page as it is now. */
    static String onPage(Path page) throws IOException {
        String text = Files.readString(page);
        return text.substring(text.indexOf(BEGIN) + BEGIN.length(), text.indexOf(END));
    }

    static String figures(SizeFile size, List<Measurement> all) {
        CapacityPage page = new CapacityPage(size, all);
        page.slopes();
        page.results();
        page.failures();
        return page.out.toString();
    }

    private void slopes() {
        out.append("\n### Slopes\n\n| build | slope | base + slope x size | spread of the slope | worst point off | points, to size "
                + "| not had |\n| --- | --- | --- | --- | --- | --- | --- |\n");
        for (String slope : all.stream().map(Measurement::slope).distinct().toList()) {
            for (String build : builds()) {
                List<Measurement> points = of(build, slope);
                if (points.isEmpty()) {
                    continue;
                }
                Fit fit = Fit.of(points);
                String missing = String.join("; ", points.stream().filter(m -> Double.isNaN(m.value()))
                        .map(m -> m.size() + ": " + m.note()).toList());
                String unit = points.get(0).unit();
                row(build, slope, fit == null ? "too few points" : text(fit.base()) + " + " + text(fit.slope()) + " x size, " + unit,
                        fit == null ? "" : text(fit.slopeError()), fit == null ? "" : text(100 * fit.worstDeviation()) + "%",
                        fit == null ? "" : fit.points() + ", " + fit.largest(), missing);
            }
        }
    }

    private void results() {
        out.append("\n### Worked out at the size\n\n| role | quantity | worked out | result, by build | limit | held |\n"
                + "| --- | --- | --- | --- | --- | --- |\n");
        double destinations = size.number("destinations");
        double nodes = size.number("nodes");
        double down = destinations * size.number("down_part");
        long count = (long) destinations;
        for (String build : builds()) {
            measured("delivery node", "live heap, list of all destinations told", build, "list.live", count, 1e-6, "MB",
                    size.number("control_bytes") * 1e-6);
            measured("delivery node", "live heap, list of all destinations in the config", build, "config.live", count, 1e-6, "MB",
                    size.number("control_bytes") * 1e-6);
            measured("delivery node", "start to PONG, list in the config", build, "config.start", count, 1, "s", 10);
            measured("delivery node", "start to PONG, list kept from the process before", build, "restart.start", count, 1, "s", 2);
            measured("delivery node", "whole list, from discovery to in force", build, "list.inforce", count, 1, "s",
                    size.number("in_force_seconds"));
            measured("delivery node", "longest wait of a PING while a whole list comes", build, "list.longest", count, 1, "ms", 10);
            measured("delivery node", "change of one endpoint, to in force", build, "change.inforce", count, 1e-3, "s",
                    size.number("in_force_seconds"));
            measured("delivery node", "change of one endpoint, processor time", build, "change.cpu", count, 1, "ms", 1);
            measured("delivery node", "idle, cores", build, "config.idle", count, 1, "cores", 0.005);
        }
        String last = builds().get(builds().size() - 1);
        for (String layout : List.of("one", "two", "down")) {
            String which = switch (layout) {
                case "one" -> "one endpoint each";
                case "two" -> "two endpoints each";
                default -> "one each, " + text(100 * size.number("down_part")) + "% down";
            };
            for (int rate : size.counts("traffic_rates")) {
                measured("delivery node", rate + " events a second, " + which, last, "traffic." + layout + "." + rate, count, 1, "cores",
                        rate <= size.number("events_per_second") / nodes ? 0.5 : 1);
            }
            measured("delivery node", "live heap after them, " + which, last, "traffic." + layout + ".live", count, 1e-6, "MB", 48);
        }
        double lineBytes = value(last, "list.bytes", count);
        double rate = size.number("control_bytes_per_second");
        if (!Double.isNaN(lineBytes)) {
            result("discovery", "a whole list at the bytes that control may take", text(lineBytes * 1e-6) + " MB / " + text(rate)
                    + " bytes a second", last, lineBytes / rate / 3600, "hours", size.number("in_force_seconds") / 3600);
            result("delivery node", "bytes a second for changes", text(size.number("changes_a_day")) + " x " + text(lineBytes
                    / destinations) + " bytes / day", last, size.number("changes_a_day") * lineBytes / destinations / DAY,
                    "bytes a second", rate);
            result("discovery", "changes told to all nodes", text(size.number("changes_a_day")) + " x " + text(nodes) + " / day / "
                    + text(size.number("control_machines")) + " machines", last, size.number("changes_a_day") * nodes / DAY
                    / size.number("control_machines"), "messages a second a machine", 1000);
            result("discovery", "whole lists for restarted nodes, one each", text(size.number("restarts_a_day")) + " x "
                    + text(lineBytes * 1e-6) + " MB", last, size.number("restarts_a_day") * lineBytes * 1e-9, "GB a day",
                    rate * nodes * DAY * 1e-9);
        }
        fitted("discovery", "one change, to in force at the last node of one watch server's", last, "nodes.change", nodes
                / size.number("control_machines"), 1e-3, "s", size.number("in_force_seconds"));
        fitted("discovery", text(size.number("burst")) + " changes at once, to in force at the last node of one watch server's", last,
                "nodes.burst", nodes / size.number("control_machines"), 1e-3, "s", size.number("in_force_seconds"));
        double backlog = size.number("backlog") / nodes;
        fitted("delivery node", "disk for the backlog that lies at one", last, "held.disk", backlog, 1e-9, "GB",
                size.number("disk_mb") * 1e-3);
        fitted("delivery node", "live heap for it", last, "held.live", backlog, 1e-6, "MB", size.number("memory_mb"));
        fitted("delivery node", "start to PONG with it", last, "held.start", backlog, 1, "s", 10);
        double calls = value(last, "down.calls", (long) nodes);
        result("destinations", "calls at all that are down, each node with mails waiting for each", text(calls) + " x " + text(down),
                last, calls * down, "calls a second", 0.01 * size.number("events_per_second"));
        result("destinations", "calls at one that returns cold, in the worst " + FleetSlopes.OVERLOAD_WINDOW_SECONDS + " s, parts of what it bears",
                "measured, " + text(nodes) + " nodes", last, value(last, "back.window", (long) nodes), "", 1);
        result("destinations", "the same at a hundred nodes", "measured, 100 nodes", last, value(last, "back.window", 100), "", 1);
        double perHour = value(last, "down.notes", (long) nodes) / nodes;
        result("operator's tools", "breaker notes of a node, mails waiting for each that is down", text(perHour) + " an hour and "
                + "destination x " + text(down), last, perHour * down, "notes an hour", 3600);
    }

    /** Computed from the planned and the measured figures; none of it is emulated. */
    private void failures() {
        out.append("\n### Failures: worked out, not emulated\n\n| failure | in that minute | cost | until all is as before |\n"
                + "| --- | --- | --- | --- |\n");
        double nodes = size.number("nodes");
        double events = size.number("events_per_second");
        double rack = size.number("rack_nodes");
        double zone = nodes / size.number("zones");
        double region = nodes / size.number("regions");
        String last = builds().get(builds().size() - 1);
        long destinations = (long) size.number("destinations");
        String start = text(value(last, "restart.start", destinations)) + " s with the kept list, and its mails";
        double list = value(last, "list.bytes", destinations);
        row("one node", text(events / nodes) + " events a second go to " + text(nodes - 1) + " others: "
                + text(events / nodes / (nodes - 1)) + " more each", "mails owed by it wait for its folder", start);
        row("a rack, taken as " + text(rack) + " nodes", text(events * rack / nodes) + " a second go to " + text(nodes - rack) + " others: "
                + text(events / (nodes - rack) - events / nodes) + " more each", "where folders are lost, " + text(rack) + " whole lists of "
                + text(list * 1e-6) + " MB", "as above; a whole list at " + text(size.number("control_bytes_per_second"))
                + " bytes a second: " + text(list / size.number("control_bytes_per_second") / 3600) + " hours");
        row("a zone of " + text(size.number("zones")), text(events * zone / nodes) + " a second go to " + text(nodes - zone) + " others: "
                + text(events / (nodes - zone) - events / nodes) + " more each, " + text(events / (nodes - zone)) + " in all",
                "its endpoints are unreached until lists drop them: a connect time-out a call", "discovery's time, then "
                + text(size.number("in_force_seconds")) + " s");
        row("a region's link, minutes", "each side goes on by its list; one with all traffic has " + text(events / (nodes - region))
                + " a second a node", "drains told on the other side are not heard: nothing here bounds the harm", "**missing**: regions apart");
    }

    private void measured(String role, String what, String build, String slope, long at, double factor, String unit, double limit) {
        List<Measurement> points = of(build, slope);
        Measurement there = points.stream().filter(m -> m.size() == at).findFirst().orElse(null);
        if (there != null && !Double.isNaN(there.value())) {
            result(role, what, "measured there (" + slope + ")", build, there.value() * factor, unit, limit);
        } else if (there != null) {
            row(role, what, "measured there (" + slope + ")", build + ": none, " + there.note(), text(limit) + " " + unit, "**no**");
        } else {
            // A size that was not measured is extrapolated, and the row says how far.
            fitted(role, what, build, slope, at, factor, unit, limit);
        }
    }

    private void fitted(String role, String what, String build, String slope, double at, double factor, String unit, double limit) {
        Fit fit = Fit.of(of(build, slope));
        if (fit != null) {
            result(role, what, slope + " at " + text(at) + ", " + text(at / fit.largest()) + " times the largest measured", build,
                    fit.at(at) * factor, unit, limit);
        }
    }

    private void result(String role, String what, String how, String build, double value, String unit, double limit) {
        row(role, what, how, build + ": " + text(value) + " " + unit, text(limit) + " " + unit, value <= limit ? "yes" : "**no**");
    }

    private void row(String... cells) {
        out.append("| ").append(String.join(" | ", cells)).append(" |\n");
    }

    private List<String> builds() {
        return new ArrayList<>(all.stream().map(Measurement::build).distinct().toList());
    }

    private List<Measurement> of(String build, String slope) {
        return all.stream().filter(m -> m.build().equals(build) && m.slope().equals(slope)).toList();
    }

    private double value(String build, String slope, long at) {
        return of(build, slope).stream().filter(m -> m.size() == at).mapToDouble(Measurement::value).findFirst().orElse(Double.NaN);
    }

    /** The value with 3 significant digits. */
    private static String text(double value) {
        if (Double.isNaN(value)) {
            return "none";
        }
        if (value == 0) {
            return "0";
        }
        double exponent = Math.floor(Math.log10(Math.abs(value)));
        int decimals = (int) Math.max(0, 2 - exponent);
        return decimals > 9 ? String.format(Locale.ROOT, "%.2e", value) : String.format(Locale.ROOT, "%,." + decimals + "f", value);
    }
}
