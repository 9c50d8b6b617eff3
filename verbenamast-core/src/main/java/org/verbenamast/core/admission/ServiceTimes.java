package org.verbenamast.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.node.Timing;

/** How long requests occupy a slot of the server: smoothed, for each route and over all. */
final class ServiceTimes {

    /** Weight of a new sample, as a ratio; about the last ten requests count. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Time that is assumed before the first request, in milliseconds. */
    private static final double INITIAL_MILLIS = 100;

    /** Routes whose times are kept; a manifest with more starts anew now and then. */
    private static final int MAX_ROUTES = 1_024;

    private final Map<String, Double> millisByRoute = new HashMap<>();
    private double overallMillis = INITIAL_MILLIS;

    void add(String route, long nanos) {
        double millis = (double) nanos / Timing.NANOS_PER_MILLI;
        overallMillis += SMOOTHING_FACTOR * (millis - overallMillis);
        double before = millisByRoute.getOrDefault(route, millis);
        if (millisByRoute.size() >= MAX_ROUTES) {
            millisByRoute.clear();
        }
        millisByRoute.put(route, before + SMOOTHING_FACTOR * (millis - before));
    }

    double millis() {
        return overallMillis;
    }

    double millis(String route) {
        return millisByRoute.getOrDefault(route, overallMillis);
    }
}
