package org.verbenamast.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.node.Timing;

/** How long requests occupy a slot of the server: smoothed, for each priority and over all. */
final class ServiceTimes {

    /** Weight of a new sample, as a ratio; about the last ten requests count. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Time that is assumed before the first request, in milliseconds. */
    private static final double FIRST_MILLIS = 100;

    private final Map<Integer, Double> byPriority = new HashMap<>();
    private double all = FIRST_MILLIS;

    void add(int priority, long nanos) {
        double millis = (double) nanos / Timing.NANOS_PER_MILLI;
        all += SAMPLE_WEIGHT * (millis - all);
        double before = byPriority.getOrDefault(priority, millis);
        byPriority.put(priority, before + SAMPLE_WEIGHT * (millis - before));
    }

    double millis() {
        return all;
    }

    double millis(int priority) {
        return byPriority.getOrDefault(priority, all);
    }
}
