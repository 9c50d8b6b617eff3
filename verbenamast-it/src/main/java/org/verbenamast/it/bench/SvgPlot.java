package org.verbenamast.it.bench;

import java.util.List;
import java.util.Locale;

/**
 * A plot of points and their line over the number of nodes, as SVG.
 *
 * @param title what is plotted, with its unit
 * @param points the measured points
 */
record SvgPlot(String title, List<Point> points) {

    private static final int WIDTH = 420;
    private static final int HEIGHT = 240;
    private static final int MARGIN = 40;
    private static final double HEADROOM = 1.1;

    /** Copies the list. */
    SvgPlot {
        points = List.copyOf(points);
    }

    /**
     * A measured point.
     *
     * @param nodes the number of nodes
     * @param value the value measured
     */
    record Point(double nodes, double value) {}

    static String page(List<SvgPlot> plots) {
        StringBuilder svg = new StringBuilder();
        svg.append("<svg xmlns=\"http://www.w3.org/2000/svg\" font-size=\"11\" width=\"%d\" height=\"%d\">%n"
                .formatted(WIDTH, HEIGHT * plots.size()));
        for (int i = 0; i < plots.size(); i++) {
            svg.append("<g transform=\"translate(0 %d)\">%n".formatted(i * HEIGHT));
            plots.get(i).draw(svg);
            svg.append("</g>%n".formatted());
        }
        return svg.append("</svg>%n".formatted()).toString();
    }

    private void draw(StringBuilder svg) {
        double maxNodes = points.stream().mapToDouble(Point::nodes).max().orElse(1);
        double maxValue = HEADROOM
                * Math.max(1e-9, points.stream().mapToDouble(Point::value).max().orElse(1));
        text(svg, MARGIN, MARGIN / 2, title);
        line(svg, MARGIN, HEIGHT - MARGIN, WIDTH - MARGIN, HEIGHT - MARGIN);
        line(svg, MARGIN, HEIGHT - MARGIN, MARGIN, MARGIN);
        double lastX = -1;
        double lastY = -1;
        for (Point point : points) {
            double x = MARGIN + (WIDTH - 2.0 * MARGIN) * point.nodes() / maxNodes;
            double y = HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * point.value() / maxValue;
            svg.append(format("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\"/>%n", x, y));
            text(svg, x, HEIGHT - MARGIN / 2.0, format("%.0f", point.nodes()));
            text(svg, x, y - MARGIN / 5.0, format("%.2f", point.value()));
            if (lastX >= 0) {
                line(svg, lastX, lastY, x, y);
            }
            lastX = x;
            lastY = y;
        }
    }

    private static void line(StringBuilder svg, double x1, double y1, double x2, double y2) {
        svg.append(
                format("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"black\"/>%n", x1, y1, x2, y2));
    }

    private static void text(StringBuilder svg, double x, double y, String text) {
        svg.append(format("<text x=\"%.1f\" y=\"%.1f\">%s</text>%n", x, y, text));
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
