package org.verbenamast.core.hedge;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** How long attempts may take before hedges are sent, by route and service. */
public final class HedgeDelays {

    /** Ratio of the attempts that end without a hedge, where none of them is slowed down. */
    private static final double QUANTILE = 0.95;
    /** Attempts of a route after which its quantile is relied on. */
    private static final int MIN_SAMPLES = 20;
    /** Largest number of routes to keep; with more, all are forgotten. */
    private static final int MAX_ROUTES = 1_024;

    private final HedgeRule rule;
    private final Map<RouteAndService, Latencies> latencies = new HashMap<>();

    private record RouteAndService(String route, String service) {}

    private static final class Latencies {
        private final QuantileEstimate quantile = new QuantileEstimate(QUANTILE);
        private int samples;
    }

    /**
     * Creates delays that no attempt has been recorded for.
     *
     * @param rule decides whether there are hedges
     */
    public HedgeDelays(HedgeRule rule) {
        this.rule = Objects.requireNonNull(rule, "rule");
    }

    /**
     * Returns how long an attempt may take before a hedge is sent.
     *
     * @param route the name of the route
     * @param service the name of the service
     * @param repeatable whether the request may run more than once
     * @param keyed whether the request is for a key
     * @return the delay in nanoseconds, beyond any deadline if no hedge is sent
     */
    public long delayNanos(String route, String service, boolean repeatable, boolean keyed) {
        Latencies known = latencies.get(new RouteAndService(route, service));
        return known == null || known.samples < MIN_SAMPLES
                ? HedgeRule.NEVER.delayNanos(repeatable, keyed, null)
                : rule.delayNanos(repeatable, keyed, known.quantile);
    }

    /**
     * Records how long an attempt took, or for how long at least if it was withdrawn.
     *
     * @param route the name of the route
     * @param service the name of the service
     * @param nanos the time since the attempt was opened, in nanoseconds
     */
    public void record(String route, String service, long nanos) {
        if (rule == HedgeRule.NEVER) {
            return;
        }
        if (latencies.size() >= MAX_ROUTES) {
            latencies.clear();
        }
        Latencies known = latencies.computeIfAbsent(new RouteAndService(route, service), key -> new Latencies());
        known.samples++;
        known.quantile.add(nanos);
    }
}
