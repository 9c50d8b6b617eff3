package org.verbenamast.core.watch;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of the chart of the store's era. */
public enum EraTimer implements TimerRule<EraEvent, EraData> {
    /** Runs while operators and other nodes write again what the store has lost. */
    CONFIRMATION {
        @Override
        public EraEvent fires() {
            return EraEvent.CONFIRMED;
        }

        @Override
        public long delayNanos(EraData data, long now) {
            return Timing.millisToNanos(CONFIRMATION_MILLIS);
        }
    };

    /** Longer than a key lease of 8.5 s on the slowest clock, so that all leases of the former era have expired. */
    private static final long CONFIRMATION_MILLIS = 10_000;
}
