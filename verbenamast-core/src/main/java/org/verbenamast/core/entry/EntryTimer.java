package org.verbenamast.core.entry;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers in the chart of a request at its entry node. */
public enum EntryTimer implements TimerRule<EntryEvent, EntryData> {
    /** Fires at the deadline, when the caller or the route gives up on the request. */
    DEADLINE {
        @Override
        public EntryEvent fires() {
            return EntryEvent.TIME_OVER;
        }

        @Override
        public long delayNanos(EntryData data, long now) {
            return Math.max(0, data.request().deadlineAt() - now);
        }
    },
    /** Fires after the pause before a server is selected again. */
    ROUTING_RETRY {
        @Override
        public EntryEvent fires() {
            return EntryEvent.AGAIN_DUE;
        }

        @Override
        public long delayNanos(EntryData data, long now) {
            return Timing.millisToNanos(ROUTING_RETRY_MILLIS);
        }
    },
    /** Fires when the first attempt takes longer than most do. */
    HEDGE_DELAY {
        @Override
        public EntryEvent fires() {
            return EntryEvent.HEDGE_DUE;
        }

        @Override
        public long delayNanos(EntryData data, long now) {
            return data.attempts().hedgeDelayNanos();
        }
    };

    /**
     * Pause before a server is selected again although no new owner has become known, in milliseconds. The row that
     * names the owner may be lost on its way; the owner makes requests wait until it is granted the key.
     */
    private static final long ROUTING_RETRY_MILLIS = 300;
}
