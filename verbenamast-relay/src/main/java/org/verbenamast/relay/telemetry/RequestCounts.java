package org.verbenamast.relay.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** How many requests ended in which way, and how long those took that were served. */
public final class RequestCounts {

    /** Different ends that are counted apart; a manifest may name any number of routes, and memory is bounded. */
    private static final int MOST_ENDS = 2_000;
    /** The route under which the ends beyond {@link #MOST_ENDS} are counted. */
    private static final String OTHER_ROUTES = "other";

    private final Map<Counted, Long> ends = new HashMap<>();
    private final Map<Served, Durations> durations = new HashMap<>();
    private final Map<StoreCalls, Long> storeCalls = new HashMap<>();

    /**
     * The requests that ended alike.
     *
     * @param hop where
     * @param route the name of the manifest's route
     * @param outcome what was decided
     * @param reason why
     */
    public record Counted(Hop hop, String route, String outcome, String reason) {

        /** Checks the fields. */
        public Counted {
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
    public record Served(Hop hop, String route) {

        /** Checks the fields. */
        public Served {
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
    public record StoreCalls(String purpose, String result) {

        /** Checks the fields. */
        public StoreCalls {
            Objects.requireNonNull(purpose, "purpose");
            Objects.requireNonNull(result, "result");
        }
    }

    void add(Hop hop, RequestEnd end) {
        String route = ends.size() < MOST_ENDS ? end.route() : OTHER_ROUTES;
        ends.merge(new Counted(hop, route, end.outcome(), end.reason()), 1L, Long::sum);
        if (end.served()) {
            durations
                    .computeIfAbsent(new Served(hop, route), served -> new Durations())
                    .add(end.nanos());
        }
    }

    /**
     * Counts a call to the store.
     *
     * @param purpose who called
     * @param result how it ended
     */
    public void storeCalled(String purpose, String result) {
        storeCalls.merge(new StoreCalls(purpose, result), 1L, Long::sum);
    }

    Map<Counted, Long> ends() {
        return ends;
    }

    Map<Served, Durations> durations() {
        return durations;
    }

    Map<StoreCalls, Long> storeCalls() {
        return storeCalls;
    }
}
