package wrenreach.lab;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.text.DecimalFormat;
import java.text.FieldPosition;
import java.text.NumberFormat;
import java.text.ParsePosition;
import java.util.Base64;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.HistogramIterationValue;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.category.BarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.chart.renderer.xy.XYItemRenderer;
import org.jfree.chart.renderer.xy.XYStepRenderer;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** One page that holds all of a run, its plots included; or two runs side by side. */
final class Report {
    private static final int WIDTH = 640, HEIGHT = 340;
    private static final Color[] COLOURS = {new Color(0x1b6ca8), new Color(0xc0392b), new Color(0xe0a30b), new Color(0x5b7f2b),
        new Color(0x7a4ea3), new Color(0x555555)};
    private static final String STYLE = """
            body{font:15px/1.5 sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin:1em 0}
            td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}
            .beside{display:flex;gap:2em;align-items:flex-start;flex-wrap:wrap}img{max-width:100%;border:1px solid #ddd;margin:.3em 0}
            .bad{color:#b00;font-weight:bold}
            """;

    Report() {
        System.setProperty("java.awt.headless", "true");
    }

    /** The page of one run. */
    String page(RunFiles.Run run) {
        return head(run.about()) + "<h1>" + escaped(run.about()) + "</h1>" + part(run) + "</body></html>\n";
    }

    /** The page of two runs: what differs first, then each with its plots. */
    String page(String leftName, RunFiles.Run left, String rightName, RunFiles.Run right) {
        StringBuilder page = new StringBuilder(head("Two runs"));
        page.append("<h1>").append(escaped(leftName)).append(" and ").append(escaped(rightName)).append("</h1>");
        page.append("<h2>What differs</h2><table><tr><th>").append(escaped(left.figure()))
                .append("</th><th>dispatcher</th><th>importance</th><th>in time</th><th>p99 ms</th><th>calls a mail</th><th>breaks</th></tr>");
        left.figures().forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, a) -> {
            Figures b = right.figures().getOrDefault(value, Map.of()).get(dispatcher);
            if (b != null) {
                page.append(String.format(Locale.ROOT, "<tr><td>%d</td><td>%s</td>%s%s%s%s%s</tr>", value, escaped(dispatcher),
                        pair("%.1f%%", 100 * a.importanceShare(), 100 * b.importanceShare()),
                        pair("%.1f%%", 100 * a.inTimeShare(), 100 * b.inTimeShare()), pair("%.1f", a.delayMs(99), b.delayMs(99)),
                        pair("%.2f", a.triesAMail(), b.triesAMail()), pair("%.0f", a.broken(), b.broken())));
            }
        }));
        page.append("</table><div class=\"beside\">");
        for (int i = 0; i < 2; i++) {
            page.append("<div><h2>").append(escaped(i == 0 ? leftName : rightName)).append("</h2>").append(part(i == 0 ? left : right))
                    .append("</div>");
        }
        return page.append("</div></body></html>\n").toString();
    }

    private static String pair(String form, double a, double b) {
        return String.format(Locale.ROOT, "<td>" + form + " &rarr; " + form + "</td>", a, b);
    }

    private static String head(String title) {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(title) + "</title><style>" + STYLE
                + "</style></head><body>";
    }

    static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    private String part(RunFiles.Run run) {
        StringBuilder part = new StringBuilder("<p>How it was played: " + escaped(run.how()) + ". Delays run from the instant at which a mail's writer had "
                + "it ready to its delivery. Importance: what of the importance handed in was still worth at delivery.</p>");
        part.append("<table><tr><th>").append(escaped(run.figure())).append("</th><th>dispatcher</th><th>mails</th><th>delivered</th>"
                + "<th>in time</th><th>importance</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>calls a mail</th>"
                + "<th>rule breaks</th></tr>");
        run.figures().forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, f) -> part.append(String.format(Locale.ROOT,
                "<tr><td>%d</td><td>%s</td><td>%d</td><td>%.1f%%</td><td>%.1f%%</td><td>%.1f%%</td><td>%.1f</td><td>%.1f</td>"
                + "<td>%.1f</td><td>%.2f</td><td%s>%d</td></tr>", value, escaped(dispatcher), f.mails(), 100 * f.deliveredShare(),
                100 * f.inTimeShare(), 100 * f.importanceShare(), f.delayMs(50), f.delayMs(99), f.delayMs(99.9), f.triesAMail(),
                f.broken() > 0 ? " class=\"bad\"" : "", f.broken()))));
        part.append("</table>");
        part.append(image(bars(run, "Delivered importance", "of what was handed in, %", f -> 100 * f.importanceShare())));
        part.append(image(bars(run, "Calls a mail", "calls that came to receivers", Figures::triesAMail)));
        run.figures().forEach((value, byDispatcher) -> {
            part.append(image(delays(run.figure() + " " + value, byDispatcher)));
            part.append(image(breakers(run.figure() + " " + value, byDispatcher)));
        });
        return part.toString();
    }

    private interface Reads {
        double of(Figures figures);
    }

    private static JFreeChart bars(RunFiles.Run run, String title, String axis, Reads reads) {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        run.figures().forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, figures) ->
                data.addValue(reads.of(figures), dispatcher, value)));
        JFreeChart chart = ChartFactory.createBarChart(title, run.figure(), axis, data, PlotOrientation.VERTICAL, true, false, false);
        BarRenderer renderer = (BarRenderer) chart.getCategoryPlot().getRenderer();
        renderer.setBarPainter(new StandardBarPainter());
        renderer.setShadowVisible(false);
        for (int i = 0; i < data.getRowCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
        }
        chart.getCategoryPlot().setBackgroundPaint(Color.WHITE);
        chart.getCategoryPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
        return chart;
    }

    /** Each nine as far from the next as the one before, so that the tail can be read. */
    private static JFreeChart delays(String point, Map<String, Figures> byDispatcher) {
        XYSeriesCollection data = new XYSeriesCollection();
        byDispatcher.forEach((dispatcher, figures) -> {
            XYSeries series = new XYSeries(dispatcher);
            for (HistogramIterationValue v : figures.delays().percentiles(5)) {
                double missing = 1 - v.getPercentileLevelIteratedTo() / 100;
                if (missing > 0) {
                    series.add(-Math.log10(missing), Math.max(0.1, v.getValueIteratedTo() / 1000.0));
                }
            }
            data.addSeries(series);
        });
        JFreeChart chart = ChartFactory.createXYLineChart("Delays, " + point, "of the mails delivered", "ms", data);
        XYPlot plot = chart.getXYPlot();
        NumberAxis nines = (NumberAxis) plot.getDomainAxis();
        nines.setNumberFormatOverride(new Nines());
        nines.setStandardTickUnits(NumberAxis.createIntegerTickUnits());
        plot.setRangeAxis(new LogAxis("ms"));
        ((LogAxis) plot.getRangeAxis()).setNumberFormatOverride(new DecimalFormat("0.##"));
        paint(plot, plot.getRenderer());
        return chart;
    }

    /** Writes the number of nines as a percentage. */
    private static final class Nines extends NumberFormat {
        private static final long serialVersionUID = 1;

        @Override public StringBuffer format(double nines, StringBuffer to, FieldPosition at) {
            return to.append(new DecimalFormat("0.####").format(100 * (1 - Math.pow(10, -nines)))).append('%');
        }

        @Override public StringBuffer format(long nines, StringBuffer to, FieldPosition at) {
            return format((double) nines, to, at);
        }

        @Override public Number parse(String text, ParsePosition at) {
            throw new UnsupportedOperationException("it only writes");
        }
    }

    private static JFreeChart breakers(String point, Map<String, Figures> byDispatcher) {
        XYSeriesCollection data = new XYSeriesCollection();
        byDispatcher.forEach((dispatcher, figures) -> {
            XYSeries open = new XYSeries(dispatcher + ": open", false, true);
            XYSeries halfOpen = new XYSeries(dispatcher + ": half-open", false, true);
            open.add(0, 0);
            halfOpen.add(0, 0);
            for (Figures.Point p : figures.breakers()) {
                open.add((p.at() - World.BEGIN) / 1e9, p.open());
                halfOpen.add((p.at() - World.BEGIN) / 1e9, p.halfOpen());
            }
            if (!figures.breakers().isEmpty()) {
                data.addSeries(open);
                data.addSeries(halfOpen);
            }
        });
        JFreeChart chart = ChartFactory.createXYLineChart("Breakers not closed, all nodes, first seed, " + point, "s", "breakers", data);
        XYStepRenderer steps = new XYStepRenderer();
        chart.getXYPlot().setRenderer(steps);
        paint(chart.getXYPlot(), steps);
        return chart;
    }

    private static void paint(XYPlot plot, XYItemRenderer renderer) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        for (int i = 0; i < plot.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
            renderer.setSeriesStroke(i, new BasicStroke(1.8f));
        }
    }

    private static String image(JFreeChart chart) {
        try {
            byte[] png = ChartUtils.encodeAsPNG(chart.createBufferedImage(WIDTH, HEIGHT));
            return "<p><img alt=\"" + escaped(chart.getTitle().getText()) + "\" width=\"" + WIDTH + "\" src=\"data:image/png;base64,"
                    + Base64.getEncoder().encodeToString(png) + "\"></p>";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
