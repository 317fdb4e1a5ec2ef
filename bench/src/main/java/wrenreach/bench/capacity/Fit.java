package wrenreach.bench.capacity;

import java.util.List;

/**
 * A straight line through 3 or more measured points, by least squares: value = base + slope * size.
 *
 * @param slopeError standard error of the slope
 * @param worstDeviation the largest distance of a point from the line, as a part of the point's value
 * @param points how many points were fitted
 * @param largest size of the largest measured point
 */
record Fit(double base, double slope, double slopeError, double worstDeviation, int points, long largest) {
    /** The fitted line; null: there are fewer than 3 points with a value. */
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
            double deviation = m.value() - base - slope * m.size();
            squares += deviation * deviation;
            worst = Math.max(worst, Math.abs(deviation) / Math.max(1e-9, Math.abs(m.value())));
        }
        return new Fit(base, slope, Math.sqrt(squares / (n - 2) / xx), worst, n,
                points.stream().mapToLong(Measurement::size).max().orElseThrow());
    }

    /** The value of the line at this size. */
    double at(double size) {
        return base + slope * size;
    }
}
