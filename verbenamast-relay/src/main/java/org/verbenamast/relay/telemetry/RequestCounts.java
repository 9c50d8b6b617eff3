package org.verbenamast.relay.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** How many requests ended in which way, and how long those took that were served. */
public final class RequestCounts {

    /** Different ends that are counted apart; a manifest may name any number of routes, and memory is bounded. */
    private static final int MAX_END_SERIES = 2_000;
    /** The route under which the ends beyond {@link #MAX_END_SERIES} are counted. */
    private static final String OVERFLOW_ROUTE = "other";

    private final Map<EndSeries, Long> ends = new HashMap<>();
    private final Map<ServedSeries, Durations> durations = new HashMap<>();
    private final Map<StoreCallSeries, Long> storeCalls = new HashMap<>();

    /**
     * The requests that ended alike.
     *
     * @param hop where
     * @param route the name of the manifest's route
     * @param outcome what was decided
     * @param reason why
     */
    public record EndSeries(Hop hop, String route, String outcome, String reason) {

        /** Checks the fields. */
        public EndSeries {
            Objects.requireNonNull(hop, "hop");
            Objects.requireNonNull(route, "route");
            Objects.requireNonNull(outcome, "outcome");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The requests of a route that were served.
     *
     * @param hop where
     * @param route the name of the manifest's route
     */
    public record ServedSeries(Hop hop, String route) {

        /** Checks the fields. */
        public ServedSeries {
            Objects.requireNonNull(hop, "hop");
            Objects.requireNonNull(route, "route");
        }
    }

    /**
     * The calls to the store that ended alike.
     *
     * @param purpose who called
     * @param result how they ended
     */
    public record StoreCallSeries(String purpose, String result) {

        /** Checks the fields. */
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
                    .computeIfAbsent(new ServedSeries(hop, route), served -> new Durations())
                    .record(end.elapsedNanos());
        }
    }

    /**
     * Counts a call to the store.
     *
     * @param purpose who called
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
}
