package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of this node's own lease. */
public enum LeaseHolderTimer implements TimerRule<LeaseHolderEvent, LeaseHolderData> {
    /** Waits until the leases are due for renewal. */
    RENEWAL {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.ASK_DUE;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return Math.max(0, data.nextRequestAt() - now);
        }
    },
    /** Waits until the leases that a majority granted expire. */
    EXPIRY {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.EXPIRED;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return Math.max(0, data.heldUntil() - now);
        }
    },
    /** Limits how long a holder whose lease has lapsed keeps requesting leases without a majority. */
    RENEWAL_TIMEOUT {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.PATIENCE_ENDED;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return Math.max(0, data.lapsedAt() + data.controller().timings().renewalTimeout() - now);
        }
    },
    /** Limits how long a holder whose lease has lapsed requests no leases. */
    QUIET_PERIOD {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.QUIET_ENDED;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return data.controller().timings().quietPeriod();
        }
    }
}
