package org.verbenamast.core.request;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a request at the member that took it from its caller. */
public enum EntryGuard implements Guard<EntryData, EntryInput> {
    /** Some member may take the request. */
    ROUTE_KNOWN {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return !input.router().route(data.request()).isNone();
        }
    },
    /** The request was not run, and another try may succeed. */
    NOT_RUN_MAY_RETRY {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return input.outcome() instanceof RequestOutcome.NotRun notRun
                    && notRun.reason().mayRetry();
        }
    },
    /** Running the request twice has the effect of running it once. */
    IDEMPOTENT {
        @Override
        public boolean permits(EntryData data, EntryInput input, long now) {
            return data.request().method().idempotent();
        }
    }
}
