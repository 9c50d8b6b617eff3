package org.verbenamast.core.hedge;

/** Decides when a hedge is sent: a second attempt beside one that is still open. */
public enum HedgeRule {
    /** Never sends a hedge. */
    NEVER {
        @Override
        public long delayNanos(boolean repeatable, boolean keyed, QuantileEstimate latencyQuantile) {
            return BEYOND_ANY_DEADLINE_NANOS;
        }
    },
    /** Sends a hedge when an idempotent request of a service that is not keyed takes longer than most requests do. */
    WHEN_SLOW {
        @Override
        public long delayNanos(boolean repeatable, boolean keyed, QuantileEstimate latencyQuantile) {
            boolean allowed = repeatable && !keyed && latencyQuantile.nanos() > 0;
            return allowed ? latencyQuantile.nanos() : BEYOND_ANY_DEADLINE_NANOS;
        }
    };

    private static final long BEYOND_ANY_DEADLINE_NANOS = Long.MAX_VALUE >> 2;

    /**
     * Returns how long the open attempt may take before a hedge is sent.
     *
     * @param repeatable whether the request may run more than once
     * @param keyed whether the request is for a key, which one server alone owns
     * @param latencyQuantile the latency within which most requests of the kind end
     * @return the delay in nanoseconds, beyond any deadline if no hedge is sent
     */
    public abstract long delayNanos(boolean repeatable, boolean keyed, QuantileEstimate latencyQuantile);
}
