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

/** The HTML report: a self-contained page of one run with its charts, or of two runs side by side. */
final class Report {
    /** The width of a chart in pixels. */
    private static final int CHART_WIDTH = 640;
    /** The height of a chart in pixels. */
    private static final int CHART_HEIGHT = 340;
    /** The colours of the dispatchers in the charts, used again from the first if there are more dispatchers. */
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
        return documentHead(run.about()) + "<h1>" + escapeHtml(run.about()) + "</h1>" + runSection(run) + "</body></html>\n";
    }

    /** The page of two runs: first a table of the differences, then each run with its charts. */
    String page(String leftName, RunFiles.Run left, String rightName, RunFiles.Run right) {
        StringBuilder page = new StringBuilder(documentHead("Two runs"));
        page.append("<h1>").append(escapeHtml(leftName)).append(" and ").append(escapeHtml(rightName)).append("</h1>");
        page.append("<h2>What differs</h2><table><tr><th>").append(escapeHtml(left.sweptFigure()))
                .append("</th><th>dispatcher</th><th>importance</th><th>in time</th><th>p99 ms</th><th>calls a mail</th><th>breaks</th></tr>");
        left.metrics().forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, a) -> {
            DeliveryMetrics b = right.metrics().getOrDefault(value, Map.of()).get(dispatcher);
            if (b != null) {
                page.append(String.format(Locale.ROOT, "<tr><td>%d</td><td>%s</td>%s%s%s%s%s</tr>", value, escapeHtml(dispatcher),
                        changeCell("%.1f%%", 100 * a.importanceShare(), 100 * b.importanceShare()),
                        changeCell("%.1f%%", 100 * a.inTimeShare(), 100 * b.inTimeShare()), changeCell("%.1f", a.delayPercentileMs(99), b.delayPercentileMs(99)),
                        changeCell("%.2f", a.callsPerMail(), b.callsPerMail()), changeCell("%.0f", a.violations(), b.violations())));
            }
        }));
        page.append("</table><div class=\"beside\">");
        for (int i = 0; i < 2; i++) {
            page.append("<div><h2>").append(escapeHtml(i == 0 ? leftName : rightName)).append("</h2>").append(runSection(i == 0 ? left : right))
                    .append("</div>");
        }
        return page.append("</div></body></html>\n").toString();
    }

    /** A table cell with a value of the left and of the right run. */
    private static String changeCell(String form, double a, double b) {
        return String.format(Locale.ROOT, "<td>" + form + " &rarr; " + form + "</td>", a, b);
    }

    private static String documentHead(String title) {
        return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escapeHtml(title) + "</title><style>" + STYLE
                + "</style></head><body>";
    }

    static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    private String runSection(RunFiles.Run run) {
        StringBuilder part = new StringBuilder("<p>How it was played: " + escapeHtml(run.mode()) + ". Delays run from the instant at which a mail's writer had "
                + "it ready to its delivery. Importance: what of the importance handed in was still worth at delivery.</p>");
        part.append("<table><tr><th>").append(escapeHtml(run.sweptFigure())).append("</th><th>dispatcher</th><th>mails</th><th>delivered</th>"
                + "<th>in time</th><th>importance</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>calls a mail</th>"
                + "<th>rule breaks</th></tr>");
        run.metrics().forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, metrics) -> part.append(String.format(Locale.ROOT,
                "<tr><td>%d</td><td>%s</td><td>%d</td><td>%.1f%%</td><td>%.1f%%</td><td>%.1f%%</td><td>%.1f</td><td>%.1f</td>"
                + "<td>%.1f</td><td>%.2f</td><td%s>%d</td></tr>", value, escapeHtml(dispatcher), metrics.mails(), 100 * metrics.deliveredShare(),
                100 * metrics.inTimeShare(), 100 * metrics.importanceShare(), metrics.delayPercentileMs(50), metrics.delayPercentileMs(99),
                metrics.delayPercentileMs(99.9), metrics.callsPerMail(), metrics.violations() > 0 ? " class=\"bad\"" : "", metrics.violations()))));
        part.append("</table>");
        part.append(imageTag(barChart(run, "Delivered importance", "of what was handed in, %", metrics -> 100 * metrics.importanceShare())));
        part.append(imageTag(barChart(run, "Calls a mail", "calls that came to receivers", DeliveryMetrics::callsPerMail)));
        run.metrics().forEach((value, byDispatcher) -> {
            part.append(imageTag(delayChart(run.sweptFigure() + " " + value, byDispatcher)));
            part.append(imageTag(breakerChart(run.sweptFigure() + " " + value, byDispatcher)));
        });
        return part.toString();
    }

    /** Takes the value of a chart from the metrics. */
    private interface MetricReader {
        double read(DeliveryMetrics figures);
    }

    private static JFreeChart barChart(RunFiles.Run run, String title, String axis, MetricReader reader) {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        run.metrics().forEach((value, byDispatcher) -> byDispatcher.forEach((dispatcher, figures) ->
                data.addValue(reader.read(figures), dispatcher, value)));
        JFreeChart chart = ChartFactory.createBarChart(title, run.sweptFigure(), axis, data, PlotOrientation.VERTICAL, true, false, false);
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

    /** A chart of percentiles with equal distances between 90 %, 99 %, 99.9 % and so on, so that the tail can be read. */
    private static JFreeChart delayChart(String point, Map<String, DeliveryMetrics> byDispatcher) {
        XYSeriesCollection data = new XYSeriesCollection();
        byDispatcher.forEach((dispatcher, figures) -> {
            XYSeries series = new XYSeries(dispatcher);
            for (HistogramIterationValue step : figures.delays().percentiles(5)) {
                double missing = 1 - step.getPercentileLevelIteratedTo() / 100;
                if (missing > 0) {
                    series.add(-Math.log10(missing), Math.max(0.1, step.getValueIteratedTo() / 1000.0));
                }
            }
            data.addSeries(series);
        });
        JFreeChart chart = ChartFactory.createXYLineChart("Delays, " + point, "of the mails delivered", "ms", data);
        XYPlot plot = chart.getXYPlot();
        NumberAxis nines = (NumberAxis) plot.getDomainAxis();
        nines.setNumberFormatOverride(new NinesFormat());
        nines.setStandardTickUnits(NumberAxis.createIntegerTickUnits());
        plot.setRangeAxis(new LogAxis("ms"));
        ((LogAxis) plot.getRangeAxis()).setNumberFormatOverride(new DecimalFormat("0.##"));
        applyColours(plot, plot.getRenderer());
        return chart;
    }

    /** Formats a number of nines as a percentage: 2 as 99 %. */
    private static final class NinesFormat extends NumberFormat {
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

    private static JFreeChart breakerChart(String point, Map<String, DeliveryMetrics> byDispatcher) {
        XYSeriesCollection data = new XYSeriesCollection();
        byDispatcher.forEach((dispatcher, figures) -> {
            XYSeries open = new XYSeries(dispatcher + ": open", false, true);
            XYSeries halfOpen = new XYSeries(dispatcher + ": half-open", false, true);
            open.add(0, 0);
            halfOpen.add(0, 0);
            for (DeliveryMetrics.BreakerCounts counts : figures.breakerHistory()) {
                open.add((counts.at() - World.START_NS) / 1e9, counts.open());
                halfOpen.add((counts.at() - World.START_NS) / 1e9, counts.halfOpen());
            }
            if (!figures.breakerHistory().isEmpty()) {
                data.addSeries(open);
                data.addSeries(halfOpen);
            }
        });
        JFreeChart chart = ChartFactory.createXYLineChart("Breakers not closed, all nodes, first seed, " + point, "s", "breakers", data);
        XYStepRenderer steps = new XYStepRenderer();
        chart.getXYPlot().setRenderer(steps);
        applyColours(chart.getXYPlot(), steps);
        return chart;
    }

    private static void applyColours(XYPlot plot, XYItemRenderer renderer) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        for (int i = 0; i < plot.getSeriesCount(); i++) {
            renderer.setSeriesPaint(i, COLOURS[i % COLOURS.length]);
            renderer.setSeriesStroke(i, new BasicStroke(1.8f));
        }
    }

    private static String imageTag(JFreeChart chart) {
        try {
            byte[] png = ChartUtils.encodeAsPNG(chart.createBufferedImage(CHART_WIDTH, CHART_HEIGHT));
            return "<p><img alt=\"" + escapeHtml(chart.getTitle().getText()) + "\" width=\"" + CHART_WIDTH + "\" src=\"data:image/png;base64,"
                    + Base64.getEncoder().encodeToString(png) + "\"></p>";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
