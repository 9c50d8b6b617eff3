package org.verbenamast.core.lease;

import org.verbenamast.core.chart.TimerRule;

/** The timers in the chart of a take-over. */
public enum TakeoverTimer implements TimerRule<TakeoverEvent, TakeoverData> {
    /** Waits before the lease peers are asked again. */
    ASK {
        @Override
        public TakeoverEvent fires() {
            return TakeoverEvent.ASK_DUE;
        }

        @Override
        public long delayNanos(TakeoverData data, long now) {
            return data.desk().terms().sealEvery();
        }
    },
    /** Waits until what the lease peers had promised has run out. */
    WAIT {
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
            return data.desk().terms().sealEvery();
        }
    }
}
