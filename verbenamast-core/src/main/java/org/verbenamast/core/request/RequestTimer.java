package org.verbenamast.core.request;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a request at the member that took it from its caller. */
public enum RequestTimer implements TimerRule<RequestEvent, RequestData> {
    /** Waits until the caller gives up. */
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
    /** Waits before the request is routed again, longer after each try. */
    REROUTE {
        @Override
        public RequestEvent fires() {
            return RequestEvent.ROUTE;
        }

        @Override
        public long delayNanos(RequestData data, long now) {
            int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, data.attempts() - 1));
            return Timing.millisToNanos(Timing.DEFAULT.retryMillis()) << doublings;
        }
    },
    /** Waits until a second try may pay. */
    HEDGE {
        @Override
        public RequestEvent fires() {
            return RequestEvent.HEDGE_DUE;
        }

        @Override
        public long delayNanos(RequestData data, long now) {
            return data.hedgeNanos();
        }
    };

    private static final int MAX_DOUBLINGS = 4;
}
