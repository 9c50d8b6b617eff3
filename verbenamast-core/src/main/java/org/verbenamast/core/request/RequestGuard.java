package org.verbenamast.core.request;

import org.verbenamast.core.chart.Guard;

/** The guards in the chart of a request at its entry node, the node that received it from the caller. */
public enum RequestGuard implements Guard<RequestData, RequestInput> {
    /** The router found a member for the request. */
    ROUTE_KNOWN {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return input.router().choose(data, now);
        }
    },
    /** The attempt ended with an answer of a backend server. */
    ANSWERED {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return input.outcome() instanceof RequestOutcome.Answered;
        }
    },
    /** Another attempt of the request is open as well. */
    OTHER_TRY_OPEN {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return data.openAttempts().size() > 1;
        }
    },
    /** The attempt was not executed, another one may succeed, and the retry budget allows it. */
    RETRY_ALLOWED {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return input.outcome() instanceof RequestOutcome.NotRun notRun
                    && notRun.reason().mayRetry()
                    && input.router().trySpendRetry(data, notRun.reason());
        }
    },
    /** The request is idempotent, or the owner's records prevent a second execution. */
    SAFE_TO_RESEND {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return data.request().method().idempotent() || data.request().usesIdempotencyKey();
        }
    },
    /** Only one attempt is open, another member is available for a hedge, and the hedge budget allows it. */
    MAY_HEDGE {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return data.openAttempts().size() == 1 && input.router().chooseHedge(data, now);
        }
    }
}
