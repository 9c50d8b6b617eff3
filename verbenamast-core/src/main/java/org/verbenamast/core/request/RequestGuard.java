package org.verbenamast.core.request;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a request at the member that took it from its caller. */
public enum RequestGuard implements Guard<RequestData, RequestInput> {
    /** Some member may take the request. */
    ROUTE_KNOWN {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return input.router().choose(data, now);
        }
    },
    /** A backend server answered. */
    ANSWERED {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return input.outcome() instanceof RequestOutcome.Answered;
        }
    },
    /** Another member has a try of the request, too. */
    OTHER_TRY_OPEN {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return data.openAttempts().size() > 1;
        }
    },
    /** The try was not run, another one may succeed, and the retry budget pays for it. */
    RETRY_ALLOWED {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return input.outcome() instanceof RequestOutcome.NotRun notRun
                    && notRun.reason().mayRetry()
                    && input.router().trySpendRetry(data, notRun.reason());
        }
    },
    /** Running the request twice does no harm, or its owner's records prevent it. */
    SAFE_TO_RESEND {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return data.request().method().idempotent() || data.request().usesIdempotencyKey();
        }
    },
    /** Another member may take a second try, and the hedging budget pays for it. */
    MAY_HEDGE {
        @Override
        public boolean permits(RequestData data, RequestInput input, long now) {
            return data.openAttempts().size() == 1 && input.router().chooseHedge(data, now);
        }
    }
}
