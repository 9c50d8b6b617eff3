package org.verbenamast.core.entry;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.node.Timing;

/** The timers of a request at its entry. */
public enum EntryTimer implements TimerRule<EntryEvent, EntryData> {
    /** Waits until the caller or the route gives up. */
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
    /** Waits before a server is looked for again. */
    ROUTING_RETRY {
        @Override
        public EntryEvent fires() {
            return EntryEvent.AGAIN_DUE;
        }

        @Override
        public long delayNanos(EntryData data, long now) {
            return Timing.nanos(ROUTING_RETRY_MILLIS);
        }
    };

    /** Pause before a server is looked for again, in milliseconds; short beside the time a hand-over of keys takes. */
    private static final long ROUTING_RETRY_MILLIS = 40;
}
