package org.verbenamast.core.request;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a request at its entry node, the node that received it from the caller. */
public enum RequestTimer implements TimerRule<RequestEvent, RequestData> {
    /** Fires at the caller's deadline. */
    DEADLINE {
        @Override
        public RequestEvent fires() {
            return RequestEvent.DEADLINE_DUE;
        }

        @Override
        public long delayNanos(RequestData data, long now) {
            return Math.max(0, data.deadline() - now);
        }
    },
    /** Fires when the request is routed again. The delay doubles with each attempt, up to a limit. */
    REROUTE {
        @Override
        public RequestEvent fires() {
            return RequestEvent.ROUTE;
        }

        @Override
        public long delayNanos(RequestData data, long now) {
            int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, data.attemptCount() - 1));
            return Timing.millisToNanos(Timing.DEFAULT.retryMillis()) << doublings;
        }
    },
    /** Fires when a hedge may answer sooner than the open attempt. */
    HEDGE {
        @Override
        public RequestEvent fires() {
            return RequestEvent.HEDGE_DUE;
        }

        @Override
        public long delayNanos(RequestData data, long now) {
            return data.hedgeDelayNanos();
        }
    };

    private static final int MAX_DOUBLINGS = 4;
}
