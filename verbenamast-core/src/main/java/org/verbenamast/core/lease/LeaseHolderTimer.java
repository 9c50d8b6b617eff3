package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of this node's own lease. */
public enum LeaseHolderTimer implements TimerRule<LeaseHolderEvent, LeaseHolderData> {
    /** Waits until the lease peers are asked again. */
    ASK {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.ASK_DUE;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return Math.max(0, data.nextAsk() - now);
        }
    },
    /** Waits until what the lease peers vouched for runs out. */
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
    /** Bounds how long a lapsed holder asks in vain. */
    PATIENCE {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.PATIENCE_ENDED;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return Math.max(0, data.lapsedAt() + data.desk().terms().patience() - now);
        }
    },
    /** Bounds the silence of a lapsed holder. */
    QUIET {
        @Override
        public LeaseHolderEvent fires() {
            return LeaseHolderEvent.QUIET_ENDED;
        }

        @Override
        public long delayNanos(LeaseHolderData data, long now) {
            return data.desk().terms().quiet();
        }
    }
}
