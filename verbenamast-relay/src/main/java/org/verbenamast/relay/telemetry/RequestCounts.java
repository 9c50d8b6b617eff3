package org.verbenamast.relay.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** Counts request ends and store calls, and records the durations of served requests. */
public final class RequestCounts {

    private long errors;

    /** Limit on the series of request ends: it bounds memory, as a manifest may name any number of routes. */
    private static final int MAX_END_SERIES = 2_000;
    /** The route label of requests that end after {@link #MAX_END_SERIES} is reached. */
    private static final String OVERFLOW_ROUTE = "other";

    private final Map<EndSeries, Long> ends = new HashMap<>();
    private final Map<ServedSeries, Durations> durations = new HashMap<>();
    private final Map<StoreCallSeries, Long> storeCalls = new HashMap<>();

    /**
     * The labels that identify a counter of request ends.
     *
     * @param hop the hop at which the requests ended
     * @param route the name of the manifest's route
     * @param outcome how they ended
     * @param reason why they ended so; empty if they were served
     */
    public record EndSeries(Hop hop, String route, String outcome, String reason) {

        /** Checks that no label is missing. */
        public EndSeries {
            Objects.requireNonNull(hop, "hop");
            Objects.requireNonNull(route, "route");
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The labels that identify a histogram of the durations of served requests.
     *
     * @param hop the hop at which the durations are taken
     * @param route the name of the manifest's route
     */
    public record ServedSeries(Hop hop, String route) {

        /** Checks that no label is missing. */
        public ServedSeries {
            Objects.requireNonNull(hop, "hop");
            Objects.requireNonNull(route, "route");
        }
    }

    /**
     * The labels that identify a counter of store calls.
     *
     * @param purpose the part of the node that called
     * @param result how the calls ended
     */
    public record StoreCallSeries(String purpose, String result) {

        /** Checks that no label is missing. */
        public StoreCallSeries {
            Objects.requireNonNull(purpose, "purpose");
            Objects.requireNonNull(result, "result");
        }
    }

    void recordEnd(Hop hop, RequestEnd end) {
        String route = ends.size() < MAX_END_SERIES ? end.route() : OVERFLOW_ROUTE;
        ends.merge(new EndSeries(hop, route, end.outcome(), end.reason()), 1L, Long::sum);
        if (end.served()) {
            durations
                    .computeIfAbsent(new ServedSeries(hop, route), series -> new Durations())
                    .recordDuration(end.elapsedNanos());
        }
    }

    /**
     * Counts a call to the store that has ended.
     *
     * @param purpose the part of the node that called
     * @param result how it ended
     */
    public void recordStoreCall(String purpose, String result) {
        storeCalls.merge(new StoreCallSeries(purpose, result), 1L, Long::sum);
    }

    Map<EndSeries, Long> ends() {
        return ends;
    }

    Map<ServedSeries, Durations> durations() {
        return durations;
    }

    Map<StoreCallSeries, Long> storeCalls() {
        return storeCalls;
    }

    /** Counts a decision or an effect that failed with an unexpected error. */
    public void recordError() {
        errors++;
    }

    /**
     * Returns how many decisions and effects have failed with an unexpected error.
     *
     * @return the number since the start
     */
    public long errors() {
        return errors;
    }
}
