package org.verbenamast.core.request;

/** When a second try is made beside the first. */
public enum HedgeRule {
    /** Never. A baseline. */
    NEVER {
        @Override
        public long delayNanos(CallerRequest request, boolean keyed, QuantileEstimate usual) {
            return BEYOND_ANY_DEADLINE_NANOS;
        }
    },
    /** When an idempotent request of a service that is not keyed lasts longer than most. */
    WHEN_SLOW {
        @Override
        public long delayNanos(CallerRequest request, boolean keyed, QuantileEstimate usual) {
            boolean allowed = request.method().idempotent() && !keyed && usual.nanos() > 0;
            return allowed ? usual.nanos() : BEYOND_ANY_DEADLINE_NANOS;
        }
    };

    private static final long BEYOND_ANY_DEADLINE_NANOS = Long.MAX_VALUE >> 2;

    /**
     * Returns how long a first try may last.
     *
     * @param request the request
     * @param keyed whether its service is keyed
     * @param usual the time within which most requests of the service end
     * @return the time before a second try, in nanoseconds
     */
    public abstract long delayNanos(CallerRequest request, boolean keyed, QuantileEstimate usual);
}
