package org.verbenamast.core.request;

/** Decides when a hedge is sent: a second attempt beside one that is still open. */
public enum HedgeRule {
    /** Never sends a hedge. Serves as a baseline in comparisons. */
    NEVER {
        @Override
        public long delayNanos(CallerRequest request, boolean keyed, QuantileEstimate latencyQuantile) {
            return BEYOND_ANY_DEADLINE_NANOS;
        }
    },
    /** Sends a hedge when an idempotent request of a service that is not keyed takes longer than most requests do. */
    WHEN_SLOW {
        @Override
        public long delayNanos(CallerRequest request, boolean keyed, QuantileEstimate latencyQuantile) {
            boolean allowed = request.method().idempotent() && !keyed && latencyQuantile.nanos() > 0;
            return allowed ? latencyQuantile.nanos() : BEYOND_ANY_DEADLINE_NANOS;
        }
    };

    private static final long BEYOND_ANY_DEADLINE_NANOS = Long.MAX_VALUE >> 2;

    /**
     * Returns how long the open attempt may take before a hedge is sent.
     *
     * @param request the request
     * @param keyed whether its service is keyed
     * @param latencyQuantile the latency within which most requests of the service end
     * @return the delay in nanoseconds, beyond any deadline if no hedge is sent
     */
    public abstract long delayNanos(CallerRequest request, boolean keyed, QuantileEstimate latencyQuantile);
}
