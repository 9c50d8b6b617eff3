package org.verbenamast.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.node.Timing;

/** How long requests occupy a slot of the server: smoothed, for each route and over all. */
final class ServiceTimes {

    /** Weight of a new sample, as a ratio; about the last ten requests count. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Time that is assumed before the first request, in milliseconds. */
    private static final double FIRST_MILLIS = 100;

    /** Routes whose times are kept; a manifest with more starts anew now and then. */
    private static final int MOST_ROUTES = 1_024;

    private final Map<String, Double> byRoute = new HashMap<>();
    private double all = FIRST_MILLIS;

    void add(String route, long nanos) {
        double millis = (double) nanos / Timing.NANOS_PER_MILLI;
        all += SAMPLE_WEIGHT * (millis - all);
        double before = byRoute.getOrDefault(route, millis);
        if (byRoute.size() >= MOST_ROUTES) {
            byRoute.clear();
        }
        byRoute.put(route, before + SAMPLE_WEIGHT * (millis - before));
    }

    double millis() {
        return all;
    }

    double millis(String route) {
        return byRoute.getOrDefault(route, all);
    }
}
