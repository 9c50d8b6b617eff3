package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a take-over. */
public enum TakeoverTimer implements TimerRule<TakeoverEvent, TakeoverData> {
    /** Waits before the requests to seal the holder are repeated. */
    SEAL_REQUEST {
        @Override
        public TakeoverEvent fires() {
            return TakeoverEvent.ASK_DUE;
        }

        @Override
        public long delayNanos(TakeoverData data, long now) {
            return data.controller().timings().sealInterval();
        }
    },
    /** Waits until the leases that the lease peers had granted have expired. */
    LEASE_EXPIRY {
        @Override
        public TakeoverEvent fires() {
            return TakeoverEvent.WAIT_ENDED;
        }

        @Override
        public long delayNanos(TakeoverData data, long now) {
            return Math.max(0, data.lapsedFrom() - now);
        }
    },
    /** Waits before the row is read again. */
    RETRY {
        @Override
        public TakeoverEvent fires() {
            return TakeoverEvent.RETRY_DUE;
        }

        @Override
        public long delayNanos(TakeoverData data, long now) {
            return data.controller().timings().sealInterval();
        }
    }
}
