package org.verbenamast.core.admission;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.node.Timing;

/** Moving averages of the time for which a request occupies a slot of the server, per route and over all routes. */
final class ServiceTimes {

    /** Weight of a new sample, as a ratio; the average covers about the last ten requests. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Service time that is assumed before the first request, in milliseconds. */
    private static final double INITIAL_MILLIS = 100;

    /** Largest number of routes to keep; with more routes, the averages per route are cleared from time to time. */
    private static final int MAX_ROUTES = 1_024;

    private final Map<String, Double> millisByRoute = new HashMap<>();
    private double overallMillis = INITIAL_MILLIS;

    void add(String route, long nanos) {
        double millis = (double) nanos / Timing.NANOS_PER_MILLI;
        overallMillis += SMOOTHING_FACTOR * (millis - overallMillis);
        double previous = millisByRoute.getOrDefault(route, millis);
        if (millisByRoute.size() >= MAX_ROUTES) {
            millisByRoute.clear();
        }
        millisByRoute.put(route, previous + SMOOTHING_FACTOR * (millis - previous));
    }

    double millis() {
        return overallMillis;
    }

    double millis(String route) {
        return millisByRoute.getOrDefault(route, overallMillis);
    }
}
