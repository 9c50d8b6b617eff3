package org.verbenamast.it.bench;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * A line fitted to measured points by least squares.
 *
 * @param name what is measured, with its unit
 * @param intercept the value at no nodes
 * @param slope the growth with each node
 * @param atFullSize the value that the line gives at the size expected within two years
 */
public record Line(String name, double intercept, double slope, double atFullSize) {

    /** The number of nodes expected within two years. */
    static final int FULL_SIZE = 1_700;

    static Line fit(String name, List<ControlSample> samples, ToDoubleFunction<ControlSample> value) {
        double meanNodes =
                samples.stream().mapToDouble(ControlSample::nodes).average().orElse(0);
        double meanValue = samples.stream().mapToDouble(value).average().orElse(0);
        double above = 0;
        double below = 0;
        for (ControlSample sample : samples) {
            double distance = sample.nodes() - meanNodes;
            above += distance * (value.applyAsDouble(sample) - meanValue);
            below += distance * distance;
        }
        double slope = below == 0 ? 0 : above / below;
        double intercept = meanValue - slope * meanNodes;
        return new Line(name, intercept, slope, intercept + slope * FULL_SIZE);
    }

    void print() {
        System.out.printf(
                "%-32s %.3f + %.4f for each node; at %d nodes %.1f%n", name, intercept, slope, FULL_SIZE, atFullSize);
    }
}
