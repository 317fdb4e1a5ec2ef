package wrenreach.bench.capacity;

import java.util.List;

/**
 * A straight line through measured points, by least squares: value = base + slope * size. spread: the standard error of the
 * slope; worst: the largest distance of a point from the line, as a part of its value. Three points or more.
 */
record Fit(double base, double slope, double slopeError, double worstDeviation, int points, long largest) {
    static Fit of(List<Measurement> all) {
        List<Measurement> points = all.stream().filter(m -> !Double.isNaN(m.value())).toList();
        int n = points.size();
        if (n < 3) {
            return null;
        }
        double meanX = points.stream().mapToDouble(Measurement::size).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Measurement::value).average().orElseThrow();
        double xx = 0, xy = 0;
        for (Measurement m : points) {
            xx += (m.size() - meanX) * (m.size() - meanX);
            xy += (m.size() - meanX) * (m.value() - meanY);
        }
        double slope = xy / xx;
        double base = meanY - slope * meanX;
        double squares = 0, worst = 0;
        for (Measurement m : points) {
            double off = m.value() - base - slope * m.size();
            squares += off * off;
            worst = Math.max(worst, Math.abs(off) / Math.max(1e-9, Math.abs(m.value())));
        }
        return new Fit(base, slope, Math.sqrt(squares / (n - 2) / xx), worst, n,
                points.stream().mapToLong(Measurement::size).max().orElseThrow());
    }

    double at(double size) {
        return base + slope * size;
    }
}
