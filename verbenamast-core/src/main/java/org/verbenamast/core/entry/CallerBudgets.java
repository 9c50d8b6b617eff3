package org.verbenamast.core.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells how long callers have tried already, from the time that they still have. Callers of a route begin with the same
 * time budget and send what is left of it with each further attempt, so the longest one seen belongs to first attempts.
 * Answers the load of refused callers that return: their objective counts from their first attempt, and if it were
 * counted anew, they would take the place of callers who can still be answered in time.
 */
public final class CallerBudgets {

    /** Largest number of routes to keep; with more, all are forgotten. */
    private static final int MAX_ROUTES = 1_024;
    /** Number of requests of a route after which its longest budget is taken from more recent ones. */
    private static final int REQUESTS_PER_GENERATION = 1_000;

    private final Map<String, Longest> longestByRoute = new HashMap<>();

    /** The longest budget of a route in the current and the previous generation of its requests, in milliseconds. */
    private static final class Longest {
        private long current;
        private long previous;
        private int requests;

        private long record(long budgetMillis) {
            if (++requests > REQUESTS_PER_GENERATION) {
                previous = current;
                current = 0;
                requests = 1;
            }
            current = Math.max(current, budgetMillis);
            return Math.max(current, previous);
        }
    }

    /**
     * Records an attempt and returns how long its caller has been trying.
     *
     * @param route the name of the route
     * @param budgetMillis the time that the caller still has, in milliseconds
     * @return the time since the caller's first attempt, in milliseconds; 0 for a first attempt, and until one was seen
     */
    public long spentMillis(String route, long budgetMillis) {
        if (longestByRoute.size() >= MAX_ROUTES && !longestByRoute.containsKey(route)) {
            longestByRoute.clear();
        }
        return longestByRoute.computeIfAbsent(route, name -> new Longest()).record(budgetMillis) - budgetMillis;
    }
}
